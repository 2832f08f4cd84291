"""The partition owner's view of one machine: its tasks, reservations, pending commands and cached computations."""

from __future__ import annotations

import enum
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple

from tealhook.loop.effects import LONG_AGO_S
from tealhook.wire import mesh
from tealhook.wire import workers as wire
from tealhook.wire.common import RESOURCE_TOLERANCE, Resources

# A time on the monotonic clock, or a duration, beyond everything that can be estimated. It is finite because it is sent
# to other controllers.
FAR_FUTURE_S = 1e9

# The number of tasks of one kind that fit on a machine now and, if it is 0, the time from which one should fit. A plain
# tuple, since there is one for each machine and kind of waiting task, and the garbage collector would traverse named
# tuples on each collection.
TaskFit = tuple[int, float]


class AttemptKey(NamedTuple):
    """One attempt to run a task: the id by which the worker knows the task, and the number of the attempt."""

    task_id: str
    attempt: int


@dataclass(slots=True)
class MachineTask:
    """A task on the machine according to the machine's latest heartbeat."""

    task_id: str
    job: str
    index: int
    attempt: int
    status: str
    cause: str | None
    first_reported_at: float
    running_since: float = 0.0  # when a heartbeat first reported it as running; 0: not running yet
    preempting_reservation_id: int = 0  # the reservation that the task is to be preempted for; 0: none
    reserved_at: float = 0.0  # when its resources were reserved; 0: under an earlier owner of the partition
    non_preemptible: bool = False  # set for the first task of a job that has waited for long
    resources: Resources | None = None  # None while this node does not know the job
    key: AttemptKey = field(init=False)

    def __post_init__(self) -> None:
        """Create the key once, since each heartbeat looks the task up by it."""
        self.key = AttemptKey(self.task_id, self.attempt)

    @property
    def is_alive(self) -> bool:
        """True while the task uses resources of the machine."""
        return self.status != wire.TaskStatus.EXITED


class ReservationState(enum.Enum):
    """The progress of a reservation towards a task that the worker reports."""

    RESERVED = "reserved"  # waits to be used, and expires otherwise
    LAUNCHING = "launching"  # the assignment is durable; the start command is sent until the worker reports the task
    REVOKED = "revoked"  # the assignment is durable, but the task must not start any more


@dataclass(slots=True)
class Reservation:
    """Resources held for a task that the worker has not reported yet."""

    reservation_id: int
    team: str
    job: str
    resources: Resources
    image: str
    expires_at: float
    reserved_at: float
    victims: list[AttemptKey] = field(default_factory=list)  # attempts to be preempted when the task is launched
    index: int = -1
    attempt: int = 0
    state: ReservationState = ReservationState.RESERVED
    send_count: int = 0  # responses that carried the start command
    non_preemptible: bool = False

    @property
    def is_assigned(self) -> bool:
        """True once the task's assignment is durable, revoked or not; the reservation no longer expires then."""
        return self.state is not ReservationState.RESERVED

    @property
    def is_revoked(self) -> bool:
        """True if the task must not start any more."""
        return self.state is ReservationState.REVOKED

    @property
    def task_id(self) -> str:
        """The id by which the worker knows the task; valid once the reservation is assigned."""
        return f"{self.job}/{self.index}"

    @property
    def key(self) -> AttemptKey:
        """The attempt that uses the reservation; valid once the reservation is assigned."""
        return AttemptKey(self.task_id, self.attempt)


class PublishedStatus(NamedTuple):
    """The latest status update about a machine that a team's scheduler was sent."""

    content: tuple[int, tuple[tuple[str, int, int, str], ...]]  # session; job, index, attempt and status of each task
    published_at: float
    sequence: int


class CapacityHold(NamedTuple):
    """A machine's capacity held for a starving job until a given time."""

    job: str
    expires_at: float


class ExpectedEnd(NamedTuple):
    """The estimated end of a task and the resources that it frees then."""

    ends_at: float
    resources: Resources


class Machine:
    """The state of one machine, as updated by heartbeats, reservations and commands."""

    def __init__(self, heartbeat: wire.Heartbeat, now: float) -> None:
        """Take the machine's identity from its first heartbeat, which has yet to be applied like any later one."""
        self.name = heartbeat.machine
        self.machine_type = heartbeat.machine_type
        self.spot = heartbeat.spot
        self.address = heartbeat.address
        self.session = heartbeat.session
        self.sequence = -1
        self.last_heartbeat_at = now
        self.acknowledges_token = False  # the latest heartbeat carries this owner's token
        self.session_started_at = now  # when the current session was first reported
        self.last_answered_at = LONG_AGO_S  # when a heartbeat of the current session was last answered
        self.commands_lost_since: float | None = None  # None: commands reach the machine
        self.last_probed_at = LONG_AGO_S
        self.is_reconciled = False  # a heartbeat that carried this owner's token has reported the machine's tasks
        self.is_terminating = False  # the cloud has announced that it will terminate the machine
        self.is_draining = False  # the fleet manager wants the machine to become empty
        self.is_unhealthy = False  # tasks of several jobs have failed on it
        self.tasks: dict[AttemptKey, MachineTask] = {}
        self.reservations: dict[int, Reservation] = {}
        self.pending_stops: dict[AttemptKey, float] = {}  # attempt to be stopped -> grace period in seconds
        self.pending_forgets: set[AttemptKey] = set()
        self.images: OrderedDict[str, float] = OrderedDict()  # image -> GB, the least recently used first
        self.failed_jobs: set[str] = set()  # jobs that failed here since a task last succeeded
        self.published_statuses: dict[str, PublishedStatus] = {}  # by team
        self.last_published_at = LONG_AGO_S  # when status updates were last computed
        self.capacity_hold: CapacityHold | None = None
        self.has_unsettled_exits = False  # an exited task is still reported, as its outcome is not durable yet
        self.has_unpublished_changes = True  # something has changed since status updates were last computed
        # The following are computed on demand and cached until the machine changes.
        self.free_resources: Resources | None = None
        self.expected_ends: list[ExpectedEnd] | None = None
        self.checkpointing_tasks: list[MachineTask] | None = None  # preemptible tasks that save checkpoints
        self.fit_cache: dict[Resources, TaskFit] = {}

    def mark_changed(self) -> None:
        """Discard the cached computations after a change, and note that status updates are due."""
        self.has_unpublished_changes = True
        self.free_resources = self.expected_ends = self.checkpointing_tasks = None
        self.fit_cache.clear()

    def accepts_tasks(self, now: float, max_silence_s: float) -> bool:
        """Check whether a task placed now should start within one heartbeat period."""
        is_cordoned = (
            self.is_terminating or self.is_draining or self.is_unhealthy or self.commands_lost_since is not None
        )
        return self.is_reconciled and not is_cordoned and now - self.last_heartbeat_at <= max_silence_s

    def list_reservations(self) -> list[Reservation]:
        """Return a copy of the reservations, so that the caller can drop some while it iterates."""
        return list(self.reservations.values())

    def add_image(self, image: str, image_gb: float, disk_gb: float) -> None:
        """Record that the machine has an image, and evict the least recently used ones when the disk is full."""
        if not image:
            return
        self.images[image] = image_gb
        self.images.move_to_end(image)
        while len(self.images) > 1 and sum(self.images.values()) > disk_gb:
            self.images.popitem(last=False)

    def has_image(self, image: str) -> bool:
        """Check whether a task with the image starts without fetching it."""
        return not image or image in self.images


def required_resources(requirements: mesh.TaskRequirements) -> Resources:
    """Return the resources that one task with these requirements uses on its machine."""
    return Resources(requirements.vcpus, requirements.gpus, requirements.memory_gb)


def fits(free: Resources, required: Resources) -> bool:
    """Check whether a task that needs `required` fits into `free`."""
    # Access by index: this runs for each machine and task, and access by attribute costs twice as much.
    return (
        required[0] <= free[0] + RESOURCE_TOLERANCE
        and required[1] <= free[1] + RESOURCE_TOLERANCE
        and required[2] <= free[2] + RESOURCE_TOLERANCE
    )


def count_fitting(free: Resources, required: Resources) -> int:
    """Return the number of tasks needing `required` each that fit into `free`."""
    if not fits(free, required):
        return 0
    return min(
        int((available + RESOURCE_TOLERANCE) / needed) for available, needed in zip(free, required) if needed > 0
    )


def add_resources(free: Resources, freed: Resources) -> Resources:
    """Return the free resources after `freed` has been released."""
    return Resources(free[0] + freed[0], free[1] + freed[1], free[2] + freed[2])


def subtract_resources(free: Resources, required: Resources, count: int = 1) -> Resources:
    """Return the resources left of `free` after `count` tasks needing `required` each have been placed."""
    return Resources(
        free[0] - count * required[0],
        free[1] - count * required[1],
        free[2] - count * required[2],
    )
