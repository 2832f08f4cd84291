"""The records of a submitted job: one job record, and dependency chunks if its list of dependencies is long."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from tealhook.jobs.job_records import JobRecord, JobState, chunk_key, job_key
from tealhook.state_store import StateClient
from tealhook.state_store.client import MAX_TRANSACTION_BYTES
from tealhook.wire.common import encode_json
from tealhook.wire.users import JobSpec

_DEPENDENCY_FIELDS_BYTES = len(b',"waits_on":[],"more":100')  # what dependencies and chunks add to a job record
_CHUNK_OVERHEAD_BYTES = 20  # reserved in each dependency chunk for the JSON around its job ids


class RecordWrite(NamedTuple):
    """A key of the state store and the value to write to it."""

    key: str
    value: dict


class Submission:
    """A valid submission, with its complete record and the writes that store it."""

    __slots__ = ("spec", "record", "writes")

    def __init__(self, spec: JobSpec, record: JobRecord, writes: list[RecordWrite]) -> None:
        """Initialize a submission.

        `record` has all dependencies; `writes` distribute them over the job record and its dependency chunks.
        """
        self.spec = spec
        self.record = record
        self.writes = writes

    @property
    def job_id(self) -> str:
        """The id of the submitted job."""
        return self.spec.job_id


def encode_submission(spec: JobSpec, accepted_at: float, store: StateClient) -> Submission:
    """Encode a job as a job record, and dependency chunks for the dependencies that do not fit into it."""
    max_bytes, key = int(store.max_record_bytes), job_key(spec.job_id)
    sized_ids = [(dependency, len(encode_json(dependency)) + 1) for dependency in spec.depends_on]  # size with a comma

    def take_ids(capacity: int) -> list[str]:
        """Remove and return as many job ids from the front as fit into `capacity` bytes."""
        count = 0
        while count < len(sized_ids) and sized_ids[count][1] <= capacity:
            capacity -= sized_ids[count][1]
            count += 1
        taken = [dependency for dependency, _size in sized_ids[:count]]
        del sized_ids[:count]
        return taken

    first_spec = msgspec.structs.replace(spec, depends_on=[])
    record = JobRecord(spec.team, JobState.ACTIVE, first_spec, accepted_at)
    bytes_without_dependencies = len(encode_json(msgspec.to_builtins(record))) + _DEPENDENCY_FIELDS_BYTES
    first_spec.depends_on = take_ids(max_bytes - bytes_without_dependencies)
    chunks: list[RecordWrite] = []
    while sized_ids and len(chunks) < store.max_operations:
        chunks.append(
            RecordWrite(chunk_key(spec.job_id, len(chunks) + 1), {"w": take_ids(max_bytes - _CHUNK_OVERHEAD_BYTES)})
        )
    record.extra_chunks = len(chunks)
    writes = [RecordWrite(key, msgspec.to_builtins(record)), *chunks]
    return Submission(spec, JobRecord(spec.team, JobState.ACTIVE, spec, accepted_at), writes)


def find_excess_size(submission: Submission, store: StateClient) -> str | None:
    """Return the reason why a submission can't be written in one transaction, or None if it can."""
    sizes = [len(encode_json(write.value)) for write in submission.writes]
    if max(sizes) > store.max_value_bytes:
        return f"too large to be kept: at most {store.max_value_bytes / 1024:g} KiB without waits_on"
    if len(sizes) > store.max_operations or sum(sizes) > MAX_TRANSACTION_BYTES:
        return "too large to be kept: waits_on names too many jobs"
    return None
