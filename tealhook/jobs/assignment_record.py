"""Keys and encoding of a job's assignment record, `live/<team>/<job>`.

The record makes durable which tasks may be on which machines and which tasks are done. It is a single value, or several
chunks when one value is too small to list all assignments. The one-letter fields are the stored format: every version
of the service reads and writes the same bytes.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

from tealhook.errors import CorruptRecordError
from tealhook.jobs.attempt import Attempt
from tealhook.wire.common import encode_json

ASSIGNMENTS_PREFIX = "live/"
TASK_DONE = 1  # the value of a finished task in `JobTasks.done`
TASK_NOT_DONE = 0

# "<zone> <partition token>" -> "<machine> <session>" -> runs of [first task, number of its attempt, number of tasks]
_Assignments = dict[str, dict[str, list[list[int]]]]


def assignment_key(team: str, job_id: str, chunk: int = 0) -> str:
    """Return the key of a chunk of a job's assignment record."""
    return f"{ASSIGNMENTS_PREFIX}{team}/{job_id}/{chunk}" if chunk else f"{ASSIGNMENTS_PREFIX}{team}/{job_id}"


def parse_assignment_key(key: str, team: str) -> tuple[str, int]:
    """Return the job id and the chunk number in a key of one of a team's assignment records."""
    job_id, _, chunk = key[len(assignment_key(team, "")) :].partition("/")
    return job_id, int(chunk) if chunk.isdigit() else 0


class DecodedChunk(NamedTuple):
    """The content of a chunk; only the first chunk has more than attempts."""

    attempts: list[Attempt]
    resources: tuple[float, ...] = ()  # CPUs, GPUs and memory of one task
    last_attempt_number: int = 0
    done_ranges: Sequence[tuple[int, int]] = ()  # the first and the last task of each range


def encode_first_chunk(
    attempts: Iterable[Attempt],
    resources: Iterable[float],
    last_attempt_number: int,
    done: bytearray,
    max_bytes: float,
) -> dict:
    """Return the value of a record's first chunk, with as many ranges of done tasks as fit into `max_bytes`."""
    ranges = _done_ranges(done)
    value = {"q": list(resources), "c": last_attempt_number, "d": ranges, "m": _encode_assignments(attempts)}
    if len(ranges) > 1 and len(encode_json(value)) > max_bytes:
        # A done task that the record does not list merely runs again after a failover, so the shortest ranges may go.
        ranges.sort(key=lambda r: r[0] - r[1])
        while len(ranges) > 1 and len(encode_json(value)) > max_bytes:
            del ranges[-1 - len(ranges) // 8 :]
        ranges.sort()
    return value


def encode_further_chunk(attempts: Iterable[Attempt]) -> dict:
    """Return the value of any chunk after the first, which holds assignments only."""
    return {"m": _encode_assignments(attempts)}


def decode_chunk(key: str, chunk: int, value: Any, now: float) -> DecodedChunk:
    """Return the content of a chunk, with all attempts assigned at `now`.

    Raise `CorruptRecordError` if the value is malformed.
    """
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
    """Encode attempts as runs per partition and machine.

    Tasks that are placed together have consecutive indexes and attempt numbers, and share a run.
    """
    partitions: _Assignments = {}
    for attempt in attempts:
        machines = partitions.setdefault(f"{attempt.zone} {attempt.partition_token}", {})
        runs = machines.setdefault(f"{attempt.machine} {attempt.session}", [])
        if runs and (attempt.index, attempt.number) == (runs[-1][0] + runs[-1][2], runs[-1][1] + runs[-1][2]):
            runs[-1][2] += 1
        else:
            runs.append([attempt.index, attempt.number, 1])
    return partitions


def _decode_assignments(partitions: Any, now: float) -> list[Attempt]:
    attempts: list[Attempt] = []
    for partition, machines in partitions.items():
        zone, token = partition.split(" ")
        for machine_session, runs in machines.items():
            machine, session = machine_session.split(" ")
            for index, number, count in runs:
                for offset in range(int(count)):
                    attempts.append(
                        Attempt(int(index) + offset, int(number) + offset, machine, int(session), zone, int(token), now)
                    )
    return attempts


def _done_ranges(done: bytearray) -> list[list[int]]:
    """Return the first and the last task of each range of consecutive done tasks."""
    ranges = []
    start = done.find(TASK_DONE)
    while start >= 0:
        end = done.find(TASK_NOT_DONE, start)
        if end < 0:
            end = len(done)
        ranges.append([start, end - 1])
        start = done.find(TASK_DONE, end)
    return ranges
