"""Recovery from writes of unknown outcome, by reading the records again."""

from __future__ import annotations

import logging

from tealhook.context import NodeContext
from tealhook.errors import CorruptRecordError
from tealhook.jobs.assignment_record import assignment_key, parse_assignment_key
from tealhook.jobs.job import Job, WriteState
from tealhook.jobs.job_records import JobRecord, JobState
from tealhook.jobs.record_store import JobRecordStore
from tealhook.jobs.team import TeamState
from tealhook.scheduling.interfaces import CommitQueue, SchedulerActions
from tealhook.state_store import ReadOutcome, StateClient
from tealhook.wire import state as state_wire

log = logging.getLogger(__name__)

RECORD_RETRY_S = 0.3  # pause before a job's record is requested again
ASSIGNMENTS_RETRY_S = 0.2  # shortest pause before assignment records are requested again
ASSIGNMENTS_RETRY_JITTER_S = 0.3  # keeps nodes that lost the state store from returning at the same time


class RecordReadBack:
    """Restores jobs from their records, after which they may be written again."""

    def __init__(
        self,
        context: NodeContext,
        store: StateClient,
        records: JobRecordStore,
        teams: dict[str, TeamState],
        proved_absent: dict[str, set[tuple[int, int]]],
        actions: SchedulerActions,
        commit_queue: CommitQueue,
    ) -> None:
        """Initialize for the jobs in `teams`.

        Attempts in `proved_absent` are no longer on their machines, even if they are still on record.
        """
        self._effects = context.effects
        self._store = store
        self._records = records
        self._teams = teams
        self._proved_absent = proved_absent
        self._actions = actions
        self._commit_queue = commit_queue

    def read_job_record(self, job: Job) -> None:
        """Read a job's record, until its revision is known: later writes are conditional on it."""

        def on_record(outcome: ReadOutcome, record: JobRecord | None, revision: int) -> None:
            if record is not None and record.status == JobState.ACTIVE:
                job.mod_revision = revision
            elif outcome is ReadOutcome.UNKNOWN:
                self._effects.later(RECORD_RETRY_S, lambda: self.read_job_record(job))

        self._records.read_into_index(job.id, on_record)

    def read_assignments(self, team_state: TeamState, job: Job) -> None:
        """Read a job's assignment record after a write of unknown outcome, until there is an answer.

        The write may still be executed later. The condition of the job's next write then fails, and the record is read
        once more.
        """

        def on_rows(rows: list[state_wire.KeyValue] | None, _revision: int) -> None:
            if self._teams.get(team_state.name) is not team_state:
                return
            if rows is None:
                delay_s = ASSIGNMENTS_RETRY_S + ASSIGNMENTS_RETRY_JITTER_S * self._effects.rng.random()
                self._effects.later(delay_s, lambda: self.read_assignments(team_state, job))
                return
            self._restore(team_state, job, rows)

        self._store.list(assignment_key(team_state.name, job.id), on_rows)

    def _restore(self, team_state: TeamState, job: Job, rows: list[state_wire.KeyValue]) -> None:
        """Resume a job from its assignment record."""
        job.unstage(list(job.staged.values()), self._effects.now())  # none of them was launched
        job.write_state = WriteState.SETTLED
        attempts_before = dict(job.attempts)
        self._load_changed(team_state, job, rows)
        for index, attempt in job.attempts.items():
            attempt.chunk = max(0, attempt.chunk)
            if attempts_before.get(index) is not attempt:
                self._actions.index_attempt(team_state, job, attempt)
        self.read_job_record(job)
        self._actions.reconcile(team_state)
        self._actions.wake_scheduler()
        self._commit_queue.schedule_commit()

    def _load_changed(self, team_state: TeamState, job: Job, rows: list[state_wire.KeyValue]) -> None:
        """Load the chunks of a job's assignment record whose revisions differ from the known ones."""
        now, known_revisions = self._effects.now(), job.chunk_revisions
        job.chunk_revisions = {}
        rows_by_chunk: list[tuple[int, state_wire.KeyValue]] = []
        for row in rows:
            job_id, chunk = parse_assignment_key(row.key, team_state.name)
            if job_id == job.id:  # the key may also be a prefix of other jobs' keys
                rows_by_chunk.append((chunk, row))
        unchanged = {chunk for chunk, row in rows_by_chunk if row.mod_revision == known_revisions.get(chunk)}
        job.forget_chunks_except(unchanged)
        for chunk, row in rows_by_chunk:
            if chunk in unchanged:
                job.chunk_revisions[chunk] = row.mod_revision
                continue
            try:
                job.load(chunk, row.value, row.mod_revision, now, self._proved_absent.get(job.id))
            except CorruptRecordError as exc:
                log.error("assignment record skipped in read-back: %s", exc)
