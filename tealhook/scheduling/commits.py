"""Commits: what several jobs have to make durable goes in one transaction, conditional on who owns them.

An uncertain write is read back, never guessed; one that may be executed late fails on the stamps that it names.
"""

from __future__ import annotations

import logging
from typing import Protocol

from tealhook.context import NodeContext
from tealhook.coordination import partition_key
from tealhook.errors import CorruptRecordError
from tealhook.jobs.assignment_record import assignment_key, parse_assignment_key
from tealhook.jobs.attempt import Attempt
from tealhook.jobs.index import JobIndex
from tealhook.jobs.job import Job, WriteState
from tealhook.jobs.job_records import JobRecord, JobState, job_key
from tealhook.jobs.record_store import JobRecordStore
from tealhook.jobs.team import TeamState
from tealhook.loop.effects import Cancellable
from tealhook.scheduling.job_writes import SMALLER, TXN_BYTES, Changes, JobWrite, Kind
from tealhook.state_store import CallPriority, Outcome, ReadOutcome, StateClient
from tealhook.wire import state as state_wire
from tealhook.wire.common import dumps

log = logging.getLogger("tealhook.jobs")

MOST_JOBS = 64  # in one transaction
SMALL_S = 60.0  # so long it stays small
MOST_PAUSE_S = 60.0  # between tries of one that is rejected however small it is


class AttemptObserver(Protocol):
    """What becomes of jobs once something of them is durable, or certainly is not."""

    def index_attempt(self, team_state: TeamState, job: Job, attempt: Attempt) -> None:
        """An attempt is on record: from now on it may be on its machine."""

    def launch(self, team_state: TeamState, zone: str, attempts: list[tuple[str, Attempt]]) -> None:
        """Start attempts of a zone, by job, that are on record."""

    def stop_all(self, team_state: TeamState, job: Job) -> None:
        """Kill whatever a job may have on machines."""

    def forget_finished(self, team_state: TeamState, job: Job) -> None:
        """Have workers forget tasks whose outcome is on record."""

    def end_if_unassigned(self, team_state: TeamState, job: Job) -> None:
        """A job that is over leaves once none of its tasks may be on a machine."""

    def reconcile(self, team_state: TeamState) -> None:
        """Ask the parts for what is on the machines of a home."""

    def wake_scheduler(self) -> None:
        """There may be something to place."""


class Commits:
    """The writes of all homes that this node owns."""

    def __init__(
        self,
        context: NodeContext,
        store: StateClient,
        job_index: JobIndex,
        teams: dict[str, TeamState],
        keeper: AttemptObserver,
    ) -> None:
        """Writes of the jobs in `homes`; `keeper` is told what came of them."""
        self._effects = context.effects
        self._workers = context.workers
        self._store = store
        self._job_index = job_index
        self._records = JobRecordStore(context, store, job_index)
        self._changes = Changes(context, store, self._records)
        self._teams = teams
        self._observer = keeper
        self.proved_off: dict[str, set[tuple[int, int]]] = {}  # job -> attempts proved off, until durable
        self.is_backlogged = False  # something placed waits for tokens to be made durable
        self._max_jobs = MOST_JOBS  # of one transaction; fewer after one was rejected
        self._timer: Cancellable | None = None
        self._due_at = 0.0

    def mark_deferrable(self, job: Job, now: float) -> None:
        """Something of a job changed that need not be durable at once: it goes with the next write, or by itself."""
        if not job.has_deferrable_change:
            job.has_deferrable_change = True
            job.deferrable_since = now

    def schedule_commit(self, delay: float | None = None) -> None:
        """One transaction for what several jobs have to make durable, after a short wait."""
        if delay is None:
            delay = self._workers.report_s / 25
        due = self._effects.now() + delay
        if self._timer is not None:
            if self._due_at <= due + 1e-6:
                return
            self._timer.cancel()
        self._due_at = due
        self._timer = self._effects.later(delay, self._commit)

    def _commit(self) -> None:
        self._timer = None
        self.is_backlogged = False
        now = self._effects.now()
        hard: list[tuple[TeamState, Job]] = []
        soft: list[tuple[TeamState, Job]] = []
        for team_state in self._teams.values():
            if not team_state.ready:
                continue
            for job in team_state.jobs.values():
                if job.write_state is not WriteState.SETTLED or now < job.write_not_before:
                    continue
                over = job.spec is None and not job.attempts and job.chunk_revisions
                if job.staged or job.finished:
                    hard.append((team_state, job))
                elif over or (job.has_deferrable_change and now - job.deferrable_since > self._workers.report_s):
                    soft.append((team_state, job))
        if hard:
            hard.sort(key=lambda pair: (not pair[1].finished, -pair[1].done_count))
            urgent = [pair for pair in hard if pair[1].spec is not None and pair[1].requirements().priority > 1]
            rest = [pair for pair in hard if pair not in urgent]
            self._send(urgent + rest, CallPriority.ASSIGN)
        elif soft:
            soft.sort(key=lambda pair: pair[1].deferrable_since)
            self._send(soft, CallPriority.BOOKKEEPING)

    def _send(self, pairs: list[tuple[TeamState, Job]], priority: CallPriority) -> None:
        room = min(self._store.max_operations, max(2, self._store.available_writes(priority)))
        wait = self._store.write_wait(2, priority)
        self.is_backlogged = wait > 0 and priority is CallPriority.ASSIGN
        if wait > 0:
            self.schedule_commit(max(0.02, wait))
            return
        when: dict[str, int] = {}
        apply: list[state_wire.Operation] = []
        batch: list[JobWrite] = []
        size = 0
        left = False
        for team_state, job in pairs:
            conditions, changes, write = self._changes.lay_out(team_state, job)
            if write is None:
                continue
            grown = size + sum(len(dumps(change)) for change in changes) + 60 * len(conditions)
            too_many = len(apply) + len(changes) > room or len(when) + len(conditions) > 4 * self._store.max_operations
            if batch and (too_many or grown > TXN_BYTES or len(batch) >= self._max_jobs):
                left = self.is_backlogged = True
                break
            size = grown
            when.update(conditions)
            apply.extend(changes)
            batch.append(write)
        if not batch:
            return
        for write in batch:
            write.job.write_state = WriteState.PENDING
            write.job.dirty_chunks -= write.written_chunks
        self._store.transact(
            when,
            apply,
            priority,
            lambda result: self._committed(batch, result.outcome, result.revision, result.failed_keys),
        )
        if left:
            self.schedule_commit()

    def _committed(self, batch: list[JobWrite], outcome: Outcome, revision: int, failed: list[str]) -> None:
        launches: dict[tuple[str, str], list[tuple[str, Attempt]]] = {}
        if outcome is Outcome.REJECTED:
            self._rejected(batch)
        elif outcome is Outcome.COMMITTED:
            self._max_jobs = min(MOST_JOBS, 2 * self._max_jobs)
        for write in batch:
            team_state, job = write.team_state, write.job
            job.write_state = WriteState.SETTLED
            if self._teams.get(team_state.name) is not team_state:
                continue
            if outcome is Outcome.COMMITTED:
                self._durable(write, revision, launches)
            elif outcome is Outcome.UNKNOWN:
                job.dirty_chunks |= write.written_chunks
                if 0 not in write.written_chunks:
                    job.uncertain_chunks |= write.written_chunks
                job.write_state = WriteState.UNCERTAIN
                self._read_back(write)
            else:
                self._not_durable(write, failed)
        for (team, zone), attempts in launches.items():
            self._observer.launch(self._teams[team], zone, attempts)
        if outcome is Outcome.REFUSED:
            self.schedule_commit(0.2)
        else:
            self.schedule_commit()

    def _rejected(self, batch: list[JobWrite]) -> None:
        """It was too much, by limits that we don't know: less at once from now on, down to one job.

        One that is rejected by itself is written smaller, and then less and less often: it must not hold up others.
        """
        now = self._effects.now()
        self._max_jobs = max(1, len(batch) // 2)
        if len(batch) > 1:
            return
        job = batch[0].job
        job.rejections += 1
        job.last_rejected_at = now
        if job.rejections > SMALLER:
            job.write_not_before = now + min(self._workers.report_s * 2 ** (job.rejections - SMALLER), MOST_PAUSE_S)
            log.error(
                "%s: its record is rejected by the state service, the next try is in %.0f s",
                job.id,
                job.write_not_before - now,
            )
            job.unstage(list(job.staged.values()), self._effects.now())

    def _durable(self, write: JobWrite, revision: int, launches: dict) -> None:
        team_state, job = write.team_state, write.job
        if self._effects.now() - job.last_rejected_at > SMALL_S:
            job.rejections = 0
        elif job.rejections:
            job.rejections = min(job.rejections, SMALLER)
        for chunk in write.written_chunks:
            job.chunk_revisions.pop(chunk, None)
        job.chunk_revisions.update(dict.fromkeys(write.kept_chunks, revision))
        if write.kind is Kind.DONE:
            self._done(team_state, job, revision)
        elif write.kind is Kind.DROP:
            self._observer.end_if_unassigned(team_state, job)
        else:
            self._assigned(write, launches)

    def _done(self, team_state: TeamState, job: Job, revision: int) -> None:
        """A job's end is durable."""
        if job.spec is not None and log.isEnabledFor(logging.DEBUG):
            log.debug(
                "%s done after %.1f s: %s, %d tasks of %g CPUs, expected %.1f s, due %s",
                job.id,
                self._effects.now() - job.schedulable_since,
                job.spec.job_class,
                job.task_count,
                job.spec.vcpus,
                job.spec.estimated_run_s,
                job.spec.deadline_s,
            )
        self._job_index.apply_record(job.id, self._records.build_ended_record(job.team, JobState.DONE), revision)
        job.spec = None
        if job.attempts:
            self._observer.stop_all(team_state, job)
        else:
            self._observer.end_if_unassigned(team_state, job)

    def _assigned(self, write: JobWrite, launches: dict) -> None:
        """A job's assignments are durable: what was staged may be launched."""
        team_state, job = write.team_state, write.job
        job.move_attempts(write.moved_attempts, write.written_chunks)
        if 0 in write.written_chunks:
            job.uncertain_chunks.clear()  # a copy of unknown outcome fails on the first piece's stamp from now on
        job.has_deferrable_change = bool(job.dirty_chunks or job.staged.keys() - {a.index for a in write.staged})
        if not job.dirty_chunks:
            self.proved_off.pop(job.id, None)
        for attempt in write.staged:
            if job.staged.get(attempt.index) is not attempt:
                continue
            del job.staged[attempt.index]
            job.attempts[attempt.index] = attempt
            job.last_assigned_at = self._effects.now()
            self._observer.index_attempt(team_state, job, attempt)
            if job.spec is not None:
                launches.setdefault((team_state.name, attempt.zone), []).append((job.id, attempt))
        if job.spec is None:
            self._observer.stop_all(team_state, job)
        self._observer.forget_finished(team_state, job)

    def _not_durable(self, write: JobWrite, failed: list[str]) -> None:
        """Certainly not executed. A conflict of one job must not hold up the others for ever."""
        team_state, job = write.team_state, write.job
        now = self._effects.now()
        job.dirty_chunks |= write.written_chunks
        if any(assignment_key(team_state.name, job.id, chunk) in failed for chunk in write.condition_chunks):
            job.write_state = WriteState.UNCERTAIN
            self._read_back(write)
            return
        bad_zones = {attempt.zone for attempt in write.staged if partition_key(attempt.zone) in failed}
        ended = job_key(job.id) in failed
        for attempt in write.staged:
            stale = now - attempt.assigned_at > self._workers.lease_s / 4  # its reservation has expired
            if (attempt.zone in bad_zones or ended or stale) and job.staged.get(attempt.index) is attempt:
                del job.staged[attempt.index]
                job.return_task(attempt.index, now)
        if ended:
            job.not_before = max(job.not_before, now + self._workers.report_s)
            self._reread_job(job)

    def _reread_job(self, job: Job) -> None:
        def done(kind: ReadOutcome, record: JobRecord | None, version: int) -> None:
            if record is not None and record.status == JobState.ACTIVE:
                job.mod_revision = version
            elif kind is ReadOutcome.UNKNOWN:
                self._effects.later(0.3, lambda: self._reread_job(job))

        self._records.read(job.id, done)

    def _read_back(self, write: JobWrite) -> None:
        """Nobody knows whether it was executed: read, never guess. It may even be executed later; then the
        next write's condition fails, and we come here again."""
        team_state, job = write.team_state, write.job

        def done(rows: list[state_wire.KeyValue] | None, _epoch: int) -> None:
            if self._teams.get(team_state.name) is not team_state:
                return
            if rows is None:
                self._effects.later(0.2 + 0.3 * self._effects.rng.random(), lambda: self._read_back(write))
                return
            job.unstage(list(job.staged.values()), self._effects.now())  # none of them was launched
            job.write_state = WriteState.SETTLED
            before = dict(job.attempts)
            self._load_changed(team_state, job, rows)
            for index, attempt in job.attempts.items():
                attempt.chunk = max(0, attempt.chunk)
                if before.get(index) is not attempt:
                    self._observer.index_attempt(team_state, job, attempt)
            self._reread_job(job)
            self._observer.reconcile(team_state)
            self._observer.wake_scheduler()
            self.schedule_commit()

        self._store.list(assignment_key(team_state.name, job.id), done)

    def _load_changed(self, team_state: TeamState, job: Job, rows: list[state_wire.KeyValue]) -> None:
        """Take over the pieces of a job's record that are of another version than the one known here."""
        now, revisions = self._effects.now(), job.chunk_revisions
        job.chunk_revisions = {}
        found = [
            (row, chunk)
            for row in rows
            for job_id, chunk in [parse_assignment_key(row.key, team_state.name)]
            if job_id == job.id
        ]
        job.forget_chunks_except({chunk for row, chunk in found if row.mod_revision == revisions.get(chunk)})
        for row, chunk in found:
            if row.mod_revision == revisions.get(chunk):
                job.chunk_revisions[chunk] = row.mod_revision
                continue
            try:
                job.load(chunk, row.value, row.mod_revision, now, self.proved_off.get(job.id))
            except CorruptRecordError as exc:
                log.error("%s", exc)
