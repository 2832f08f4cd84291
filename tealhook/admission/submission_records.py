"""The records that a submitted job is written as: one, and further chunks for long lists of dependencies."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from tealhook.jobs.job_records import JobRecord, JobState, job_key
from tealhook.scheduling.job_writes import MAX_TRANSACTION_BYTES
from tealhook.state_store import StateClient
from tealhook.wire.common import encode_json
from tealhook.wire.users import JobSpec

_CHUNK_FIELDS_BYTES = len(b',"waits_on":[],"more":100')  # of a record that has dependencies and further chunks
_CHUNK_OVERHEAD_BYTES = 20  # of a further chunk around its names


class RecordWrite(NamedTuple):
    """A key and the value that is written to it."""

    key: str
    value: dict


class Submission:
    """A job that may be accepted: the whole of it, and the records that it is written as."""

    __slots__ = ("spec", "record", "writes")

    def __init__(self, spec: JobSpec, record: JobRecord, writes: list[RecordWrite]) -> None:
        """`record` has all dependencies; `writes` spread them over a record and its further chunks."""
        self.spec = spec
        self.record = record
        self.writes = writes

    @property
    def job(self) -> str:
        """The job's id."""
        return self.spec.job_id


def encode_submission(spec: JobSpec, accepted_at: float, store: StateClient) -> Submission:
    """Encode a job as its own record, and the further chunks that continue its list of dependencies."""
    limit, key = int(store.max_record_bytes), job_key(spec.job_id)
    sized_names = [(name, len(encode_json(name)) + 1) for name in spec.depends_on]  # each with a comma

    def take_names(capacity: int) -> list[str]:
        """Remove as many names from the front as fit into `capacity` bytes."""
        count = 0
        while count < len(sized_names) and sized_names[count][1] <= capacity:
            capacity -= sized_names[count][1]
            count += 1
        taken = [name for name, _size in sized_names[:count]]
        del sized_names[:count]
        return taken

    first = msgspec.structs.replace(spec, depends_on=[])
    record = JobRecord(spec.team, JobState.ACTIVE, first, accepted_at)
    bare_bytes = len(encode_json(msgspec.to_builtins(record))) + _CHUNK_FIELDS_BYTES
    first.depends_on = take_names(limit - bare_bytes)
    chunks: list[RecordWrite] = []
    while sized_names and len(chunks) < store.max_operations:
        chunks.append(RecordWrite(f"{key}/{len(chunks) + 1}", {"w": take_names(limit - _CHUNK_OVERHEAD_BYTES)}))
    record.extra_chunks = len(chunks)
    writes = [RecordWrite(key, msgspec.to_builtins(record)), *chunks]
    return Submission(spec, JobRecord(spec.team, JobState.ACTIVE, spec, accepted_at), writes)


def find_excess_size(submission: Submission, store: StateClient) -> str | None:
    """Why the records of a submission can't be written in one transaction; None when they can."""
    sizes = [len(encode_json(write.value)) for write in submission.writes]
    if max(sizes) > store.max_value_bytes:
        return f"too large to be kept: at most {store.max_value_bytes / 1024:g} KiB without waits_on"
    if len(sizes) > store.max_operations or sum(sizes) > MAX_TRANSACTION_BYTES:
        return "too large to be kept: waits_on names too many jobs"
    return None
