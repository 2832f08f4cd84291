"""Limits on the number of a job's tasks in each zone, by its placement constraints and the zones of its other tasks."""

from __future__ import annotations

from collections.abc import Iterable

from tealhook.jobs.job import Job
from tealhook.wire.users import JobSpec


def compute_zone_limits(job: Job, spec: JobSpec, zones: Iterable[str]) -> dict[str, int]:
    """Return the maximum number of further tasks of a job for each zone; zones without an entry are unlimited."""
    limits: dict[str, int] = {}
    used = job.occupied_zones()
    for zone in zones:
        max_tasks = spec.task_count
        if spec.zone is not None and zone != spec.zone:
            max_tasks = 0
        if spec.single_zone and used and used != {zone}:
            max_tasks = 0
        if spec.spread:
            max_tasks = min(max_tasks, (spec.task_count + 1) // 2 - job.count_in_zone(zone))
        if max_tasks < spec.task_count:
            limits[zone] = max(0, max_tasks)
    return limits
