"""Plan of a scheduling cycle: the reservations to request for each candidate, chosen by min-min."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from typing import NamedTuple

from tealhook.jobs.team import TeamState
from tealhook.placement import NO_CAPACITY_S, PartitionView, PlacementChoice, TaskGroup, plan_cycle
from tealhook.scheduling.candidates import Candidate, CandidateSelector
from tealhook.state_store import CallPriority, StateClient
from tealhook.wire import mesh as wire
from tealhook.wire.users import JobKind

log = logging.getLogger(__name__)

MAX_LOGGED_WAIT_S = 999.0  # longer waits for free capacity are logged as this value


class _Requested(NamedTuple):
    """What an inquiry asks for: machines that meet the requirements and that the restrictions permit."""

    requirements: wire.TaskRequirements
    restrictions: wire.MachineRestrictions


def _requested_by(candidate: Candidate) -> _Requested:
    return _Requested(candidate.requirements, candidate.restrictions)


@dataclass(slots=True)
class InquiryPhase:
    """Capacity inquiries of one cycle: the candidates, the owners that are asked, and their replies."""

    candidates: list[Candidate]
    owners: dict[str, str]  # zone -> owner of its partition
    positions: dict[_Requested, int] = field(init=False)  # of the capacities in each reply, without duplicates
    replies: dict[str, wire.CapacityReply] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Collect the requirements; candidates with equal ones share an inquiry."""
        requested = dict.fromkeys(map(_requested_by, self.candidates))
        self.positions = {item: position for position, item in enumerate(requested)}

    def build_requests(self) -> dict[str, wire.Body]:
        """Return the request for each zone."""
        requirements = [item.requirements for item in self.positions]
        restrictions = [item.restrictions for item in self.positions]
        return {zone: wire.CapacityRequest(zone, requirements, restrictions) for zone in self.owners}

    def on_reply(self, zone: str, reply: wire.Body | None) -> None:
        """Keep a reply if it has a capacity for each of the requirements."""
        if isinstance(reply, wire.CapacityReply) and len(reply.capacities) == len(self.positions):
            self.replies[zone] = reply

    def capacities_for(self, candidate: Candidate) -> dict[str, wire.Capacity]:
        """Return the capacity for a candidate in each zone whose partition's owner has replied."""
        position = self.positions[_requested_by(candidate)]
        return {zone: reply.capacities[position] for zone, reply in self.replies.items()}


@dataclass(frozen=True, slots=True)
class PlannedReservation:
    """Capacity to reserve for tasks of a candidate in one zone."""

    candidate: Candidate
    choice: PlacementChoice

    @property
    def zone(self) -> str:
        """Zone of the partition that min-min chose."""
        return self.choice.zone

    @property
    def count(self) -> int:
        """Number of tasks to reserve capacity for."""
        return self.choice.count


class PlacementPlanner:
    """Plans the reservations of a cycle from the partitions' replies."""

    def __init__(self, store: StateClient, teams: dict[str, TeamState], selector: CandidateSelector) -> None:
        """Initialize a planner; `selector` provides the zone limits of jobs and decides which may preempt."""
        self._store = store
        self._teams = teams
        self._selector = selector
        # Job -> zones that granted nothing, one after another, to its requests for capacity that is not free yet.
        self._refusing_zones: dict[str, set[str]] = {}

    def record_reply(self, planned: PlannedReservation, granted: int) -> None:
        """Record how many reservations were granted for a planned one."""
        if granted:
            self._refusing_zones.pop(planned.candidate.job.id, None)
        elif planned.choice.awaits_capacity:
            self._refusing_zones.setdefault(planned.candidate.job.id, set()).add(planned.zone)

    def plan(self, inquiry: InquiryPhase, now: float) -> list[PlannedReservation]:
        """Return the reservations to request, in the order in which they were chosen."""
        waiting_jobs = {candidate.job.id for candidate in inquiry.candidates}
        self._refusing_zones = {job: zones for job, zones in self._refusing_zones.items() if job in waiting_jobs}
        groups: list[TaskGroup] = []
        candidates_by_job: dict[str, Candidate] = {}
        for candidate in inquiry.candidates:
            if candidate.job.spec is None or self._teams.get(candidate.team.name) is not candidate.team:
                continue
            candidates_by_job[candidate.job.id] = candidate
            groups.append(self._build_group(candidate, inquiry.capacities_for(candidate), now))
        choices = self._limit_to_write_budget(plan_cycle(groups))
        self._log_groups(groups, candidates_by_job)
        planned = (PlannedReservation(candidates_by_job[choice.group.job], choice) for choice in choices)
        return [reservation for reservation in planned if self._should_request(reservation)]

    def _build_group(self, candidate: Candidate, capacities: dict[str, wire.Capacity], now: float) -> TaskGroup:
        """Return the min-min group of a candidate, with each partition's capacity for it."""
        spec = candidate.spec
        selector = self._selector
        partitions = {zone: self._build_view(candidate, zone, capacity) for zone, capacity in capacities.items()}
        can_preempt = selector.may_preempt(candidate, now) or selector.may_preempt_checkpointing(candidate)
        zone_limits = selector.zone_limits(candidate.job, spec, list(capacities))
        if can_preempt and not candidate.starving:
            self._leave_out_refusing(candidate.job.id, partitions, zone_limits)
        return TaskGroup(
            job=candidate.job.id,
            count=candidate.count,
            rank=candidate.rank,
            image_gb=spec.image_gb,
            # For services, min-min compares only when they can start.
            run_s=0.0 if spec.kind == JobKind.SERVICE else spec.estimated_run_s,
            resources=candidate.job.resources,
            partitions=partitions,
            starving=candidate.starving,
            can_preempt=can_preempt,
            zone_limits=zone_limits,
            single_zone=spec.single_zone,
        )

    def _leave_out_refusing(
        self, job_id: str, partitions: dict[str, PartitionView], zone_limits: dict[str, int]
    ) -> None:
        """Let a job that may preempt await capacity in zones that have not refused it yet, if there are any.

        When capacity should become free does not tell whether a partition has tasks that this job may preempt. A
        starving job stays where it holds a machine.
        """
        refusing = self._refusing_zones.get(job_id, set())
        expected = {
            zone
            for zone, view in partitions.items()
            if view.next_free_s < NO_CAPACITY_S and zone_limits.get(zone, 1) > 0
        }
        if expected <= refusing:
            refusing.clear()
        for zone in expected & refusing:
            partitions[zone].next_free_s = NO_CAPACITY_S

    @staticmethod
    def _build_view(candidate: Candidate, zone: str, capacity: wire.Capacity) -> PartitionView:
        """Return a partition's capacity for a candidate."""
        feedback = candidate.team.estimate_feedback.get(zone)
        factor = feedback.factor if feedback else 0.0
        if not candidate.job.is_gang:
            return PartitionView(
                capacity.cached, capacity.uncached, capacity.next_free_s, capacity.fetch_gb_per_s, factor
            )
        # A gang goes to a single partition, once that has free capacity for all of its tasks.
        total = capacity.cached + capacity.uncached
        return PartitionView(
            0, total if total >= candidate.count else 0, NO_CAPACITY_S, capacity.fetch_gb_per_s, factor
        )

    def _limit_to_write_budget(self, choices: list[PlacementChoice]) -> list[PlacementChoice]:
        """Return the first choices, for no more jobs than can be committed soon at one write operation each."""
        max_jobs = max(1, self._store.available_writes(CallPriority.ASSIGN))
        jobs: set[str] = set()
        for position, choice in enumerate(choices):
            if not choice.awaits_capacity:
                jobs.add(choice.group.job)
            if len(jobs) > max_jobs:
                return choices[:position]
        return choices

    @staticmethod
    def _should_request(reservation: PlannedReservation) -> bool:
        """Check whether a planned reservation is useful.

        Part of a gang is not, and capacity that is not free yet is reserved only for jobs that are starving or may
        preempt.
        """
        choice = reservation.choice
        if reservation.candidate.job.is_gang and choice.count < reservation.candidate.count:
            return False
        return not choice.awaits_capacity or choice.group.starving or choice.group.can_preempt

    @staticmethod
    def _log_groups(groups: list[TaskGroup], candidates_by_job: dict[str, Candidate]) -> None:
        if not log.isEnabledFor(logging.DEBUG):
            return
        for group in groups:
            log.debug(
                "scheduling cycle: job %s, %s, resources %s, %d of %d tasks unplaced, "
                "remaining capacity by zone (cached, uncached, next free in seconds) %s",
                group.job,
                group.rank,
                group.resources,
                group.count,
                candidates_by_job[group.job].count,
                {
                    zone: (view.cached, view.uncached, round(min(view.next_free_s, MAX_LOGGED_WAIT_S), 1))
                    for zone, view in group.partitions.items()
                },
            )
