"""Teams and task resources of the jobs launched in a partition, for use while the job index lacks them."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from tealhook.partitions.state import PartitionState
from tealhook.wire.common import Resources

MIN_REMEMBERED_JOBS = 4096
REMEMBERED_JOB_BYTES = 400  # approximate memory that one remembered job takes
REMEMBERED_JOBS_MEMORY_SHARE = 1 / 16  # share of the controller's memory limit


class LaunchedJob(NamedTuple):
    """The team of a launched job, and the resources of one of its tasks."""

    team: str
    resources: Resources


class LaunchedJobs:
    """Remembers the jobs whose tasks were launched here.

    The job index lacks them while this node is cut off from the state store, and status updates must not omit any
    task for that reason.
    """

    def __init__(self, state: PartitionState) -> None:
        """Initialize without jobs; a share of the memory limit bounds the number remembered."""
        self._job_index = state.job_index
        limits = state.context.settings.params.limits
        self._max_remembered_jobs = max(
            MIN_REMEMBERED_JOBS, int(limits.memory_bytes(REMEMBERED_JOBS_MEMORY_SHARE) / REMEMBERED_JOB_BYTES)
        )
        self._launched: OrderedDict[str, LaunchedJob] = OrderedDict()  # in the order of their latest launches

    def record_launch(self, job: str, team: str, resources: Resources) -> None:
        """Record the job of a launched task; when there are too many, the job launched longest ago is dropped."""
        self._launched[job] = LaunchedJob(team, resources)
        self._launched.move_to_end(job)
        if len(self._launched) > self._max_remembered_jobs:
            self._launched.popitem(last=False)

    def task_resources(self, job: str) -> Resources | None:
        """Return the resources of one task of a job, or None while the job is unknown."""
        entry = self._job_index.active.get(job)
        if entry is not None:
            return entry.spec.resources
        launched = self._launched.get(job)
        return launched.resources if launched else None

    def team_of(self, job: str) -> str | None:
        """Return the team of a job, or None while the job is unknown."""
        launched = self._launched.get(job)
        return self._job_index.team_of(job) or (launched.team if launched else None)
