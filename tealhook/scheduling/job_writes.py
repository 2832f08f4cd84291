"""Writes of single jobs: chunks of the assignment record, the end of the job, and the conditions of both."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from tealhook.context import NodeContext
from tealhook.coordination import partition_key, team_key
from tealhook.jobs.assignment_record import assignment_key
from tealhook.jobs.attempt import Attempt
from tealhook.jobs.chunk_layout import MovedAttempt
from tealhook.jobs.job import Job
from tealhook.jobs.job_records import JobState, job_key
from tealhook.jobs.record_store import JobRecordStore, build_end_write
from tealhook.jobs.team import TeamState
from tealhook.state_store import StateClient
from tealhook.state_store.client import MAX_TRANSACTION_BYTES
from tealhook.wire import state as state_wire
from tealhook.wire.common import encode_json

MAX_LIMIT_HALVINGS = 2  # the size limits of a job's write are halved at most this often after rejections
CONDITIONS_PER_OPERATION = 4  # the state store accepts this many conditions for each operation that it accepts
ESTIMATED_CONDITION_BYTES = 60  # encoded size of one condition
FIXED_ASSIGNMENT_CONDITIONS = 3  # team ownership, the job's record, and the first chunk of its assignment record


class WriteKind(enum.Enum):
    """Purpose of a write."""

    ASSIGN = "assign"  # makes a job's assignments durable
    FINISH = "finish"  # ends a job, and deletes its assignment record
    DELETE = "delete"  # deletes the assignment record of a job that has ended


class ChunkLimits(NamedTuple):
    """Size limits of one write of a job."""

    max_bytes: float  # of one chunk
    max_chunks: int


@dataclass(slots=True, eq=False)
class JobWrite:
    """A job's part of a transaction, and the changes to the job that follow when it is committed."""

    team_state: TeamState
    job: Job
    kind: WriteKind
    conditions: state_wire.Conditions
    condition_chunks: set[int]  # chunks whose revisions are conditions
    operations: list[state_wire.Operation] = field(default_factory=list)
    staged: list[Attempt] = field(default_factory=list)  # attempts staged when the write was built
    written_chunks: set[int] = field(default_factory=set)
    kept_chunks: set[int] = field(default_factory=set)  # written chunks that are not deleted
    moved_attempts: list[MovedAttempt] = field(default_factory=list)  # attempts that another chunk names afterwards

    def encoded_bytes(self) -> int:
        """Return the approximate size of the write in a transaction."""
        return sum(len(encode_json(operation)) for operation in self.operations) + ESTIMATED_CONDITION_BYTES * len(
            self.conditions
        )


class JobWriteBuilder:
    """Builds the writes of jobs within the limits of the state store."""

    def __init__(self, context: NodeContext, store: StateClient, records: JobRecordStore) -> None:
        """Initialize for the limits of `store`; `records` builds the records of ended jobs."""
        self._effects = context.effects
        self._store = store
        self._records = records

    def build(self, team_state: TeamState, job: Job) -> JobWrite | None:
        """Return the write that makes a job's present state durable, or None if there is nothing to write."""
        if job.is_finished:
            return self._build_finish(team_state, job)
        if job.spec is None:
            return self._build_delete(team_state, job)
        return self._build_assignment(team_state, job)

    def _start_write(self, team_state: TeamState, job: Job, kind: WriteKind) -> JobWrite:
        """Return a write with the conditions that all writes of a job have in common."""
        # Every write is conditional on the first chunk, and every assignment writes it. So a write that is executed
        # late fails, and attempt numbers given out by any chunk are counted in the first.
        conditions = {
            team_key(team_state.name): team_state.token,
            assignment_key(team_state.name, job.id): job.chunk_revisions.get(0, 0),
        }
        # Without conditions on the uncertain chunks, an earlier write of unknown outcome that is executed late could
        # write chunks without this scheduler's knowledge.
        condition_chunks = {0, *sorted(job.uncertain_chunks)[: self._store.max_operations]}
        return JobWrite(team_state, job, kind, conditions, condition_chunks)

    def _build_finish(self, team_state: TeamState, job: Job) -> JobWrite:
        write = self._start_write(team_state, job, WriteKind.FINISH)
        record = self._records.build_ended_record(job.team, JobState.DONE)
        condition, operation = build_end_write(job.id, record, job.mod_revision)
        write.conditions.update(condition)
        write.operations.append(operation)
        deleted = self._find_deletable_chunks(job, self._compute_chunk_limits(job).max_chunks - len(write.operations))
        self._add_chunks(write, dict.fromkeys(deleted))
        return write

    def _build_delete(self, team_state: TeamState, job: Job) -> JobWrite | None:
        write = self._start_write(team_state, job, WriteKind.DELETE)
        deleted = self._find_deletable_chunks(job, self._compute_chunk_limits(job).max_chunks)
        if not deleted:
            job.has_deferrable_change = False
            return None
        self._add_chunks(write, dict.fromkeys(deleted))
        return write

    def _build_assignment(self, team_state: TeamState, job: Job) -> JobWrite:
        write = self._start_write(team_state, job, WriteKind.ASSIGN)
        chunks = self._lay_out_chunks(job, self._compute_chunk_limits(job))
        write.moved_attempts = job.moved_attempts
        write.condition_chunks |= {attempt.chunk for attempt, _ in write.moved_attempts}
        write.staged = list(job.staged.values())
        if write.staged:
            write.conditions[job_key(job.id)] = job.mod_revision
            write.conditions.update({partition_key(new.zone): new.partition_token for new in write.staged})
        self._add_chunks(write, chunks)
        return write

    @staticmethod
    def _find_deletable_chunks(job: Job, max_chunks: int) -> list[int]:
        """Return chunks of an ended job to delete: none while it has attempts, and the first chunk last."""
        if job.attempts:
            return []
        return sorted(job.chunk_revisions, reverse=True)[: max(1, max_chunks)]

    @staticmethod
    def _add_chunks(write: JobWrite, chunks: dict[int, dict | None]) -> None:
        """Add the operations on chunks, and the conditions on their revisions.

        A chunk with the value None is deleted, and so is one without assignments unless it is the first.
        """
        job, team = write.job, write.team_state.name
        for chunk, value in chunks.items():
            key = assignment_key(team, job.id, chunk)
            write.condition_chunks.add(chunk)
            if value is not None and (value["m"] or not chunk):
                write.kept_chunks.add(chunk)
                write.operations.append(state_wire.put(key, value))
            elif chunk in job.chunk_revisions:
                write.operations.append(state_wire.delete(key))
        write.written_chunks = set(chunks)
        for chunk in write.condition_chunks:
            write.conditions[assignment_key(team, job.id, chunk)] = job.chunk_revisions.get(chunk, 0)

    def _compute_chunk_limits(self, job: Job) -> ChunkLimits:
        """Return the limits of one write of a job, halved for each rejection up to `MAX_LIMIT_HALVINGS` times."""
        max_bytes = min(self._store.max_record_bytes, MAX_TRANSACTION_BYTES / 2)
        max_chunks = min(self._store.max_operations, int(MAX_TRANSACTION_BYTES / max_bytes))
        if job.rejections:
            halvings = min(job.rejections, MAX_LIMIT_HALVINGS)
            return ChunkLimits(max_bytes / 2**halvings, max(2, max_chunks >> halvings))
        return ChunkLimits(max_bytes, max_chunks)

    def _lay_out_chunks(self, job: Job, limits: ChunkLimits) -> dict[int, dict | None]:
        """Return the chunks to write with the staged tasks in them; tasks that don't fit wait again."""
        max_conditions = CONDITIONS_PER_OPERATION * self._store.max_operations
        # Each written chunk needs a condition, and so may another chunk whose attempts move to it.
        other_conditions = FIXED_ASSIGNMENT_CONDITIONS + 2 * limits.max_chunks + len(job.uncertain_chunks)
        self._limit_zones(job, max_conditions - other_conditions)
        chunks: dict[int, dict | None] = {**job.lay_out_chunks(int(limits.max_bytes), limits.max_chunks)}
        self._unstage(job, (attempt for attempt in job.staged.values() if attempt.chunk < 0))
        return chunks

    def _limit_zones(self, job: Job, max_zones: int) -> None:
        """Unstage tasks in more zones than a transaction has conditions for; they wait for a later one."""
        excess = sorted({attempt.zone for attempt in job.staged.values()})[max(1, max_zones) :]
        self._unstage(job, (attempt for attempt in job.staged.values() if attempt.zone in excess))

    def _unstage(self, job: Job, attempts: Iterable[Attempt]) -> None:
        job.unstage(list(attempts), self._effects.now())
