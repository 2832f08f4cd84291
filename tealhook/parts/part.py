"""The owner's side of one part: what its machines hold, and what may be started on them.

A part gives room only for tasks that can start within one report period. Nothing in here is durable: a new
owner learns everything from reports made under its own token.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import msgspec

from tealhook.jobs.book import CANCELLED, DONE, Book
from tealhook.loop.effects import Effects
from tealhook.parts.machine import MAX_RESENDS, Booking, Held, Machine, Need, capacity, fits, slots
from tealhook.settings import Settings
from tealhook.wire import mesh
from tealhook.wire import workers as wire
from tealhook.wire.cloud import MachineType
from tealhook.wire.common import dumps
from tealhook.wire.users import URGENCY_RANK

log = logging.getLogger("tealhook.parts")

NEVER_S = 1e9
MAX_JOBS = 4096
WORTH_STOPPING = 1.5  # of the run time that a task is stopped for: the most that may be thrown away
MAX_ORDERS = 300  # keeps a response far below the line limit
RATE_WEIGHT = 0.2  # of a measured fetch in the rate learned of a type


class Part:
    """All machines of one zone, under one fencing token."""

    def __init__(
        self, effects: Effects, settings: Settings, zone: str, token: int, book: Book,
        types: dict[str, MachineType], over: dict[str, float],
        tell: Callable[[str, mesh.MachineNews], Any], strangers: Callable[[str], Any],
    ) -> None:
        self._fx = effects
        self._workers = settings.params.workers
        self.zone = zone
        self.token = token
        self.owned_at = effects.now()
        self._book = book
        self._types = types
        self._over = over  # team -> CPUs beyond its guarantee, from the homes
        self._tell = tell  # (team, news)
        self._strangers = strangers  # ids of jobs that the book does not know
        self.machines: dict[str, Machine] = {}
        self._home_tokens: dict[str, int] = {}
        self._seq = 0
        self._rid = effects.rng.getrandbits(40) << 20
        self._rates: dict[str, float] = {}
        # Teams and needs of jobs whose tasks were launched here: the book lacks them while we are cut off from
        # the state service, and what a home is told of its tasks must not lack any on that account.
        self._launched: OrderedDict[str, tuple[str, Need]] = OrderedDict()
        self._called: dict[str, float] = {}  # machine -> when its worker was last told of our token
        self._job_errors: dict[str, set[str]] = {}

    def call_in(self, addrs: dict[str, str]) -> None:
        """Tell workers that have not come under our token of it, directly, so that they do.

        They may be with an earlier owner who can't know that it is none any more, and would answer them for
        ever. Only the token is told: commands sent this way could be executed minutes late.
        """
        now = self._fx.now()
        if now - self.owned_at < 1.5 * self._workers.report_s:
            return
        for name, addr in addrs.items():
            machine = self.machines.get(name)
            if machine is not None and machine.sure:
                continue
            if now - self._called.get(name, -NEVER_S) < self._workers.lease_s / 4:
                continue
            self._called[name] = now
            self._fx.worker(addr, "GET", "/show", None, 2.0, lambda status, body, addr=addr: self._shown(
                addr, status, body))

    def _shown(self, addr: str, status: int | None, body: bytes) -> None:
        if status != 200:
            return
        try:
            report = wire.report_decoder.decode(body)
        except msgspec.DecodeError as exc:
            log.error("worker at %s: bad answer: %s", addr, exc)
            return
        if report.baton < self.token:
            call = dumps(wire.Orders(self.token, [], report.shift))
            self._fx.worker(addr, "POST", "/orders", call, 2.0, lambda status, body: None)

    # -- what is known of tasks

    def _need(self, job: str) -> Need | None:
        known = self._book.active.get(job)
        if known is not None:
            return known.spec.need
        launched = self._launched.get(job)
        return launched[1] if launched else None

    def _team(self, job: str) -> str | None:
        launched = self._launched.get(job)
        return self._book.team(job) or (launched[0] if launched else None)

    def _free(self, machine: Machine, booking: Booking | None = None) -> list[float]:
        """Room left on a machine; tasks that yield to `booking` or to any other one do not count."""
        rig = self._types.get(machine.rig)
        if rig is None:
            return [0.0, 0.0, 0.0]
        free = capacity(rig)
        for held in machine.held.values():
            if not held.alive or held.yields_to:
                continue
            need = self._need(held.job)
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

    # -- reports

    def on_report(self, report: wire.Report) -> bytes:
        """Take a report made to the owner; the response's body. The caller has checked the tokens."""
        now = self._fx.now()
        machine = self.machines.get(report.box)
        if machine is None:
            machine = self.machines[report.box] = Machine(report, now)
        if (report.shift, report.tick) <= (machine.shift, machine.tick):
            return dumps(wire.Orders(self.token, []))  # an old report, held up on its way
        if report.shift > machine.shift:
            self._new_shift(machine, report.shift)
        machine.tick = report.tick
        machine.heard_at = now
        machine.addr = report.addr
        machine.doomed = report.warning_s is not None
        orders: list[wire.Order] = []
        if report.baton == self.token:
            # Only a worker that has seen our token obeys nobody before us any more: what such a report
            # lacks is provably not there.
            machine.sure = True
            self._take_plays(machine, report.plays or [], now)
            orders = self._orders(machine)
        self._publish(machine, now)
        return dumps(wire.Orders(self.token, orders))

    def _new_shift(self, machine: Machine, shift: int) -> None:
        """The worker's lease ran out: every task of the earlier session is killed and forgotten."""
        machine.shift = shift
        machine.tick = -1
        machine.held.clear()
        machine.bookings.clear()
        machine.kills.clear()
        machine.clears.clear()

    def _take_plays(self, machine: Machine, plays: list[wire.Play], now: float) -> None:
        before = machine.held
        held: dict[tuple[str, int], Held] = {}
        for play in plays:
            split = wire.split_play(play.play)
            if split is None:
                continue
            key = (play.play, play.attempt)
            old = before.get(key)
            new = old or Held(play.play, split[0], split[1], play.attempt, "", None, now)
            if old is None or old.status != play.status:
                self._status_change(machine, new, play, now)
            new.status, new.cause = play.status, play.cause
            held[key] = new
        machine.held = held
        self._settle_bookings(machine, held)
        for done in [key for key in machine.kills if key not in held or not held[key].alive]:
            del machine.kills[done]
        machine.clears.intersection_update(held)
        if held or machine.bookings:
            machine.idle_since = now

    def _status_change(self, machine: Machine, held: Held, play: wire.Play, now: float) -> None:
        known = self._book.active.get(held.job)
        if play.status == "running" and not held.ran_from:
            held.ran_from = now
            if known is not None and known.spec.playbook:
                rig = self._types.get(machine.rig)
                if held.status == "pulling" and known.spec.pull_gb > 0 and known.spec.playbook not in machine.images:
                    seen = known.spec.pull_gb / max(now - held.since, 0.05)
                    rate = self.rate(machine.rig)
                    if rig and seen < 2 * rig.pull_gb_per_s:
                        self._rates[machine.rig] = rate + RATE_WEIGHT * (seen - rate)
                machine.cache(known.spec.playbook, known.spec.pull_gb, rig.local_gb if rig else 0.0)
        if play.status == wire.EXITED:
            if log.isEnabledFor(logging.DEBUG) and held.booked_at and held.ran_from:
                log.debug(
                    "%s %s on %s: launched after %.2f s, pulled %.2f s, ran %.2f s", play.play, play.cause,
                    machine.name, held.since - held.booked_at, held.ran_from - held.since, now - held.ran_from,
                )
            if play.cause == "done":
                machine.failed_jobs.clear()
                self._job_errors.pop(held.job, None)
            elif play.cause == "error":
                self._note_error(machine, held.job)

    def _note_error(self, machine: Machine, job: str) -> None:
        """Two jobs in a row that fail here make the machine suspect; one job that fails everywhere does not."""
        places = self._job_errors.setdefault(job, set())
        places.add(machine.name)
        if len(self._job_errors) > 1000:
            self._job_errors.pop(next(iter(self._job_errors)))
        if len(places) >= 3:
            for name in places:
                if name in self.machines:
                    self.machines[name].failed_jobs.discard(job)
            return
        machine.failed_jobs.add(job)
        if len(machine.failed_jobs) >= 2 and not machine.sick:
            log.info("%s fails tasks of several jobs: no longer used", machine.name)
            machine.sick = True

    def _settle_bookings(self, machine: Machine, held: dict[tuple[str, int], Held]) -> None:
        for booking in machine.open_bookings():
            if not booking.launching:
                continue
            if (booking.play, booking.attempt) in held:
                # Seen: from now on the launch is never sent again, since after a `clear` a repeat would
                # start the attempt anew.
                held[(booking.play, booking.attempt)].booked_at = booking.booked_at
                del machine.bookings[booking.rid]
            elif booking.sends and (booking.revoked or booking.sends >= MAX_RESENDS):
                # A newer report without it: the response that carried it was dropped for good.
                self._drop_booking(machine, booking)

    def _drop_booking(self, machine: Machine, booking: Booking) -> None:
        machine.bookings.pop(booking.rid, None)
        for held in machine.held.values():
            if held.yields_to == booking.rid:
                held.yields_to = 0

    def _orders(self, machine: Machine) -> list[wire.Order]:
        orders: list[wire.Order] = []
        for key, held in machine.held.items():
            if held.alive and self._book.status(held.job) in (CANCELLED, DONE):
                machine.kills.setdefault(key, 0.0)
            if key in machine.kills and held.alive:
                orders.append(wire.Order(wire.KILL, held.play, held.attempt, machine.kills[key]))
            elif not held.alive and (key in machine.clears or self._book.status(held.job) in (CANCELLED, DONE)):
                orders.append(wire.Order(wire.CLEAR, held.play, held.attempt))
        rig = self._types.get(machine.rig)
        if rig is None:
            return orders[:MAX_ORDERS]
        room = capacity(rig)
        for key, held in machine.held.items():
            if held.alive and not (key in machine.kills and self._exits_at_once(held, machine.kills[key])):
                need = self._need(held.job) or (rig.vcpus, rig.cards, rig.memory_gb)
                for i in range(3):
                    room[i] -= need[i]
        for booking in machine.open_bookings():
            if not booking.launching or len(orders) >= MAX_ORDERS:
                continue
            if booking.revoked or self._book.status(booking.job) in (CANCELLED, DONE):
                booking.revoked = True
                if not booking.sends:
                    self._drop_booking(machine, booking)
                continue
            if fits(room, booking.need):
                for i in range(3):
                    room[i] -= booking.need[i]
                booking.sends += 1
                orders.append(wire.Order(wire.LAUNCH, booking.play, booking.attempt))
        return orders[:MAX_ORDERS]

    def _kill_now(self, machine: Machine) -> None:
        """Send a machine's kills directly: harmless to repeat or to execute late, since attempts never return.

        The worker reports such a change at once, so that the launch for which room is made rides on that
        response. (Direct clears do not make it report: tried and measured. Launches are never sent directly.)
        """
        orders = [
            wire.Order(wire.KILL, key[0], key[1], wind_down)
            for key, wind_down in machine.kills.items() if key in machine.held and machine.held[key].alive
        ]
        if orders:
            body = dumps(wire.Orders(self.token, orders[:MAX_ORDERS], machine.shift))
            self._fx.worker(machine.addr, "POST", "/orders", body, 2.0, lambda status, body: None)

    def _exits_at_once(self, held: Held, wind_down: float) -> bool:
        known = self._book.active.get(held.job)
        if known is None:
            return wind_down <= 0
        return known.spec.snapshot_every_s <= 0 or wind_down < known.spec.snapshot_s or held.status == "pulling"

    # -- news for the homes

    def _publish(self, machine: Machine, now: float, force: str | None = None) -> None:
        """Tell each team's home what is on the machine when that changed, or while it has exits to settle."""
        if not machine.sure:
            return
        teams: dict[str, list[mesh.Seen]] = {}
        unknown = None
        for held in machine.held.values():
            team = self._team(held.job)
            if team is None:
                unknown = held.job
                continue
            teams.setdefault(team, []).append(
                mesh.Seen(held.job, held.index, held.attempt, held.status, held.cause)
            )
        for booking in machine.bookings.values():
            if booking.launching:
                teams.setdefault(booking.team, []).append(
                    mesh.Seen(booking.job, booking.index, booking.attempt, "launching")
                )
        if unknown is not None:
            # Whose task that is nobody here knows: news without it would pass for a proof of its absence.
            self._strangers(unknown)
            return
        for team in sorted(teams.keys() | machine.told.keys() | ({force} if force else set())):
            seen = teams.get(team, [])
            content = (machine.shift, tuple((s.job, s.index, s.attempt, s.status) for s in seen))
            last = machine.told.get(team)
            exits = any(s.status == wire.EXITED for s in seen)
            settled = not exits or last is None or now - last[1] < 2 * self._workers.report_s
            if last is not None and last[0] == content and team != force and settled:
                continue
            machine.told[team] = (content, now)
            self._seq += 1
            self._tell(team, mesh.MachineNews(
                self.zone, team, self.token, self._seq, machine.name, machine.shift, machine.tick, seen
            ))

    def look(self, request: mesh.Look) -> mesh.LookReply:
        """Answer a home; from here on, launches by earlier owners of that home are refused."""
        now = self._fx.now()
        self._raise_home(request.team, request.home_token)
        silent = []
        for name in request.machines:
            machine = self.machines.get(name)
            if machine is None or not machine.sure:
                silent.append(-1.0)
            else:
                silent.append(now - machine.heard_at)
        self._seq += 1
        return mesh.LookReply(self.token, self._seq, silent, now - self.owned_at)

    def show(self, request: mesh.Look) -> None:
        """News of the machines looked at; to be sent after the answer, whose number they must exceed."""
        for name in request.machines:
            machine = self.machines.get(name)
            if machine is not None:
                self._publish(machine, self._fx.now(), force=request.team)

    def _raise_home(self, team: str, home_token: int) -> bool:
        known = self._home_tokens.get(team, 0)
        if home_token < known:
            return False
        if home_token > known:
            self._home_tokens[team] = home_token
            for machine in self.machines.values():  # room reserved by the team's earlier home
                for booking in machine.open_bookings():
                    if booking.team == team and not booking.launching:
                        self._drop_booking(machine, booking)
        return True

    # -- room

    def _usable(self) -> list[Machine]:
        now = self._fx.now()
        patience = 2.5 * self._workers.report_s
        for machine in self.machines.values():
            for booking in machine.open_bookings():
                if not booking.launching and booking.expires < now:
                    self._drop_booking(machine, booking)
        return [machine for machine in self.machines.values() if machine.usable(now, patience)]

    def _allowed(self, machine: Machine, shape: mesh.Shape) -> bool:
        if machine.loaners and not shape.loaners:
            return False
        return not shape.rigs or machine.rig in shape.rigs

    def ask(self, shapes: list[mesh.Shape]) -> mesh.AskReply:
        """The earliest free time for each shape: slots free now, and when the next one frees."""
        usable = self._usable()
        free = {machine.name: self._free(machine) for machine in usable}
        return mesh.AskReply(self.token, [self._room(shape, usable, free) for shape in shapes])

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
        free = {machine.name: self._free(machine) for machine in usable}
        answer: list[list[mesh.Slot]] = []
        for want in request.wants:
            if not self._raise_home(want.team, want.home_token):
                answer.append([])
                continue
            answer.append(self._give(want, usable, free, now))
        return mesh.ReserveReply(self.token, answer)

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

    # -- launches and stops

    def launch(self, request: mesh.Launch) -> mesh.LaunchReply:
        """Use reservations after their assignment is durable. Each reservation serves once."""
        refused = []
        killing: dict[str, Machine] = {}
        current = self._raise_home(request.team, request.home_token)
        by_rid = {rid: machine for machine in self.machines.values() for rid in machine.bookings}
        for start in request.starts:
            machine = by_rid.get(start.rid)
            booking = machine.bookings.get(start.rid) if machine else None
            if (
                not current or booking is None or booking.launching or booking.job != start.job
                or machine.doomed or self._book.status(start.job) in (CANCELLED, DONE)
            ):
                if booking is not None and not booking.launching:
                    self._drop_booking(machine, booking)
                refused.append(start.rid)
                continue
            booking.index, booking.attempt, booking.launching = start.index, start.attempt, True
            self._launched[booking.job] = (booking.team, booking.need)
            self._launched.move_to_end(booking.job)
            if len(self._launched) > MAX_JOBS:
                self._launched.popitem(last=False)
            for victim in booking.victims:
                held = machine.held.get(victim)
                known = self._book.active.get(held.job) if held else None
                machine.kills[victim] = known.spec.snapshot_s if known and known.spec.snapshot_every_s > 0 else 0.0
                killing[machine.name] = machine
        for machine in killing.values():
            self._kill_now(machine)
        self._seq += 1
        return mesh.LaunchReply(self.token, self._seq, refused)

    def stop(self, request: mesh.Stop) -> None:
        """Kill or clear attempts on behalf of the home's present owner."""
        if not self._raise_home(request.team, request.home_token):
            return
        killing: dict[str, Machine] = {}
        for name, job, index, attempt, wind_down in request.items:
            machine = self.machines.get(name)
            if machine is None:
                continue
            key = (f"{job}/{index}", attempt)
            if wind_down < 0:
                if key in machine.held:
                    machine.clears.add(key)
                continue
            if key in machine.held:
                if key not in machine.kills and machine.held[key].alive:
                    killing[name] = machine
                machine.kills[key] = min(wind_down, machine.kills.get(key, wind_down))
                continue
            for booking in machine.open_bookings():
                if booking.launching and (booking.play, booking.attempt) == key:
                    booking.revoked = True
                    if not booking.sends:
                        self._drop_booking(machine, booking)
        for machine in killing.values():
            self._kill_now(machine)

    def forget(self, name: str) -> None:
        """The machine is gone."""
        self.machines.pop(name, None)

    def drain(self, names: list[str]) -> None:
        """Give nothing more to these machines, and to no others of this part by the fleet's wish."""
        wanted = set(names)
        for machine in self.machines.values():
            machine.drained = machine.name in wanted

    def states(self) -> list[mesh.BoxState]:
        """For the fleet's owner."""
        now = self._fx.now()
        states = []
        for machine in self.machines.values():
            rig = self._types.get(machine.rig)
            free = self._free(machine)
            used = max(0.0, (rig.vcpus - free[0])) if rig else 0.0
            busy = bool(machine.held or machine.bookings)
            states.append(mesh.BoxState(
                machine.name, machine.rig, machine.loaners, used, 0.0 if busy else now - machine.idle_since,
                now - machine.heard_at, machine.doomed, machine.drained and not busy, machine.sick,
            ))
        return states
