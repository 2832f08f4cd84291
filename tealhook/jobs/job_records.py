"""The records `job/<id>` in the state service: their keys, their types, and how they are parsed.

The short field names are what is stored; every version of the service reads and writes the same bytes.
"""

from __future__ import annotations

import enum
import logging
from typing import Any

import msgspec

from tealhook.wire.users import JobSpec

log = logging.getLogger(__name__)

JOBS_PREFIX = "job/"


def job_key(job: str) -> str:
    """Return the key of a job's record."""
    return JOBS_PREFIX + job


def parse_job_key(key: str) -> tuple[str, int]:
    """Return the job that a key belongs to, and the number of its dependency chunk; 0 is the job record itself."""
    job, _, chunk = key[len(JOBS_PREFIX) :].partition("/")
    return job, int(chunk) if chunk.isdigit() else 0


class JobState(enum.StrEnum):
    """The status on a job's record; all but the first are final."""

    ACTIVE = "active"
    DONE = "done"
    CANCELLED = "cancelled"


class JobRecord(msgspec.Struct, omit_defaults=True):
    """The value of `job/<id>`: team, status, when it was accepted (or ended), and the submission while active.

    `status` is a `JobState`. It is read as any string, so that a final status which a later version may add still
    counts as final here, instead of making the record unreadable.

    `extra_chunks`: so many records `job/<id>/<n>`, counted from 1, hold the rest of the job's dependencies.
    """

    team: str = msgspec.field(name="t")
    status: str = msgspec.field(name="st")
    spec: JobSpec | None = msgspec.field(default=None, name="s")
    status_since: float = msgspec.field(default=0.0, name="at")
    extra_chunks: int = msgspec.field(default=0, name="more")


class DependencyChunk(msgspec.Struct):
    """The value of `job/<id>/<n>`: dependencies that the job record itself has no room for."""

    depends_on: list[str] = msgspec.field(name="w")


def parse_record(value: Any) -> JobRecord | None:
    """Return the job record that a stored value holds; a malformed one is logged, and None is returned."""
    try:
        return msgspec.convert(value, JobRecord)
    except msgspec.ValidationError as exc:
        log.error("malformed job record: %s", exc)
        return None


def parse_dependency_chunk(job: str, value: Any) -> list[str] | None:
    """Return the dependencies that a stored chunk of a job holds; a malformed one is logged, and None is returned."""
    try:
        return msgspec.convert(value, DependencyChunk).depends_on
    except msgspec.ValidationError as exc:
        log.error("malformed dependency chunk of %s: %s", job, exc)
        return None
