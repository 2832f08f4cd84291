"""Cancellation of jobs that depend on a cancelled job, by the owner of the dependent job's team.

Every check derives its result from the current records, and checks are repeated; nothing depends on a single event.
Cancellations therefore continue after a failover or an outage.
"""

from __future__ import annotations

import logging
from functools import partial

from tealhook.context import NodeContext
from tealhook.jobs.index import JobIndex
from tealhook.jobs.job_records import JobRecord, JobState
from tealhook.jobs.record_store import JobRecordStore
from tealhook.jobs.team import TeamState
from tealhook.state_store import ReadOutcome, StateClient, TransactionOutcome

log = logging.getLogger(__name__)

MAX_CHECKS_PER_HEARTBEAT_PERIOD = 50  # changes come in bursts, so one check covers all blocked jobs that are due
RETRY_DELAY_FACTOR = 10  # ratio of the delay before a check after a failed read or write to the usual delay


class DependencyTracker:
    """Tracker of the dependencies of blocked jobs, for the teams that this node owns."""

    def __init__(
        self, context: NodeContext, store: StateClient, job_index: JobIndex, teams: dict[str, TeamState]
    ) -> None:
        """Initialize the tracker; `teams` changes as this node gains and loses teams."""
        self._effects = context.effects
        self._job_index = job_index
        self._records = JobRecordStore(context, store, job_index)
        self._teams = teams
        self._check_delay_s = context.workers.report_s / MAX_CHECKS_PER_HEARTBEAT_PERIOD
        self._due_jobs: dict[str, None] = {}  # blocked jobs to be checked, in order
        self._is_check_scheduled = False
        self._max_batch_size = store.max_operations  # jobs cancelled in one write; reduced when a write is rejected
        self._cancelling: set[str] = set()  # jobs whose cancellation is being written
        self._reading: set[str] = set()  # dependencies whose records are being read

    def schedule_check(self, job: str) -> None:
        """Schedule a check of a blocked job: a dependency may be cancelled, or missing from the job index."""
        self._due_jobs[job] = None
        self._schedule_check_after(self._check_delay_s)

    def _schedule_check_after(self, delay_s: float) -> None:
        if not self._is_check_scheduled:
            self._is_check_scheduled = True
            self._effects.later(delay_s, self._check_due_jobs)

    def _check_due_jobs(self) -> None:
        self._is_check_scheduled = False
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
        batch_size = self._max_batch_size
        for first in range(0, len(to_cancel), batch_size):
            self._cancel(to_cancel[first : first + batch_size])

    def _read_dependency(self, dependency: str, job: str) -> None:
        """Read a job that the job index lacks: it ended long ago and was evicted, or the index is not up to date."""
        if dependency in self._reading:
            return
        self._reading.add(dependency)
        self._records.read_into_index(dependency, partial(self._on_dependency_read, dependency, job))

    def _on_dependency_read(
        self, dependency: str, job: str, outcome: ReadOutcome, _record: JobRecord | None, _revision: int
    ) -> None:
        self._reading.discard(dependency)
        if outcome is ReadOutcome.ABSENT:
            log.error("job %s depends on job %s, which has no record in the state store", job, dependency)

    def _cancel(self, jobs: list[str]) -> None:
        """Cancel several jobs in one write."""
        active = self._job_index.active
        self._cancelling.update(jobs)
        self._records.end_jobs(
            {
                job: (self._records.build_ended_record(active[job].team, JobState.CANCELLED), active[job].mod_revision)
                for job in jobs
            },
            partial(self._on_cancelled, jobs),
        )

    def _on_cancelled(self, jobs: list[str], outcome: TransactionOutcome, uncertain: list[str]) -> None:
        """Handle the outcome of a cancellation: after a failure, re-read the `uncertain` jobs, re-check the others."""
        self._cancelling.difference_update(jobs)
        if outcome is TransactionOutcome.COMMITTED:
            return
        if outcome is TransactionOutcome.REJECTED:
            self._max_batch_size = max(1, len(jobs) // 2)
        for job in uncertain:
            self._read_uncertain_job(job)
        unchanged = [job for job in jobs if job not in uncertain]
        self._due_jobs.update(dict.fromkeys(unchanged))
        if unchanged:
            self._schedule_check_after(
                self._check_delay_s
                if outcome is TransactionOutcome.CONFLICTED
                else RETRY_DELAY_FACTOR * self._check_delay_s
            )

    def _read_uncertain_job(self, job: str) -> None:
        self._records.read_into_index(job, partial(self._on_uncertain_job_read, job))

    def _on_uncertain_job_read(self, job: str, _outcome: ReadOutcome, record: JobRecord | None, _revision: int) -> None:
        if record is None or record.status == JobState.ACTIVE:
            self._due_jobs[job] = None
            self._schedule_check_after(RETRY_DELAY_FACTOR * self._check_delay_s)
