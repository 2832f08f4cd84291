"""Demand for CPUs, current and recent: the figures behind the variables of the policy."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from tealhook.fleet.machines import RentalOption
from tealhook.settings import Settings
from tealhook.wire.cloud import MachineType
from tealhook.wire.mesh import Demand, TaskRequirements
from tealhook.wire.users import STANDARD_RANK

HISTORY_BOOTS = 1  # boot times over which demand is smoothed, and over which its peak is taken
LATE_HORIZON_FACTOR = 3.0  # The horizon times this is the whole time that an objective allows.
URGENT_HORIZON_BOOTS = 0.7  # share of a boot time in which waiting urgent work should be finished


@dataclass
class NonSpotDemand:
    """Tasks that may not use spot machines.

    `blocked`: tasks of jobs that are expected to be released soon. `placed`: tasks that have a machine.
    """

    blocked: list[Demand] = field(default_factory=list)
    placed: list[Demand] = field(default_factory=list)


def tasks_per_machine(machine_type: MachineType, requirements: TaskRequirements) -> int:
    """Return the number of tasks with these requirements that fit an empty machine of a type."""
    count = math.inf
    pairs = (
        (machine_type.vcpus, requirements.vcpus),
        (machine_type.gpus, requirements.gpus),
        (machine_type.memory_gb, requirements.memory_gb),
    )
    for available, needed in pairs:
        if needed > 0:
            count = min(count, int((available + 1e-6) / needed))
    return 0 if count is math.inf else int(count)


def is_usable(machine_type: MachineType, option: RentalOption, demand: Demand) -> bool:
    """Check whether the tasks of a demand may run, and fit, on a machine of an option."""
    requirements = demand.requirements
    return bool(
        (requirements.allows_spot or not option.spot)
        and (not requirements.machine_types or machine_type.name in requirements.machine_types)
        and demand.zone in (None, option.zone)
        and tasks_per_machine(machine_type, requirements)
    )


def whole_machine_cpus(machine_types: dict[str, MachineType], demand: Demand) -> float:
    """Return the CPUs of the machines that a demand fills, for the machine type with the fewest; 0 if none fits."""
    best = math.inf
    for machine_type in machine_types.values():
        if demand.requirements.machine_types and machine_type.name not in demand.requirements.machine_types:
            continue
        count = tasks_per_machine(machine_type, demand.requirements)
        if count:
            best = min(best, demand.count * machine_type.vcpus / count)
    return 0.0 if best is math.inf else best


class Horizon:
    """The planning horizon: the time in which the waiting work of a class should be finished, by its objectives."""

    def __init__(self, settings: Settings, boot_s: float) -> None:
        """Initialize with the boot time of a machine, `boot_s`."""
        self._objective_s = {job_class: within_s[0] for job_class, within_s in settings.completion_objectives().items()}
        self._boot_s = boot_s

    def seconds(self, job_class: str, urgent: bool, late: bool = False) -> float:
        """Return the horizon for waiting work of a class, in seconds.

        It is a third of the shortest objective: the rest of the time is left for provisioning, for the last tasks to
        finish, and for the work that follows. Urgent work, which has to wait for provisioning anyway, should be
        finished in less than another boot time. With `late`, the horizon is three times as long, the most with which
        objectives can still be met.
        """
        factor = LATE_HORIZON_FACTOR if late else 1.0
        if urgent:
            return factor * URGENT_HORIZON_BOOTS * self._boot_s
        return factor * max(self._boot_s, self._objective_s.get(job_class, 12 * self._boot_s) / 3)


def backlog_cpus(machine_types: dict[str, MachineType], demand: Demand, horizon: Horizon, late: bool = False) -> float:
    """Return the CPUs that finish waiting tasks within the horizon, at least those of one task."""
    filled_cpus = whole_machine_cpus(machine_types, demand)
    if demand.count <= 0:
        return 0.0
    urgent = demand.requirements.priority > STANDARD_RANK
    run_share = min(1.0, max(demand.requirements.run_s, 1.0) / horizon.seconds(demand.job_class, urgent, late))
    return max(filled_cpus * run_share, filled_cpus / demand.count)


class DemandHistory:
    """The CPUs in use during the last boot time, smoothed and at their peak, and the recent backlog."""

    def __init__(self, boot_s: float) -> None:
        """Start an empty history that covers the boot time of a machine, `boot_s`."""
        self._span_s = HISTORY_BOOTS * boot_s
        self._updated_at: float | None = None
        self.mean_cpus = 0.0
        self.mean_urgent_cpus = 0.0
        self._used_samples: deque[tuple[float, float]] = deque()
        self._waiting_samples: deque[tuple[float, float]] = deque()

    def record(self, now: float, used_cpus: float, urgent_cpus: float, waiting_cpus: float, window_s: float) -> None:
        """Record the CPUs in use, those of urgent work, and those for waiting work, kept for `window_s` seconds."""
        if self._updated_at is not None:
            weight = 1.0 - math.exp(-max(0.0, now - self._updated_at) / self._span_s)
            self.mean_cpus += weight * (used_cpus - self.mean_cpus)
            self.mean_urgent_cpus += weight * (urgent_cpus - self.mean_urgent_cpus)
        self._updated_at = now
        self._used_samples.append((now, used_cpus))
        while self._used_samples[0][0] < now - self._span_s:
            self._used_samples.popleft()
        self._waiting_samples.append((now, waiting_cpus))
        while self._waiting_samples[0][0] < now - window_s:
            self._waiting_samples.popleft()

    @property
    def peak_cpus(self) -> float:
        """The most CPUs in use at once during the last boot time."""
        return max((used_cpus for _, used_cpus in self._used_samples), default=0.0)

    @property
    def persistent_backlog_cpus(self) -> float:
        """The least backlog during its window: work that has been waiting for all that time."""
        return min((waiting_cpus for _, waiting_cpus in self._waiting_samples), default=0.0)
