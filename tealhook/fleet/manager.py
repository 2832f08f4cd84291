"""The fleet's owner: it alone lists, rents and releases.

A machine is released only when its part's owner has drained it, or as a fence: when it is silent and must be
known to be gone before its tasks run elsewhere. A 200 to the release is the proof that everybody is told of.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from typing import Any

from tealhook.context import NodeContext
from tealhook.coordination import Ownership
from tealhook.fleet.cloud_calls import TYPES_LAGS
from tealhook.fleet.demand import DemandHistory, Horizon, OrdinaryDemand
from tealhook.fleet.draining import Draining
from tealhook.fleet.renting import Renting
from tealhook.fleet.sizing import FleetView, Need, Supply, find_need, find_shortages
from tealhook.mesh import Mesh
from tealhook.state_store import StateClient
from tealhook.wire import cloud as wire
from tealhook.wire import mesh as mesh_wire

log = logging.getLogger("tealhook.fleet")

WORTH_KEEPING = 0.05  # of a machine: room that is less is not kept ready
LATE_BOOT = 2.0  # of ready_s: from then on a starting machine is not counted on


class FleetManager(Renting, Draining):
    """Runs on every node; acts only on the one that owns the fleet."""

    def __init__(
        self,
        context: NodeContext,
        ownership: Ownership,
        store: StateClient,
        mesh: Mesh,
        types: dict[str, wire.MachineType],
        on_gone: Callable[[list[str]], Any],
    ) -> None:
        """Every node reads the machine types; the arguments are those of `CloudCalls`."""
        super().__init__(context, ownership, store, mesh, types, on_gone)
        self._step_every = context.workers.report_s / 2
        context.effects.later(0.0, self._read_types)
        context.effects.later(self._step_every, self._step)

    def _reset(self) -> None:
        super()._reset()
        self._history: DemandHistory | None = None
        self._cold = False
        self._last = FleetView()

    def on_ownership_change(self, token: int | None) -> None:
        """Ownership of the fleet came or went."""
        self._token = token
        self._reset()
        self._cold = not self._types

    def _step(self) -> None:
        """Make the calls that are due: types, releases, a list. Repeats itself."""
        self._effects.later(self._step_every * (0.9 + 0.2 * self._effects.rng.random()), self._step)
        if self._token is None or self._ownership.lease_uncertain:
            return
        now = self._effects.now()
        for name, when in list(self._dead.items()):
            if now - when > 6 * self._lag:
                del self._dead[name]
        if self._calling >= 3:
            return
        if not self._types or now - self._types_at > TYPES_LAGS * self._lag:
            if self._bucket.take(1, now):
                if not self._types:
                    self._types_at = now
                self._ask_types()
            if not self._types:
                return
        self._release(now)
        self._list_in_time(now)

    def plan(
        self,
        states: dict[str, mesh_wire.MachineState],
        usage: list[mesh_wire.TeamUsage],
        demand: list[mesh_wire.Demand],
        zones: set[str],
        ordinary_for: OrdinaryDemand | None = None,
    ) -> None:
        """Compare what is up with what is wanted; rent or drain. Called with what all nodes tell.

        `zones`: those whose owner has told us of its machines lately. `ordinary_for`: tasks that may not use
        spot machines.
        """
        if (
            self._token is None
            or not self._types
            or not (self._list_ok or self._cold)
            or self._ownership.lease_uncertain
        ):
            return
        now = self._effects.now()
        self._last = FleetView(states, usage, demand, ordinary_for or OrdinaryDemand())
        self._watch_health(states, zones, now)
        self._balance(self._last, now)

    def _rent_rest(self) -> None:
        """A request is answered: ask for what else is missing."""
        self._balance(self._last, self._effects.now())

    def _balance(self, view: FleetView, now: float) -> None:
        """Rent what is missing, and return what is too much."""
        variables = self._policy.variables()
        if self._history is None:
            self._history = DemandHistory(variables["boot_s"])
        history, horizon = self._history, Horizon(self._settings, variables["boot_s"])
        need = find_need(self._types, view, horizon)
        history.note(now, need.used, need.urgent, need.waiting, self._settings.params.workers.report_s)
        variables |= {
            "used": need.used,
            "demand": need.used + need.waiting,
            "urgent": history.urgent,
            "peak": history.peak,
            "mean": history.mean,
        }
        ready = self._ready_cpus(variables)
        supply = self._supply(view.states, now)
        shortages = find_shortages(self._types, view, horizon, need, supply, ready, history)
        if log.isEnabledFor(logging.DEBUG):
            _log_balance(supply, need, ready, view.demand)
        if self._cold or now - self._began > self._lag:
            for shortage in shortages:
                if self._rent(shortage, supply, variables, now):
                    break
        surplus = supply.total - max(ready, need.used + need.waiting)
        self._drain(view.states, surplus, math.inf if need.steady else need.kept, variables, now)

    def _ready_cpus(self, variables: dict[str, float]) -> float:
        """CPUs that the policy wants ready whatever is taken."""
        ready = self._policy.value("ready_cpus", variables)
        if ready < WORTH_KEEPING * min(machine_type.vcpus for machine_type in self._types.values()):
            # A smoothed figure never comes to nothing: the last machine was kept for a trillionth of a CPU.
            return 0.0
        return ready

    def _supply(self, states: dict[str, mesh_wire.MachineState], now: float) -> Supply:
        """What the machines have that can be counted on."""
        supply = Supply()
        for machine in self._machines.values():
            machine_type = self._types.get(machine.machine_type)
            state = states.get(machine.name)
            if (
                machine_type is None
                or machine.name in self._fences
                or (state is not None and self._is_unreliable(state))
            ):
                continue
            if machine.status == wire.MachineStatus.RUNNING:
                supply.up += machine_type.vcpus
            elif now - machine.requested_at <= LATE_BOOT * machine_type.boot_s + self._lag:
                supply.coming += machine_type.vcpus
            if machine.spot:
                supply.spot += machine_type.vcpus
            else:
                supply.ordinary += machine_type.vcpus - (state.used_cpus if state is not None else 0.0)
                supply.whole += machine_type.vcpus
        return supply

    def _is_unreliable(self, state: mesh_wire.MachineState) -> bool:
        """Whether a machine is not counted on: it is to go, fails its tasks, or is silent."""
        return state.terminating or state.unhealthy or state.heartbeat_age_s > self._settings.params.workers.lease_s


def _log_balance(supply: Supply, need: Need, ready: float, demand: list[mesh_wire.Demand]) -> None:
    classes: dict[str, int] = {}
    for item in demand:
        classes[item.job_class] = classes.get(item.job_class, 0) + item.count
    log.debug(
        "fleet: up %g coming %g used %g waiting %g ready %g; tasks waiting: %s",
        supply.up,
        supply.coming,
        need.used,
        need.waiting,
        ready,
        classes,
    )
