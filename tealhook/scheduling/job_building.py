"""Builds a team's view of a job from its entry in the job index."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tealhook.context import NodeContext
from tealhook.jobs.index import JobIndex
from tealhook.jobs.job import Job
from tealhook.jobs.job_entry import JobEntry


class JobBuilder:
    """Builds jobs, and keeps what follows from their entries up to date."""

    def __init__(self, context: NodeContext, job_index: JobIndex, check_dependencies: Callable[[str], Any]) -> None:
        """`check_dependencies` is called with each job that is blocked when it is built."""
        self._effects = context.effects
        self._job_index = job_index
        self._check_dependencies = check_dependencies

    def build(self, job_id: str, team: str, now: float) -> Job:
        """A job as the index has it. Its age is that of its record, whichever processes have scheduled it."""
        entry = self._job_index.active.get(job_id)
        job = Job(job_id, team, entry, now)
        if entry is not None:
            self.update_priority(job, entry, now)
            job.schedulable_since = job.waiting_since = self.schedulable_since(entry, now)
            if entry.is_blocked:
                self._check_dependencies(job_id)
        return job

    def schedulable_since(self, entry: JobEntry, now: float) -> float:
        """When a job was accepted, or else when the last of its dependencies was done, on this process's clock."""
        at = max(entry.accepted_at, entry.released_at)
        return now - max(0.0, self._effects.wall() - at) if at > 0 else now

    def update_priority(self, job: Job, entry: JobEntry, now: float) -> None:
        """Take over the priority and the deadline, which jobs that depend on this one may raise and advance."""
        job.priority = entry.priority
        job.deadline_at = now + entry.deadline_at - self._effects.wall()
