"""Draining: the choice of machines to return, and the requests to the owners of their partitions."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from operator import attrgetter
from typing import NamedTuple

from tealhook.coordination import partition_key
from tealhook.fleet.machines import RentedMachine, hourly_cpu_price
from tealhook.fleet.releasing import Releasing
from tealhook.fleet.renting import EXPENSIVE_PRICE_RATIO
from tealhook.wire import cloud as wire
from tealhook.wire import mesh as mesh_wire

MIN_BILLED_S = 60.0  # The cloud bills at least this time for a machine, so none is returned earlier.


class SurplusSample(NamedTuple):
    """CPUs that were up beyond the need, at one time."""

    at: float
    cpus: float


@dataclass(slots=True)
class SpareMachine:
    """A machine that may be returned.

    `order`: the sort key by which machines are returned. Much more expensive machines come first, by steps of their
    price; then those that will be empty first, since until then their unused capacity is paid for to no purpose. A
    machine that still has tasks gets no more of them: otherwise the remaining tasks would stay spread thinly over all
    machines, and none of them would ever be idle.
    """

    machine: RentedMachine
    machine_type: wire.MachineType
    price: float  # of one CPU per hour
    order: tuple[int, float, float, str]


class Draining(Releasing):
    """Drains machines that idle beyond the ready capacity, and machines that fail their tasks."""

    def _reset(self) -> None:
        super()._reset()
        self._drain_requests: dict[str, set[str]] = {}  # machines in the latest requests, by zone
        self._surplus_samples: deque[SurplusSample] = deque()

    def _drain_machines(
        self,
        states: dict[str, mesh_wire.MachineState],
        surplus_cpus: float,
        kept_on_demand_cpus: float,
        variables: dict[str, float],
        now: float,
    ) -> None:
        """Drain machines that idle beyond the ready capacity, and machines that fail their tasks.

        `kept_on_demand_cpus`: CPUs of on-demand machines that are kept even if they idle.
        """
        idle_return_s = self._policy.value("idle_return_s", variables)
        self._surplus_samples.append(SurplusSample(now, surplus_cpus))
        while self._surplus_samples[0].at < now - idle_return_s:
            self._surplus_samples.popleft()
        prices = [
            hourly_cpu_price(machine_type, spot)
            for machine_type in self._machine_types.values()
            for spot in (True, False)
        ]
        cheapest = min((price for price in prices if price > 0), default=0.0)
        to_drain: dict[str, set[str]] = {}
        spare: list[SpareMachine] = []
        for machine in self._machines.values():
            state = states.get(machine.name)
            # A machine that is about to be released must not get tasks before that.
            if machine.name in self._pending_releases or (
                state is not None and state.unhealthy and machine.machine_type in self._machine_types
            ):
                to_drain.setdefault(machine.zone, set()).add(machine.name)
            elif state is not None and (spare_machine := self._as_spare(machine, state, cheapest, now)) is not None:
                spare.append(spare_machine)
        for machine in self._choose_spare(spare, kept_on_demand_cpus, idle_return_s, cheapest, now):
            to_drain.setdefault(machine.zone, set()).add(machine.name)
        self._send_drain_requests(to_drain)
        for names in to_drain.values():
            for name in sorted(names - self._pending_releases.keys()):
                state = states.get(name)
                if state is not None and state.drained:
                    self._pending_releases.setdefault(name, now)
        if self._pending_releases:
            self._release(now)

    def _as_spare(
        self, machine: RentedMachine, state: mesh_wire.MachineState, cheapest: float, now: float
    ) -> SpareMachine | None:
        """Return a machine as a spare one, or None if it may not be returned."""
        machine_type = self._machine_types.get(machine.machine_type)
        if machine_type is None or state.terminating or now - machine.requested_at < MIN_BILLED_S:
            return None
        price = hourly_cpu_price(machine_type, machine.spot)
        price_steps = int(math.log(max(1.0, price / cheapest), EXPENSIVE_PRICE_RATIO)) if cheapest else 0
        return SpareMachine(machine, machine_type, price, order=(-price_steps, state.empty_s, -price, machine.name))

    def _choose_spare(
        self, spare: list[SpareMachine], kept_on_demand_cpus: float, idle_return_s: float, cheapest: float, now: float
    ) -> list[RentedMachine]:
        """Return the machines that can be returned, given the surplus of the last `idle_return_s` seconds.

        The more expensive a machine is, the shorter is the time for which the surplus must have lasted.
        """
        chosen: list[RentedMachine] = []
        chosen_cpus = 0.0
        remaining_on_demand_cpus = sum(item.machine_type.vcpus for item in spare if not item.machine.spot)
        lasting_surplus: dict[float, float] = {}  # by price: a fleet has hundreds of machines, but few prices
        for item in sorted(spare, key=attrgetter("order")):
            idle_s = idle_return_s * (cheapest / item.price if item.price > 0 else 1.0)
            if item.price not in lasting_surplus:
                lasting_surplus[item.price] = min(cpus for at, cpus in self._surplus_samples if at >= now - idle_s)
            if lasting_surplus[item.price] - chosen_cpus < item.machine_type.vcpus or now - self._owned_since < idle_s:
                continue
            if not item.machine.spot:
                if remaining_on_demand_cpus - item.machine_type.vcpus < kept_on_demand_cpus:
                    continue
                remaining_on_demand_cpus -= item.machine_type.vcpus
            chosen_cpus += item.machine_type.vcpus
            chosen.append(item.machine)
        return chosen

    def _send_drain_requests(self, to_drain: dict[str, set[str]]) -> None:
        """Send each partition's owner the machines to drain; an empty list ends the draining requested before."""
        for zone in sorted(to_drain.keys() | self._drain_requests.keys()):
            owner = self._ownership.owner(partition_key(zone))
            names = to_drain.get(zone, set())
            if owner is not None and (names or self._drain_requests.get(zone)):
                self._mesh.send(owner, mesh_wire.DrainRequest(zone, sorted(names)))
        self._drain_requests = to_drain
