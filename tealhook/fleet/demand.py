"""How much is asked for, now and lately: the figures that the policy is written over."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from tealhook.settings import Settings
from tealhook.wire.cloud import MachineType
from tealhook.wire.mesh import Demand, TaskRequirements
from tealhook.wire.users import STANDARD_RANK

WINDOW_BOOTS = 1  # lately: so many boots
LATE_SLACK = 3.0  # by so much more time the objectives would just be met
URGENT_BOOTS = 0.7  # within so much of a boot, waiting urgent work is to be worked off


@dataclass
class NonSpotDemand:
    """Tasks that may not use spot machines: of jobs soon to be released, and those that have a machine."""

    blocked: list[Demand] = field(default_factory=list)
    placed: list[Demand] = field(default_factory=list)


def slots_per_machine(machine_type: MachineType, requirements: TaskRequirements) -> int:
    """Tasks of a shape that fit an empty machine of a type."""
    count = math.inf
    pairs = (
        (machine_type.vcpus, requirements.vcpus),
        (machine_type.gpus, requirements.gpus),
        (machine_type.memory_gb, requirements.memory_gb),
    )
    for have, need in pairs:
        if need > 0:
            count = min(count, int((have + 1e-6) / need))
    return 0 if count is math.inf else int(count)


def machine_cpus(machine_types: dict[str, MachineType], demand: Demand) -> float:
    """CPUs of whole machines that a demand fills, on the type that suits it best."""
    best = math.inf
    for machine_type in machine_types.values():
        if demand.requirements.machine_types and machine_type.name not in demand.requirements.machine_types:
            continue
        count = slots_per_machine(machine_type, demand.requirements)
        if count:
            best = min(best, demand.count * machine_type.vcpus / count)
    return 0.0 if best is math.inf else best


class Horizon:
    """Within what time waiting work of a class should be worked off, by the operators' objectives."""

    def __init__(self, settings: Settings, boot_s: float) -> None:
        """`boot_s`: how long a machine takes to come up."""
        self._within = {job_class: within[0] for job_class, within in settings.done_within().items()}
        self._boot_s = boot_s

    def seconds(self, job_class: str, urgent: bool, late: bool = False) -> float:
        """A third of what the objective allows: the rest is for its boots, its tail and what comes next.

        Urgent work that waits for boots anyway is worked off in less than another boot. `late`: the longest
        that would do, thrice that: the whole objective.
        """
        slack = LATE_SLACK if late else 1.0
        if urgent:
            return slack * URGENT_BOOTS * self._boot_s
        return slack * max(self._boot_s, self._within.get(job_class, 12 * self._boot_s) / 3)


def backlog_cpus(machine_types: dict[str, MachineType], demand: Demand, horizon: Horizon, late: bool = False) -> float:
    """CPUs that work off a class's waiting tasks in time."""
    whole = machine_cpus(machine_types, demand)
    if demand.count <= 0:
        return 0.0
    urgent = demand.requirements.priority > STANDARD_RANK
    share = min(1.0, max(demand.requirements.run_s, 1.0) / horizon.seconds(demand.job_class, urgent, late))
    return max(whole * share, whole / demand.count)


class DemandHistory:
    """What was taken lately, smoothed, and its peak."""

    def __init__(self, boot_s: float) -> None:
        """`boot_s`: how long a machine takes to come up; the history goes back as long."""
        self._span = WINDOW_BOOTS * boot_s
        self._at: float | None = None
        self.mean = 0.0
        self.urgent = 0.0
        self._peaks: deque[tuple[float, float]] = deque()
        self._waits: deque[tuple[float, float]] = deque()

    def record(self, now: float, used: float, urgent: float, waiting: float, window_s: float) -> None:
        """Take in the CPUs that are taken, those of urgent work, and those waited for, kept for `window_s` seconds."""
        if self._at is not None:
            weight = 1.0 - math.exp(-max(0.0, now - self._at) / self._span)
            self.mean += weight * (used - self.mean)
            self.urgent += weight * (urgent - self.urgent)
        self._at = now
        self._peaks.append((now, used))
        while self._peaks[0][0] < now - self._span:
            self._peaks.popleft()
        self._waits.append((now, waiting))
        while self._waits[0][0] < now - window_s:
            self._waits.popleft()

    @property
    def peak(self) -> float:
        """The most that was taken lately."""
        return max((used for _, used in self._peaks), default=0.0)

    @property
    def lasting_wait(self) -> float:
        """What has been waiting for a while, not just passing through."""
        return min((waiting for _, waiting in self._waits), default=0.0)
