"""A job as its team's scheduler tracks it: its tasks, and the state of its assignment record in the state store."""

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
from tealhook.jobs.chunk_layout import ChunkLayout, MovedAttempt, by_task_index
from tealhook.jobs.job_entry import JobEntry
from tealhook.jobs.tasks import JobTasks
from tealhook.loop.effects import LONG_AGO_S
from tealhook.wire.common import Resources, encode_json


class WriteState(enum.Enum):
    """The state of a job's writes to the state store; none starts while an earlier one may still be executed."""

    SETTLED = "settled"  # it is known whether the last write was executed
    PENDING = "pending"  # a write is in flight
    UNCERTAIN = "uncertain"  # the outcome of a write is unknown, so the record has to be read again


class FinishedTask(NamedTuple):
    """A finished task, which its worker may forget once the outcome is durable."""

    zone: str
    machine: str
    task_index: int
    attempt_number: int


class Job(JobTasks):
    """A job with its assignment record; changes that must become durable are marked, and the scheduler commits them."""

    def __init__(self, job_id: str, team: str, entry: JobEntry | None, now: float) -> None:
        """Initialize a job whose assignment record has not been read yet; see `JobTasks`."""
        super().__init__(job_id, team, entry, now)
        self.chunk_revisions: dict[int, int] = {}  # the revision of each chunk that exists in the state store
        self.chunk_sizes: dict[int, int] = {}  # the size of each chunk when it was read, in bytes
        # Chunks that list attempts which have ended, or which another chunk lists too.
        self.dirty_chunks: set[int] = set()
        self.moved_attempts: list[MovedAttempt] = []  # attempts that move with the last planned write
        self.uncertain_chunks: set[int] = set()  # chunks to which a write of unknown outcome may still copy attempts
        self.rejections = 0  # writes that recently exceeded the limits of the state store
        self.last_rejected_at = LONG_AGO_S
        self.write_not_before = LONG_AGO_S  # the earliest time of the next write
        self.has_deferrable_change = False  # true if a change need not become durable at once
        self.deferrable_since = 0.0
        self.write_state = WriteState.SETTLED
        self.is_loaded = False  # true once the assignment record has been read
        self.tasks_to_forget: list[FinishedTask] = []  # tasks whose workers forget them after the next commit

    # -- writing the assignment record

    def attempts_by_chunk(self) -> dict[int, list[Attempt]]:
        """Return the attempts in each chunk, ordered by task index."""
        found: dict[int, list[Attempt]] = {}
        for attempt in sorted([*self.attempts.values(), *self.staged.values()], key=by_task_index):
            found.setdefault(attempt.chunk, []).append(attempt)
        return found

    def lay_out_chunks(self, max_chunk_bytes: int, max_chunks: int) -> dict[int, dict]:
        """Return the values of up to `max_chunks` chunks to write: the first one, and those that changed.

        Each staged attempt goes to the first chunk with space for it, so that the size of a record does not limit how
        many tasks run at once: one record of 8 KiB lists only about 250 machines. Attempts for which this write has
        no space keep `NO_CHUNK`, and must be unstaged. `moved_attempts` is set to the attempts that other chunks list
        after the write; see `ChunkLayout`.
        """
        staged = sorted(self.staged.values(), key=by_task_index)
        for attempt in staged:
            attempt.chunk = NO_CHUNK
        durable_by_chunk = self.attempts_by_chunk()
        durable_by_chunk.pop(NO_CHUNK, None)
        layout = ChunkLayout(self.encode, durable_by_chunk, self.dirty_chunks, max_chunk_bytes, max_chunks)
        layout.lay_out(staged)
        self.moved_attempts = layout.moved_attempts
        return layout.planned_writes

    def encode(self, chunk: int, attempts: list[Attempt], max_bytes: int) -> dict:
        """Return the value of a chunk; in the first, ranges of done tasks are dropped to keep to `max_bytes`."""
        if chunk:
            return encode_further_chunk(attempts)
        return encode_first_chunk(attempts, self.resources, self.last_attempt_number, self.done, max_bytes)

    def move_attempts(self, moved: Iterable[MovedAttempt], written: set[int]) -> None:
        """Record that attempts are durably listed by other chunks, so that their former chunks may drop them."""
        for attempt, chunk in moved:
            if attempt.chunk not in written:
                self.dirty_chunks.add(attempt.chunk)
            attempt.chunk = chunk
            if self.attempts.get(attempt.index) is not attempt:
                self.dirty_chunks.add(chunk)  # the attempt has ended in the meantime

    # -- reading the assignment record

    def forget_chunks_except(self, kept: set[int]) -> None:
        """Forget which attempts the chunks outside `kept` list, before these chunks are read again."""
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
        """Load a chunk of the assignment record, or raise `CorruptRecordError` if it is malformed.

        `proved_absent` has the attempts (task, number) that this scheduler has proved absent from their machines since
        the record was written.
        """
        decoded = decode_chunk(assignment_key(self.team, self.id, chunk), chunk, value, now)
        if self.spec is None and len(decoded.resources) == 3:
            self.resources = Resources(*decoded.resources)
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
        current = self.attempts.get(attempt.index)
        if current is not None and current.number >= attempt.number:
            self._resolve_duplicate(current, attempt)
            return
        if proved_absent and (attempt.index, attempt.number) in proved_absent:
            self.dirty_chunks.add(chunk)
            return
        if current is not None and current.chunk >= 0:
            self.dirty_chunks.add(current.chunk)
        # A recorded attempt counts until it is proved absent from its machine, even if its task is done.
        self.attempts[attempt.index] = attempt

    def _resolve_duplicate(self, current: Attempt, attempt: Attempt) -> None:
        """Handle a loaded attempt that is outdated, or that another chunk may list too.

        If two chunks list attempts of the task, one of them is marked for rewriting.
        """
        chunk = attempt.chunk
        if current.number > attempt.number:
            self.dirty_chunks.add(chunk)
        elif current.chunk < 0:
            current.chunk = chunk
        elif current.chunk != chunk:
            # The attempt was copied, and its original chunk has not been rewritten yet. The smaller chunk keeps it.
            current_size = self.chunk_sizes.get(current.chunk, 0)
            self.dirty_chunks.add(chunk if current_size <= self.chunk_sizes[chunk] else current.chunk)
            if current_size > self.chunk_sizes[chunk]:
                current.chunk = chunk
