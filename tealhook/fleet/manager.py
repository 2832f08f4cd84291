"""The fleet manager: only the fleet's owner lists, rents and releases machines.

A machine is released if its partition's owner has drained it, or to fence it: if it is silent, and must be known to
have stopped before its tasks run elsewhere. Status 200 for the release proves that it has stopped; only then are other
nodes notified.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from typing import Any

from tealhook.context import NodeContext
from tealhook.coordination import Ownership
from tealhook.fleet.cloud_calls import TYPES_REFRESH_LAGS
from tealhook.fleet.demand import DemandHistory, Horizon, NonSpotDemand
from tealhook.fleet.draining import Draining
from tealhook.fleet.machines import RentalOption
from tealhook.fleet.renting import Renting
from tealhook.fleet.sizing import CapacityNeed, FleetView, FreeMachine, Supply, estimate_need, find_shortages
from tealhook.mesh import Mesh
from tealhook.state_store import StateClient
from tealhook.wire import cloud as wire
from tealhook.wire import mesh as mesh_wire

log = logging.getLogger(__name__)

MIN_READY_MACHINE_SHARE = 0.05  # share of the smallest machine; less capacity than this is not kept ready
LATE_BOOT_RATIO = 2.0  # A machine that is not up after this multiple of its boot time is not counted as supply.


class FleetManager(Renting, Draining):
    """Scales the fleet. It runs on every node, and acts on the one that owns the fleet."""

    def __init__(
        self,
        context: NodeContext,
        ownership: Ownership,
        store: StateClient,
        mesh: Mesh,
        machine_types: dict[str, wire.MachineType],
        on_released: Callable[[list[str]], Any],
    ) -> None:
        """Initialize as `CloudCalls`, and start to read the machine types."""
        super().__init__(context, ownership, store, mesh, machine_types, on_released)
        self._step_period_s = context.workers.report_s / 2
        context.effects.later(0.0, self._read_stored_types)
        context.effects.later(self._step_period_s, self._step)

    def _reset(self) -> None:
        super()._reset()
        self._history: DemandHistory | None = None
        self._is_new_cluster = False
        self._last_view = FleetView()

    def on_ownership_change(self, token: int | None) -> None:
        """Start over under a new fencing token of the fleet, or stop acting if `token` is None."""
        self._token = token
        self._reset()
        self._is_new_cluster = not self._machine_types

    def _step(self) -> None:
        """Make the calls to the cloud that are due, and schedule the next step."""
        self._effects.later(self._step_period_s * (0.9 + 0.2 * self._effects.rng.random()), self._step)
        if self._token is None or self._ownership.is_lease_uncertain:
            return
        now = self._effects.now()
        for name, released_at in list(self._released_at.items()):
            if now - released_at > 6 * self._list_lag_s:
                del self._released_at[name]
        if self._calls_in_flight >= 3:
            return
        if not self._machine_types or now - self._types_fetched_at > TYPES_REFRESH_LAGS * self._list_lag_s:
            if self._bucket.take(1, now):
                if not self._machine_types:
                    self._types_fetched_at = now
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
        """Scale the fleet to the demand that all nodes have gossiped: rent, drain and fence machines.

        `zones`: the zones whose partition's owner has reported its machines recently. `non_spot_demand`: tasks that
        may not use spot machines.
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
        self._rent_and_drain(self._last_view, now)

    def _rent_remaining(self) -> None:
        """Rent what is still missing, after a request was answered."""
        self._rent_and_drain(self._last_view, self._effects.now())

    def _rent_and_drain(self, view: FleetView, now: float) -> None:
        """Rent machines for shortages, and drain surplus ones."""
        variables = self._policy.variables()
        if self._history is None:
            self._history = DemandHistory(variables["boot_s"])
        history, horizon = self._history, Horizon(self._settings, variables["boot_s"])
        need = estimate_need(self._machine_types, view, horizon)
        history.record(now, need.used_cpus, need.urgent_cpus, need.waiting_cpus, self._settings.params.workers.report_s)
        variables |= {
            "used": need.used_cpus,
            "demand": need.used_cpus + need.waiting_cpus,
            "urgent": history.mean_urgent_cpus,
            "peak": history.peak_cpus,
            "mean": history.mean_cpus,
        }
        ready_cpus = self._ready_cpus(variables)
        supply = self._supply(view.machine_states, now)
        shortages = find_shortages(self._machine_types, view, horizon, need, supply, ready_cpus, history)
        if log.isEnabledFor(logging.DEBUG):
            _log_capacity(supply, need, ready_cpus, view.demand)
        if self._is_new_cluster or now - self._owned_since > self._list_lag_s:
            for shortage in shortages:
                if self._rent(shortage, supply, variables, now):
                    break
        surplus_cpus = supply.total_cpus - max(ready_cpus, need.used_cpus + need.waiting_cpus)
        self._drain_machines(
            view.machine_states, surplus_cpus, math.inf if need.non_spot_demand else need.on_demand_cpus, variables, now
        )

    def _ready_cpus(self, variables: dict[str, float]) -> float:
        """Return the CPUs that the policy keeps up, used or not."""
        ready_cpus = self._policy.value("ready_cpus", variables)
        if ready_cpus < MIN_READY_MACHINE_SHARE * min(
            machine_type.vcpus for machine_type in self._machine_types.values()
        ):
            # A smoothed value never decays to zero: the last machine was kept for a trillionth of a CPU.
            return 0.0
        return ready_cpus

    def _supply(self, states: dict[str, mesh_wire.MachineState], now: float) -> Supply:
        """Return the CPUs of the machines that can be relied on."""
        supply = Supply()
        for machine in self._machines.values():
            machine_type = self._machine_types.get(machine.machine_type)
            state = states.get(machine.name)
            if (
                machine_type is None
                or machine.name in self._pending_releases
                or (state is not None and self._is_unreliable(state))
            ):
                continue
            used_cpus = state.used_cpus if state is not None else 0.0
            free_machine = FreeMachine(
                RentalOption(machine.machine_type, machine.zone, machine.spot), machine_type.vcpus - used_cpus
            )
            if machine.status == wire.MachineStatus.RUNNING:
                supply.up_cpus += machine_type.vcpus
                supply.free[free_machine] += 1
            elif now - machine.requested_at <= LATE_BOOT_RATIO * machine_type.boot_s + self._list_lag_s:
                supply.starting_cpus += machine_type.vcpus
                supply.free[free_machine] += 1
            if machine.spot:
                supply.spot_cpus += machine_type.vcpus
            else:
                supply.free_on_demand_cpus += machine_type.vcpus - used_cpus
                supply.on_demand_cpus += machine_type.vcpus
        return supply

    def _is_unreliable(self, state: mesh_wire.MachineState) -> bool:
        """Check whether a machine can't be relied on: it is terminating, fails its tasks, or is silent."""
        return state.terminating or state.unhealthy or state.heartbeat_age_s > self._settings.params.workers.lease_s


def _log_capacity(supply: Supply, need: CapacityNeed, ready_cpus: float, demand: list[mesh_wire.Demand]) -> None:
    waiting_tasks: dict[str, int] = {}
    for item in demand:
        waiting_tasks[item.job_class] = waiting_tasks.get(item.job_class, 0) + item.count
    log.debug(
        "fleet: CPUs up %g, starting %g, in use %g, needed for waiting tasks %g, kept ready %g; "
        "waiting tasks by class: %s",
        supply.up_cpus,
        supply.starting_cpus,
        need.used_cpus,
        need.waiting_cpus,
        ready_cpus,
        waiting_tasks,
    )
