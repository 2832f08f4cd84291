"""The fleet's owner: it alone lists, rents and releases.

A machine is released only when its partition's owner has drained it, or to fence it: when it is silent and must be
known to be off before its tasks run elsewhere. A 200 to the release is the proof that everybody is told of.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from typing import Any

from tealhook.context import NodeContext
from tealhook.coordination import Ownership
from tealhook.fleet.cloud_calls import TYPES_LAGS
from tealhook.fleet.demand import DemandHistory, Horizon, NonSpotDemand
from tealhook.fleet.draining import Draining
from tealhook.fleet.renting import Renting
from tealhook.fleet.sizing import CapacityNeed, FleetView, Supply, estimate_need, find_shortages
from tealhook.mesh import Mesh
from tealhook.state_store import StateClient
from tealhook.wire import cloud as wire
from tealhook.wire import mesh as mesh_wire

log = logging.getLogger(__name__)

WORTH_KEEPING = 0.05  # of a machine: capacity that is less is not kept ready
LATE_BOOT = 2.0  # times the usual boot time: from then on a starting machine is not counted on


class FleetManager(Renting, Draining):
    """Runs on every node; acts only on the one that owns the fleet."""

    def __init__(
        self,
        context: NodeContext,
        ownership: Ownership,
        store: StateClient,
        mesh: Mesh,
        machine_types: dict[str, wire.MachineType],
        on_released: Callable[[list[str]], Any],
    ) -> None:
        """Every node reads the machine types; the arguments are those of `CloudCalls`."""
        super().__init__(context, ownership, store, mesh, machine_types, on_released)
        self._step_every = context.workers.report_s / 2
        context.effects.later(0.0, self._read_stored_types)
        context.effects.later(self._step_every, self._step)

    def _reset(self) -> None:
        super()._reset()
        self._history: DemandHistory | None = None
        self._is_new_cluster = False
        self._last_view = FleetView()

    def on_ownership_change(self, token: int | None) -> None:
        """Ownership of the fleet came or went."""
        self._token = token
        self._reset()
        self._is_new_cluster = not self._machine_types

    def _step(self) -> None:
        """Make the calls that are due: types, releases, a list. Repeats itself."""
        self._effects.later(self._step_every * (0.9 + 0.2 * self._effects.rng.random()), self._step)
        if self._token is None or self._ownership.is_lease_uncertain:
            return
        now = self._effects.now()
        for name, when in list(self._released_at.items()):
            if now - when > 6 * self._list_lag_s:
                del self._released_at[name]
        if self._calls_in_flight >= 3:
            return
        if not self._machine_types or now - self._types_read_at > TYPES_LAGS * self._list_lag_s:
            if self._bucket.take(1, now):
                if not self._machine_types:
                    self._types_read_at = now
                self._fetch_types()
            if not self._machine_types:
                return
        self._release(now)
        self._list_when_due(now)

    def scale(
        self,
        states: dict[str, mesh_wire.MachineState],
        usage: list[mesh_wire.TeamUsage],
        demand: list[mesh_wire.Demand],
        zones: set[str],
        non_spot_demand: NonSpotDemand | None = None,
    ) -> None:
        """Compare what is up with what is wanted; rent or drain. Called with what all nodes tell.

        `zones`: those whose owner has told us of its machines lately. `non_spot`: tasks that may not use
        spot machines.
        """
        if (
            self._token is None
            or not self._machine_types
            or not (self._has_listed or self._is_new_cluster)
            or self._ownership.is_lease_uncertain
        ):
            return
        now = self._effects.now()
        self._last_view = FleetView(states, usage, demand, non_spot_demand or NonSpotDemand())
        self._watch_health(states, zones, now)
        self._balance(self._last_view, now)

    def _rent_remaining(self) -> None:
        """A request is answered: ask for what else is missing."""
        self._balance(self._last_view, self._effects.now())

    def _balance(self, view: FleetView, now: float) -> None:
        """Rent what is missing, and return what is too much."""
        variables = self._policy.variables()
        if self._history is None:
            self._history = DemandHistory(variables["boot_s"])
        history, horizon = self._history, Horizon(self._settings, variables["boot_s"])
        need = estimate_need(self._machine_types, view, horizon)
        history.record(now, need.used_cpus, need.urgent_cpus, need.waiting_cpus, self._settings.params.workers.report_s)
        variables |= {
            "used": need.used_cpus,
            "demand": need.used_cpus + need.waiting_cpus,
            "urgent": history.urgent,
            "peak": history.peak,
            "mean": history.mean,
        }
        ready = self._ready_cpus(variables)
        supply = self._supply(view.machine_states, now)
        shortages = find_shortages(self._machine_types, view, horizon, need, supply, ready, history)
        if log.isEnabledFor(logging.DEBUG):
            _log_balance(supply, need, ready, view.demand)
        if self._is_new_cluster or now - self._owned_since > self._list_lag_s:
            for shortage in shortages:
                if self._rent(shortage, supply, variables, now):
                    break
        surplus = supply.total_cpus - max(ready, need.used_cpus + need.waiting_cpus)
        self._drain(
            view.machine_states, surplus, math.inf if need.non_spot_demand else need.non_spot_cpus, variables, now
        )

    def _ready_cpus(self, variables: dict[str, float]) -> float:
        """CPUs that the policy wants ready whatever is taken."""
        ready = self._policy.value("ready_cpus", variables)
        if ready < WORTH_KEEPING * min(machine_type.vcpus for machine_type in self._machine_types.values()):
            # A smoothed figure never comes to nothing: the last machine was kept for a trillionth of a CPU.
            return 0.0
        return ready

    def _supply(self, states: dict[str, mesh_wire.MachineState], now: float) -> Supply:
        """What the machines have that can be counted on."""
        supply = Supply()
        for machine in self._machines.values():
            machine_type = self._machine_types.get(machine.machine_type)
            state = states.get(machine.name)
            if (
                machine_type is None
                or machine.name in self._fences
                or (state is not None and self._is_unreliable(state))
            ):
                continue
            if machine.status == wire.MachineStatus.RUNNING:
                supply.up_cpus += machine_type.vcpus
            elif now - machine.requested_at <= LATE_BOOT * machine_type.boot_s + self._list_lag_s:
                supply.starting_cpus += machine_type.vcpus
            if machine.spot:
                supply.spot_cpus += machine_type.vcpus
            else:
                supply.free_non_spot_cpus += machine_type.vcpus - (state.used_cpus if state is not None else 0.0)
                supply.non_spot_cpus += machine_type.vcpus
        return supply

    def _is_unreliable(self, state: mesh_wire.MachineState) -> bool:
        """Whether a machine is not counted on: it is to go, fails its tasks, or is silent."""
        return state.terminating or state.unhealthy or state.heartbeat_age_s > self._settings.params.workers.lease_s


def _log_balance(supply: Supply, need: CapacityNeed, ready: float, demand: list[mesh_wire.Demand]) -> None:
    classes: dict[str, int] = {}
    for item in demand:
        classes[item.job_class] = classes.get(item.job_class, 0) + item.count
    log.debug(
        "fleet: up %g coming %g used %g waiting %g ready %g; tasks waiting: %s",
        supply.up_cpus,
        supply.starting_cpus,
        need.used_cpus,
        need.waiting_cpus,
        ready,
        classes,
    )
