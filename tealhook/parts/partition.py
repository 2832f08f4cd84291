"""The owner's side of one part: what its machines hold and are told to do.

Nothing in here is durable: a new owner learns everything from reports made under its own token.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from tealhook.jobs.index import JobIndex
from tealhook.loop.effects import Effects
from tealhook.parts.calls import Calls
from tealhook.parts.commands import Commands
from tealhook.parts.machine import EPSILON, MAX_RESENDS, Held, Machine
from tealhook.parts.room import Room
from tealhook.parts.updates import Updates
from tealhook.settings import Settings
from tealhook.wire import mesh
from tealhook.wire import workers as wire
from tealhook.wire.cloud import MachineType
from tealhook.wire.common import dumps

log = logging.getLogger("tealhook.parts")

NEVER_S = 1e9
REPORT_GAP_S = 0.5  # the protocol: a worker never reports more often
UNHEARD_LEASES = 1.25  # a partition none of whose machines is heard of for so long may be out of our reach
DEAF_LEASES = 2.0  # a machine that has not heard for so many leases is replaced
DRIFT = 1.001  # two steady clocks, each at most 0.05% off


class Partition:
    """All machines of one zone, under one fencing token."""

    def __init__(
        self,
        effects: Effects,
        settings: Settings,
        zone: str,
        token: int,
        book: JobIndex,
        types: dict[str, MachineType],
        over: dict[str, float],
        tell: Callable[[str, mesh.MachineNews], Any],
        strangers: Callable[[str], Any],
    ) -> None:
        """No machine is known yet: each is learned from its first report under `token`."""
        self._fx = effects
        self._workers = settings.params.workers
        self.zone = zone
        self.token = token
        self._book = book
        self._types = types
        self.machines: dict[str, Machine] = {}
        self.room = Room(effects, settings, token, book, types, over, self.machines)
        self.calls = Calls(effects, settings, token, self.machines)
        self.updates = Updates(effects, settings, zone, token, self.machines, self.room, tell, strangers)
        self.commands = Commands(effects, token, book, types, self.machines, self.room, self.updates)
        # Each report takes these two: they are called without a step between.
        self._publish = self.updates.publish
        self._orders = self.commands.orders
        self._job_errors: dict[str, set[str]] = {}
        self._owned_at = effects.now()

    # -- reports

    def on_report(self, report: wire.Report) -> bool:
        """Take a report made to the owner; False when it is an old one. The caller has checked the tokens."""
        now = self._fx.now()
        machine = self.machines.get(report.box)
        if machine is None:
            machine = self.machines[report.box] = Machine(report, now)
        if (report.shift, report.tick) <= (machine.shift, machine.tick):
            return False  # held up on its way, or a copy
        if report.shift > machine.shift:
            if now - machine.answered_at < self._workers.lease_s / 2:
                # It had been answered when its lease ran out: the answers did not arrive.
                self._deaf(machine, now)
            self._new_shift(machine, report.shift, now)
        elif now - machine.shift_at > DRIFT * self._workers.lease_s + wire.ANSWER_S:
            machine.deaf_since = None  # the shift has outlived a lease: something of ours arrived
        machine.tick = report.tick
        machine.heard_at = now
        machine.addr = report.addr
        machine.terminating = report.warning_s is not None
        machine.obeys = report.baton == self.token
        if machine.obeys:
            # Only a worker that has seen our token obeys nobody before us any more: what such a report
            # lacks is provably not there.
            machine.sure = True
            self._take_plays(machine, report.plays or [], now)
            if report.warning_s is not None:
                self._leave(machine, report.warning_s, now)
        self._publish(machine, now)
        return True

    def response(self, name: str | None) -> bytes:
        """The body of a 200 to a machine's newest report; None: it carries nothing."""
        machine = self.machines.get(name) if name is not None else None
        orders = self._orders(machine) if machine is not None and machine.obeys else []
        if machine is not None:
            machine.answered_at = self._fx.now()
        return dumps(wire.Orders(self.token, orders))

    def patience(self, name: str) -> float:
        """Seconds for which the answer to a machine's report may stay open, so that a launch can ride on it.

        A launch that comes just after an answer would wait for the next report, on the average half a report
        period in which its room lies idle. A worker can't report again for a while anyway; one without tasks
        has nothing to report but that it is there.
        """
        machine = self.machines.get(name)
        if machine is None or not machine.obeys or not machine.usable(self._fx.now(), NEVER_S):
            return 0.0
        if machine.kills or any(b.launching for b in machine.bookings.values()):
            return 0.0  # there is, or will soon be, something to tell it
        free = self.room.free(machine)
        if free[0] <= EPSILON or free[2] <= EPSILON:
            return 0.0
        share = 1 / 3 if machine.held else 2 / 3
        return min(wire.ANSWER_S / 2, max(0.9 * REPORT_GAP_S, share * self._workers.report_s))

    def _deaf(self, machine: Machine, now: float) -> None:
        """What we tell a machine does not reach it, though its reports come: it gets nothing more until it hears.

        It would swallow every launch, again and again: its reports prove each time that the task is not there.
        """
        if machine.deaf_since is None:
            log.info("%s reports, but does not hear", machine.name)
            machine.deaf_since = now
            self.room.touch(machine)

    def _new_shift(self, machine: Machine, shift: int, now: float) -> None:
        """The worker's lease ran out: every task of the earlier session is killed and forgotten."""
        machine.shift = shift
        machine.shift_at = now
        machine.answered_at = -NEVER_S
        machine.tick = -1
        machine.held.clear()
        self.room.drop_all(machine)
        machine.kills.clear()
        machine.clears.clear()
        self.room.touch(machine)

    def _take_plays(self, machine: Machine, plays: list[wire.Play], now: float) -> None:
        before = machine.held
        held: dict[tuple[str, int], Held] = {}
        changed = len(plays) != len(before)
        for play in plays:
            split = wire.split_play(play.play)
            if split is None:
                continue
            key = (play.play, play.attempt)
            old = before.get(key)
            new = old or Held(play.play, split[0], split[1], play.attempt, "", None, now)
            if old is None or old.status != play.status:
                self._status_change(machine, new, play, now)
                changed = True
            new.status, new.cause = play.status, play.cause
            held[key] = new
        machine.held = held
        machine.exits = any(not task.alive for task in held.values())
        if changed:
            self.room.touch(machine)
        self._settle_bookings(machine, held)
        for done in [key for key in machine.kills if key not in held or not held[key].alive]:
            del machine.kills[done]
        machine.clears.intersection_update(held)

    def _leave(self, machine: Machine, left_s: float, now: float) -> None:
        """Stop what can't end before the cloud takes the machine: elsewhere it begins anew that much sooner.

        Left alone it would be lost when the machine goes, and known to be lost only after that has been noticed.
        """
        for key, held in machine.held.items():
            known = self._book.active.get(held.job)
            if known is None or not held.alive or key in machine.kills:
                continue
            spec = known.spec
            if (held.ran_from or now) + spec.expected_s <= now + left_s:
                continue  # it may well end in time; so may one that is past its estimate
            saves = spec.snapshot_every_s > 0 and spec.snapshot_s < left_s
            machine.kills[key] = spec.snapshot_s if saves else 0.0
        for booking in machine.open_bookings():
            known = self._book.active.get(booking.job)
            if booking.launching and not booking.sends and known is not None and known.spec.expected_s > left_s:
                self.room.drop_booking(machine, booking)

    def _status_change(self, machine: Machine, held: Held, play: wire.Play, now: float) -> None:
        known = self._book.active.get(held.job)
        if play.status == "running" and not held.ran_from:
            held.ran_from = now
            if known is not None and known.spec.playbook:
                rig = self._types.get(machine.rig)
                if held.status == "pulling" and known.spec.pull_gb > 0 and known.spec.playbook not in machine.images:
                    self.room.learn_rate(rig, known.spec.pull_gb, now - held.since)
                machine.cache(known.spec.playbook, known.spec.pull_gb, rig.local_gb if rig else 0.0)
        if play.status == wire.EXITED:
            if log.isEnabledFor(logging.DEBUG) and held.booked_at and held.ran_from:
                log.debug(
                    "%s %s on %s: launched after %.2f s, pulled %.2f s, ran %.2f s",
                    play.play,
                    play.cause,
                    machine.name,
                    held.since - held.booked_at,
                    held.ran_from - held.since,
                    now - held.ran_from,
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
                held[(booking.play, booking.attempt)].firm = booking.firm
                self.room.settle_booking(machine, booking)
            elif booking.sends and (booking.revoked or booking.sends >= MAX_RESENDS):
                # A newer report without it: the response that carried it was dropped for good.
                self.room.drop_booking(machine, booking)
                if not booking.revoked:
                    self._deaf(machine, self._fx.now())

    # -- requests of homes and of the fleet

    def look(self, request: mesh.Look) -> mesh.LookReply:
        """Answer a home; from here on, launches by earlier owners of that home are refused."""
        return self.updates.look(request)

    def show(self, request: mesh.Look) -> None:
        """News of the machines looked at; to be sent after the answer, whose number they must exceed."""
        self.updates.show(request)

    def launch(self, request: mesh.Launch) -> mesh.LaunchReply:
        """Use reservations after their assignment is durable. Each reservation serves once."""
        return self.commands.launch(request)

    def stop(self, request: mesh.Stop) -> None:
        """Kill or clear attempts on behalf of the home's present owner."""
        self.commands.stop(request)

    def call_in(self, addrs: dict[str, str]) -> None:
        """Tell workers that have not come under our token of it, directly, so that they do."""
        self.calls.call_in(addrs)

    @property
    def unheard(self) -> bool:
        """Whether no machine, be there any or not, has been heard of for longer than a lease."""
        since = self._fx.now() - UNHEARD_LEASES * self._workers.lease_s
        return self._owned_at < since and all(machine.heard_at < since for machine in self.machines.values())

    def probe(self) -> None:
        """Ask machines that did not hear whether they do now."""
        self.calls.probe()

    def forget(self, name: str) -> None:
        """The machine is gone."""
        machine = self.machines.pop(name, None)
        if machine is not None:
            self.room.drop_all(machine)

    def drain(self, names: list[str]) -> None:
        """Give nothing more to these machines, and to no others of this part by the fleet's wish."""
        wanted = set(names)
        for machine in self.machines.values():
            machine.drained = machine.name in wanted

    def states(self) -> list[mesh.BoxState]:
        """For the fleet's owner."""
        now = self._fx.now()
        lease_s = self._workers.lease_s
        states = []
        for machine in self.machines.values():
            if not machine.sure:
                continue  # known from what may be a late copy: nothing to count on
            rig = self._types.get(machine.rig)
            free = self.room.free(machine)
            used = max(0.0, (rig.vcpus - free[0])) if rig else 0.0
            busy = bool(machine.held or machine.bookings)
            states.append(
                mesh.BoxState(
                    machine.name,
                    machine.rig,
                    machine.loaners,
                    used,
                    self.room.empty_in(machine, now),
                    now - machine.heard_at,
                    machine.terminating,
                    (machine.drained or machine.terminating) and not busy,
                    machine.sick
                    or (machine.deaf_since is not None and now - machine.deaf_since > DEAF_LEASES * lease_s),
                )
            )
        return states
