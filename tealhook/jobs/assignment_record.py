"""The assignment record of a job, `live/<team>/<job>`: its keys, and how its chunks are encoded and decoded.

The record makes durable which tasks may be on which machines and which are done. It is one value, or several chunks
where one is too small to name all assignments. The one-letter fields are what is stored; every version of the service
reads and writes the same bytes.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

from tealhook.errors import CorruptRecordError
from tealhook.jobs.attempt import Attempt
from tealhook.wire.common import encode_json

ASSIGNMENTS_PREFIX = "live/"
DONE = 1  # of a task in `JobTasks.done`
NOT_DONE = 0

# zone and partition token -> machine and session -> runs of [first task, its attempt, number of tasks]
_Assignments = dict[str, dict[str, list[list[int]]]]


def assignment_key(team: str, job: str, chunk: int = 0) -> str:
    """Return the key of a chunk of a job's assignment record."""
    return f"{ASSIGNMENTS_PREFIX}{team}/{job}/{chunk}" if chunk else f"{ASSIGNMENTS_PREFIX}{team}/{job}"


def parse_assignment_key(key: str, team: str) -> tuple[str, int]:
    """Return the job and the chunk that a key of a team's assignment records belongs to."""
    job, _, chunk = key[len(assignment_key(team, "")) :].partition("/")
    return job, int(chunk) if chunk.isdigit() else 0


class DecodedChunk(NamedTuple):
    """What a chunk says; only the first has more than attempts."""

    attempts: list[Attempt]
    resources: tuple[float, ...] = ()  # of one task: CPUs, GPUs, memory
    last_attempt_number: int = 0
    done_ranges: Sequence[tuple[int, int]] = ()  # first and last task of each


def encode_first_chunk(
    attempts: Iterable[Attempt],
    resources: Iterable[float],
    last_attempt_number: int,
    done: bytearray,
    limit: float,
) -> dict:
    """Return the value of a record's first chunk, with what is done as ranges, as many as `limit` bytes allow."""
    ranges = _done_ranges(done)
    value = {"q": list(resources), "c": last_attempt_number, "d": ranges, "m": _encode_assignments(attempts)}
    if len(ranges) > 1 and len(encode_json(value)) > limit:
        # Done tasks that the record does not name are run again after a failover, no more: the longest ranges stay,
        # as many as there is space for.
        ranges.sort(key=lambda r: r[0] - r[1])
        while len(ranges) > 1 and len(encode_json(value)) > limit:
            del ranges[-1 - len(ranges) // 8 :]
        ranges.sort()
    return value


def encode_further_chunk(attempts: Iterable[Attempt]) -> dict:
    """Return the value of a chunk after the first: assignments alone."""
    return {"m": _encode_assignments(attempts)}


def decode_chunk(key: str, chunk: int, value: Any, now: float) -> DecodedChunk:
    """Return what the value of a chunk says, with attempts assigned `now`; raises `CorruptRecordError`."""
    try:
        if chunk:
            return DecodedChunk(_decode_assignments(value["m"], now))
        return DecodedChunk(
            resources=tuple(float(amount) for amount in value["q"]),
            last_attempt_number=int(value["c"]),
            done_ranges=[(int(first), int(last)) for first, last in value["d"]],
            attempts=_decode_assignments(value["m"], now),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise CorruptRecordError(key, "a chunk of an assignment record", repr(exc)) from None


def _encode_assignments(attempts: Iterable[Attempt]) -> _Assignments:
    """Assignments as runs by partition and machine: tasks placed together have consecutive indexes and attempts."""
    partitions: _Assignments = {}
    for a in attempts:
        machines = partitions.setdefault(f"{a.zone} {a.partition_token}", {})
        runs = machines.setdefault(f"{a.machine} {a.session}", [])
        if runs and (a.index, a.number) == (runs[-1][0] + runs[-1][2], runs[-1][1] + runs[-1][2]):
            runs[-1][2] += 1
        else:
            runs.append([a.index, a.number, 1])
    return partitions


def _decode_assignments(partitions: Any, now: float) -> list[Attempt]:
    attempts: list[Attempt] = []
    for partition, machines in partitions.items():
        zone, token = partition.split(" ")
        for place, runs in machines.items():
            machine, session = place.split(" ")
            for index, number, count in runs:
                for i in range(int(count)):
                    attempts.append(
                        Attempt(int(index) + i, int(number) + i, machine, int(session), zone, int(token), now)
                    )
    return attempts


def _done_ranges(done: bytearray) -> list[list[int]]:
    """First and last of each run of tasks that are done."""
    ranges = []
    start = done.find(DONE)
    while start >= 0:
        end = done.find(NOT_DONE, start)
        if end < 0:
            end = len(done)
        ranges.append([start, end - 1])
        start = done.find(DONE, end)
    return ranges
