"""Remaining part of a team's limit, and the number of a job's tasks that fit into it."""

from __future__ import annotations

from typing import NamedTuple

from tealhook.jobs.job import Job
from tealhook.jobs.team import TeamState
from tealhook.wire.common import RESOURCE_TOLERANCE

UNLIMITED = 1e9  # more of a resource than any task requires
CPU_INDEX, GPU_INDEX = 0, 1  # positions in a task's resources, and arguments of `TeamState.allocated`


class LimitedResources(NamedTuple):
    """Amounts of the resources that a team's limit counts."""

    vcpus: float
    gpus: float


NOTHING_RESERVED = LimitedResources(0.0, 0.0)


def compute_remaining_limit(team: TeamState, count_gpus: bool = True) -> LimitedResources:
    """Return the part of a team's limit that is not taken by tasks that are staged or may be on machines.

    Pass `count_gpus=False` where no GPUs are needed: adding up the allocations of all jobs takes time.
    """
    return LimitedResources(
        team.cpu_limit - team.allocated(CPU_INDEX) if team.cpu_limit > 0 else UNLIMITED,
        team.gpu_limit - team.allocated(GPU_INDEX) if count_gpus and team.gpu_limit > 0 else UNLIMITED,
    )


def reserved_for_overdue(team: TeamState) -> LimitedResources:
    """Return the part of a team's limit that only overdue jobs may take."""
    return LimitedResources(*team.reserved_for_overdue)


def count_tasks_within_limit(job: Job, remaining: LimitedResources, reserved: LimitedResources) -> int:
    """Return the number of a job's tasks that fit into `remaining` without what is `reserved` for other jobs."""
    vcpus, gpus, _memory_gb = job.resources
    count = job.task_count
    if vcpus > 0:
        count = int((remaining.vcpus - reserved.vcpus + RESOURCE_TOLERANCE) / vcpus)
    if gpus > 0:
        by_gpus = int((remaining.gpus - reserved.gpus + RESOURCE_TOLERANCE) / gpus)
        count = min(count, by_gpus) if vcpus > 0 else by_gpus
    return count
