"""Jobs that depend on others: cancelled with a job they depend on, by the owner of their team.

Everything follows from the records as they stand, again and again, never from an event alone: so it goes on after a
failover or an outage.
"""

from __future__ import annotations

import logging
from functools import partial

from tealhook.context import NodeContext
from tealhook.jobs.index import JobIndex
from tealhook.jobs.job_records import JobRecord, JobState
from tealhook.jobs.record_store import JobRecordStore
from tealhook.jobs.team import TeamState
from tealhook.state_store import Outcome, ReadOutcome, StateClient

log = logging.getLogger(__name__)

CHECKS_PER_HEARTBEAT = 50  # at most so many checks within a heartbeat period: changes come in bursts
RETRY_PAUSES = 10  # a check after a failed write or read waits this many times longer


class DependencyTracker:
    """Blocked jobs of the teams that this node owns."""

    def __init__(
        self, context: NodeContext, store: StateClient, job_index: JobIndex, teams: dict[str, TeamState]
    ) -> None:
        """For the teams in `teams`, as this node gains and loses them."""
        self._effects = context.effects
        self._job_index = job_index
        self._records = JobRecordStore(context, store, job_index)
        self._teams = teams
        self._pause = context.workers.report_s / CHECKS_PER_HEARTBEAT
        self._due_jobs: dict[str, None] = {}  # blocked jobs to be checked, in order
        self._is_scheduled = False
        self._max_cancelled = store.max_operations  # cancelled at once; fewer after a write that was too large
        self._cancelling: set[str] = set()  # jobs whose cancellation is being written
        self._reading: set[str] = set()  # dependencies whose records are being read

    def schedule_check(self, job: str) -> None:
        """Check a blocked job soon: it must be cancelled with a dependency, or depends on a job not in the index."""
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
            entry = self._job_index.active.get(job)
            if entry is None or not entry.is_blocked or entry.team not in self._teams or job in self._cancelling:
                continue
            for dependency in self._job_index.unknown_dependencies(job):
                self._read_dependency(dependency, job)
            if self._job_index.has_cancelled_dependency(job):
                to_cancel.append(job)
        self._due_jobs.clear()
        batch_size = self._max_cancelled
        for first in range(0, len(to_cancel), batch_size):
            self._cancel(to_cancel[first : first + batch_size])

    def _read_dependency(self, dependency: str, job: str) -> None:
        """Read a job that ended so long ago that the index has dropped it, or that our view of the store lacks."""
        if dependency in self._reading:
            return
        self._reading.add(dependency)
        self._records.read_into_index(dependency, partial(self._on_dependency_read, dependency, job))

    def _on_dependency_read(
        self, dependency: str, job: str, outcome: ReadOutcome, _record: JobRecord | None, _version: int
    ) -> None:
        self._reading.discard(dependency)
        if outcome is ReadOutcome.ABSENT:
            log.error("%s depends on %s, which is not on record", job, dependency)

    def _cancel(self, jobs: list[str]) -> None:
        """Write that jobs are cancelled, several at once."""
        active = self._job_index.active
        self._cancelling.update(jobs)
        self._records.end_jobs(
            {
                job: (self._records.build_ended_record(active[job].team, JobState.CANCELLED), active[job].mod_revision)
                for job in jobs
            },
            partial(self._on_cancelled, jobs),
        )

    def _on_cancelled(self, jobs: list[str], outcome: Outcome, uncertain: list[str]) -> None:
        """Of a write that failed, the jobs in `uncertain` are read first; the others are checked again."""
        self._cancelling.difference_update(jobs)
        if outcome is Outcome.COMMITTED:
            return
        if outcome is Outcome.REJECTED:
            self._max_cancelled = max(1, len(jobs) // 2)
        for job in uncertain:
            self._read_again(job)
        unchanged = [job for job in jobs if job not in uncertain]
        self._due_jobs.update(dict.fromkeys(unchanged))
        if unchanged:
            self._schedule(self._pause if outcome is Outcome.CONFLICTED else RETRY_PAUSES * self._pause)

    def _read_again(self, job: str) -> None:
        self._records.read_into_index(job, partial(self._on_read_again, job))

    def _on_read_again(self, job: str, _outcome: ReadOutcome, record: JobRecord | None, _version: int) -> None:
        if record is None or record.status == JobState.ACTIVE:
            self._due_jobs[job] = None
            self._schedule(RETRY_PAUSES * self._pause)
