"""What room a partition has, and who gets it: inquiries, reservations, room held for starving tasks.

A partition gives room only for tasks that can start within one report period. Nothing in here is durable.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Iterator

from tealhook.jobs.index import JobIndex
from tealhook.loop.effects import Effects
from tealhook.parts.free_room import FreeRoom, without
from tealhook.parts.machine import Booking, Held, Machine, Need, capacity, fits, slots
from tealhook.parts.preemption import Preemption
from tealhook.settings import Settings
from tealhook.wire import mesh
from tealhook.wire.cloud import MachineType
from tealhook.wire.workers import EXITED

NEVER_S = 1e9
LEAST_JOBS = 4096
JOB_BYTES = 400  # about what one remembered job takes
JOBS_SHARE = 1 / 16  # of the memory
RATE_WEIGHT = 0.2  # of a measured fetch in the rate learned of a type


class _Fit:
    """Where tasks of one need fit: at one moment, for the inquiries of a fraction of a report period."""

    __slots__ = ("open", "next_s", "rate")

    def __init__(self, open_: list[tuple[Machine, int]], next_s: float, rate: float) -> None:
        self.open = open_  # machines with slots free now
        self.next_s = next_s
        self.rate = rate


class Room:
    """Free room of one part's machines, and the reservations made of it."""

    def __init__(
        self,
        effects: Effects,
        settings: Settings,
        token: int,
        book: JobIndex,
        types: dict[str, MachineType],
        over: dict[str, float],
        machines: dict[str, Machine],
    ) -> None:
        """`machines` is shared with the partition; `over`: a team's CPUs beyond its guarantee, as its owner says."""
        self._fx = effects
        self._workers = settings.params.workers
        self._token = token
        self._book = book
        self._types = types
        self._preemption = Preemption(effects, settings, book, over)
        self._machines = machines
        self._home_tokens: dict[str, int] = {}
        memory_bytes = settings.params.limits.mem_mb * 2**20
        self._most_jobs = max(LEAST_JOBS, int(memory_bytes * JOBS_SHARE / JOB_BYTES))
        self._booked: dict[int, Machine] = {}  # reservation -> its machine
        self._rid = effects.rng.getrandbits(40) << 20
        self._rates: dict[str, float] = {}
        # Inquiries come several times a report period, from every home, for every waiting job: what they
        # have in common is worked out once, and kept while nothing changes.
        self._fits: dict[tuple, _Fit] = {}
        self._view: list[Machine] = []
        self._view_until = 0.0
        # Teams and needs of jobs whose tasks were launched here: the book lacks them while we are cut off from
        # the state service, and what a home is told of its tasks must not lack any on that account.
        self._launched: OrderedDict[str, tuple[str, Need]] = OrderedDict()

    # -- what is known of tasks

    def note_launch(self, job: str, team: str, need: Need) -> None:
        """Remember whose job a launched task is of, and what it takes."""
        self._launched[job] = (team, need)
        self._launched.move_to_end(job)
        if len(self._launched) > self._most_jobs:
            self._launched.popitem(last=False)

    def need(self, job: str) -> Need | None:
        """What a task of a job takes of its machine; None while that is not known."""
        known = self._book.active.get(job)
        if known is not None:
            return known.spec.need
        launched = self._launched.get(job)
        return launched[1] if launched else None

    def team(self, job: str) -> str | None:
        """A job's team; None while that is not known."""
        launched = self._launched.get(job)
        return self._book.team(job) or (launched[0] if launched else None)

    def touch(self, machine: Machine) -> None:
        """Something on a machine changed."""
        machine.touch()
        self._view_until = 0.0

    def free(self, machine: Machine) -> list[float]:
        """Room left on a machine; tasks that yield to a reservation do not count."""
        if machine.free is not None:
            return machine.free
        rig = self._types.get(machine.rig)
        if rig is None:
            return [0.0, 0.0, 0.0]
        cpus, cards, memory = capacity(rig)
        for held in machine.held.values():
            if held.status == EXITED or held.yields_to:
                continue
            if held.need is None:
                held.need = self.need(held.job)
                if held.need is None:
                    return [0.0, 0.0, 0.0]  # a task that nobody here knows: give nothing until it is known
            need = held.need
            cpus, cards, memory = cpus - need[0], cards - need[1], memory - need[2]
        for booking in machine.bookings.values():
            need = booking.need
            cpus, cards, memory = cpus - need[0], cards - need[1], memory - need[2]
        machine.free = [cpus, cards, memory]
        return machine.free

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
        """Note the token of a team's owner; False for an earlier one, whose reservations are dropped."""
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

    def booked_on(self, rid: int) -> Machine | None:
        """The machine on which a reservation stands."""
        machine = self._booked.get(rid)
        return machine if machine is not None and rid in machine.bookings else None

    def settle_booking(self, machine: Machine, booking: Booking) -> None:
        """A reservation has become a task that the worker reports."""
        del machine.bookings[booking.rid]
        self._booked.pop(booking.rid, None)
        self.touch(machine)

    def drop_all(self, machine: Machine) -> None:
        """The machine is gone, or its lease has ended: none of its reservations stands any more."""
        for rid in machine.bookings:
            self._booked.pop(rid, None)
        machine.bookings.clear()

    def drop_booking(self, machine: Machine, booking: Booking) -> None:
        """Give the room of a reservation back."""
        machine.bookings.pop(booking.rid, None)
        self._booked.pop(booking.rid, None)
        self.touch(machine)
        for held in machine.held.values():
            if held.yields_to == booking.rid:
                held.yields_to = 0

    def _usable(self) -> list[Machine]:
        now = self._fx.now()
        patience = 2.5 * self._workers.report_s
        for machine in self._machines.values():
            if machine.bookings:
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
        now = self._fx.now()
        if now > self._view_until:
            self._view = self._usable()
            self._fits.clear()
            self._view_until = now + self._workers.report_s / 8
        return mesh.AskReply(self._token, [self._room(shape, now) for shape in shapes])

    def _room(self, shape: mesh.Shape, now: float) -> mesh.Room:
        key = (shape.vcpus, shape.cards, shape.memory_gb, shape.loaners, shape.rigs)
        fit = self._fits.get(key)
        if fit is None:
            fit = self._fits[key] = self._fit(shape, now)
        cached = uncached = 0
        image = shape.image
        for machine, count in fit.open:
            if not image or image in machine.images:
                cached += count
            else:
                uncached += count
        return mesh.Room(cached, uncached, fit.next_s, fit.rate or 1.0)

    def _fit(self, shape: mesh.Shape, now: float) -> _Fit:
        need = (shape.vcpus, shape.cards, shape.memory_gb)
        open_: list[tuple[Machine, int]] = []
        rigs: set[str] = set()
        next_at = NEVER_S
        for machine in self._view:
            if not self._allowed(machine, shape):
                continue
            rigs.add(machine.rig)
            count, free_at = machine.fits.get(need) or self._fit_on(machine, need)
            if count:
                open_.append((machine, count))
            else:
                next_at = min(next_at, free_at)
        next_s = max(0.0, next_at - now) + self._workers.report_s / 2 if next_at < NEVER_S else NEVER_S
        return _Fit(open_, next_s, max(map(self.rate, rigs), default=0.0))

    def _fit_on(self, machine: Machine, need: Need) -> tuple[int, float]:
        """Tasks of `need` that fit a machine now; if none does, from when one should.

        Kept with the machine: otherwise one change anywhere has all machines of the part looked through anew.
        """
        count = slots(self.free(machine), need)
        found = (count, 0.0 if count else self._frees_at(machine, need))
        if machine.free is not None:  # else it has a task that nobody here knows yet
            machine.fits[need] = found
        return found

    def _ends(self, machine: Machine) -> list[tuple[float, Need]]:
        """When the tasks on a machine should end, by their own estimates, and what each frees."""
        if machine.ends is None:
            machine.ends = []
            for held in machine.held.values():
                known = self._book.active.get(held.job)
                if held.alive and known is not None and not held.yields_to:
                    machine.ends.append(((held.ran_from or held.since) + known.spec.expected_s, known.spec.need))
            machine.ends.sort()
        return machine.ends

    def empty_in(self, machine: Machine, now: float) -> float:
        """Estimated seconds until what is on a machine has ended."""
        ends = self._ends(machine)
        left = max(0.0, ends[-1][0] - now) if ends else 0.0
        for booking in machine.bookings.values():
            known = self._book.active.get(booking.job)
            left = max(left, known.spec.expected_s if known is not None else 0.0)
        return left

    def _frees_at(self, machine: Machine, need: Need) -> float:
        """When a task of `need` should fit, by the estimates of what is on the machine."""
        free = list(self.free(machine))
        for at, freed in self._ends(machine):
            for i in range(3):
                free[i] += freed[i]
            if fits(free, need):
                return at
        return NEVER_S

    def reserve(self, request: mesh.Reserve) -> mesh.ReserveReply:
        """Hold room for wants, in their order, on machines that can start them at once."""
        now = self._fx.now()
        free = FreeRoom(self._usable(), self.free)
        answer: list[list[mesh.Slot]] = []
        for want in request.wants:
            if not self.raise_home(want.team, want.home_token):
                answer.append([])
                continue
            answer.append(self._give(want, free, now))
        return mesh.ReserveReply(self._token, answer)

    def _blocked(self, machine: Machine, want: mesh.Want, now: float) -> bool:
        """Whether an aged task of another job holds the machine's room."""
        hold = machine.hold_for
        if hold is None or hold[1] < now:
            machine.hold_for = None
            return False
        return hold[0] != want.job and not want.aged

    def _candidates(self, want: mesh.Want, free: FreeRoom, now: float) -> Iterator[Machine]:
        """Machines that a want may go to, in the order of packing, whatever room they have."""
        return (
            machine
            for machine in free.in_order(want.shape.image)
            if self._allowed(machine, want.shape)
            and machine.name not in want.avoid
            and not self._blocked(machine, want, now)
        )

    def _give(self, want: mesh.Want, free: FreeRoom, now: float) -> list[mesh.Slot]:
        shape = want.shape
        need = (shape.vcpus, shape.cards, shape.memory_gb)
        chosen: list[tuple[Machine, int]] = []
        missing = want.count
        for machine in self._candidates(want, free, now):
            if missing <= 0:
                break
            count = min(missing, slots(free.left(machine), need))
            if count:
                chosen.append((machine, count))
                missing -= count
        given: list[mesh.Slot] = []
        for machine, count in chosen:
            given.extend(self._book_room(machine, want, need, [], now) for _ in range(count))
            free.set_left(machine, without(free.left(machine), need, count))
        if missing > 0 and self._preemption.allowed(want):
            preempt = self._preempt if want.preempt else self._preempt_savers
            preempt(want, need, list(self._candidates(want, free, now)), free, given, now)
        if want.aged and len(given) < want.count:
            self._hold(want, need, list(self._candidates(want, free, now)), now)
        return given

    def _book_room(self, machine: Machine, want: mesh.Want, need: Need, victims: list[Held], now: float) -> mesh.Slot:
        self._rid += 1
        booking = Booking(
            self._rid,
            want.team,
            want.job,
            need,
            want.shape.image,
            now + self._workers.lease_s / 4,
            now,
            [(held.play, held.attempt) for held in victims],
            firm=want.firm,
        )
        for held in victims:
            held.yields_to = booking.rid
        machine.bookings[booking.rid] = booking
        self._booked[booking.rid] = machine
        self.touch(machine)
        if machine.hold_for is not None and machine.hold_for[0] == want.job:
            machine.hold_for = None
        fetch = 0.0 if machine.has_image(want.shape.image) else want.shape.image_gb / self.rate(machine.rig)
        return mesh.Slot(booking.rid, machine.name, machine.shift, fetch)

    def _preempt(
        self,
        want: mesh.Want,
        need: Need,
        candidates: list[Machine],
        free: FreeRoom,
        given: list[mesh.Slot],
        now: float,
    ) -> None:
        """Stop less urgent tasks, or tasks beyond another team's guarantee, those begun last first."""
        # The least loss first. One choice changes its own machine, and what teams still run beyond their
        # guarantees: so an offer is worked out again when its turn comes, not all of them each time.
        offers = []
        for order, machine in enumerate(candidates):
            offer = self._preemption.offer(machine, want, need, free.left(machine), now)
            if offer is not None:
                offers.append((offer.lost, order, machine))
        heapq.heapify(offers)
        while offers and len(given) < want.count:
            lost, order, machine = heapq.heappop(offers)
            offer = self._preemption.offer(machine, want, need, free.left(machine), now)
            if offer is None:
                continue
            if offer.lost > lost and offers and offer.lost > offers[0][0]:
                heapq.heappush(offers, (offer.lost, order, machine))
                continue
            self._preemption.charge(want, offer.victims)
            free.set_left(machine, without(offer.room, need))
            given.append(self._book_room(machine, want, need, offer.victims, now))
            heapq.heappush(offers, (lost, order, machine))

    def _preempt_savers(
        self,
        want: mesh.Want,
        need: Need,
        candidates: list[Machine],
        free: FreeRoom,
        given: list[mesh.Slot],
        now: float,
    ) -> None:
        """Stop less urgent tasks that save their progress, on the first machines that have such.

        All lose about as little, so the offers of hundreds of machines are not worked out for each task.
        """
        for machine in candidates:
            while len(given) < want.count:
                offer = self._preemption.offer(machine, want, need, free.left(machine), now)
                if offer is None:
                    break
                free.set_left(machine, without(offer.room, need))
                given.append(self._book_room(machine, want, need, offer.victims, now))
            if len(given) >= want.count:
                return

    def _hold(self, want: mesh.Want, need: Need, candidates: list[Machine], now: float) -> None:
        """An aged task holds the room of the machine that will be free for it first."""
        for machine in candidates:
            if machine.hold_for is not None and machine.hold_for[0] == want.job:
                machine.hold_for = (want.job, now + 2 * self._workers.report_s)
                return
        open_ones = [machine for machine in candidates if machine.hold_for is None]
        if open_ones:
            best = min(open_ones, key=lambda m: (max(now, self._frees_at(m, need)), m.name))
            best.hold_for = (want.job, now + 2 * self._workers.report_s)
