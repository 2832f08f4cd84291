"""Commits: what several jobs have to make durable goes in one transaction, conditional on who owns them.

A write of unknown outcome is read back, never guessed; one that may be executed late fails on the revisions that it
names.
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
from tealhook.scheduling.commit_outcomes import CommitOutcomes, PendingLaunches
from tealhook.scheduling.interfaces import SchedulerActions
from tealhook.scheduling.job_writes import CONDITIONS_PER_OPERATION, JobWrite, JobWriteBuilder
from tealhook.scheduling.read_back import RecordReadBack
from tealhook.state_store import CallPriority, Outcome, StateClient
from tealhook.wire.users import STANDARD_RANK

MAX_JOBS = 64  # in one transaction
COMMITS_PER_REPORT = 25  # as a rule, at most: in between, changes of several jobs come together
MIN_WAIT_S = 0.02  # for write tokens
REFUSED_RETRY_S = 0.2  # after the state service was too busy
TIMER_SLACK_S = 1e-6  # a commit due no later than this after the one asked for serves as well


class PendingJob(NamedTuple):
    """A job with something to make durable."""

    team_state: TeamState
    job: Job


class PendingJobs(NamedTuple):
    """Jobs with something to make durable: at once, or with whatever is written next."""

    required: list[PendingJob]
    deferrable: list[PendingJob]


class JobCommitter:
    """The writes of all teams that this node owns."""

    def __init__(
        self,
        context: NodeContext,
        store: StateClient,
        job_index: JobIndex,
        teams: dict[str, TeamState],
        observer: SchedulerActions,
    ) -> None:
        """Writes of the jobs in `teams`; `observer` is told what came of them."""
        self._effects = context.effects
        self._workers = context.workers
        self._store = store
        self._teams = teams
        self._observer = observer
        self.proved_absent: dict[str, set[tuple[int, int]]] = {}  # job -> attempts proved off, until durable
        records = JobRecordStore(context, store, job_index)
        read_back = RecordReadBack(context, store, records, teams, self.proved_absent, observer, self)
        self._outcomes = CommitOutcomes(context, job_index, records, self.proved_absent, observer, read_back)
        self._write_builder = JobWriteBuilder(context, store, records)
        self.is_backlogged = False  # staged assignments wait for write tokens
        self._max_jobs = MAX_JOBS  # of one transaction; fewer after one was rejected
        self._timer: Cancellable | None = None
        self._due_at = 0.0

    def mark_deferrable_change(self, job: Job, now: float) -> None:
        """Something of a job changed that need not be durable at once: it goes with the next write, or by itself."""
        if not job.has_deferrable_change:
            job.has_deferrable_change = True
            job.deferrable_since = now

    def schedule_commit(self, delay: float | None = None) -> None:
        """One transaction for what several jobs have to make durable, after a short wait."""
        if delay is None:
            delay = self._workers.report_s / COMMITS_PER_REPORT
        due_at = self._effects.now() + delay
        if self._timer is not None:
            if self._due_at <= due_at + TIMER_SLACK_S:
                return
            self._timer.cancel()
        self._due_at = due_at
        self._timer = self._effects.later(delay, self._commit_pending)

    def _commit_pending(self) -> None:
        self._timer = None
        self.is_backlogged = False
        pending = self._find_pending()
        if pending.required:
            self._send(self._by_importance(pending.required), CallPriority.ASSIGN)
        elif pending.deferrable:
            oldest_first = sorted(pending.deferrable, key=lambda item: item.job.deferrable_since)
            self._send(oldest_first, CallPriority.BOOKKEEPING)

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
        """Whether a job's record is to be deleted, or changed long enough ago for a write of its own."""
        if job.spec is None and not job.attempts and job.chunk_revisions:
            return True
        return job.has_deferrable_change and now - job.deferrable_since > self._workers.report_s

    @staticmethod
    def _by_importance(pending: list[PendingJob]) -> list[PendingJob]:
        """Jobs above standard priority first; then finished ones, and those with most tasks done."""
        ordered = sorted(pending, key=lambda item: (not item.job.is_finished, -item.job.done_count))
        prioritized: list[PendingJob] = []
        others: list[PendingJob] = []
        for item in ordered:
            above_standard = item.job.spec is not None and item.job.priority > STANDARD_RANK
            (prioritized if above_standard else others).append(item)
        return prioritized + others

    def _send(self, pending: list[PendingJob], priority: CallPriority) -> None:
        """Send one transaction with as many of the jobs as it has capacity for, or wait for write tokens."""
        max_operations = min(self._store.max_operations, max(2, self._store.available_writes(priority)))
        wait_s = self._store.write_wait(2, priority)
        self.is_backlogged = wait_s > 0 and priority is CallPriority.ASSIGN
        if wait_s > 0:
            self.schedule_commit(max(MIN_WAIT_S, wait_s))
            return
        max_conditions = CONDITIONS_PER_OPERATION * self._store.max_operations
        batch = CommitBatch(BatchLimits(self._max_jobs, max_operations, max_conditions))
        all_added = self._fill(batch, pending)
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

    def _fill(self, batch: CommitBatch, pending: list[PendingJob]) -> bool:
        """Lay out the writes of jobs into a batch; returns whether all of them found capacity in it."""
        for team_state, job in pending:
            write = self._write_builder.build(team_state, job)
            if write is not None and not batch.try_add(write):
                return False
        return True

    def _on_result(self, batch: list[JobWrite], outcome: Outcome, revision: int, failed: list[str]) -> None:
        """The outcome of a transaction: what becomes of its jobs, and when the next one follows."""
        launches = PendingLaunches()
        if outcome is Outcome.REJECTED:
            self._shrink_batches(batch)
        elif outcome is Outcome.COMMITTED:
            self._max_jobs = min(MAX_JOBS, 2 * self._max_jobs)
        for write in batch:
            write.job.write_state = WriteState.SETTLED
            if self._teams.get(write.team_state.name) is not write.team_state:
                continue
            if outcome is Outcome.COMMITTED:
                self._outcomes.apply_executed(write, revision, launches)
            elif outcome is Outcome.UNKNOWN:
                self._outcomes.apply_unknown(write)
            else:
                self._outcomes.apply_not_executed(write, failed)
        launches.launch_all(self._teams, self._observer)
        if outcome is Outcome.REFUSED:
            self.schedule_commit(REFUSED_RETRY_S)
        else:
            self.schedule_commit()

    def _shrink_batches(self, rejected: list[JobWrite]) -> None:
        """A transaction was too much, by limits that we don't know: less at once from now on, down to one job."""
        self._max_jobs = max(1, len(rejected) // 2)
        if len(rejected) == 1:
            self._outcomes.back_off(rejected[0].job)
