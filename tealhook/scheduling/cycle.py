"""Scheduling cycle: ask partitions for capacity, plan by min-min, reserve, and stage tasks for the next commit."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from tealhook.context import NodeContext
from tealhook.coordination import Ownership, partition_key
from tealhook.jobs.index import JobIndex
from tealhook.jobs.team import TeamState
from tealhook.mesh import Mesh
from tealhook.scheduling.candidates import Candidate, CandidateSelector
from tealhook.scheduling.interfaces import CommitQueue
from tealhook.scheduling.planning import InquiryPhase, PlacementPlanner, PlannedReservation
from tealhook.scheduling.staging import AttemptStager
from tealhook.scheduling.zone_calls import call_zones
from tealhook.state_store import StateClient
from tealhook.wire import mesh as wire

# Shares of the heartbeat period.
MIN_PAUSE_SHARE = 1 / 8  # pause between cycles while tasks are being placed
MAX_IDLE_PAUSE_SHARE = 1 / 4  # longest pause while there are no candidates or no partition owners
MAX_FULL_PAUSE_SHARE = 1 / 2  # longest pause while none of the candidates can be placed
REPLY_TIMEOUT_SHARE = 1 / 2  # time for a partition's owner to reply

PAUSE_GROWTH_FACTOR = 1.5
PAUSE_JITTER_SHARE = 0.25  # jitter keeps nodes from asking partitions at the same time


@dataclass(slots=True)
class ReservationPhase:
    """Reservation requests of one cycle."""

    by_zone: dict[str, list[PlannedReservation]]
    planned_at: float
    staged_count: int = 0


class SchedulingCycle:
    """Places the tasks of all teams that this node owns, in one cycle after another."""

    def __init__(
        self,
        context: NodeContext,
        ownership: Ownership,
        store: StateClient,
        mesh: Mesh,
        teams: dict[str, TeamState],
        job_index: JobIndex,
        commit_queue: CommitQueue,
    ) -> None:
        """Initialize and schedule the first cycle; `commit_queue` makes durable what cycles stage."""
        self._effects = context.effects
        self._ownership = ownership
        self._store = store
        self._mesh = mesh
        self._commit_queue = commit_queue
        self._report_s = context.workers.report_s
        self.selector = CandidateSelector(context, teams, job_index)
        self._planner = PlacementPlanner(store, teams, self.selector)
        self._stager = AttemptStager(teams, self.selector)
        self._is_running = False
        self._pause_s = self._report_s * MIN_PAUSE_SHARE
        self._schedule_next()

    # -- pauses between cycles

    def _schedule_next(self) -> None:
        jitter = 1.0 - PAUSE_JITTER_SHARE + 2 * PAUSE_JITTER_SHARE * self._effects.rng.random()
        self._effects.later(self._pause_s * jitter, self._start_cycle)

    def wake(self) -> None:
        """Reset the pause between cycles to its minimum, since tasks may be placeable now."""
        self._pause_s = self._report_s * MIN_PAUSE_SHARE

    def _lengthen_pause(self, max_share: float) -> None:
        self._pause_s = min(self._report_s * max_share, self._pause_s * PAUSE_GROWTH_FACTOR)

    # -- phases of a cycle

    def _start_cycle(self) -> None:
        if self._is_running:
            return
        candidates = self.selector.select(self._effects.now()) if self._may_place() else []
        owners = self._find_partition_owners()
        if not candidates or not owners:
            self._lengthen_pause(MAX_IDLE_PAUSE_SHARE)
            self._schedule_next()
            return
        self._is_running = True
        self._inquire(candidates, owners)

    def _may_place(self) -> bool:
        """Check whether new assignments can be committed soon.

        While assignments wait for write tokens, capacity reserved for more of them would expire unused and be reserved
        again, and the writes spent on it would be lost.
        """
        return self._store.is_served and not self._commit_queue.is_backlogged and not self._ownership.is_lease_uncertain

    def _find_partition_owners(self) -> dict[str, str]:
        """Return the partition owners to ask, by zone.

        Owners that do not reply would delay each cycle, so only reachable ones are asked if there are any.
        """
        owners = {
            zone: owner for zone in self._ownership.zones() if (owner := self._ownership.owner(partition_key(zone)))
        }
        reachable = {zone: owner for zone, owner in owners.items() if self._ownership.is_reachable(owner)}
        return reachable or owners

    def _inquire(self, candidates: list[Candidate], owners: dict[str, str]) -> None:
        """Ask the owner of each partition for its earliest capacity for the candidates' requirements."""
        inquiry = InquiryPhase(candidates, owners)
        self._call_zones(inquiry.owners, inquiry.build_requests(), inquiry.on_reply, lambda: self._plan(inquiry))

    def _plan(self, inquiry: InquiryPhase) -> None:
        """Choose among the offered capacities, after all partitions have replied or the time for it is over."""
        now = self._effects.now()
        by_zone: dict[str, list[PlannedReservation]] = {}
        for planned in self._planner.plan(inquiry, now):
            by_zone.setdefault(planned.zone, []).append(planned)
        if by_zone:
            self._reserve(ReservationPhase(by_zone, now), inquiry.owners)
        else:
            self._end_cycle(0)

    def _reserve(self, phase: ReservationPhase, owners: dict[str, str]) -> None:
        """Request the planned reservations from the owner of each partition."""
        requests: dict[str, wire.Body] = {
            zone: wire.ReserveRequest(zone, [self._build_request(planned) for planned in reservations])
            for zone, reservations in phase.by_zone.items()
        }
        self._call_zones(
            owners, requests, partial(self._stage_granted, phase), lambda: self._end_cycle(phase.staged_count)
        )

    def _build_request(self, planned: PlannedReservation) -> wire.ReservationRequest:
        candidate, awaits_capacity = planned.candidate, planned.choice.awaits_capacity
        return wire.ReservationRequest(
            job=candidate.job.id,
            team=candidate.team.name,
            requirements=candidate.requirements,
            count=planned.count,
            within_guarantee=candidate.within_guarantee,
            starving=candidate.starving,
            avoided_machines=candidate.job.avoided_machines,
            team_token=candidate.team.token,
            may_preempt=awaits_capacity and self.selector.may_preempt(candidate, self._effects.now()),
            non_preemptible=candidate.overdue,
        )

    def _stage_granted(self, phase: ReservationPhase, zone: str, reply: wire.Body | None) -> None:
        """Stage tasks on the granted reservations, if the reply covers all requests to the zone."""
        reservations = phase.by_zone[zone]
        if isinstance(reply, wire.ReserveReply) and len(reply.grants) == len(reservations):
            for planned, grants in zip(reservations, reply.grants, strict=True):
                self._planner.record_reply(planned, len(grants))
                phase.staged_count += self._stager.stage(planned, reply.token, grants, phase.planned_at)

    def _end_cycle(self, staged_count: int) -> None:
        self._is_running = False
        if staged_count:
            self.wake()
            self._commit_queue.schedule_commit()
        else:
            self._lengthen_pause(MAX_FULL_PAUSE_SHARE)
        self._schedule_next()

    def _call_zones(
        self,
        owners: dict[str, str],
        requests: dict[str, wire.Body],
        on_reply: Callable[[str, wire.Body | None], None],
        on_complete: Callable[[], None],
    ) -> None:
        timeout_s = self._report_s * REPLY_TIMEOUT_SHARE
        call_zones(self._mesh, owners, requests, timeout_s, on_reply, on_complete)
