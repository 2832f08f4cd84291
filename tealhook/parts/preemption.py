"""Which tasks are stopped to make room for others, and what that throws away."""

from __future__ import annotations

from typing import NamedTuple

from tealhook.jobs.index import JobIndex
from tealhook.loop.effects import Effects
from tealhook.parts.machine import Held, Machine, Need, fits
from tealhook.settings import Settings
from tealhook.wire import mesh

WORTH_STOPPING = 1.5  # of the run time that a task is stopped for: the most that may be thrown away


class PreemptionOffer(NamedTuple):
    """What it takes to fit one more task on a machine: work lost, tasks to stop, and the room that they leave."""

    lost: float
    victims: list[Held]
    room: list[float]


class Preemption:
    """Chooses tasks to stop: less urgent ones, or what another team runs beyond its guarantee."""

    def __init__(self, effects: Effects, settings: Settings, book: JobIndex, over: dict[str, float]) -> None:
        """`over`: a team's CPUs beyond its guarantee, as its owner says."""
        self._fx = effects
        self._workers = settings.params.workers
        self._done_within = settings.done_within()
        self._book = book
        self._over = over

    def offer(
        self, machine: Machine, want: mesh.Want, need: Need, free: list[float], now: float
    ) -> PreemptionOffer | None:
        """The cheapest way to fit one more task of `want` on a machine with this much room; None: there is none."""
        room = list(free)
        lost, victims = self.victims(machine, want, need, room, now)
        return PreemptionOffer(lost, victims, room) if victims else None

    def charge(self, want: mesh.Want, victims: list[Held]) -> None:
        """Note that these tasks are stopped, for what their teams still run beyond their guarantees."""
        for held in victims:
            known = self._book.active[held.job]
            if known.team in self._over and known.urgency >= want.shape.urgency:
                self._over[known.team] -= known.spec.vcpus

    def allowed(self, want: mesh.Want) -> bool:
        """Whether any task may be stopped for a want: of all kinds if it says so, else less urgent ones that save."""
        return want.preempt or want.shape.urgency > self._book.lowest_saving_urgency

    def _saves(self, held: Held) -> bool:
        """Whether a task saves its progress when it is stopped, so that little is lost."""
        return self._book.active[held.job].spec.snapshot_every_s > 0

    def _stoppable(self, machine: Machine) -> list[Held]:
        return [
            held
            for held in machine.held.values()
            if held.alive
            and not (held.yields_to or held.firm or held.status == "flushing")
            and held.job in self._book.active
        ]

    def _savers(self, machine: Machine) -> list[Held]:
        """Tasks on a machine that save and may be stopped; looked for once, until something changes there."""
        if machine.savers is None:
            machine.savers = [held for held in self._stoppable(machine) if self._saves(held)]
        return machine.savers

    @staticmethod
    def _ran(held: Held, now: float) -> float:
        return now - held.ran_from if held.ran_from else 0.0

    def _lost(self, held: Held, now: float) -> float:
        """CPU seconds that stopping a task throws away; all of its job's where that makes the job late.

        Without this the tasks of one job of long tasks, begun last whenever they begin anew, were stopped together
        again and again, until it was late by far.
        """
        known = self._book.active[held.job]
        spec = known.spec
        cpus = max(spec.vcpus, spec.cards)
        if spec.snapshot_every_s > 0:
            return (spec.snapshot_s + spec.pull_gb) * cpus
        ran = self._ran(held, now)
        age = max(0.0, self._fx.wall() - known.at) if known.at > 0 else 0.0
        goes_on = age + max(0.0, spec.expected_s - ran)
        anew = age + spec.expected_s + self._workers.report_s
        due = [spec.due_s] if spec.due_s else self._done_within.get(spec.lineup, ())
        late = any(goes_on <= within < anew for within in due)
        return (ran + spec.pull_gb + (spec.plays * spec.expected_s if late else 0.0)) * cpus

    def victims(
        self, machine: Machine, want: mesh.Want, need: Need, room: list[float], now: float
    ) -> tuple[float, list[Held]]:
        """Work lost and tasks to stop so that `need` fits, for which `room` is raised; no tasks: it can't be done."""
        lost = 0.0
        victims: list[Held] = []
        over: dict[str, float] = {}
        if want.preempt:
            # One that has run for long is nearer to its end than to its beginning: room frees sooner than it is worth.
            # Not so one that saves its progress: tasks of minutes once kept all others' room, having run for too long.
            longest = max(WORTH_STOPPING * want.shape.run_s, self._workers.lease_s)
            stoppable = [h for h in self._stoppable(machine) if self._saves(h) or self._ran(h, now) <= longest]
        else:
            stoppable = [h for h in self._savers(machine) if h.job in self._book.active]
        for loss, held in sorted(((self._lost(h, now), h) for h in stoppable), key=lambda pair: pair[0]):
            if fits(room, need):
                break
            known = self._book.active[held.job]
            if known.urgency >= want.shape.urgency:
                if not want.preempt:
                    continue
                # Of equal or higher priority: only what its team runs beyond its guarantee, for a guarantee.
                left = over.setdefault(known.team, self._over.get(known.team, 0.0))
                if not want.secured or known.team == want.team or not left >= known.spec.vcpus > 0:
                    continue
                over[known.team] -= known.spec.vcpus
            lost += loss
            victims.append(held)
            for i in range(3):
                room[i] += known.spec.need[i]
        return (lost, victims) if fits(room, need) else (0.0, [])
