"""Teams and resources of the jobs whose tasks run in a partition, also while the job index lacks them."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from tealhook.partitions.state import PartitionState
from tealhook.wire.common import Resources

MIN_REMEMBERED_JOBS = 4096
BYTES_PER_JOB = 400  # about what one remembered job takes
MEMORY_SHARE = 1 / 16  # of the controller's memory limit


class LaunchedJob(NamedTuple):
    """Whose job a launched task is of, and what one of its tasks takes."""

    team: str
    resources: Resources


class LaunchedJobs:
    """Remembers the jobs whose tasks were launched here.

    The job index lacks them while this node is cut off from the state service, and status updates must not lack any
    task on that account.
    """

    def __init__(self, state: PartitionState) -> None:
        """No job yet; as many are remembered as fit a share of the memory."""
        self._job_index = state.job_index
        limits = state.context.settings.params.limits
        self._max_remembered = max(MIN_REMEMBERED_JOBS, int(limits.memory_bytes(MEMORY_SHARE) / BYTES_PER_JOB))
        self._launched: OrderedDict[str, LaunchedJob] = OrderedDict()  # in the order of their latest launches

    def record_launch(self, job: str, team: str, resources: Resources) -> None:
        """Remember whose job a launched task is of, and what it takes; the job launched longest ago is dropped."""
        self._launched[job] = LaunchedJob(team, resources)
        self._launched.move_to_end(job)
        if len(self._launched) > self._max_remembered:
            self._launched.popitem(last=False)

    def task_resources(self, job: str) -> Resources | None:
        """What a task of a job takes of its machine; None while that is not known."""
        entry = self._job_index.active.get(job)
        if entry is not None:
            return entry.spec.resources
        launched = self._launched.get(job)
        return launched.resources if launched else None

    def team_of(self, job: str) -> str | None:
        """A job's team; None while that is not known."""
        launched = self._launched.get(job)
        return self._job_index.team_of(job) or (launched.team if launched else None)
