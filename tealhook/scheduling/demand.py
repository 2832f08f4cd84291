"""What a node's teams use and wait for, as gossip tells it to the other nodes and to the fleet's owner."""

from __future__ import annotations

from collections.abc import Mapping

from tealhook.context import NodeContext
from tealhook.jobs.index import JobIndex
from tealhook.jobs.job import Job
from tealhook.jobs.team import TeamState
from tealhook.scheduling.team_limits import ROUNDING_TOLERANCE
from tealhook.wire import mesh as wire
from tealhook.wire.users import STANDARD_RANK

UNLIMITED_CPUS = 1e9  # what a team without a limit may use
AHEAD_PROVISIONING_TIMES = 2.0  # demand of a blocked job counts so long before its release: some take longer
OVERDUE_PROVISIONING_TIMES = 4.0  # so long it goes on to count when the release does not come


class TeamDemand:
    """Sums over all teams that a node owns."""

    def __init__(self, context: NodeContext, job_index: JobIndex, teams: Mapping[str, TeamState]) -> None:
        """Of the jobs in `teams`; `job_index` tells when blocked ones should be released."""
        self._effects = context.effects
        self._policy = context.policy
        self._job_index = job_index
        self._teams = teams

    def progress(self) -> dict[str, wire.JobProgress]:
        """Tasks done and tasks running, by job."""
        return {
            job.id: wire.JobProgress(job.done_count, job.count_running())
            for team_state in self._teams.values()
            for job in team_state.jobs.values()
            if job.spec is not None
        }

    def usage(self) -> list[wire.TeamUsage]:
        """CPUs that teams use: in all, for jobs above standard priority, and beyond their guarantees."""
        return [_team_usage(team_state) for team_state in self._teams.values()]

    def waiting(self) -> list[wire.Demand]:
        """Waiting tasks by their requirements, no more than the team's limit lets run."""
        found: dict[tuple[str, wire.TaskRequirements, str | None], wire.Demand] = {}
        for team_state in self._teams.values():
            headroom = _Headroom(team_state)
            for job in _oldest_first(team_state):
                count = job.count_waiting()
                if job.spec is None or count <= 0:
                    continue
                if job.is_failing:
                    count = 1  # capacity for its next retry, no more: it may fail wherever it is tried
                count = headroom.take(count, job.resources[0])
                if count <= 0:
                    continue
                requirements = job.build_requirements()
                entry = found.setdefault(
                    (team_state.name, requirements, job.spec.zone),
                    wire.Demand(team_state.name, requirements, job.spec.zone, 0, job.spec.job_class),
                )
                entry.count += count
        return list(found.values())

    def non_spot(self) -> tuple[list[wire.Demand], list[wire.Demand]]:
        """Of jobs that may not use spot machines: tasks soon to be released, and tasks that have a machine."""
        blocked: list[wire.Demand] = []
        placed: list[wire.Demand] = []
        for team_state in self._teams.values():
            headroom = _Headroom(team_state)
            for job in _oldest_first(team_state):
                if job.spec is None or job.spec.allows_spot:
                    continue
                count, kind = len(job.attempts) + len(job.staged), placed
                if job.is_blocked and self._is_released_soon(job):
                    count, kind = headroom.take(job.task_count, job.resources[0]), blocked
                if count > 0:
                    kind.append(
                        wire.Demand(team_state.name, job.build_requirements(), job.spec.zone, count, job.spec.job_class)
                    )
        return blocked, placed

    def _is_released_soon(self, job: Job) -> bool:
        """Whether a blocked job should be released so soon that a machine for it would have to be rented now.

        Not one whose dependencies take far longer than estimated: nobody knows how long yet, and idle machines are
        paid for.
        """
        left_s = self._job_index.expected_release_at(job.id) - self._effects.wall()
        boot_s = self._policy.boot_s
        return -OVERDUE_PROVISIONING_TIMES * boot_s <= left_s <= AHEAD_PROVISIONING_TIMES * boot_s


class _Headroom:
    """The CPUs that a team may still use within its limit."""

    def __init__(self, team_state: TeamState) -> None:
        self._cpus = team_state.cpu_limit - team_state.allocated() if team_state.cpu_limit > 0 else UNLIMITED_CPUS

    def take(self, count: int, cpus: float) -> int:
        """Of `count` tasks of so many CPUs each, how many fit; what they use is taken."""
        if cpus > 0:
            count = min(count, int((self._cpus + ROUNDING_TOLERANCE) / cpus))
            self._cpus -= count * cpus
        return count


def _oldest_first(team_state: TeamState) -> list[Job]:
    return sorted(team_state.jobs.values(), key=lambda job: job.mod_revision)


def _team_usage(team_state: TeamState) -> wire.TeamUsage:
    used = team_state.allocated()
    urgent = sum(
        job.resources[0] * len(job.attempts)
        for job in team_state.jobs.values()
        if job.spec is not None and job.priority > STANDARD_RANK
    )
    over_guarantee = max(0.0, used - team_state.cpu_guarantee) if team_state.cpu_guarantee > 0 else used
    return wire.TeamUsage(team_state.name, used, urgent, over_guarantee)
