"""Draining: which machines are returned, and telling the owners of their partitions."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from operator import attrgetter
from typing import NamedTuple

from tealhook.coordination import partition_key
from tealhook.fleet.machines import RentedMachine, hourly_cpu_price
from tealhook.fleet.releasing import Releasing
from tealhook.fleet.renting import DEAR
from tealhook.wire import cloud as wire
from tealhook.wire import mesh as mesh_wire

LEAST_PAID_S = 60.0  # the protocol: a machine that is deleted costs at least that, so it is kept that long


class SurplusSample(NamedTuple):
    """CPUs that were up beyond what was wanted, at some time."""

    at: float
    cpus: float


@dataclass(slots=True)
class SpareMachine:
    """A machine that may be returned.

    `order`: the machines to be returned are chosen in this order. The much dearer ones first, and the sooner the
    dearer; else those that will be empty first, since until then the capacity on them is paid for in vain. One that
    still has tasks gets no more of them: otherwise what is left to do would stay spread thinly over all machines, and
    none of them would ever be idle.
    """

    machine: RentedMachine
    machine_type: wire.MachineType
    price: float  # of a CPU
    order: tuple[int, float, float, str]


class Draining(Releasing):
    """Returns what idles beyond the ready capacity, and machines that fail their tasks."""

    def _reset(self) -> None:
        super()._reset()
        self._drain_requests: dict[str, set[str]] = {}  # sent last, by zone
        self._surplus_samples: deque[SurplusSample] = deque()

    def _drain(
        self,
        states: dict[str, mesh_wire.MachineState],
        surplus: float,
        keep_ordinary: float,
        variables: dict[str, float],
        now: float,
    ) -> None:
        """Return what idles beyond the ready capacity, much dearer ones first; and machines that fail their tasks.

        `keep_ordinary`: CPUs of ordinary machines that stay whatever idles.
        """
        idle_return_s = self._policy.value("idle_return_s", variables)
        self._surplus_samples.append(SurplusSample(now, surplus))
        while self._surplus_samples[0].at < now - idle_return_s:
            self._surplus_samples.popleft()
        prices = [
            hourly_cpu_price(machine_type, spot)
            for machine_type in self._machine_types.values()
            for spot in (True, False)
        ]
        cheapest = min((price for price in prices if price > 0), default=0.0)
        wanted: dict[str, set[str]] = {}
        spare: list[SpareMachine] = []
        for machine in self._machines.values():
            state = states.get(machine.name)
            # One that is fenced must not be used before it is released.
            if machine.name in self._fences or (
                state is not None and state.unhealthy and machine.machine_type in self._machine_types
            ):
                wanted.setdefault(machine.zone, set()).add(machine.name)
            elif state is not None and (found := self._as_spare(machine, state, cheapest, now)) is not None:
                spare.append(found)
        for machine in self._choose_spare(spare, keep_ordinary, idle_return_s, cheapest, now):
            wanted.setdefault(machine.zone, set()).add(machine.name)
        self._send_drain_requests(wanted)
        for names in wanted.values():
            for name in sorted(names - self._fences.keys()):
                state = states.get(name)
                if state is not None and state.drained:
                    self._fences.setdefault(name, now)
        if self._fences:
            self._release(now)

    def _as_spare(
        self, machine: RentedMachine, state: mesh_wire.MachineState, cheapest: float, now: float
    ) -> SpareMachine | None:
        """The machine as one that may be returned; None when it may not."""
        machine_type = self._machine_types.get(machine.machine_type)
        if machine_type is None or state.terminating or now - machine.requested_at < LEAST_PAID_S:
            return None
        price = hourly_cpu_price(machine_type, machine.spot)
        dear = int(math.log(max(1.0, price / cheapest), DEAR)) if cheapest else 0
        return SpareMachine(machine, machine_type, price, order=(-dear, state.empty_s, -price, machine.name))

    def _choose_spare(
        self, spare: list[SpareMachine], keep_ordinary: float, idle_return_s: float, cheapest: float, now: float
    ) -> list[RentedMachine]:
        """The machines that the surplus of late allows to return."""
        chosen: list[RentedMachine] = []
        taken = 0.0
        left = sum(item.machine_type.vcpus for item in spare if not item.machine.spot)
        lasted: dict[float, float] = {}  # by price: a fleet has hundreds of machines, but few prices
        for item in sorted(spare, key=attrgetter("order")):
            idle_s = idle_return_s * (cheapest / item.price if item.price > 0 else 1.0)
            if item.price not in lasted:
                lasted[item.price] = min(cpus for at, cpus in self._surplus_samples if at >= now - idle_s)
            if lasted[item.price] - taken < item.machine_type.vcpus or now - self._owned_since < idle_s:
                continue
            if not item.machine.spot:
                if left - item.machine_type.vcpus < keep_ordinary:
                    continue
                left -= item.machine_type.vcpus
            taken += item.machine_type.vcpus
            chosen.append(item.machine)
        return chosen

    def _send_drain_requests(self, wanted: dict[str, set[str]]) -> None:
        """Tell the owners of partitions which machines to drain, and those that drained some that none is to be."""
        for zone in sorted(wanted.keys() | self._drain_requests.keys()):
            owner = self._ownership.owner(partition_key(zone))
            names = wanted.get(zone, set())
            if owner is not None and (names or self._drain_requests.get(zone)):
                self._mesh.send(owner, mesh_wire.DrainRequest(zone, sorted(names)))
        self._drain_requests = wanted
