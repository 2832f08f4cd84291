"""Which chunk of a job's assignment record names which attempts, in one write within the state service's limits."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from tealhook.jobs.attempt import Attempt
from tealhook.wire.common import encode_json

FIRST_SHARE = 0.75  # of the first chunk is for assignments, the rest for what is done
MIN_TASK_BYTES = 6  # a task takes at least so much of a record


class MovedAttempt(NamedTuple):
    """An attempt that another chunk names once a write is durable."""

    attempt: Attempt
    chunk: int  # which names it from then on


def by_index(attempt: Attempt) -> int:
    """Return the task of an attempt: the order in which chunks name attempts."""
    return attempt.index


class ChunkLayout:
    """The chunks of one write: the first, those that changed, and those that take what is staged.

    A chunk larger than `limit`, as an earlier version wrote it, is not written before the attempts that it has too
    many of are named by others: in the same write, or by copies in writes before it. `moved_attempts` says which; a
    write of copies alone lacks the first chunk.
    """

    def __init__(
        self,
        encode: Callable[[int, list[Attempt], int], dict],
        named: dict[int, list[Attempt]],
        dirty_chunks: set[int],
        limit: int,
        max_chunks: int,
    ) -> None:
        """A write of at most `max_chunks` chunks of `limit` bytes, on top of the attempts that chunks have `named`.

        `encode(chunk, attempts, limit)` gives the value of a chunk.
        """
        self._encode = encode
        self._named = named
        self._dirty_chunks = dirty_chunks
        self._limit = limit
        self._max_chunks = max_chunks
        self._oversized: set[int] = set()
        self.written: dict[int, dict] = {}  # the chunks to be written, with their values
        self.moved_attempts: list[MovedAttempt] = []

    def lay_out(self, staged: list[Attempt]) -> None:
        """Fill `written` and `moved_attempts`; staged attempts that fit get the chunk that names them."""
        values = {
            chunk: self._encode(chunk, self._named.get(chunk, []), self._limit)
            for chunk in sorted({0, *self._dirty_chunks})
        }
        self._oversized = {chunk for chunk, value in values.items() if len(encode_json(value)) > self._limit}
        for chunk in sorted(self._oversized):
            if not self._shrink(chunk) and not chunk:
                return
        values |= self.written  # chunks that gave way, and those that took over
        self._add_staged(staged, values)
        unwritten = sorted(self._dirty_chunks - self.written.keys() - self._oversized)
        for chunk in unwritten[: max(0, self._max_chunks - len(self.written))]:
            self.written[chunk] = values[chunk]

    def _add_staged(self, staged: list[Attempt], values: dict[int, dict]) -> None:
        """Give what is staged to the first chunks with space for it; `values` are those of chunks without it."""
        chunk = 0
        while chunk == 0 or staged and len(self.written) < self._max_chunks:
            here = self._named.get(chunk, [])
            taken, value = self._take_fitting(chunk, here, staged, values.get(chunk))
            if not (here or taken or chunk == 0):
                break  # not one fits: names longer than any record
            for attempt in taken:
                attempt.chunk = chunk
            if taken or chunk == 0:
                self.written[chunk] = value
            staged = staged[len(taken) :]
            chunk += 1

    def _take_fitting(
        self, chunk: int, here: list[Attempt], staged: list[Attempt], value_without: dict | None
    ) -> tuple[list[Attempt], dict]:
        """Return the first of `staged` that fit a chunk besides `here`, and its value with them.

        `value_without` is its value without them, where that has been encoded.
        """
        max_bytes = self._limit * _assignment_share(chunk)
        if value_without is None:
            value_without = self._encode(chunk, here, self._limit)
        taken = staged[: max(0, int((max_bytes - len(encode_json(value_without))) / MIN_TASK_BYTES))]
        while taken:
            value = self._encode(chunk, sorted([*here, *taken], key=by_index), self._limit)
            if len(encode_json(value)) <= max_bytes:
                return taken, value
            del taken[-1 - len(taken) // 8 :]
        return [], value_without

    def _shrink(self, chunk: int) -> bool:
        """Lay out a chunk that is too large, with the chunks that take over what it can't name.

        False: only copies are written now, as many as there is space for, since the whole does not fit one write.
        """
        here = self._named.get(chunk, [])
        kept = self._count_fitting(chunk, [], here, int(self._limit * _assignment_share(chunk)))
        copies = self._find_targets(here[kept:])
        if copies is None:
            return False
        # The first chunk is written too.
        max_written = self._max_chunks - 1 if chunk and 0 not in self.written else self._max_chunks
        whole = len(self.written.keys() | copies.keys()) + (chunk not in self.written) <= max_written
        for target, attempts in copies.items():
            if target not in self.written and len(self.written) >= max_written:
                break
            self._named[target] = sorted([*self._named.get(target, []), *attempts], key=by_index)
            self.written[target] = self._encode(target, self._named[target], self._limit)
            self.moved_attempts += [MovedAttempt(attempt, target) for attempt in attempts]
        if whole:
            self._named[chunk] = here[:kept]
            self.written[chunk] = self._encode(chunk, self._named[chunk], self._limit)
            self._oversized.discard(chunk)
        return whole

    def _find_targets(self, attempts: list[Attempt]) -> dict[int, list[Attempt]] | None:
        """Return the further chunks with space for attempts, and what each can take; None: not one fits any record."""
        copies: dict[int, list[Attempt]] = {}
        target = 1
        while attempts:
            if target not in self._oversized:
                there = self._named.get(target, [])
                count = self._count_fitting(target, there, attempts, self._limit)
                if count:
                    copies[target] = attempts[:count]
                    attempts = attempts[count:]
                elif not there:
                    return None  # names longer than any record
            target += 1
        return copies

    def _count_fitting(self, chunk: int, there: list[Attempt], more: list[Attempt], max_bytes: int) -> int:
        """How many of the first of `more` a chunk can name besides `there`."""
        low, high = 0, min(len(more), max_bytes // MIN_TASK_BYTES)
        while low < high:
            middle = (low + high + 1) // 2
            both = sorted([*there, *more[:middle]], key=by_index)
            # What is done gives way to what may be on a machine.
            if len(encode_json(self._encode(chunk, both, max_bytes))) <= max_bytes:
                low = middle
            else:
                high = middle - 1
        return low


def _assignment_share(chunk: int) -> float:
    return 1.0 if chunk else FIRST_SHARE
