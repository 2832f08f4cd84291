"""The plan of a scheduling cycle: which tasks go to which partition, chosen by min-min."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field

from tealhook.jobs.team import TeamState
from tealhook.placement import NO_CAPACITY_S, PartitionView, PlacementChoice, TaskGroup, plan_cycle
from tealhook.scheduling.candidates import Candidate, CandidateSelector
from tealhook.state_store import CallPriority, StateClient
from tealhook.wire import mesh as wire
from tealhook.wire.users import JobKind

log = logging.getLogger(__name__)

MAX_LOGGED_S = 999.0  # a partition that will not be free for longer is logged with this


@dataclass(slots=True)
class Inquiry:
    """What the partitions' owners are asked on behalf of the candidates of a cycle, and what they reply."""

    candidates: list[Candidate]
    owners: dict[str, str]  # of the partitions, by zone
    requirements: list[wire.TaskRequirements] = field(init=False)  # each once
    replies: dict[str, wire.CapacityReply] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Candidates with equal requirements are asked for once."""
        self.requirements = list(dict.fromkeys(candidate.requirements for candidate in self.candidates))

    def requests(self) -> dict[str, wire.Body]:
        """The request to each zone."""
        return {zone: wire.CapacityInquiry(zone, self.requirements) for zone in self.owners}

    def on_reply(self, zone: str, reply: wire.Body | None) -> None:
        """Keep a reply, if it is one and answers every question."""
        if isinstance(reply, wire.CapacityReply) and len(reply.capacities) == len(self.requirements):
            self.replies[zone] = reply


@dataclass(frozen=True, slots=True)
class PlannedReservation:
    """Capacity that is to be reserved for tasks of a candidate in one zone."""

    candidate: Candidate
    choice: PlacementChoice

    @property
    def zone(self) -> str:
        """Where."""
        return self.choice.zone

    @property
    def count(self) -> int:
        """For how many tasks."""
        return self.choice.count


class PlacementPlanner:
    """Plans the reservations of a cycle from the partitions' replies."""

    def __init__(self, store: StateClient, teams: dict[str, TeamState], selection: CandidateSelector) -> None:
        """`selection` knows in which zones jobs may run, and which of them may preempt."""
        self._store = store
        self._teams = teams
        self._selection = selection

    def plan(self, inquiry: Inquiry, now: float) -> list[PlannedReservation]:
        """The reservations to ask for, in the order in which they were chosen."""
        positions = {requirements: i for i, requirements in enumerate(inquiry.requirements)}
        groups: list[TaskGroup] = []
        by_job: dict[str, Candidate] = {}
        for candidate in inquiry.candidates:
            if candidate.job.spec is None or self._teams.get(candidate.team.name) is not candidate.team:
                continue
            position = positions[candidate.requirements]
            capacities = {zone: reply.capacities[position] for zone, reply in inquiry.replies.items()}
            by_job[candidate.job.id] = candidate
            groups.append(self._group(candidate, capacities, now))
        choices = self._limit_to_write_budget(plan_cycle(groups))
        self._log_groups(groups, by_job)
        planned = (PlannedReservation(by_job[choice.group.job], choice) for choice in choices)
        return [reservation for reservation in planned if self._is_wanted(reservation)]

    def _group(self, candidate: Candidate, capacities: dict[str, wire.Capacity], now: float) -> TaskGroup:
        """A candidate as min-min takes it, with what each partition has for it."""
        spec = candidate.spec
        selection = self._selection
        partitions = {zone: self._view(candidate, zone, capacity) for zone, capacity in capacities.items()}
        zone_limits = selection.zone_limits(candidate.job, spec, list(capacities))
        if spec.single_zone and not candidate.job.occupied_zones():
            # All of the job must go to one zone: the one with most capacity now.
            best = max(
                capacities, key=lambda zone: (partitions[zone].cached + partitions[zone].uncached, zone), default=None
            )
            zone_limits |= {zone: 0 for zone in capacities if zone != best}
        return TaskGroup(
            job=candidate.job.id,
            count=candidate.count,
            rank=candidate.rank,
            image_gb=spec.image_gb,
            run_s=0.0 if spec.kind == JobKind.SERVICE else spec.estimated_run_s,  # services: free time alone
            resources=candidate.job.resources,
            partitions=partitions,
            starving=candidate.starving,
            can_preempt=selection.may_preempt(candidate, now) or selection.may_preempt_checkpointing(candidate),
            zone_limits=zone_limits,
        )

    @staticmethod
    def _view(candidate: Candidate, zone: str, capacity: wire.Capacity) -> PartitionView:
        """A partition's capacity for a candidate."""
        feedback = candidate.team.estimate_feedback.get(zone)
        factor = feedback.factor if feedback else 0.0
        if not candidate.job.is_gang:
            return PartitionView(
                capacity.cached, capacity.uncached, capacity.next_free_s, capacity.fetch_gb_per_s, factor
            )
        # A gang goes to one partition, once capacity for all of it is free there.
        total = capacity.cached + capacity.uncached
        return PartitionView(
            0, total if total >= candidate.count else 0, NO_CAPACITY_S, capacity.fetch_gb_per_s, factor
        )

    def _limit_to_write_budget(self, choices: list[PlacementChoice]) -> list[PlacementChoice]:
        """The first choices, of no more jobs than can be made durable soon: one operation each."""
        max_jobs = max(1, self._store.available_writes(CallPriority.ASSIGN))
        jobs: set[str] = set()
        for position, choice in enumerate(choices):
            if not choice.awaits_capacity:
                jobs.add(choice.group.job)
            if len(jobs) > max_jobs:
                return choices[:position]
        return choices

    @staticmethod
    def _is_wanted(reservation: PlannedReservation) -> bool:
        """Whether to ask for it.

        Less than a whole gang is of no use, and capacity that is not free yet is reserved only for jobs that starve
        or may preempt.
        """
        choice = reservation.choice
        if reservation.candidate.job.is_gang and choice.count < reservation.candidate.count:
            return False
        return not choice.awaits_capacity or choice.group.starving or choice.group.can_preempt

    @staticmethod
    def _log_groups(groups: list[TaskGroup], by_job: dict[str, Candidate]) -> None:
        if not log.isEnabledFor(logging.DEBUG):
            return
        for group in groups:
            log.debug(
                "scheduling cycle: job %s, %s, resources %s, %d of %d tasks unplaced, capacity left %s",
                group.job,
                group.rank,
                group.resources,
                group.count,
                by_job[group.job].count,
                {
                    zone: (view.cached, view.uncached, round(min(view.next_free_s, MAX_LOGGED_S), 1))
                    for zone, view in group.partitions.items()
                },
            )
