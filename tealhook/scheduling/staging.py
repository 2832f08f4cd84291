"""Staging of tasks on granted reservations; staged tasks wait for the commit of their assignment."""

from __future__ import annotations

from tealhook.jobs.attempt import Attempt
from tealhook.jobs.job import Job, WriteState
from tealhook.jobs.team import TeamState
from tealhook.placement import PlacementEstimate
from tealhook.scheduling.candidates import Candidate, CandidateSelector
from tealhook.scheduling.planning import PlannedReservation
from tealhook.scheduling.team_limits import (
    GPU_INDEX,
    NOTHING_RESERVED,
    compute_remaining_limit,
    count_tasks_within_limit,
    reserved_for_overdue,
)
from tealhook.wire import mesh as wire
from tealhook.wire.users import JobSpec


class AttemptStager:
    """Turns granted reservations into staged attempts."""

    def __init__(self, teams: dict[str, TeamState], selector: CandidateSelector) -> None:
        """Initialize for the jobs in `teams`; `selector` provides their zone limits."""
        self._teams = teams
        self._selector = selector

    def stage(
        self, planned: PlannedReservation, token: int, grants: list[wire.ReservationGrant], planned_at: float
    ) -> int:
        """Stage tasks on reservations that a partition's owner granted under `token`, and return their number."""
        candidate = planned.candidate
        job, spec = candidate.job, candidate.job.spec
        if spec is None or not self._is_owned(candidate.team) or job.write_state is WriteState.UNCERTAIN:
            return 0
        count = self._count_stageable(candidate, spec, planned.zone, len(grants))
        if job.is_gang and count < job.count_waiting():
            return 0
        indexes = job.take_waiting_tasks(count)
        for position, (index, grant) in enumerate(zip(indexes, grants, strict=False)):
            # The tasks of a gang share one attempt number, by which they find one another.
            if not (job.is_gang and position):
                job.last_attempt_number += 1
            attempt = self._build_attempt(job, index, grant, planned.zone, token, planned_at)
            attempt.estimate = PlacementEstimate(planned_at, grant.fetch_s, spec.estimated_run_s)
            job.staged[index] = attempt
        return len(indexes)

    def _is_owned(self, team: TeamState) -> bool:
        """Check whether this node still owns the team under the same fencing token."""
        return self._teams.get(team.name) is team

    def _count_stageable(self, candidate: Candidate, spec: JobSpec, zone: str, granted: int) -> int:
        """Return the number of tasks that may be staged on `granted` reservations.

        The limits are checked against the present state, which may have changed since the reservations were planned.
        """
        team, job = candidate.team, candidate.job
        may_use_reserved = candidate.overdue or candidate.borrows
        reserved = NOTHING_RESERVED if may_use_reserved else reserved_for_overdue(team)
        remaining = compute_remaining_limit(team, count_gpus=job.resources[GPU_INDEX] > 0)
        count = min(granted, count_tasks_within_limit(job, remaining, reserved))
        zone_limits = self._selector.zone_limits(job, spec, [zone])
        return max(0, min(count, zone_limits.get(zone, count)))

    @staticmethod
    def _build_attempt(
        job: Job, index: int, grant: wire.ReservationGrant, zone: str, token: int, assigned_at: float
    ) -> Attempt:
        attempt = Attempt(index, job.last_attempt_number, grant.machine, grant.session, zone, token, assigned_at)
        attempt.reservation_id = grant.reservation_id
        return attempt
