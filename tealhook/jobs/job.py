"""A job as its team's scheduler keeps it: its tasks, and how its assignment record stands in the state service."""

from __future__ import annotations

import enum
from collections.abc import Collection, Iterable
from typing import Any, NamedTuple

from tealhook.jobs.assignment_record import (
    assignment_key,
    decode_chunk,
    encode_first_chunk,
    encode_further_chunk,
)
from tealhook.jobs.attempt import NO_CHUNK, Attempt
from tealhook.jobs.chunk_layout import ChunkLayout, MovedAttempt, by_index
from tealhook.jobs.job_entry import JobEntry
from tealhook.jobs.tasks import JobTasks
from tealhook.loop.effects import LONG_AGO_S
from tealhook.wire.common import encode_json


class WriteState(enum.Enum):
    """How a job's record stands. Nothing is written while an earlier write may yet be executed."""

    SETTLED = "settled"  # what was written last is known to be there, or not to be
    PENDING = "pending"  # a write is on its way
    UNCERTAIN = "uncertain"  # nobody knows whether one was executed: the record is read again


class FinishedTask(NamedTuple):
    """A task whose worker is to forget it once its outcome is on record."""

    zone: str
    machine: str
    task_index: int
    attempt_number: int


class Job(JobTasks):
    """A job with its assignment record. Every change that must be durable is marked; the scheduler commits it."""

    def __init__(self, job: str, team: str, entry: JobEntry | None, now: float) -> None:
        """A job of which no record has been read yet; see `JobTasks`."""
        super().__init__(job, team, entry, now)
        self.chunk_revisions: dict[int, int] = {}  # of the chunks of its record, as far as they are there
        self.chunk_sizes: dict[int, int] = {}  # of chunks as they were read
        self.dirty_chunks: set[int] = set()  # chunks that name attempts which are off, or named elsewhere too
        self.moved_attempts: list[MovedAttempt] = []  # with the write laid out last
        self.uncertain_chunks: set[int] = set()  # chunks that a copy of unknown outcome may yet come to
        self.rejections = 0  # how often in a row its write was too much for the state service
        self.last_rejected_at = LONG_AGO_S
        self.write_not_before = LONG_AGO_S  # it is not written before
        self.has_deferrable_change = False  # something changed that need not be durable at once
        self.deferrable_since = 0.0
        self.write_state = WriteState.SETTLED
        self.is_loaded = False  # the assignment record has been read
        self.tasks_to_forget: list[FinishedTask] = []  # once durable

    # -- writing the assignment record

    def attempts_by_chunk(self) -> dict[int, list[Attempt]]:
        """Attempts by the chunk that names them, in the order of tasks."""
        found: dict[int, list[Attempt]] = {}
        for attempt in sorted([*self.attempts.values(), *self.staged.values()], key=by_index):
            found.setdefault(attempt.chunk, []).append(attempt)
        return found

    def lay_out_chunks(self, limit: int, max_chunks: int) -> dict[int, dict]:
        """Return values of the chunks to be written: the first, and those that changed, `max_chunks` of them at once.

        What is staged goes to the first chunk that has space for it, so that a job is never narrower than its
        capacity: one record of 8 KiB names some 250 machines. What finds no space in this write keeps `NO_CHUNK`, and
        is not to stay staged. `moved_attempts` says which attempts other chunks name after the write; see
        `ChunkLayout`.
        """
        staged = sorted(self.staged.values(), key=by_index)
        for attempt in staged:
            attempt.chunk = NO_CHUNK
        named = self.attempts_by_chunk()
        named.pop(NO_CHUNK, None)
        layout = ChunkLayout(self.encode, named, self.dirty_chunks, limit, max_chunks)
        layout.lay_out(staged)
        self.moved_attempts = layout.moved_attempts
        return layout.written

    def encode(self, chunk: int, attempts: list[Attempt], limit: int) -> dict:
        """Return the value of a chunk that names attempts; `limit` bounds the ranges of done tasks in the first."""
        if chunk:
            return encode_further_chunk(attempts)
        return encode_first_chunk(attempts, self.resources, self.last_attempt_number, self.done, limit)

    def move_attempts(self, moved: Iterable[MovedAttempt], written: set[int]) -> None:
        """Attempts are durably named by other chunks now; those that named them may be written without them."""
        for attempt, chunk in moved:
            if attempt.chunk not in written:
                self.dirty_chunks.add(attempt.chunk)
            attempt.chunk = chunk
            if self.attempts.get(attempt.index) is not attempt:
                self.dirty_chunks.add(chunk)  # it ended meanwhile

    # -- reading the assignment record

    def forget_chunks_except(self, kept: set[int]) -> None:
        """Before chunks are read again: only those in `kept` are known to name what they named."""
        self.chunk_sizes = {chunk: size for chunk, size in self.chunk_sizes.items() if chunk in kept}
        for attempt in self.attempts.values():
            if attempt.chunk not in kept:
                attempt.chunk = NO_CHUNK

    def load(
        self,
        chunk: int,
        value: Any,
        revision: int,
        now: float,
        proved_absent: Collection[tuple[int, int]] | None = None,
    ) -> None:
        """Take over a chunk of the assignment record; raises `CorruptRecordError` when it is not one.

        `proved_absent`: attempts (task, number) that this scheduler has proved off their machines since the record was
        written.
        """
        decoded = decode_chunk(assignment_key(self.team, self.id, chunk), chunk, value, now)
        if self.spec is None and len(decoded.resources) == 3:
            self.resources = decoded.resources
        self.last_attempt_number = max(self.last_attempt_number, decoded.last_attempt_number)
        self.chunk_revisions[chunk] = revision
        self.chunk_sizes[chunk] = len(encode_json(value))
        for first, last in decoded.done_ranges:
            for index in range(first, min(last + 1, self.task_count)):
                self.mark_done(index)
        for attempt in decoded.attempts:
            self._load_attempt(chunk, attempt, proved_absent)
        if not chunk:
            self.is_loaded = True

    def _load_attempt(self, chunk: int, attempt: Attempt, proved_absent: Collection[tuple[int, int]] | None) -> None:
        attempt.chunk = chunk
        present = self.attempts.get(attempt.index)
        if present is not None and present.number >= attempt.number:
            self._resolve_duplicate(present, attempt)
            return
        if proved_absent and (attempt.index, attempt.number) in proved_absent:
            self.dirty_chunks.add(chunk)
            return
        if present is not None and present.chunk >= 0:
            self.dirty_chunks.add(present.chunk)
        # Even of a done task an assignment on record counts until it is proved off.
        self.attempts[attempt.index] = attempt

    def _resolve_duplicate(self, present: Attempt, attempt: Attempt) -> None:
        """A chunk names an attempt, or one before it, that another chunk names too: one of the two is rewritten."""
        chunk = attempt.chunk
        if present.number > attempt.number:
            self.dirty_chunks.add(chunk)
        elif present.chunk < 0:
            present.chunk = chunk
        elif present.chunk != chunk:
            # Copied, and the chunk that named it first not yet rewritten: it stays in the smaller chunk.
            present_size = self.chunk_sizes.get(present.chunk, 0)
            self.dirty_chunks.add(chunk if present_size <= self.chunk_sizes[chunk] else present.chunk)
            if present_size > self.chunk_sizes[chunk]:
                present.chunk = chunk
