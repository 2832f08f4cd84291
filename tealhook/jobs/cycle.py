"""The scheduling cycle: inquire at the partitions, choose by min-min, reserve there, stage for the commit."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from tealhook.jobs.candidates import ROUNDING, Candidate, CandidateSelection
from tealhook.jobs.index import JobIndex
from tealhook.jobs.job import Attempt, WriteState
from tealhook.jobs.team import TeamState
from tealhook.loop.effects import Effects
from tealhook.mesh import Mesh
from tealhook.placement import NEVER_S, Choice, Group, PartView, Placed, plan_round
from tealhook.settings import Policy, Settings
from tealhook.store import Ownership, Priority, StateClient, part_key
from tealhook.wire import mesh as wire
from tealhook.wire.users import SERVICE

log = logging.getLogger("tealhook.jobs")


class SchedulingCycle:
    """Places the tasks of all teams that this node owns, cycle after cycle."""

    def __init__(
        self,
        effects: Effects,
        settings: Settings,
        policy: Policy,
        ownership: Ownership,
        store: StateClient,
        mesh: Mesh,
        variables: Callable[[], dict[str, float]],
        teams: dict[str, TeamState],
        book: JobIndex,
        behind: Callable[[], bool],
        commit_soon: Callable[[], Any],
    ) -> None:
        """`behind`: whether something placed waits for tokens to be made durable."""
        self._fx = effects
        self._own = ownership
        self._store = store
        self._mesh = mesh
        self._teams = teams
        self._behind = behind
        self._commit_soon = commit_soon
        self._report_s = settings.params.workers.report_s
        self.selection = CandidateSelection(settings, policy, variables, teams, book)
        self._cycle_on = False
        self._pause = self._report_s / 8
        self._schedule()

    def _schedule(self) -> None:
        pause = self._pause * (0.75 + 0.5 * self._fx.rng.random())  # nodes must not inquire in step
        self._fx.later(pause, self._run)

    def wake(self) -> None:
        """Something may be placeable now: the next pauses are short."""
        self._pause = self._report_s / 8

    def _run(self) -> None:
        if self._cycle_on:
            return
        # While assignments wait for tokens, room reserved for more of them would expire before it is used, be
        # reserved again, and the changes spent on it be lost.
        able = self._store.served and not self._behind() and not self._own.lease_uncertain
        candidates = self.selection.select(self._fx.now()) if able else []
        zones = {zone: owner for zone in self._own.zones() if (owner := self._own.owner(part_key(zone)))}
        # Owners that do not answer would hold up each cycle; those that can be reached go on without them.
        zones = {zone: owner for zone, owner in zones.items() if self._own.reachable(owner)} or zones
        if not candidates or not zones:
            self._pause = min(self._report_s / 4, self._pause * 1.5)
            self._schedule()
            return
        self._cycle_on = True
        self._inquire(candidates, zones)

    def _inquire(self, candidates: list[Candidate], zones: dict[str, str]) -> None:
        """Ask the owner of each partition for its earliest room, by shape."""
        shapes = list(dict.fromkeys(candidate.shape for candidate in candidates))
        left = set(zones)
        answers: dict[str, wire.AskReply] = {}

        def answered(zone: str, reply: Any) -> None:
            left.discard(zone)
            if isinstance(reply, wire.AskReply) and len(reply.rooms) == len(shapes):
                answers[zone] = reply
            if not left:
                self._choose(candidates, shapes, zones, answers)

        for zone, owner in zones.items():
            self._mesh.call(
                owner,
                wire.Ask(zone, shapes),
                self._report_s / 2,
                lambda reply, zone=zone: answered(zone, reply),  # type: ignore[misc]  # mypy can't infer defaults
            )

    def _choose(
        self,
        candidates: list[Candidate],
        shapes: list[wire.Shape],
        zones: dict[str, str],
        answers: dict[str, wire.AskReply],
    ) -> None:
        now = self._fx.now()
        position = {shape: i for i, shape in enumerate(shapes)}
        groups: list[Group] = []
        by_job: dict[str, Candidate] = {}
        for candidate in candidates:
            if candidate.job.spec is None or self._teams.get(candidate.team.team) is not candidate.team:
                continue
            rooms = {zone: reply.rooms[position[candidate.shape]] for zone, reply in answers.items()}
            by_job[candidate.job.id] = candidate
            groups.append(self._group(candidate, rooms, now))
        choices = self._affordable(plan_round(groups))
        self._log(groups, by_job)
        self._reserve(choices, by_job, zones, now)

    def _group(self, candidate: Candidate, rooms: dict[str, wire.Room], now: float) -> Group:
        """A candidate as min-min takes it, with what each partition has for it."""
        spec = candidate.spec
        parts: dict[str, PartView] = {}
        for zone, room in rooms.items():
            feedback = candidate.team.factors.get(zone)
            factor = feedback.factor if feedback else 0.0
            parts[zone] = PartView(room.cached, room.uncached, room.next_s, room.rate, factor)
            if candidate.job.gang:  # in one partition, once all its room is free
                whole = room.cached + room.uncached
                parts[zone].cached, parts[zone].uncached = 0, whole if whole >= candidate.count else 0
                parts[zone].next_s = NEVER_S
        limits = self.selection.zone_limits(candidate.job, spec, list(rooms))
        if spec.together and not candidate.job.zones():
            # All of the job must go to one zone: the one with most room now.
            best = max(rooms, key=lambda z: (parts[z].cached + parts[z].uncached, z), default=None)
            limits |= {zone: 0 for zone in rooms if zone != best}
        return Group(
            candidate.job.id,
            candidate.count,
            candidate.rank,
            spec.pull_gb,
            0.0 if spec.shape == SERVICE else spec.expected_s,  # free time alone
            candidate.job.need,
            parts,
            candidate.aged,
            self.selection.may_preempt(candidate, now) or self.selection.may_preempt_saving(candidate),
            limits,
        )

    @staticmethod
    def _log(groups: list[Group], by_job: dict[str, Candidate]) -> None:
        if not log.isEnabledFor(logging.DEBUG):
            return
        for group in groups:
            left = {z: (v.cached, v.uncached, round(min(v.next_s, 999.0), 1)) for z, v in group.parts.items()}
            waits = by_job[group.job].count
            log.debug(
                "round: %s rank %s need %s waits %d of %d; left %s",
                group.job,
                group.rank,
                group.need,
                group.count,
                waits,
                left,
            )

    def _affordable(self, choices: list[Choice]) -> list[Choice]:
        """The first choices, of no more jobs than can be made durable soon: one change each."""
        most = max(1, self._store.write_room(Priority.ASSIGN))
        jobs: set[str] = set()
        for position, choice in enumerate(choices):
            if not choice.hold:
                jobs.add(choice.group.job)
            if len(jobs) > most:
                return choices[:position]
        return choices

    def _reserve(self, choices: list[Choice], by_job: dict[str, Candidate], zones: dict[str, str], now: float) -> None:
        """Ask each partition's owner for the room that was chosen there."""
        wants: dict[str, list[tuple[Candidate, int, Choice]]] = {}
        for choice in choices:
            candidate = by_job[choice.group.job]
            if candidate.job.gang and choice.count < candidate.count:
                continue
            if choice.hold and not (choice.group.aged or choice.group.can_preempt):
                continue
            wants.setdefault(choice.zone, []).append((candidate, choice.count, choice))
        if not wants:
            self._end_cycle(0)
            return
        left = set(wants)
        placed: list[int] = []

        def answered(zone: str, reply: Any) -> None:
            left.discard(zone)
            if isinstance(reply, wire.ReserveReply) and len(reply.slots) == len(wants[zone]):
                for (candidate, _count, _choice), slots in zip(wants[zone], reply.slots, strict=True):
                    placed.append(self._stage(candidate, zone, reply.token, slots, now))
            if not left:
                self._end_cycle(sum(placed))

        for zone, items in wants.items():
            request = wire.Reserve(zone, [self._want(*item) for item in items])
            self._mesh.call(
                zones[zone],
                request,
                self._report_s / 2,
                lambda reply, zone=zone: answered(zone, reply),  # type: ignore[misc]  # mypy can't infer defaults
            )

    def _want(self, candidate: Candidate, count: int, choice: Choice) -> wire.Want:
        return wire.Want(
            candidate.job.id,
            candidate.team.team,
            candidate.shape,
            count,
            candidate.secured,
            choice.hold and candidate.aged,
            candidate.job.avoid,
            candidate.team.token,
            choice.hold and self.selection.may_preempt(candidate, self._fx.now()),
            candidate.overdue,
        )

    def _end_cycle(self, placed: int) -> None:
        self._cycle_on = False
        if placed:
            self.wake()
            self._commit_soon()
        else:
            self._pause = min(self._report_s / 2, self._pause * 1.5)
        self._schedule()

    def _stage(self, candidate: Candidate, zone: str, token: int, slots: list[wire.Slot], now: float) -> int:
        """Stage tasks for the room that was given; they wait for the commit."""
        team, job, spec = candidate.team, candidate.job, candidate.job.spec
        if spec is None or self._teams.get(team.team) is not team or job.write_state is WriteState.UNCERTAIN:
            return 0
        # The world may have moved while the partition was asked: the limits are checked against what is so now.
        most = len(slots)
        for limit, which in ((team.limit, 0), (team.gpus_limit, 1)):
            if limit > 0 and job.need[which] > 0:
                kept = 0.0 if candidate.overdue or candidate.borrows else team.kept[which]
                most = min(most, int((limit - team.taken(which) - kept + ROUNDING) / job.need[which]))
        most = max(0, min(most, self.selection.zone_limits(job, spec, [zone]).get(zone, most)))
        if job.gang and most < job.waiting():
            return 0
        indexes = job.take_waiting(max(0, min(most, len(slots))))
        for position, (index, slot) in enumerate(zip(indexes, slots, strict=False)):
            if not (job.gang and position):  # the tasks of a gang find one another by their attempt
                job.counter += 1
            attempt = Attempt(index, job.counter, slot.machine, slot.shift, zone, token, now)
            attempt.rid = slot.rid
            attempt.placed = Placed(now, slot.fetch_s, spec.expected_s)
            job.staged[index] = attempt
        return len(indexes)
