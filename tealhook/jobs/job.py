"""One job in its home with the durable record of its tasks: how it is laid out in pieces, and read again."""

from __future__ import annotations

import enum
from typing import Any

from tealhook.jobs.job_entry import JobEntry
from tealhook.jobs.tasks import Attempt, JobTasks
from tealhook.wire.common import dumps

ASSIGNMENTS_PREFIX = "live/"
FIRST_SHARE = 0.75  # of the first piece is for assignments, the rest for what is done
LEAST_BYTES = 6  # a task takes at least so much of a record


def assignment_key(team: str, job: str, chunk: int = 0) -> str:
    """The key of a piece of a job's record."""
    return f"{ASSIGNMENTS_PREFIX}{team}/{job}/{chunk}" if chunk else f"{ASSIGNMENTS_PREFIX}{team}/{job}"


def parse_assignment_key(path: str, team: str) -> tuple[str, int]:
    """The job and the piece that a record of a team is of."""
    job, _, chunk = path[len(assignment_key(team, "")) :].partition("/")
    return job, int(chunk) if chunk.isdigit() else 0


class WriteState(enum.Enum):
    """How a job's record stands. Nothing is written while an earlier write may yet be executed."""

    SETTLED = "settled"  # what was written last is known to be there, or not to be
    PENDING = "pending"  # a write is on its way
    UNCERTAIN = "uncertain"  # nobody knows whether one was executed: the record is read again


class Job(JobTasks):
    """A job with its durable record. Every change that must last is marked; the home commits it."""

    def __init__(self, job: str, team: str, known: JobEntry | None, now: float) -> None:
        """A job of which no record has been read yet; see `JobTasks`."""
        super().__init__(job, team, known, now)
        self.chunk_revisions: dict[int, int] = {}  # of the pieces of its record, as far as they are there
        self.chunk_sizes: dict[int, int] = {}  # of pieces as they were read
        self.dirty_chunks: set[int] = set()  # pieces that name attempts which are off, or named elsewhere too
        self.moved_attempts: list[tuple[Attempt, int]] = []  # with the write laid out last: to which piece
        self.uncertain_chunks: set[int] = set()  # pieces that a copy of unknown outcome may yet come to
        self.rejections = 0  # how often in a row its write was too much for the state service
        self.last_rejected_at = -1e9
        self.write_not_before = -1e9  # it is not written before
        self.has_deferrable_change = False  # something changed that need not be durable at once
        self.deferrable_since = 0.0
        self.write_state = WriteState.SETTLED
        self.loaded = False  # the durable record has been read
        self.to_forget: list[tuple[str, str, int, int]] = []  # (zone, machine, index, attempt) once durable

    def attempts_by_chunk(self) -> dict[int, list[Attempt]]:
        """Attempts by the piece that names them, in the order of tasks."""
        found: dict[int, list[Attempt]] = {}
        for attempt in sorted([*self.attempts.values(), *self.staged.values()], key=lambda a: a.index):
            found.setdefault(attempt.chunk, []).append(attempt)
        return found

    def lay_out(self, limit: int, most: int) -> dict[int, dict]:
        """Values of the pieces to be written: the first, and those that changed, `most` of them at once.

        What is staged goes to the first piece that has room for it, so that a job is never narrower than its room:
        one record of 8 KiB names some 250 machines. What finds no room in this write is no longer staged.

        A piece larger than `limit`, as an earlier version wrote it, is not written before what it has too much is
        named by others: in the same write, or by copies in writes before it. `moved` says which; a write of copies
        alone lacks the first piece.
        """
        open_ = sorted(self.staged.values(), key=lambda a: a.index)
        for attempt in open_:
            attempt.chunk = -1
        named = self.attempts_by_chunk()
        named.pop(-1, None)
        self.moved_attempts = []
        written: dict[int, dict] = {}
        as_named = {chunk: self.encode(chunk, named.get(chunk, []), limit) for chunk in sorted({0, *self.dirty_chunks})}
        large = {chunk for chunk, value in as_named.items() if len(dumps(value)) > limit}
        for chunk in sorted(large):
            if not self._shrink(chunk, named, large, written, limit, most) and not chunk:
                return written
        as_named |= written  # what gave way, and what took over
        chunk = 0
        while chunk == 0 or open_ and len(written) < most:
            here = named.get(chunk, [])
            take, value = self._fill(chunk, here, open_, as_named.get(chunk), limit)
            if not (here or take or chunk == 0):
                break  # not one fits: names longer than any record
            for attempt in take:
                attempt.chunk = chunk
            if take or chunk == 0:
                written[chunk] = value
            open_ = open_[len(take) :]
            chunk += 1
        for chunk in sorted(self.dirty_chunks - written.keys() - large)[: max(0, most - len(written))]:
            written[chunk] = as_named[chunk]
        return written

    def _fill(
        self, chunk: int, here: list[Attempt], open_: list[Attempt], bare: dict | None, limit: int
    ) -> tuple[list[Attempt], dict]:
        """How many of the first of `open_` fit a piece besides `here`, and its value with them.

        `bare` is its value without them, where that has been worked out.
        """
        room = limit * (1.0 if chunk else FIRST_SHARE)
        if bare is None:
            bare = self.encode(chunk, here, limit)
        take = open_[: max(0, int((room - len(dumps(bare))) / LEAST_BYTES))]
        while take:
            value = self.encode(chunk, sorted([*here, *take], key=lambda a: a.index), limit)
            if len(dumps(value)) <= room:
                return take, value
            del take[-1 - len(take) // 8 :]
        return [], bare

    def _shrink(
        self,
        chunk: int,
        named: dict[int, list[Attempt]],
        large: set[int],
        written: dict[int, dict],
        limit: int,
        most: int,
    ) -> bool:
        """Lay out a piece that is too large with the pieces that take over what it can't name.

        False: only copies are written now, as many as there is room for, since the whole does not fit one write.
        """
        here = named.get(chunk, [])
        kept = self._fitting(chunk, [], here, int(limit * (1.0 if chunk else FIRST_SHARE)))
        rest = here[kept:]
        copies: dict[int, list[Attempt]] = {}
        target = 1
        while rest:
            if target not in large:
                there = named.get(target, [])
                count = self._fitting(target, there, rest, limit)
                if count:
                    copies[target] = rest[:count]
                    rest = rest[count:]
                elif not there:
                    return False  # names longer than any record
            target += 1
        if chunk and 0 not in written:
            most -= 1  # the first is written too
        whole = len(written.keys() | copies.keys()) + (chunk not in written) <= most
        for target, attempts in copies.items():
            if target not in written and len(written) >= most:
                break
            named[target] = sorted([*named.get(target, []), *attempts], key=lambda a: a.index)
            written[target] = self.encode(target, named[target], limit)
            self.moved_attempts += [(attempt, target) for attempt in attempts]
        if whole:
            named[chunk] = here[:kept]
            written[chunk] = self.encode(chunk, named[chunk], limit)
            large.discard(chunk)
        return whole

    def _fitting(self, chunk: int, there: list[Attempt], more: list[Attempt], room: int) -> int:
        """How many of the first of `more` a piece can name besides `there`."""
        low, high = 0, min(len(more), room // LEAST_BYTES)
        while low < high:
            middle = (low + high + 1) // 2
            both = sorted([*there, *more[:middle]], key=lambda a: a.index)
            # What is done gives way to what may be on a machine.
            if len(dumps(self.encode(chunk, both, room))) <= room:
                low = middle
            else:
                high = middle - 1
        return low

    def move(self, moved: list[tuple[Attempt, int]], written: set[int]) -> None:
        """Attempts are durably named by other pieces now; those that named them may be written without them."""
        for attempt, chunk in moved:
            if attempt.chunk not in written:
                self.dirty_chunks.add(attempt.chunk)
            attempt.chunk = chunk
            if self.attempts.get(attempt.index) is not attempt:
                self.dirty_chunks.add(chunk)  # it ended meanwhile

    def forget_places(self, kept: set[int]) -> None:
        """Before pieces are read again: only those in `kept` are known to name what they named."""
        self.chunk_sizes = {chunk: size for chunk, size in self.chunk_sizes.items() if chunk in kept}
        for attempt in self.attempts.values():
            if attempt.chunk not in kept:
                attempt.chunk = -1

    def encode(self, chunk: int, attempts: list[Attempt], limit: int) -> dict:
        """The value of a piece, compact: assignments as runs by part and machine; in the first what is done as ranges.

        Tasks placed together have consecutive numbers and attempts.
        """
        partitions: dict[str, dict[str, list[list[int]]]] = {}
        for a in attempts:
            machines = partitions.setdefault(f"{a.zone} {a.partition_token}", {})
            runs = machines.setdefault(f"{a.machine} {a.session}", [])
            if runs and (a.index, a.number) == (runs[-1][0] + runs[-1][2], runs[-1][1] + runs[-1][2]):
                runs[-1][2] += 1
            else:
                runs.append([a.index, a.number, 1])
        if chunk:
            return {"m": partitions}
        ranges = self._done_ranges()
        value = {"q": list(self.resources), "c": self.last_attempt_number, "d": ranges, "m": partitions}
        if len(ranges) > 1 and len(dumps(value)) > limit:
            # Done tasks that the record does not name are run again after a takeover, no more: the longest ranges
            # stay, as many as there is room for.
            ranges.sort(key=lambda r: r[0] - r[1])
            while len(ranges) > 1 and len(dumps(value)) > limit:
                del ranges[-1 - len(ranges) // 8 :]
            ranges.sort()
        return value

    def _done_ranges(self) -> list[list[int]]:
        ranges = []
        start = self.done.find(1)
        while start >= 0:
            end = self.done.find(0, start)
            if end < 0:
                end = len(self.done)
            ranges.append([start, end - 1])
            start = self.done.find(1, end)
        return ranges

    def load(self, chunk: int, value: Any, revision: int, now: float, off: set[tuple[int, int]] | None = None) -> None:
        """Take over a piece of a durable record; raises ValueError when it is not one.

        `off`: attempts already proved gone by this home since the record was written.
        """
        need, counter, ranges, found = self._decode(chunk, value, now)
        if self.spec is None and len(need) == 3:
            self.resources = need
        self.last_attempt_number = max(self.last_attempt_number, counter)
        self.chunk_revisions[chunk] = revision
        self.chunk_sizes[chunk] = len(dumps(value))
        for first, last in ranges:
            for index in range(first, min(last + 1, self.task_count)):
                self.mark_done(index)
        for attempt in found:
            attempt.chunk = chunk
            present = self.attempts.get(attempt.index)
            if present is not None and present.number >= attempt.number:
                self._named_again(present, attempt)
                continue
            if off and (attempt.index, attempt.number) in off:
                self.dirty_chunks.add(chunk)
                continue
            if present is not None and present.chunk >= 0:
                self.dirty_chunks.add(present.chunk)
            # Even of a done task an assignment on record counts until it is proved off.
            self.attempts[attempt.index] = attempt
        if not chunk:
            self.loaded = True

    def _decode(
        self, chunk: int, value: Any, now: float
    ) -> tuple[tuple[float, ...], int, list[tuple[int, int]], list[Attempt]]:
        """What a piece of a record says: need, counter, ranges of what is done, attempts; else ValueError."""
        try:
            need = tuple(float(x) for x in value["q"]) if not chunk else ()
            counter = int(value["c"]) if not chunk else 0
            ranges = [(int(first), int(last)) for first, last in value["d"]] if not chunk else []
            found: list[Attempt] = []
            for partition, machines in value["m"].items():
                zone, token = partition.split(" ")
                for place, runs in machines.items():
                    machine, shift = place.split(" ")
                    for index, number, count in runs:
                        for i in range(int(count)):
                            found.append(
                                Attempt(int(index) + i, int(number) + i, machine, int(shift), zone, int(token), now)
                            )
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            raise ValueError(f"bad live record of {self.id}: {exc}") from None
        return need, counter, ranges, found

    def _named_again(self, present: Attempt, attempt: Attempt) -> None:
        """A piece names an attempt, or one before it, that is known by another: one of the two is to be rewritten."""
        chunk = attempt.chunk
        if present.number > attempt.number:
            self.dirty_chunks.add(chunk)
        elif present.chunk < 0:
            present.chunk = chunk
        elif present.chunk != chunk:
            # Copied, and its first place not yet rewritten: it stays in the smaller record.
            here = self.chunk_sizes.get(present.chunk, 0)
            self.dirty_chunks.add(chunk if here <= self.chunk_sizes[chunk] else present.chunk)
            if here > self.chunk_sizes[chunk]:
                present.chunk = chunk
