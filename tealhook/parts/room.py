"""What room a part has, and who gets it: inquiries, reservations, preemption, held room.

A part gives room only for tasks that can start within one report period. Nothing in here is durable.
"""

from __future__ import annotations

from collections import OrderedDict

from tealhook.jobs.book import Book
from tealhook.loop.effects import Effects
from tealhook.parts.machine import Booking, Held, Machine, Need, capacity, fits, slots
from tealhook.settings import Settings
from tealhook.wire import mesh
from tealhook.wire.cloud import MachineType
from tealhook.wire.users import URGENCY_RANK

NEVER_S = 1e9
MAX_JOBS = 4096
WORTH_STOPPING = 1.5  # of the run time that a task is stopped for: the most that may be thrown away
RATE_WEIGHT = 0.2  # of a measured fetch in the rate learned of a type


class Room:
    """Free room of one part's machines, and the reservations made of it."""

    def __init__(
        self, effects: Effects, settings: Settings, token: int, book: Book, types: dict[str, MachineType],
        over: dict[str, float], machines: dict[str, Machine],
    ) -> None:
        self._fx = effects
        self._workers = settings.params.workers
        self._token = token
        self._book = book
        self._types = types
        self._over = over  # team -> CPUs beyond its guarantee, from the homes
        self._machines = machines
        self._home_tokens: dict[str, int] = {}
        self._rid = effects.rng.getrandbits(40) << 20
        self._rates: dict[str, float] = {}
        # Teams and needs of jobs whose tasks were launched here: the book lacks them while we are cut off from
        # the state service, and what a home is told of its tasks must not lack any on that account.
        self._launched: OrderedDict[str, tuple[str, Need]] = OrderedDict()

    # -- what is known of tasks

    def note_launch(self, job: str, team: str, need: Need) -> None:
        """Remember whose job a launched task is of, and what it takes."""
        self._launched[job] = (team, need)
        self._launched.move_to_end(job)
        if len(self._launched) > MAX_JOBS:
            self._launched.popitem(last=False)

    def need(self, job: str) -> Need | None:
        known = self._book.active.get(job)
        if known is not None:
            return known.spec.need
        launched = self._launched.get(job)
        return launched[1] if launched else None

    def team(self, job: str) -> str | None:
        launched = self._launched.get(job)
        return self._book.team(job) or (launched[0] if launched else None)

    def free(self, machine: Machine, booking: Booking | None = None) -> list[float]:
        """Room left on a machine; tasks that yield to `booking` or to any other one do not count."""
        rig = self._types.get(machine.rig)
        if rig is None:
            return [0.0, 0.0, 0.0]
        free = capacity(rig)
        for held in machine.held.values():
            if not held.alive or held.yields_to:
                continue
            need = self.need(held.job)
            if need is None:
                return [0.0, 0.0, 0.0]  # a task that nobody here knows: give nothing until it is known
            for i in range(3):
                free[i] -= need[i]
        for other in machine.bookings.values():
            if other is not booking:
                for i in range(3):
                    free[i] -= other.need[i]
        return free

    def rate(self, rig: str) -> float:
        """GB a second at which machines of a type fetch images: measured, else as published."""
        known = self._types.get(rig)
        return self._rates.get(rig) or (known.pull_gb_per_s if known else 1.0) or 1.0

    def learn_rate(self, rig: MachineType | None, image_gb: float, took_s: float) -> None:
        """A fetch was measured on a machine of a type."""
        if rig is None:
            return
        seen = image_gb / max(took_s, 0.05)
        rate = self.rate(rig.name)
        if seen < 2 * rig.pull_gb_per_s:
            self._rates[rig.name] = rate + RATE_WEIGHT * (seen - rate)

    # -- reservations

    def raise_home(self, team: str, home_token: int) -> bool:
        known = self._home_tokens.get(team, 0)
        if home_token < known:
            return False
        if home_token > known:
            self._home_tokens[team] = home_token
            for machine in self._machines.values():  # room reserved by the team's earlier home
                for booking in machine.open_bookings():
                    if booking.team == team and not booking.launching:
                        self.drop_booking(machine, booking)
        return True

    def drop_booking(self, machine: Machine, booking: Booking) -> None:
        machine.bookings.pop(booking.rid, None)
        for held in machine.held.values():
            if held.yields_to == booking.rid:
                held.yields_to = 0

    def _usable(self) -> list[Machine]:
        now = self._fx.now()
        patience = 2.5 * self._workers.report_s
        for machine in self._machines.values():
            for booking in machine.open_bookings():
                if not booking.launching and booking.expires < now:
                    self.drop_booking(machine, booking)
        return [machine for machine in self._machines.values() if machine.usable(now, patience)]

    def _allowed(self, machine: Machine, shape: mesh.Shape) -> bool:
        if machine.loaners and not shape.loaners:
            return False
        return not shape.rigs or machine.rig in shape.rigs

    def ask(self, shapes: list[mesh.Shape]) -> mesh.AskReply:
        """The earliest free time for each shape: slots free now, and when the next one frees."""
        usable = self._usable()
        free = {machine.name: self.free(machine) for machine in usable}
        return mesh.AskReply(self._token, [self._room(shape, usable, free) for shape in shapes])

    def _room(self, shape: mesh.Shape, usable: list[Machine], free: dict[str, list[float]]) -> mesh.Room:
        need = (shape.vcpus, shape.cards, shape.memory_gb)
        cached = uncached = 0
        rate = 0.0
        next_s = NEVER_S
        now = self._fx.now()
        for machine in usable:
            if not self._allowed(machine, shape):
                continue
            count = slots(free[machine.name], need)
            if machine.has_image(shape.image):
                cached += count
            else:
                uncached += count
            rate = max(rate, self.rate(machine.rig))
            if not count:
                next_s = min(next_s, self._frees_in(machine, need, list(free[machine.name]), now))
        return mesh.Room(cached, uncached, next_s, rate or 1.0)

    def _frees_in(self, machine: Machine, need: Need, free: list[float], now: float) -> float:
        """Estimated seconds until a task of `need` would fit, by the running tasks' own estimates."""
        ends = []
        for held in machine.held.values():
            known = self._book.active.get(held.job)
            if held.alive and known is not None and not held.yields_to:
                begun = held.ran_from or now
                ends.append((max(0.0, begun + known.spec.expected_s - now), known.spec.need))
        ends.sort()
        for left, freed in ends:
            for i in range(3):
                free[i] += freed[i]
            if fits(free, need):
                return left + self._workers.report_s / 2
        return NEVER_S

    def reserve(self, request: mesh.Reserve) -> mesh.ReserveReply:
        """Hold room for wants, in their order, on machines that can start them at once."""
        now = self._fx.now()
        usable = self._usable()
        free = {machine.name: self.free(machine) for machine in usable}
        answer: list[list[mesh.Slot]] = []
        for want in request.wants:
            if not self.raise_home(want.team, want.home_token):
                answer.append([])
                continue
            answer.append(self._give(want, usable, free, now))
        return mesh.ReserveReply(self._token, answer)

    def _blocked(self, machine: Machine, want: mesh.Want, now: float) -> bool:
        """Whether an aged task of another job holds the machine's room."""
        hold = machine.hold_for
        if hold is None or hold[1] < now:
            machine.hold_for = None
            return False
        return hold[0] != want.job and not want.aged

    def _give(
        self, want: mesh.Want, usable: list[Machine], free: dict[str, list[float]], now: float
    ) -> list[mesh.Slot]:
        shape = want.shape
        need = (shape.vcpus, shape.cards, shape.memory_gb)
        given: list[mesh.Slot] = []
        candidates = [
            machine for machine in usable
            if self._allowed(machine, shape) and machine.name not in want.avoid
            and not self._blocked(machine, want, now)
        ]
        # Cached image first, then the cheaper kind (so that the dearer idles and can be returned), then the
        # fullest machine that fits, as the paper's local mapping packs them.
        candidates.sort(key=lambda m: (not m.has_image(shape.image), not m.loaners, free[m.name][0], m.heard_at))
        for machine in candidates:
            room = free[machine.name]
            while len(given) < want.count and fits(room, need):
                given.append(self._book_room(machine, want, need, [], now))
                for i in range(3):
                    room[i] -= need[i]
            if len(given) >= want.count:
                return given
        self._preempt(want, need, candidates, free, given, now)
        if want.aged and len(given) < want.count:
            self._hold(want, need, candidates, free, now)
        return given

    def _book_room(
        self, machine: Machine, want: mesh.Want, need: Need, victims: list[Held], now: float
    ) -> mesh.Slot:
        self._rid += 1
        booking = Booking(
            self._rid, want.team, want.job, need, want.shape.image, now + self._workers.lease_s / 4, now,
            [(held.play, held.attempt) for held in victims],
        )
        for held in victims:
            held.yields_to = booking.rid
        machine.bookings[booking.rid] = booking
        machine.idle_since = now
        if machine.hold_for is not None and machine.hold_for[0] == want.job:
            machine.hold_for = None
        fetch = 0.0 if machine.has_image(want.shape.image) else want.shape.image_gb / self.rate(machine.rig)
        return mesh.Slot(booking.rid, machine.name, machine.shift, fetch)

    def _preempt(
        self, want: mesh.Want, need: Need, candidates: list[Machine], free: dict[str, list[float]],
        given: list[mesh.Slot], now: float,
    ) -> None:
        """Stop less urgent tasks, or tasks beyond another team's guarantee, those begun last first."""
        if not want.preempt:
            return
        while len(given) < want.count:
            best: tuple[float, Machine, list[Held], list[float]] | None = None
            for machine in candidates:
                room = list(free[machine.name])
                victims = self._victims(machine, want, need, room)
                if not victims:
                    continue
                lost = sum(self._lost(held, now) for held in victims)
                if best is None or lost < best[0]:
                    best = (lost, machine, victims, room)
            if best is None:
                return
            _lost, machine, victims, room = best
            for held in victims:
                known = self._book.active[held.job]
                if known.team in self._over and URGENCY_RANK[known.spec.urgency] >= want.shape.urgency:
                    self._over[known.team] -= known.spec.vcpus
            free[machine.name] = [have - used for have, used in zip(room, need, strict=True)]
            given.append(self._book_room(machine, want, need, victims, now))

    @staticmethod
    def _ran(held: Held, now: float) -> float:
        return now - held.ran_from if held.ran_from else 0.0

    def _lost(self, held: Held, now: float) -> float:
        """CPU seconds that stopping a task throws away."""
        known = self._book.active[held.job]
        ran = self._ran(held, now)
        if known.spec.snapshot_every_s > 0:
            ran = known.spec.snapshot_s
        return (ran + known.spec.pull_gb) * max(known.spec.vcpus, known.spec.cards)

    def _victims(self, machine: Machine, want: mesh.Want, need: Need, room: list[float]) -> list[Held] | None:
        """Tasks to stop so that `need` fits; raises `room` accordingly. None: it can't be done."""
        victims: list[Held] = []
        over: dict[str, float] = {}
        now = self._fx.now()
        stoppable = [h for h in machine.held.values() if h.alive and not h.yields_to and h.status != "flushing"]
        # One that has run for long is nearer to its end than to its beginning: room frees sooner than it is worth.
        longest = max(WORTH_STOPPING * want.shape.run_s, self._workers.lease_s)
        stoppable = [h for h in stoppable if h.job in self._book.active and self._ran(h, now) <= longest]
        for held in sorted(stoppable, key=lambda h: self._lost(h, now)):
            if fits(room, need):
                break
            known = self._book.active[held.job]
            if URGENCY_RANK[known.spec.urgency] >= want.shape.urgency:
                # Of equal or higher priority: only what its team runs beyond its guarantee, for a guarantee.
                left = over.setdefault(known.team, self._over.get(known.team, 0.0))
                if not want.secured or known.team == want.team or not left >= known.spec.vcpus > 0:
                    continue
                over[known.team] -= known.spec.vcpus
            victims.append(held)
            for i in range(3):
                room[i] += known.spec.need[i]
        return victims if fits(room, need) else None

    def _hold(
        self, want: mesh.Want, need: Need, candidates: list[Machine], free: dict[str, list[float]], now: float
    ) -> None:
        """An aged task holds the room of the machine that will be free for it first."""
        for machine in candidates:
            if machine.hold_for is not None and machine.hold_for[0] == want.job:
                machine.hold_for = (want.job, now + 2 * self._workers.report_s)
                return
        open_ones = [machine for machine in candidates if machine.hold_for is None]
        if open_ones:
            best = min(open_ones, key=lambda m: (self._frees_in(m, need, list(free[m.name]), now), m.name))
            best.hold_for = (want.job, now + 2 * self._workers.report_s)
