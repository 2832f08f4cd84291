"""Users -> controllers: jobs as submitted, and the answers about them.

Field names are the field's terms; `name=` gives the name that the protocol has for each of them.
"""

from __future__ import annotations

import enum
import re

import msgspec

from tealhook.wire.common import Resources

SUBMIT_PATH = "/work"
JOB_PATH_PREFIX = "/work/"  # before the id of the job
CANCEL_SUFFIX = "/abort"  # after the id of the job
_JOB_ID = re.compile(r"req-[0-9A-Za-z_.-]{1,64}\Z")


class JobKind(enum.StrEnum):
    """How the tasks of a job belong together."""

    ARRAY = "array"  # independent tasks, each runs to completion
    GANG = "group"  # all tasks start together, or none does
    SERVICE = "service"  # runs until it is cancelled


class JobPriority(enum.StrEnum):
    """How urgent a job is, the least first. Not the priority of a call to the state service."""

    LOW = "low"
    STANDARD = "standard"
    URGENT = "urgent"
    PRODUCTION = "production"

    @property
    def rank(self) -> int:
        """The position among all priorities, by which they are compared."""
        return PRIORITY_RANK[self]


PRIORITY_RANK: dict[str, int] = {priority: rank for rank, priority in enumerate(JobPriority)}
STANDARD_RANK = PRIORITY_RANK[JobPriority.STANDARD]


class DisplayedStatus(enum.StrEnum):
    """The status of an active job as its user sees it; a job that has ended has the status of its record."""

    PENDING = "pending"
    RUNNING = "running"


class JobSpec(msgspec.Struct, omit_defaults=True):
    """A submission, field by field as users send it.

    Job records hold it without what has its default, so it is read more leniently than `parse_job` reads users.
    """

    job_id: str = msgspec.field(name="name_id")
    job_class: str = msgspec.field(name="lineup")
    team: str = msgspec.field(name="crew")
    kind: str = msgspec.field(name="shape")
    priority: str = msgspec.field(name="urgency")
    task_count: int = msgspec.field(name="plays")
    vcpus: float
    memory_gb: float
    gpus: float = msgspec.field(default=0.0, name="cards")
    image: str | None = msgspec.field(default=None, name="playbook")
    image_gb: float = msgspec.field(default=0.0, name="pull_gb")
    machine_types: list[str] | None = msgspec.field(default=None, name="rigs")
    zone: str | None = msgspec.field(default=None, name="yard")
    single_zone: bool = msgspec.field(default=False, name="together")
    spread: bool = False
    allows_spot: bool = msgspec.field(default=False, name="loaners")
    estimated_run_s: float = msgspec.field(default=0.0, name="expected_s")
    checkpoint_interval_s: float = msgspec.field(default=0.0, name="snapshot_every_s")
    checkpoint_s: float = msgspec.field(default=0.0, name="snapshot_s")
    deadline_s: float | None = msgspec.field(default=None, name="due_s")
    depends_on: list[str] = msgspec.field(default_factory=list, name="waits_on")

    @property
    def resources(self) -> Resources:
        """What one task takes of its machine."""
        return Resources(self.vcpus, self.gpus, self.memory_gb)


class JobStatus(msgspec.Struct, omit_defaults=True):
    """The answer to a poll, a submission or a cancellation."""

    job_id: str = msgspec.field(name="name_id")
    status: str
    done: int | None = None
    running: int | None = None


def is_valid_job_id(text: str) -> bool:
    """Whether `text` has the form of a job id."""
    return bool(_JOB_ID.match(text))
