"""One machine as its part's owner knows it."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from tealhook.wire import workers as wire
from tealhook.wire.cloud import MachineType

Resources = tuple[float, float, float]
EPSILON = 1e-6
MAX_RESENDS = 3


@dataclass(slots=True)
class MachineTask:
    """A task on the machine, by its latest report."""

    task: str
    job: str
    index: int
    attempt: int
    status: str
    cause: str | None
    since: float
    running_since: float = 0.0  # when it was first seen running; 0: not yet
    yields_to: int = 0  # reservation that takes its room
    reserved_at: float = 0.0  # when its room was reserved here; 0: by an earlier owner
    non_preemptible: bool = False  # the first task of a job that waited long: not stopped for others
    resources: Resources | None = None  # what it takes; None: nobody here knows its job yet

    @property
    def alive(self) -> bool:
        """Whether it still takes room on the machine."""
        return self.status != wire.TaskStatus.EXITED


@dataclass(slots=True)
class Reservation:
    """Room given to a task that the worker has not reported yet: reserved, then launching."""

    reservation_id: int
    team: str
    job: str
    resources: Resources
    image: str
    expires_at: float
    reserved_at: float
    victims: list[tuple[str, int]] = field(default_factory=list)
    index: int = -1
    attempt: int = 0
    launching: bool = False
    send_count: int = 0
    non_preemptible: bool = False
    revoked: bool = False

    @property
    def task(self) -> str:
        """The task as the worker calls it, once it is launched."""
        return f"{self.job}/{self.index}"


class Machine:
    """Reports update it, reservations book room on it, responses carry its commands."""

    def __init__(self, report: wire.Heartbeat, now: float) -> None:
        """A machine first heard of by a report, of which only its name and kind are taken over as yet."""
        self.name = report.machine
        self.machine_type = report.machine_type
        self.spot = report.spot
        self.address = report.address
        self.session = report.session
        self.sequence = -1
        self.heard_at = now
        self.acknowledges_token = False  # its newest report was made under our token
        self.session_started_at = now  # when its present shift was first heard of
        self.answered_at = -1e9  # when a report of its present shift was last answered
        self.commands_lost_since: float | None = None  # it reports, but what it is told does not reach it
        self.probed_at = -1e9
        self.reconciled = False  # a report under our token has shown what is on it
        self.terminating = False  # the cloud has said that it takes the machine
        self.drained = False
        self.unhealthy = False
        self.tasks: dict[tuple[str, int], MachineTask] = {}
        self.reservations: dict[int, Reservation] = {}
        self.pending_stops: dict[tuple[str, int], float] = {}
        self.pending_forgets: set[tuple[str, int]] = set()
        self.images: OrderedDict[str, float] = OrderedDict()
        self.failed_jobs: set[str] = set()
        self.published: dict[str, tuple] = {}  # what each home's owner was last told, when, and its number
        self.published_at = -1e9  # when the homes were last told
        self.held_for: tuple[str, float] | None = None  # an aged job that holds the room, until when
        self.has_exits = False  # some task's end is not settled yet
        self.changed = True  # something changed since the homes were told
        self.free_resources: list[float] | None = None  # room left, until something changes
        self.expected_ends: list[tuple[float, Resources]] | None = (
            None  # when its tasks should end, until something changes
        )
        self.checkpointing_tasks: list[MachineTask] | None = (
            None  # tasks that save and may be stopped, until something changes
        )
        self.fit_cache: dict[Resources, tuple[int, float]] = {}  # tasks of a need that fit, or from when; likewise

    def mark_changed(self) -> None:
        """Something on the machine changed."""
        self.changed = True
        self.free_resources = self.expected_ends = self.checkpointing_tasks = None
        self.fit_cache.clear()

    def usable(self, now: float, patience: float) -> bool:
        """Whether a task given now would start within a report period, as far as can be known."""
        return (
            self.reconciled
            and not (self.terminating or self.drained or self.unhealthy or self.commands_lost_since is not None)
            and now - self.heard_at <= patience
        )

    def list_reservations(self) -> list[Reservation]:
        """Its bookings as they are now, so that some can be dropped on the way."""
        return list(self.reservations.values())

    def add_image(self, image: str, size: float, room: float) -> None:
        """Note that the machine has an image; the least recently used ones go first."""
        if not image:
            return
        self.images[image] = size
        self.images.move_to_end(image)
        while len(self.images) > 1 and sum(self.images.values()) > room:
            self.images.popitem(last=False)

    def has_image(self, image: str) -> bool:
        """Whether a task with that image starts without a fetch."""
        return not image or image in self.images


def fits(free: list[float], need: Resources) -> bool:
    """Whether a task of `need` fits into `free`."""
    return need[0] <= free[0] + EPSILON and need[1] <= free[1] + EPSILON and need[2] <= free[2] + EPSILON


def slots(free: list[float], need: Resources) -> int:
    """How many tasks of `need` fit into `free`."""
    if not fits(free, need):
        return 0
    return min(int((have + EPSILON) / want) for have, want in zip(free, need) if want > 0)


def capacity(machine_type: MachineType) -> list[float]:
    """CPUs, cards and GB of memory of an empty machine."""
    return [machine_type.vcpus, machine_type.gpus, machine_type.memory_gb]
