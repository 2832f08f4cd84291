"""Jobs that wait for others, in the homes of this node: cancelled with what they need, by the owner of their home.

Everything follows from the records as they stand, again and again, never from an event alone: so it goes on after a
takeover or an outage.
"""

from __future__ import annotations

import logging
from typing import Any

from tealhook.context import NodeContext
from tealhook.jobs.index import JobIndex, JobRecord, JobState
from tealhook.jobs.records import JobRecords
from tealhook.state_store import Outcome, ReadOutcome, StateClient

log = logging.getLogger("tealhook.jobs")


class DependencyTracker:
    """Blocked jobs of the homes that this node owns."""

    def __init__(self, context: NodeContext, store: StateClient, job_index: JobIndex, teams: dict[str, Any]) -> None:
        """For the teams in `homes`, as they come and go."""
        self._effects = context.effects
        self._job_index = job_index
        self._records = JobRecords(context, store, job_index)
        self._teams = teams
        self._pause = context.workers.report_s / 50
        self._due_jobs: dict[str, None] = {}  # blocked jobs to be looked at
        self._is_scheduled = False
        self._max_cancelled = store.max_operations  # cancelled at once; fewer after a write that was too much
        self._cancelling: set[str] = set()  # being cancelled
        self._reading: set[str] = set()

    def schedule_check(self, job: str) -> None:
        """A job waits for others: see soon whether it must be cancelled, or waits for one that is not known here."""
        self._due_jobs[job] = None
        self._schedule(self._pause)

    def _schedule(self, pause: float) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._effects.later(pause, self._check)

    def _check(self) -> None:
        self._is_scheduled = False
        to_cancel: list[str] = []
        for job in self._due_jobs:
            known = self._job_index.active.get(job)
            if known is None or not known.blocked or known.team not in self._teams or job in self._cancelling:
                continue
            for name in self._job_index.unknown_dependencies(job):
                self._read(name, job)
            if self._job_index.has_cancelled_dependency(job):
                to_cancel.append(job)
        self._due_jobs.clear()
        most = self._max_cancelled
        for first in range(0, len(to_cancel), most):
            self._cancel(to_cancel[first : first + most])

    def _read(self, name: str, job: str) -> None:
        """A job that ended so long ago that it is not remembered, or one that our view lacks."""
        if name in self._reading:
            return
        self._reading.add(name)

        def read(kind: ReadOutcome, _record: JobRecord | None, _version: int) -> None:
            self._reading.discard(name)
            if kind is ReadOutcome.ABSENT:
                log.error("%s waits for %s, which is not on record", job, name)

        self._records.read(name, read)

    def _cancel(self, jobs: list[str]) -> None:
        """Write that jobs are cancelled, several at once; what fails of them is read, and looked at again."""
        active = self._job_index.active
        self._cancelling.update(jobs)

        def done(outcome: Outcome, uncertain: list[str]) -> None:
            self._cancelling.difference_update(jobs)
            if outcome is Outcome.COMMITTED:
                return
            if outcome is Outcome.REJECTED:
                self._max_cancelled = max(1, len(jobs) // 2)
            for job in uncertain:
                self._reread(job)
            again = [job for job in jobs if job not in uncertain]
            self._due_jobs.update(dict.fromkeys(again))
            if again:
                self._schedule(self._pause if outcome is Outcome.CONFLICTED else 10 * self._pause)

        self._records.end(
            {
                job: (self._records.ended(active[job].team, JobState.CANCELLED), active[job].mod_revision)
                for job in jobs
            },
            done,
        )

    def _reread(self, job: str) -> None:
        def read(_kind: ReadOutcome, record: JobRecord | None, _version: int) -> None:
            if record is None or record.status == JobState.ACTIVE:
                self._due_jobs[job] = None
                self._schedule(10 * self._pause)

        self._records.read(job, read)
