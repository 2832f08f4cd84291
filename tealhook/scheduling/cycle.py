"""The scheduling cycle: inquire at the partitions, choose by min-min, reserve there, stage for the commit."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from tealhook.context import NodeContext
from tealhook.coordination import Ownership, partition_key
from tealhook.jobs.attempt import Attempt
from tealhook.jobs.index import JobIndex
from tealhook.jobs.job import WriteState
from tealhook.jobs.team import TeamState
from tealhook.mesh import Mesh
from tealhook.placement import NEVER_S, Choice, Group, PartitionView, PlacementEstimate, plan_cycle
from tealhook.scheduling.candidates import ROUNDING, Candidate, CandidateSelection
from tealhook.state_store import CallPriority, StateClient
from tealhook.wire import mesh as wire
from tealhook.wire.users import JobKind

log = logging.getLogger("tealhook.jobs")


class SchedulingCycle:
    """Places the tasks of all teams that this node owns, cycle after cycle."""

    def __init__(
        self,
        context: NodeContext,
        ownership: Ownership,
        store: StateClient,
        mesh: Mesh,
        teams: dict[str, TeamState],
        job_index: JobIndex,
        behind: Callable[[], bool],
        commit_soon: Callable[[], Any],
    ) -> None:
        """`behind`: whether something placed waits for tokens to be made durable."""
        self._effects = context.effects
        self._ownership = ownership
        self._store = store
        self._mesh = mesh
        self._teams = teams
        self._behind = behind
        self._commit_soon = commit_soon
        self._report_s = context.workers.report_s
        self.selection = CandidateSelection(context, teams, job_index)
        self._cycle_on = False
        self._pause = self._report_s / 8
        self._schedule()

    def _schedule(self) -> None:
        pause = self._pause * (0.75 + 0.5 * self._effects.rng.random())  # nodes must not inquire in step
        self._effects.later(pause, self._run)

    def wake(self) -> None:
        """Something may be placeable now: the next pauses are short."""
        self._pause = self._report_s / 8

    def _run(self) -> None:
        if self._cycle_on:
            return
        # While assignments wait for tokens, room reserved for more of them would expire before it is used, be
        # reserved again, and the changes spent on it be lost.
        able = self._store.is_served and not self._behind() and not self._ownership.lease_uncertain
        candidates = self.selection.select(self._effects.now()) if able else []
        zones = {
            zone: owner for zone in self._ownership.zones() if (owner := self._ownership.owner(partition_key(zone)))
        }
        # Owners that do not answer would hold up each cycle; those that can be reached go on without them.
        zones = {zone: owner for zone, owner in zones.items() if self._ownership.is_reachable(owner)} or zones
        if not candidates or not zones:
            self._pause = min(self._report_s / 4, self._pause * 1.5)
            self._schedule()
            return
        self._cycle_on = True
        self._inquire(candidates, zones)

    def _inquire(self, candidates: list[Candidate], zones: dict[str, str]) -> None:
        """Ask the owner of each partition for its earliest room, by shape."""
        requirements = list(dict.fromkeys(candidate.requirements for candidate in candidates))
        left = set(zones)
        answers: dict[str, wire.CapacityReply] = {}

        def answered(zone: str, reply: Any) -> None:
            left.discard(zone)
            if isinstance(reply, wire.CapacityReply) and len(reply.capacities) == len(requirements):
                answers[zone] = reply
            if not left:
                self._choose(candidates, requirements, zones, answers)

        for zone, owner in zones.items():
            self._mesh.call(
                owner,
                wire.CapacityInquiry(zone, requirements),
                self._report_s / 2,
                lambda reply, zone=zone: answered(zone, reply),  # type: ignore[misc]  # mypy can't infer defaults
            )

    def _choose(
        self,
        candidates: list[Candidate],
        requirements: list[wire.TaskRequirements],
        zones: dict[str, str],
        answers: dict[str, wire.CapacityReply],
    ) -> None:
        now = self._effects.now()
        position = {requirements: i for i, requirements in enumerate(requirements)}
        groups: list[Group] = []
        by_job: dict[str, Candidate] = {}
        for candidate in candidates:
            if candidate.job.spec is None or self._teams.get(candidate.team.name) is not candidate.team:
                continue
            rooms = {zone: reply.capacities[position[candidate.requirements]] for zone, reply in answers.items()}
            by_job[candidate.job.id] = candidate
            groups.append(self._group(candidate, rooms, now))
        choices = self._affordable(plan_cycle(groups))
        self._log(groups, by_job)
        self._reserve(choices, by_job, zones, now)

    def _group(self, candidate: Candidate, rooms: dict[str, wire.Capacity], now: float) -> Group:
        """A candidate as min-min takes it, with what each partition has for it."""
        spec = candidate.spec
        partitions: dict[str, PartitionView] = {}
        for zone, room in rooms.items():
            feedback = candidate.team.factors.get(zone)
            factor = feedback.factor if feedback else 0.0
            partitions[zone] = PartitionView(room.cached, room.uncached, room.next_free_s, room.fetch_gb_per_s, factor)
            if candidate.job.gang:  # in one partition, once all its room is free
                whole = room.cached + room.uncached
                partitions[zone].cached, partitions[zone].uncached = 0, whole if whole >= candidate.count else 0
                partitions[zone].next_free_s = NEVER_S
        limits = self.selection.zone_limits(candidate.job, spec, list(rooms))
        if spec.single_zone and not candidate.job.zones():
            # All of the job must go to one zone: the one with most room now.
            best = max(rooms, key=lambda z: (partitions[z].cached + partitions[z].uncached, z), default=None)
            limits |= {zone: 0 for zone in rooms if zone != best}
        return Group(
            candidate.job.id,
            candidate.count,
            candidate.rank,
            spec.image_gb,
            0.0 if spec.kind == JobKind.SERVICE else spec.estimated_run_s,  # free time alone
            candidate.job.resources,
            partitions,
            candidate.starving,
            self.selection.may_preempt(candidate, now) or self.selection.may_preempt_checkpointing(candidate),
            limits,
        )

    @staticmethod
    def _log(groups: list[Group], by_job: dict[str, Candidate]) -> None:
        if not log.isEnabledFor(logging.DEBUG):
            return
        for group in groups:
            left = {z: (v.cached, v.uncached, round(min(v.next_free_s, 999.0), 1)) for z, v in group.partitions.items()}
            waits = by_job[group.job].count
            log.debug(
                "round: %s rank %s need %s waits %d of %d; left %s",
                group.job,
                group.rank,
                group.resources,
                group.count,
                waits,
                left,
            )

    def _affordable(self, choices: list[Choice]) -> list[Choice]:
        """The first choices, of no more jobs than can be made durable soon: one change each."""
        most = max(1, self._store.available_writes(CallPriority.ASSIGN))
        jobs: set[str] = set()
        for position, choice in enumerate(choices):
            if not choice.holds_capacity:
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
            if choice.holds_capacity and not (choice.group.starving or choice.group.can_preempt):
                continue
            wants.setdefault(choice.zone, []).append((candidate, choice.count, choice))
        if not wants:
            self._end_cycle(0)
            return
        left = set(wants)
        placed: list[int] = []

        def answered(zone: str, reply: Any) -> None:
            left.discard(zone)
            if isinstance(reply, wire.ReserveReply) and len(reply.grants) == len(wants[zone]):
                for (candidate, _count, _choice), slots in zip(wants[zone], reply.grants, strict=True):
                    placed.append(self._stage(candidate, zone, reply.token, slots, now))
            if not left:
                self._end_cycle(sum(placed))

        for zone, items in wants.items():
            request = wire.ReserveRequest(zone, [self._want(*item) for item in items])
            self._mesh.call(
                zones[zone],
                request,
                self._report_s / 2,
                lambda reply, zone=zone: answered(zone, reply),  # type: ignore[misc]  # mypy can't infer defaults
            )

    def _want(self, candidate: Candidate, count: int, choice: Choice) -> wire.ReservationRequest:
        return wire.ReservationRequest(
            candidate.job.id,
            candidate.team.name,
            candidate.requirements,
            count,
            candidate.within_guarantee,
            choice.holds_capacity and candidate.starving,
            candidate.job.avoided_machines,
            candidate.team.token,
            choice.holds_capacity and self.selection.may_preempt(candidate, self._effects.now()),
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

    def _stage(
        self, candidate: Candidate, zone: str, token: int, slots: list[wire.ReservationGrant], now: float
    ) -> int:
        """Stage tasks for the room that was given; they wait for the commit."""
        team, job, spec = candidate.team, candidate.job, candidate.job.spec
        if spec is None or self._teams.get(team.name) is not team or job.write_state is WriteState.UNCERTAIN:
            return 0
        # The world may have moved while the partition was asked: the limits are checked against what is so now.
        most = len(slots)
        for limit, which in ((team.limit, 0), (team.gpus_limit, 1)):
            if limit > 0 and job.resources[which] > 0:
                kept = 0.0 if candidate.overdue or candidate.borrows else team.reserved_for_overdue[which]
                most = min(most, int((limit - team.allocated(which) - kept + ROUNDING) / job.resources[which]))
        most = max(0, min(most, self.selection.zone_limits(job, spec, [zone]).get(zone, most)))
        if job.gang and most < job.waiting_count():
            return 0
        indexes = job.take_waiting_tasks(max(0, min(most, len(slots))))
        for position, (index, slot) in enumerate(zip(indexes, slots, strict=False)):
            if not (job.gang and position):  # the tasks of a gang find one another by their attempt
                job.last_attempt_number += 1
            attempt = Attempt(index, job.last_attempt_number, slot.machine, slot.session, zone, token, now)
            attempt.reservation_id = slot.reservation_id
            attempt.estimate = PlacementEstimate(now, slot.fetch_s, spec.estimated_run_s)
            job.staged[index] = attempt
        return len(indexes)
