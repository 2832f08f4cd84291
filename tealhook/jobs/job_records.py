"""Keys, types and parsing of the job records, `job/<id>` in the state store.

The short field names are the stored format: every version of the service reads and writes the same bytes.
"""

from __future__ import annotations

import enum
import logging
from typing import Any

import msgspec

from tealhook.wire.users import JobSpec

log = logging.getLogger(__name__)

JOBS_PREFIX = "job/"


def job_key(job_id: str) -> str:
    """Return the key of a job's record."""
    return JOBS_PREFIX + job_id


def chunk_key(job_id: str, chunk: int) -> str:
    """Return the key of a chunk of a job's dependencies; chunks are numbered from 1."""
    return f"{job_key(job_id)}/{chunk}"


def parse_job_key(key: str) -> tuple[str, int]:
    """Return the job id and the dependency chunk number in a key; chunk 0 is the job record itself."""
    job_id, _, chunk = key[len(JOBS_PREFIX) :].partition("/")
    return job_id, int(chunk) if chunk.isdigit() else 0


class JobState(enum.StrEnum):
    """The status in a job's record; every status except `ACTIVE` is final."""

    ACTIVE = "active"
    DONE = "done"
    CANCELLED = "cancelled"


class JobRecord(msgspec.Struct, omit_defaults=True):
    """The value of `job/<id>`.

    `status` is a `JobState`, but any string is accepted: a final status that a later version may add still counts as
    final here, instead of making the record unreadable. `status_since` is the wall-clock time at which the job was
    accepted or, once it has ended, at which it ended. `spec` is the submission, present while the job is active.
    `extra_chunks` is the number of records `job/<id>/<n>`, from 1 on, that hold the rest of the job's dependencies.
    """

    team: str = msgspec.field(name="t")
    status: str = msgspec.field(name="st")
    spec: JobSpec | None = msgspec.field(default=None, name="s")
    status_since: float = msgspec.field(default=0.0, name="at")
    extra_chunks: int = msgspec.field(default=0, name="more")


class DependencyChunk(msgspec.Struct):
    """The value of `job/<id>/<n>`: dependencies that do not fit into the job record itself."""

    depends_on: list[str] = msgspec.field(name="w")


def parse_record(value: Any) -> JobRecord | None:
    """Return the job record in a stored value; log a malformed one and return None."""
    try:
        return msgspec.convert(value, JobRecord)
    except msgspec.ValidationError as exc:
        log.error("ignoring malformed job record: %s", exc)
        return None


def parse_dependency_chunk(job_id: str, value: Any) -> list[str] | None:
    """Return the dependencies in a stored chunk of a job; log a malformed one and return None."""
    try:
        return msgspec.convert(value, DependencyChunk).depends_on
    except msgspec.ValidationError as exc:
        log.error("job %s: ignoring malformed dependency chunk: %s", job_id, exc)
        return None
