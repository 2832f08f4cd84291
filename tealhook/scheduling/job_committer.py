"""Commits of job changes: one transaction for several jobs, conditional on the ownership of their teams.

A write of unknown outcome is followed by reading the records again. If it is executed late, it fails on the revisions
that it is conditional on.
"""

from __future__ import annotations

from typing import NamedTuple

from tealhook.context import NodeContext
from tealhook.jobs.index import JobIndex
from tealhook.jobs.job import Job, WriteState
from tealhook.jobs.record_store import JobRecordStore
from tealhook.jobs.team import TeamState
from tealhook.loop.effects import Cancellable
from tealhook.scheduling.commit_batch import BatchLimits, CommitBatch
from tealhook.scheduling.commit_outcomes import CommitOutcomeHandler, PendingLaunches
from tealhook.scheduling.interfaces import SchedulerActions
from tealhook.scheduling.job_writes import CONDITIONS_PER_OPERATION, JobWrite, JobWriteBuilder
from tealhook.scheduling.read_back import RecordReadBack
from tealhook.state_store import CallPriority, StateClient, TransactionOutcome
from tealhook.wire.users import STANDARD_RANK

MAX_JOBS_PER_TRANSACTION = 64
COMMITS_PER_HEARTBEAT = 25  # usual maximum; the changes of jobs between two commits share a transaction
MIN_TOKEN_WAIT_S = 0.02  # shortest wait for write tokens
REFUSED_RETRY_S = 0.2  # pause after a transaction that the state store refused, for example because it was busy
TIMER_TOLERANCE_S = 1e-6  # a commit due at most this long after the requested time serves the request as well


class PendingJob(NamedTuple):
    """A job with a change to commit."""

    team_state: TeamState
    job: Job


class PendingJobs(NamedTuple):
    """Jobs with changes to commit: those that need a write now, and those whose changes have been deferred."""

    required: list[PendingJob]
    deferrable: list[PendingJob]


class JobCommitter:
    """Commits the changes of the jobs of all teams that this node owns."""

    def __init__(
        self,
        context: NodeContext,
        store: StateClient,
        job_index: JobIndex,
        teams: dict[str, TeamState],
        actions: SchedulerActions,
    ) -> None:
        """Initialize for the jobs in `teams`; `actions` are called as outcomes require."""
        self._effects = context.effects
        self._workers = context.workers
        self._store = store
        self._teams = teams
        self._actions = actions
        # job -> (task index, attempt number) of attempts proved absent from their machines, until that is durable
        self.proved_absent: dict[str, set[tuple[int, int]]] = {}
        records = JobRecordStore(context, store, job_index)
        read_back = RecordReadBack(context, store, records, teams, self.proved_absent, actions, self)
        self._outcome_handler = CommitOutcomeHandler(
            context, job_index, records, self.proved_absent, actions, read_back
        )
        self._write_builder = JobWriteBuilder(context, store, records)
        self.is_backlogged = False  # whether staged assignments wait for write tokens
        self._max_jobs = MAX_JOBS_PER_TRANSACTION  # reduced after a transaction was rejected
        self._timer: Cancellable | None = None
        self._due_at = 0.0

    def mark_deferrable_change(self, job: Job, now: float) -> None:
        """Record a change of a job that need not be durable at once.

        It is committed with the job's next write, or by a write of its own after a while.
        """
        if not job.has_deferrable_change:
            job.has_deferrable_change = True
            job.deferrable_since = now

    def schedule_commit(self, delay_s: float | None = None) -> None:
        """Schedule a commit of the pending changes after `delay_s`, or after a short default delay."""
        if delay_s is None:
            delay_s = self._workers.report_s / COMMITS_PER_HEARTBEAT
        due_at = self._effects.now() + delay_s
        if self._timer is not None:
            if self._due_at <= due_at + TIMER_TOLERANCE_S:
                return
            self._timer.cancel()
        self._due_at = due_at
        self._timer = self._effects.later(delay_s, self._commit_pending)

    def _commit_pending(self) -> None:
        self._timer = None
        self.is_backlogged = False
        pending = self._find_pending()
        if pending.required:
            self._send_batch(self._sort_by_importance(pending.required), CallPriority.ASSIGN)
        elif pending.deferrable:
            oldest_first = sorted(pending.deferrable, key=lambda item: item.job.deferrable_since)
            self._send_batch(oldest_first, CallPriority.BOOKKEEPING)

    def _find_pending(self) -> PendingJobs:
        now = self._effects.now()
        pending = PendingJobs([], [])
        for team_state in self._teams.values():
            if not team_state.is_ready:
                continue
            for job in team_state.jobs.values():
                if job.write_state is not WriteState.SETTLED or now < job.write_not_before:
                    continue
                if job.staged or job.is_finished:
                    pending.required.append(PendingJob(team_state, job))
                elif self._needs_deferrable_write(job, now):
                    pending.deferrable.append(PendingJob(team_state, job))
        return pending

    def _needs_deferrable_write(self, job: Job, now: float) -> bool:
        """Check whether a job's assignment record can be deleted, or has lacked a change for a heartbeat period."""
        if job.spec is None and not job.attempts and job.chunk_revisions:
            return True
        return job.has_deferrable_change and now - job.deferrable_since > self._workers.report_s

    @staticmethod
    def _sort_by_importance(pending: list[PendingJob]) -> list[PendingJob]:
        """Return jobs above standard priority, then the others; in both, finished jobs first, then most tasks done."""
        by_progress = sorted(pending, key=lambda item: (not item.job.is_finished, -item.job.done_count))
        prioritized: list[PendingJob] = []
        others: list[PendingJob] = []
        for item in by_progress:
            above_standard = item.job.spec is not None and item.job.priority > STANDARD_RANK
            (prioritized if above_standard else others).append(item)
        return prioritized + others

    def _send_batch(self, pending: list[PendingJob], priority: CallPriority) -> None:
        """Send one transaction with as many of the jobs as fit into it, or wait for write tokens."""
        max_operations = min(self._store.max_operations, max(2, self._store.available_writes(priority)))
        wait_s = self._store.estimate_write_wait_s(2, priority)
        self.is_backlogged = wait_s > 0 and priority is CallPriority.ASSIGN
        if wait_s > 0:
            self.schedule_commit(max(MIN_TOKEN_WAIT_S, wait_s))
            return
        max_conditions = CONDITIONS_PER_OPERATION * self._store.max_operations
        batch = CommitBatch(BatchLimits(self._max_jobs, max_operations, max_conditions))
        all_added = self._fill_batch(batch, pending)
        if not batch.writes:
            return
        if not all_added:
            self.is_backlogged = True
        batch.mark_pending()
        self._store.transact(
            batch.conditions,
            batch.operations,
            priority,
            lambda result: self._on_result(batch.writes, result.outcome, result.revision, result.failed_keys),
        )
        if not all_added:
            self.schedule_commit()

    def _fill_batch(self, batch: CommitBatch, pending: list[PendingJob]) -> bool:
        """Add the writes of jobs to a batch until one does not fit, and return whether all of them fit."""
        for team_state, job in pending:
            write = self._write_builder.build(team_state, job)
            if write is not None and not batch.try_add(write):
                return False
        return True

    def _on_result(
        self, writes: list[JobWrite], outcome: TransactionOutcome, revision: int, failed_keys: list[str]
    ) -> None:
        """Apply the outcome of a transaction to its jobs, and schedule the next commit."""
        launches = PendingLaunches()
        if outcome is TransactionOutcome.REJECTED:
            self._shrink_batches(writes)
        elif outcome is TransactionOutcome.COMMITTED:
            self._max_jobs = min(MAX_JOBS_PER_TRANSACTION, 2 * self._max_jobs)
        for write in writes:
            write.job.write_state = WriteState.SETTLED
            if self._teams.get(write.team_state.name) is not write.team_state:
                continue
            if outcome is TransactionOutcome.COMMITTED:
                self._outcome_handler.apply_committed(write, revision, launches)
            elif outcome is TransactionOutcome.UNKNOWN:
                self._outcome_handler.apply_unknown(write)
            else:
                self._outcome_handler.apply_not_executed(write, failed_keys)
        launches.launch_all(self._teams, self._actions)
        if outcome is TransactionOutcome.REFUSED:
            self.schedule_commit(REFUSED_RETRY_S)
        else:
            self.schedule_commit()

    def _shrink_batches(self, rejected: list[JobWrite]) -> None:
        """Halve the number of jobs in a transaction, after one exceeded limits that the settings do not name."""
        self._max_jobs = max(1, len(rejected) // 2)
        if len(rejected) == 1:
            self._outcome_handler.back_off(rejected[0].job)
