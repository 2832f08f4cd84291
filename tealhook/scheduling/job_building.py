"""Construction of a team scheduler's jobs from their entries in the job index."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tealhook.context import NodeContext
from tealhook.jobs.index import JobIndex
from tealhook.jobs.job import Job
from tealhook.jobs.job_entry import JobEntry


class JobBuilder:
    """Builder of jobs, which also keeps their priorities and deadlines up to date."""

    def __init__(self, context: NodeContext, job_index: JobIndex, check_dependencies: Callable[[str], Any]) -> None:
        """Initialize the builder; `check_dependencies` is called with the id of each job that is blocked when built."""
        self._effects = context.effects
        self._job_index = job_index
        self._check_dependencies = check_dependencies

    def build(self, job_id: str, team: str, now: float) -> Job:
        """Build a job from its entry in the job index, or an ended job if it has no entry.

        The job's age is that of its record, so a failover does not reset it.
        """
        entry = self._job_index.active.get(job_id)
        job = Job(job_id, team, entry, now)
        if entry is not None:
            self.update_priority(job, entry, now)
            job.schedulable_since = job.waiting_since = self.schedulable_since(entry, now)
            if entry.is_blocked:
                self._check_dependencies(job_id)
        return job

    def schedulable_since(self, entry: JobEntry, now: float) -> float:
        """Return the time when a job was accepted or its last dependency was done, whichever is later.

        The time is on this process's monotonic clock; it is `now` if the record does not have it.
        """
        schedulable_at = max(entry.accepted_at, entry.released_at)  # on the wall clock
        return now - max(0.0, self._effects.wall() - schedulable_at) if schedulable_at > 0 else now

    def update_priority(self, job: Job, entry: JobEntry, now: float) -> None:
        """Copy the priority and the deadline of an entry to its job; dependents may have raised and advanced them."""
        job.priority = entry.priority
        job.deadline_at = now + entry.deadline_at - self._effects.wall()
