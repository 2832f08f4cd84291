"""Stages tasks on granted reservations: from then on they wait for the commit of their assignment."""

from __future__ import annotations

from tealhook.jobs.attempt import Attempt
from tealhook.jobs.job import Job, WriteState
from tealhook.jobs.team import TeamState
from tealhook.placement import PlacementEstimate
from tealhook.scheduling.candidates import Candidate, CandidateSelector
from tealhook.scheduling.planning import PlannedReservation
from tealhook.scheduling.team_limits import (
    GPUS,
    NOTHING_RESERVED,
    remaining_limit,
    reserved_for_overdue,
    tasks_within_limit,
)
from tealhook.wire import mesh as wire
from tealhook.wire.users import JobSpec


class AttemptStaging:
    """Turns granted reservations into staged attempts."""

    def __init__(self, teams: dict[str, TeamState], selection: CandidateSelector) -> None:
        """`selection` knows in which zones jobs may run."""
        self._teams = teams
        self._selection = selection

    def stage(
        self, planned: PlannedReservation, token: int, grants: list[wire.ReservationGrant], planned_at: float
    ) -> int:
        """Stage tasks on reservations that a partition's owner granted under `token`; returns how many."""
        candidate = planned.candidate
        job, spec = candidate.job, candidate.job.spec
        if spec is None or not self._is_owned(candidate.team) or job.write_state is WriteState.UNCERTAIN:
            return 0
        count = self._stageable(candidate, spec, planned.zone, len(grants))
        if job.is_gang and count < job.count_waiting():
            return 0
        indexes = job.take_waiting_tasks(count)
        for position, (index, grant) in enumerate(zip(indexes, grants, strict=False)):
            if not (job.is_gang and position):  # the tasks of a gang find one another by their attempt
                job.last_attempt_number += 1
            attempt = self._attempt(job, index, grant, planned.zone, token, planned_at)
            attempt.estimate = PlacementEstimate(planned_at, grant.fetch_s, spec.estimated_run_s)
            job.staged[index] = attempt
        return len(indexes)

    def _is_owned(self, team: TeamState) -> bool:
        """Whether the team is ours still, under the same ownership."""
        return self._teams.get(team.name) is team

    def _stageable(self, candidate: Candidate, spec: JobSpec, zone: str, granted: int) -> int:
        """How many tasks may be staged on `granted` reservations.

        The state may have changed while the partition was asked: the limits are checked against the present one.
        """
        team, job = candidate.team, candidate.job
        unrestricted = candidate.overdue or candidate.borrows
        reserved = NOTHING_RESERVED if unrestricted else reserved_for_overdue(team)
        remaining = remaining_limit(team, count_gpus=job.resources[GPUS] > 0)
        count = min(granted, tasks_within_limit(job, remaining, reserved))
        zone_limits = self._selection.zone_limits(job, spec, [zone])
        return max(0, min(count, zone_limits.get(zone, count)))

    @staticmethod
    def _attempt(
        job: Job, index: int, grant: wire.ReservationGrant, zone: str, token: int, assigned_at: float
    ) -> Attempt:
        attempt = Attempt(index, job.last_attempt_number, grant.machine, grant.session, zone, token, assigned_at)
        attempt.reservation_id = grant.reservation_id
        return attempt
