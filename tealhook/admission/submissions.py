"""What a submitted job is written as: one record, and further ones for long lists of jobs that it waits for."""

from __future__ import annotations

import msgspec

from tealhook.jobs.job_records import JobRecord, JobState, job_key
from tealhook.scheduling.job_writes import TXN_BYTES
from tealhook.state_store import StateClient
from tealhook.wire.common import dumps
from tealhook.wire.users import JobSpec


class Submission:
    """A job that may be accepted: the whole of it, and the records that it is written as."""

    __slots__ = ("spec", "record", "rows")

    def __init__(self, spec: JobSpec, record: JobRecord, rows: list[tuple[str, dict]]) -> None:
        """`record` has all names that the job waits for; `rows` are the keys and values that say so on record."""
        self.spec = spec
        self.record = record
        self.rows = rows

    @property
    def job(self) -> str:
        """The job's id."""
        return self.spec.job_id


def lay_out(spec: JobSpec, at: float, store: StateClient) -> Submission:
    """Lay out the records of a job accepted at `at`: its own, and those that go on with the names it waits for."""
    limit, key = int(store.record_bytes), job_key(spec.job_id)
    names = [(name, len(dumps(name)) + 1) for name in spec.depends_on]

    def take(room: int) -> list[str]:
        taken = 0
        while taken < len(names) and names[taken][1] <= room:
            room -= names[taken][1]
            taken += 1
        part = [name for name, _ in names[:taken]]
        del names[:taken]
        return part

    first = msgspec.structs.replace(spec, depends_on=[])
    record = JobRecord(spec.team, JobState.ACTIVE, first, at)
    bare = len(dumps(msgspec.to_builtins(record))) + len(b',"waits_on":[],"more":100')
    first.depends_on = take(limit - bare)
    further: list[tuple[str, dict]] = []
    while names and len(further) < store.max_operations:
        further.append((f"{key}/{len(further) + 1}", {"w": take(limit - 20)}))
    record.extra_chunks = len(further)
    rows = [(key, msgspec.to_builtins(record)), *further]
    return Submission(spec, JobRecord(spec.team, JobState.ACTIVE, spec, at), rows)


def why_too_large(submission: Submission, store: StateClient) -> str | None:
    """Why the records of a submission can't be written in one transaction; None when they can."""
    sizes = [len(dumps(value)) for _, value in submission.rows]
    if max(sizes) > store.value_bytes:
        return f"too large to be kept: at most {store.value_bytes / 1024:g} KiB without waits_on"
    if len(sizes) > store.max_operations or sum(sizes) > TXN_BYTES:
        return "too large to be kept: waits_on names too many jobs"
    return None
