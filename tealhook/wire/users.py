"""Messages from users to controllers and the answers: submissions, polls and cancellations of jobs.

`name=` gives the name of a field in the protocol where it differs from the attribute.
"""

from __future__ import annotations

import enum
import re

import msgspec

from tealhook.wire.common import Resources

SUBMIT_PATH = "/work"
JOB_PATH_PREFIX = "/work/"  # followed by the id of the job
CANCEL_SUFFIX = "/abort"  # follows the id of the job
_JOB_ID = re.compile(r"req-[0-9A-Za-z_.-]{1,64}\Z")


class JobKind(enum.StrEnum):
    """The kind of a job, which decides how its tasks are started and end."""

    ARRAY = "array"  # The tasks are independent, and each runs to completion.
    GANG = "group"  # All tasks start together or not at all.
    SERVICE = "service"  # The tasks run until the job is cancelled.


class JobPriority(enum.StrEnum):
    """The priority of a job, from lowest to highest; calls to the state store have priorities of their own."""

    LOW = "low"
    STANDARD = "standard"
    URGENT = "urgent"
    PRODUCTION = "production"

    @property
    def rank(self) -> int:
        """The position among all priorities, by which priorities are compared."""
        return PRIORITY_RANK[self]


PRIORITY_RANK: dict[str, int] = {priority: rank for rank, priority in enumerate(JobPriority)}
STANDARD_RANK = PRIORITY_RANK[JobPriority.STANDARD]


class DisplayedStatus(enum.StrEnum):
    """The status of an active job that is shown to users; an ended job has the status of its record."""

    PENDING = "pending"
    RUNNING = "running"


class JobSpec(msgspec.Struct, omit_defaults=True):
    """A submission with the fields that users send.

    Job records leave out fields that have their defaults, so this type accepts missing fields that `parse_job` rejects.
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
        """The resources that one task takes on its machine."""
        return Resources(self.vcpus, self.gpus, self.memory_gb)


class JobStatus(msgspec.Struct, omit_defaults=True):
    """The answer to a poll, a submission or a cancellation, with numbers of tasks where they are known."""

    job_id: str = msgspec.field(name="name_id")
    status: str
    done: int | None = None
    running: int | None = None


def is_valid_job_id(text: str) -> bool:
    """Check whether `text` has the form of a job id."""
    return bool(_JOB_ID.match(text))
