"""How many tasks of a job fit into what is left of its team's limit."""

from __future__ import annotations

from typing import NamedTuple

from tealhook.jobs.job import Job
from tealhook.jobs.team import TeamState

NO_LIMIT = 1e9  # what is left where nothing is limited: more than any task needs
ROUNDING_TOLERANCE = 1e-6  # sums of requested resources are compared with this much slack
CPUS, GPUS = 0, 1  # positions of what a limit counts in the resources of a task, and in `TeamState.allocated`


class LimitedResources(NamedTuple):
    """An amount of each resource that a team's limit counts."""

    vcpus: float
    gpus: float


NOTHING_RESERVED = LimitedResources(0.0, 0.0)


def remaining_limit(team: TeamState, count_gpus: bool = True) -> LimitedResources:
    """What the tasks that may be on machines leave of a team's limit.

    `count_gpus`: False where no GPUs are needed, since to add up what all jobs have takes time.
    """
    return LimitedResources(
        team.cpu_limit - team.allocated(CPUS) if team.cpu_limit > 0 else NO_LIMIT,
        team.gpu_limit - team.allocated(GPUS) if count_gpus and team.gpu_limit > 0 else NO_LIMIT,
    )


def reserved_for_overdue(team: TeamState) -> LimitedResources:
    """What of a team's limit only overdue jobs may take."""
    return LimitedResources(*team.reserved_for_overdue)


def tasks_within_limit(job: Job, remaining: LimitedResources, reserved: LimitedResources) -> int:
    """Tasks of a job that fit into what is left of its team's limit, without what is reserved for others."""
    vcpus, gpus, _memory_gb = job.resources
    count = job.task_count
    if vcpus > 0:
        count = int((remaining.vcpus - reserved.vcpus + ROUNDING_TOLERANCE) / vcpus)
    if gpus > 0:
        by_gpus = int((remaining.gpus - reserved.gpus + ROUNDING_TOLERANCE) / gpus)
        count = min(count, by_gpus) if vcpus > 0 else by_gpus
    return count
