"""One machine as its part's owner knows it."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from tealhook.wire import workers as wire
from tealhook.wire.cloud import MachineType

Need = tuple[float, float, float]
EPSILON = 1e-6
MAX_RESENDS = 3


@dataclass(slots=True)
class Held:
    """A task on the machine, by its latest report."""

    play: str
    job: str
    index: int
    attempt: int
    status: str
    cause: str | None
    since: float
    ran_from: float = 0.0  # when it was first seen running; 0: not yet
    yields_to: int = 0  # reservation that takes its room
    booked_at: float = 0.0  # when its room was reserved here; 0: by an earlier owner
    firm: bool = False  # the first task of a job that waited long: not stopped for others
    need: Need | None = None  # what it takes; None: nobody here knows its job yet

    @property
    def alive(self) -> bool:
        """Whether it still takes room on the machine."""
        return self.status != wire.EXITED


@dataclass(slots=True)
class Booking:
    """Room given to a task that the worker has not reported yet: reserved, then launching."""

    rid: int
    team: str
    job: str
    need: Need
    image: str
    expires: float
    booked_at: float
    victims: list[tuple[str, int]] = field(default_factory=list)
    index: int = -1
    attempt: int = 0
    launching: bool = False
    sends: int = 0
    firm: bool = False
    revoked: bool = False

    @property
    def play(self) -> str:
        """The task as the worker calls it, once it is launched."""
        return f"{self.job}/{self.index}"


class Machine:
    """Reports update it, reservations book room on it, responses carry its commands."""

    def __init__(self, report: wire.Report, now: float) -> None:
        """A machine first heard of by a report, of which only its name and kind are taken over as yet."""
        self.name = report.box
        self.rig = report.rig
        self.loaners = report.loaners
        self.addr = report.addr
        self.shift = report.shift
        self.tick = -1
        self.heard_at = now
        self.obeys = False  # its newest report was made under our token
        self.shift_at = now  # when its present shift was first heard of
        self.answered_at = -1e9  # when a report of its present shift was last answered
        self.deaf_since: float | None = None  # it reports, but what it is told does not reach it
        self.probed_at = -1e9
        self.sure = False  # a report under our token has shown what is on it
        self.terminating = False  # the cloud has said that it takes the machine
        self.drained = False
        self.sick = False
        self.held: dict[tuple[str, int], Held] = {}
        self.bookings: dict[int, Booking] = {}
        self.kills: dict[tuple[str, int], float] = {}
        self.clears: set[tuple[str, int]] = set()
        self.images: OrderedDict[str, float] = OrderedDict()
        self.failed_jobs: set[str] = set()
        self.told: dict[str, tuple] = {}  # what each home's owner was last told, when, and its number
        self.told_at = -1e9  # when the homes were last told
        self.hold_for: tuple[str, float] | None = None  # an aged job that holds the room, until when
        self.exits = False  # some task's end is not settled yet
        self.news = True  # something changed since the homes were told
        self.free: list[float] | None = None  # room left, until something changes
        self.ends: list[tuple[float, Need]] | None = None  # when its tasks should end, until something changes
        self.savers: list[Held] | None = None  # tasks that save and may be stopped, until something changes
        self.fits: dict[Need, tuple[int, float]] = {}  # tasks of a need that fit, or from when; likewise

    def touch(self) -> None:
        """Something on the machine changed."""
        self.news = True
        self.free = self.ends = self.savers = None
        self.fits.clear()

    def usable(self, now: float, patience: float) -> bool:
        """Whether a task given now would start within a report period, as far as can be known."""
        return (
            self.sure
            and not (self.terminating or self.drained or self.sick or self.deaf_since is not None)
            and now - self.heard_at <= patience
        )

    def open_bookings(self) -> list[Booking]:
        """Its bookings as they are now, so that some can be dropped on the way."""
        return list(self.bookings.values())

    def cache(self, image: str, size: float, room: float) -> None:
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


def fits(free: list[float], need: Need) -> bool:
    """Whether a task of `need` fits into `free`."""
    return need[0] <= free[0] + EPSILON and need[1] <= free[1] + EPSILON and need[2] <= free[2] + EPSILON


def slots(free: list[float], need: Need) -> int:
    """How many tasks of `need` fit into `free`."""
    if not fits(free, need):
        return 0
    return min(int((have + EPSILON) / want) for have, want in zip(free, need) if want > 0)


def capacity(rig: MachineType) -> list[float]:
    """CPUs, cards and GB of memory of an empty machine."""
    return [rig.vcpus, rig.cards, rig.memory_gb]
