"""Distribution of attempts over the chunks of a job's assignment record, within the state store's write limits."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from tealhook.jobs.attempt import Attempt
from tealhook.wire.common import encode_json

FIRST_CHUNK_ASSIGNMENTS_SHARE = 0.75  # share of the first chunk's bytes; the rest is reserved for ranges of done tasks
MIN_TASK_BYTES = 6  # a lower bound for the encoded size of a task's assignment


class MovedAttempt(NamedTuple):
    """An attempt that another chunk lists once a write is durable."""

    attempt: Attempt
    chunk: int  # the chunk that lists the attempt from then on


def by_task_index(attempt: Attempt) -> int:
    """Return the task index of an attempt, the sort key of the attempts in a chunk."""
    return attempt.index


class ChunkLayout:
    """The chunks of one write: the first chunk, the changed chunks, and the chunks that take staged attempts.

    Earlier versions may have written chunks larger than `max_chunk_bytes`. Such a chunk is not rewritten until the
    attempts that no longer fit into it are listed by other chunks, either in the same write or by copies in earlier
    writes. `moved_attempts` lists these attempts. A write that only makes copies lacks the first chunk.
    """

    def __init__(
        self,
        encode: Callable[[int, list[Attempt], int], dict],
        attempts_by_chunk: dict[int, list[Attempt]],
        dirty_chunks: set[int],
        max_chunk_bytes: int,
        max_chunks: int,
    ) -> None:
        """Initialize a write of at most `max_chunks` chunks with at most `max_chunk_bytes` bytes each.

        `encode(chunk, attempts, max_bytes)` returns the value of a chunk. `attempts_by_chunk` has the attempts that
        the durable chunks list, and is updated with the attempts that move.
        """
        self._encode = encode
        self._attempts_by_chunk = attempts_by_chunk
        self._dirty_chunks = dirty_chunks
        self._max_chunk_bytes = max_chunk_bytes
        self._max_chunks = max_chunks
        self._oversized: set[int] = set()
        self.planned_writes: dict[int, dict] = {}  # the values to write, by chunk
        self.moved_attempts: list[MovedAttempt] = []

    def lay_out(self, staged: list[Attempt]) -> None:
        """Fill `planned_writes` and `moved_attempts`, and set the chunk of each staged attempt that fits."""
        values = {
            chunk: self._encode(chunk, self._attempts_by_chunk.get(chunk, []), self._max_chunk_bytes)
            for chunk in sorted({0, *self._dirty_chunks})
        }
        self._oversized = {chunk for chunk, value in values.items() if len(encode_json(value)) > self._max_chunk_bytes}
        for chunk in sorted(self._oversized):
            if not self._shrink(chunk) and not chunk:
                return
        values |= self.planned_writes  # the chunks that were shrunk, and those that received their attempts
        self._add_staged(staged, values)
        unwritten = sorted(self._dirty_chunks - self.planned_writes.keys() - self._oversized)
        for chunk in unwritten[: max(0, self._max_chunks - len(self.planned_writes))]:
            self.planned_writes[chunk] = values[chunk]

    def _add_staged(self, staged: list[Attempt], values: dict[int, dict]) -> None:
        """Add staged attempts to the first chunks with space; `values` are the encoded chunks without them."""
        chunk = 0
        while chunk == 0 or staged and len(self.planned_writes) < self._max_chunks:
            current = self._attempts_by_chunk.get(chunk, [])
            added, value = self._take_fitting(chunk, current, staged, values.get(chunk))
            if not (current or added or chunk == 0):
                break  # not even one attempt fits into an empty chunk: its machine and zone names are too long
            for attempt in added:
                attempt.chunk = chunk
            if added or chunk == 0:
                self.planned_writes[chunk] = value
            staged = staged[len(added) :]
            chunk += 1

    def _take_fitting(
        self, chunk: int, current: list[Attempt], staged: list[Attempt], value_without: dict | None
    ) -> tuple[list[Attempt], dict]:
        """Return the first attempts of `staged` that fit into a chunk beside `current`, and its value with them.

        `value_without` is the value of the chunk without staged attempts, if it has been encoded already.
        """
        max_bytes = self._max_chunk_bytes * _assignments_share(chunk)
        if value_without is None:
            value_without = self._encode(chunk, current, self._max_chunk_bytes)
        added = staged[: max(0, int((max_bytes - len(encode_json(value_without))) / MIN_TASK_BYTES))]
        while added:
            value = self._encode(chunk, sorted([*current, *added], key=by_task_index), self._max_chunk_bytes)
            if len(encode_json(value)) <= max_bytes:
                return added, value
            del added[-1 - len(added) // 8 :]
        return [], value_without

    def _shrink(self, chunk: int) -> bool:
        """Lay out an oversized chunk, and the chunks that receive the attempts for which it has no space.

        Return False if this does not fit into one write. Then only as many copies are written as fit, and the
        oversized chunk stays as it is for now.
        """
        current = self._attempts_by_chunk.get(chunk, [])
        kept_count = self._count_fitting(chunk, [], current, int(self._max_chunk_bytes * _assignments_share(chunk)))
        copies = self._find_targets(current[kept_count:])
        if copies is None:
            return False
        # One chunk of the write is left for the first chunk, which every complete write includes.
        max_written = self._max_chunks - 1 if chunk and 0 not in self.planned_writes else self._max_chunks
        fits_one_write = (
            len(self.planned_writes.keys() | copies.keys()) + (chunk not in self.planned_writes) <= max_written
        )
        for target, attempts in copies.items():
            if target not in self.planned_writes and len(self.planned_writes) >= max_written:
                break
            self._attempts_by_chunk[target] = sorted(
                [*self._attempts_by_chunk.get(target, []), *attempts], key=by_task_index
            )
            self.planned_writes[target] = self._encode(target, self._attempts_by_chunk[target], self._max_chunk_bytes)
            self.moved_attempts += [MovedAttempt(attempt, target) for attempt in attempts]
        if fits_one_write:
            self._attempts_by_chunk[chunk] = current[:kept_count]
            self.planned_writes[chunk] = self._encode(chunk, self._attempts_by_chunk[chunk], self._max_chunk_bytes)
            self._oversized.discard(chunk)
        return fits_one_write

    def _find_targets(self, attempts: list[Attempt]) -> dict[int, list[Attempt]] | None:
        """Return further chunks with space for `attempts`, with the attempts that each can take.

        Return None if an attempt does not even fit into an empty chunk.
        """
        copies: dict[int, list[Attempt]] = {}
        target = 1
        while attempts:
            if target not in self._oversized:
                current = self._attempts_by_chunk.get(target, [])
                count = self._count_fitting(target, current, attempts, self._max_chunk_bytes)
                if count:
                    copies[target] = attempts[:count]
                    attempts = attempts[count:]
                elif not current:
                    return None  # its machine and zone names are too long for any chunk
            target += 1
        return copies

    def _count_fitting(self, chunk: int, current: list[Attempt], added: list[Attempt], max_bytes: int) -> int:
        """Return how many attempts from the front of `added` a chunk can list beside `current`."""
        low, high = 0, min(len(added), max_bytes // MIN_TASK_BYTES)
        while low < high:
            middle = (low + high + 1) // 2
            combined = sorted([*current, *added[:middle]], key=by_task_index)
            # Encoding drops ranges of done tasks to make space for assignments, which must not be lost.
            if len(encode_json(self._encode(chunk, combined, max_bytes))) <= max_bytes:
                low = middle
            else:
                high = middle - 1
        return low


def _assignments_share(chunk: int) -> float:
    """Return the share of a chunk's bytes that assignments may take."""
    return 1.0 if chunk else FIRST_CHUNK_ASSIGNMENTS_SHARE
