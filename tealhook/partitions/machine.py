"""One machine as the owner of its partition knows it: its tasks, reservations, pending commands and cached sums."""

from __future__ import annotations

import enum
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple

from tealhook.loop.effects import LONG_AGO_S
from tealhook.wire import mesh
from tealhook.wire import workers as wire
from tealhook.wire.common import Resources

RESOURCE_TOLERANCE = 1e-6  # sums of requested resources are compared with this much slack
FAR_FUTURE_S = 1e9  # as a duration, and on the monotonic clock: not as far as known; finite, since it is sent

# How many tasks of some resources fit on a machine now; if none does, from when one should. A plain tuple: there is one
# for each machine and kind of waiting task, and the garbage collector would visit typed ones again and again.
TaskFit = tuple[int, float]


class AttemptKey(NamedTuple):
    """One attempt to run a task: the task as the worker calls it, and the number of the attempt."""

    task_id: str
    attempt: int


@dataclass(slots=True)
class MachineTask:
    """A task on the machine, by its latest heartbeat."""

    task_id: str
    job: str
    index: int
    attempt: int
    status: str
    cause: str | None
    first_reported_at: float
    running_since: float = 0.0  # when it was first seen running; 0: not yet
    preempting_reservation_id: int = 0  # reservation that takes its resources
    reserved_at: float = 0.0  # when its resources were reserved here; 0: by an earlier owner
    non_preemptible: bool = False  # the first task of a job that waited long: not preempted
    resources: Resources | None = None  # what it takes; None: nobody here knows its job yet
    key: AttemptKey = field(init=False)

    def __post_init__(self) -> None:
        """Its key is made once: each heartbeat looks it up."""
        self.key = AttemptKey(self.task_id, self.attempt)

    @property
    def is_alive(self) -> bool:
        """Whether it still takes resources of the machine."""
        return self.status != wire.TaskStatus.EXITED


class ReservationState(enum.Enum):
    """How far a reservation has come on its way to a task that the worker reports."""

    RESERVED = "reserved"  # until it is used or expires
    LAUNCHING = "launching"  # its task's assignment is durable: the start command is sent, and sent again
    REVOKED = "revoked"  # it was launching, and its task must not start any more


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
    victims: list[AttemptKey] = field(default_factory=list)
    index: int = -1
    attempt: int = 0
    state: ReservationState = ReservationState.RESERVED
    send_count: int = 0  # how often the start command was sent
    non_preemptible: bool = False

    @property
    def is_assigned(self) -> bool:
        """Whether its task's assignment is durable, be it revoked since or not: it does not expire any more."""
        return self.state is not ReservationState.RESERVED

    @property
    def is_revoked(self) -> bool:
        """Whether its task must not start any more."""
        return self.state is ReservationState.REVOKED

    @property
    def task_id(self) -> str:
        """The task as the worker calls it, once it is launched."""
        return f"{self.job}/{self.index}"

    @property
    def key(self) -> AttemptKey:
        """The attempt that it is for, once it is launched."""
        return AttemptKey(self.task_id, self.attempt)


class PublishedStatus(NamedTuple):
    """The newest status update that a team's scheduler was sent of a machine."""

    content: tuple[int, tuple[tuple[str, int, int, str], ...]]  # session, and job, index, attempt, status of each task
    published_at: float
    sequence: int


class CapacityHold(NamedTuple):
    """A starving job for which a machine's resources are held, and until when."""

    job: str
    expires_at: float


class ExpectedEnd(NamedTuple):
    """When a task should end, and what it frees then."""

    ends_at: float
    resources: Resources


class Machine:
    """Heartbeats update it, reservations take resources of it, responses carry its commands."""

    def __init__(self, heartbeat: wire.Heartbeat, now: float) -> None:
        """A machine first heard of by a heartbeat, of which only its name and type are taken over as yet."""
        self.name = heartbeat.machine
        self.machine_type = heartbeat.machine_type
        self.spot = heartbeat.spot
        self.address = heartbeat.address
        self.session = heartbeat.session
        self.sequence = -1
        self.last_heartbeat_at = now
        self.acknowledges_token = False  # its newest heartbeat was made under our token
        self.session_started_at = now  # when its present session was first heard of
        self.last_answered_at = LONG_AGO_S  # when a heartbeat of its present session was last answered
        self.commands_lost_since: float | None = None  # its heartbeats arrive, but commands don't reach it
        self.last_probed_at = LONG_AGO_S
        self.is_reconciled = False  # a heartbeat under our token has shown what is on it
        self.is_terminating = False  # the cloud has given notice that it takes the machine
        self.is_draining = False  # the fleet manager wants it empty
        self.is_unhealthy = False  # tasks of several jobs failed on it
        self.tasks: dict[AttemptKey, MachineTask] = {}
        self.reservations: dict[int, Reservation] = {}
        self.pending_stops: dict[AttemptKey, float] = {}  # attempts to be stopped, and their grace periods
        self.pending_forgets: set[AttemptKey] = set()
        self.images: OrderedDict[str, float] = OrderedDict()  # in the order of last use: image -> GB
        self.failed_jobs: set[str] = set()
        self.published_statuses: dict[str, PublishedStatus] = {}  # team -> what its scheduler was last sent
        self.last_published_at = LONG_AGO_S  # when status updates were last considered
        self.capacity_hold: CapacityHold | None = None
        self.has_unsettled_exits = False  # some task's end is not settled yet
        self.has_unpublished_changes = True  # something changed since status updates were last considered
        # The rest is computed when it is needed, and kept until something changes.
        self.free_resources: Resources | None = None
        self.expected_ends: list[ExpectedEnd] | None = None
        self.checkpointing_tasks: list[MachineTask] | None = None  # that may be preempted
        self.fit_cache: dict[Resources, TaskFit] = {}

    def mark_changed(self) -> None:
        """Forget what was computed of the machine: something on it changed."""
        self.has_unpublished_changes = True
        self.free_resources = self.expected_ends = self.checkpointing_tasks = None
        self.fit_cache.clear()

    def accepts_tasks(self, now: float, max_silence_s: float) -> bool:
        """Whether a task given now would start within a heartbeat period, as far as can be known."""
        is_cordoned = (
            self.is_terminating or self.is_draining or self.is_unhealthy or self.commands_lost_since is not None
        )
        return self.is_reconciled and not is_cordoned and now - self.last_heartbeat_at <= max_silence_s

    def list_reservations(self) -> list[Reservation]:
        """Its reservations as they are now, so that some can be dropped on the way."""
        return list(self.reservations.values())

    def add_image(self, image: str, image_gb: float, disk_gb: float) -> None:
        """Note that the machine has an image; the least recently used ones go first when the disk is full."""
        if not image:
            return
        self.images[image] = image_gb
        self.images.move_to_end(image)
        while len(self.images) > 1 and sum(self.images.values()) > disk_gb:
            self.images.popitem(last=False)

    def has_image(self, image: str) -> bool:
        """Whether a task with that image starts without a fetch."""
        return not image or image in self.images


def required_resources(requirements: mesh.TaskRequirements) -> Resources:
    """What one task of these requirements takes of its machine."""
    return Resources(requirements.vcpus, requirements.gpus, requirements.memory_gb)


def fits(free: Resources, required: Resources) -> bool:
    """Whether a task of `required` fits into `free`."""
    return (
        required[0] <= free[0] + RESOURCE_TOLERANCE
        and required[1] <= free[1] + RESOURCE_TOLERANCE
        and required[2] <= free[2] + RESOURCE_TOLERANCE
    )  # by position: called for every machine and task, and attributes cost twice as much


def count_fitting(free: Resources, required: Resources) -> int:
    """How many tasks of `required` fit into `free`."""
    if not fits(free, required):
        return 0
    return min(int((have + RESOURCE_TOLERANCE) / need) for have, need in zip(free, required) if need > 0)


def add_resources(free: Resources, freed: Resources) -> Resources:
    """What is free once `freed` is given back."""
    return Resources(free[0] + freed[0], free[1] + freed[1], free[2] + freed[2])


def subtract_resources(free: Resources, required: Resources, count: int = 1) -> Resources:
    """What is left of `free` when so many tasks of `required` are placed there."""
    return Resources(
        free[0] - count * required[0],
        free[1] - count * required[1],
        free[2] - count * required[2],
    )
