"""Capacity inquiries: the number of tasks that fit in a partition now, and the wait until the next one should fit.

Only tasks that can start within one heartbeat period are counted.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from tealhook.partitions.capacity import MachineCapacity
from tealhook.partitions.capacity_holds import CapacityHolds
from tealhook.partitions.fetch_rates import DEFAULT_FETCH_GB_PER_S, FetchRates
from tealhook.partitions.machine import FAR_FUTURE_S, Machine, required_resources
from tealhook.partitions.reservations import Reservations
from tealhook.partitions.state import PartitionState
from tealhook.wire import mesh

VIEW_LIFETIME_PERIODS = 1 / 8  # heartbeat periods for which inquiries are answered from the same view


class _RequirementsKey(NamedTuple):
    """What decides where tasks fit; requirements that differ only in image or priority share a result."""

    vcpus: float
    gpus: float
    memory_gb: float
    allows_spot: bool
    machine_types: tuple[str, ...]
    restrictions: mesh.MachineRestrictions


class _PartitionFit(NamedTuple):
    """The fit of tasks of equal resources at one moment, shared by the inquiries answered from one view."""

    fitting: list[tuple[Machine, int]]  # machines on which tasks fit now, with the number of tasks
    next_free_s: float
    fetch_gb_per_s: float


def allows_machine(requirements: mesh.TaskRequirements, machine: Machine) -> bool:
    """Check whether tasks may run on a machine at all, by its type and whether it is a spot machine."""
    if machine.spot and not requirements.allows_spot:
        return False
    return not requirements.machine_types or machine.machine_type in requirements.machine_types


def _permits(restrictions: mesh.MachineRestrictions, machine: Machine, now: float) -> bool:
    """Check whether a job with these restrictions may use a machine that meets its requirements."""
    if machine.name in restrictions.avoided_machines:
        return False
    return restrictions.may_use_held or not CapacityHolds.is_held(machine, now)


class CapacityInquiries:
    """Answers capacity inquiries.

    Every team's scheduler inquires several times per heartbeat period for every waiting job. What these inquiries have
    in common is computed once and kept while nothing changes.
    """

    def __init__(
        self, state: PartitionState, capacity: MachineCapacity, reservations: Reservations, fetch_rates: FetchRates
    ) -> None:
        """Initialize without a view, which the first inquiry computes."""
        self._effects = state.context.effects
        self._workers = state.context.workers
        self._state = state
        self._capacity = capacity
        self._reservations = reservations
        self._fetch_rates = fetch_rates
        self._schedulable_machines: list[Machine] = []
        self._fits: dict[_RequirementsKey, _PartitionFit] = {}

    def inquire(
        self, requirements: list[mesh.TaskRequirements], restrictions: Sequence[mesh.MachineRestrictions]
    ) -> mesh.CapacityReply:
        """Return the number of tasks that fit now and the wait for the next one, for each of the requirements.

        `restrictions` has an item for each of the requirements, or none at all.
        """
        now = self._effects.now()
        if now > self._state.capacity_view_valid_until:
            self._schedulable_machines = self._reservations.schedulable_machines()
            self._fits.clear()
            self._state.capacity_view_valid_until = now + self._workers.report_s * VIEW_LIFETIME_PERIODS
        capacities = [
            self._capacity_for(required, restriction, now)
            for required, restriction in zip(
                requirements, restrictions or [mesh.UNRESTRICTED] * len(requirements), strict=False
            )
        ]
        return mesh.CapacityReply(self._state.token, capacities)

    def _capacity_for(
        self, requirements: mesh.TaskRequirements, restrictions: mesh.MachineRestrictions, now: float
    ) -> mesh.Capacity:
        key = _RequirementsKey(
            requirements.vcpus,
            requirements.gpus,
            requirements.memory_gb,
            requirements.allows_spot,
            requirements.machine_types,
            restrictions,
        )
        fit = self._fits.get(key)
        if fit is None:
            fit = self._fits[key] = self._compute_fit(requirements, restrictions, now)
        cached = uncached = 0
        image = requirements.image
        for machine, count in fit.fitting:
            if not image or image in machine.images:
                cached += count
            else:
                uncached += count
        return mesh.Capacity(cached, uncached, fit.next_free_s, fit.fetch_gb_per_s or DEFAULT_FETCH_GB_PER_S)

    def _compute_fit(
        self, requirements: mesh.TaskRequirements, restrictions: mesh.MachineRestrictions, now: float
    ) -> _PartitionFit:
        required = required_resources(requirements)
        fitting: list[tuple[Machine, int]] = []
        machine_types: set[str] = set()
        next_free_at = FAR_FUTURE_S
        for machine in self._schedulable_machines:
            if not allows_machine(requirements, machine):
                continue
            machine_types.add(machine.machine_type)
            if not _permits(restrictions, machine, now):
                continue
            count, free_at = machine.fit_cache.get(required) or self._capacity.compute_fit(machine, required)
            if count:
                fitting.append((machine, count))
            else:
                next_free_at = min(next_free_at, free_at)
        # Freed resources are known here with the machine's next heartbeat, on average half a period later.
        next_free_s = (
            max(0.0, next_free_at - now) + self._workers.report_s / 2 if next_free_at < FAR_FUTURE_S else FAR_FUTURE_S
        )
        return _PartitionFit(fitting, next_free_s, max(map(self._fetch_rates.gb_per_s, machine_types), default=0.0))
