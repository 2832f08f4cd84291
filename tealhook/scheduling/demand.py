"""Usage, demand and progress of a node's teams, which gossip reports to the other nodes and the fleet's owner."""

from __future__ import annotations

from collections.abc import Mapping

from tealhook.context import NodeContext
from tealhook.jobs.index import JobIndex
from tealhook.jobs.job import Job
from tealhook.jobs.team import TeamState
from tealhook.wire import mesh as wire
from tealhook.wire.common import RESOURCE_TOLERANCE
from tealhook.wire.users import STANDARD_RANK

UNLIMITED_CPUS = 1e9  # headroom of a team without a limit
# Bounds, in provisioning times (`boot_s`), within which the expected release of a blocked job makes its tasks count as
# demand: this far ahead of the release, because some machines take longer than `boot_s`, and this far overdue.
RELEASE_LOOKAHEAD_PROVISIONING_TIMES = 2.0
MAX_RELEASE_DELAY_PROVISIONING_TIMES = 4.0


class TeamDemand:
    """Usage, demand and progress of all teams that this node owns."""

    def __init__(self, context: NodeContext, job_index: JobIndex, teams: Mapping[str, TeamState]) -> None:
        """Initialize the summary of `teams`; `job_index` estimates when blocked jobs are released."""
        self._effects = context.effects
        self._policy = context.policy
        self._job_index = job_index
        self._teams = teams

    def progress(self) -> dict[str, wire.JobProgress]:
        """Return the numbers of done and running tasks of each active job."""
        return {
            job.id: wire.JobProgress(job.done_count, job.count_running())
            for team_state in self._teams.values()
            for job in team_state.jobs.values()
            if job.spec is not None
        }

    def usage(self) -> list[wire.TeamUsage]:
        """Return each team's CPU usage: the total, for jobs above standard priority, and beyond its guarantee."""
        return [_team_usage(team_state) for team_state in self._teams.values()]

    def waiting(self) -> list[wire.Demand]:
        """Return the waiting tasks by their requirements, no more than each team's limit allows to run."""
        demand_by_key: dict[tuple[str, wire.TaskRequirements, str | None], wire.Demand] = {}
        for team_state in self._teams.values():
            headroom = _Headroom(team_state)
            for job in _jobs_oldest_first(team_state):
                count = job.count_waiting()
                if job.spec is None or count <= 0:
                    continue
                if job.is_failing:
                    count = 1  # capacity for the next retry only, since the job may fail on every machine
                count = headroom.take(count, job.resources[0])
                if count <= 0:
                    continue
                requirements = job.build_requirements()
                demand = demand_by_key.setdefault(
                    (team_state.name, requirements, job.spec.zone),
                    wire.Demand(team_state.name, requirements, job.spec.zone, 0, job.spec.job_class),
                )
                demand.count += count
        return list(demand_by_key.values())

    def non_spot(self) -> tuple[list[wire.Demand], list[wire.Demand]]:
        """Return the tasks of jobs that may not use spot machines: those soon to be released, and those placed."""
        blocked: list[wire.Demand] = []
        placed: list[wire.Demand] = []
        for team_state in self._teams.values():
            headroom = _Headroom(team_state)
            for job in _jobs_oldest_first(team_state):
                if job.spec is None or job.spec.allows_spot:
                    continue
                count, demands = len(job.attempts) + len(job.staged), placed
                if job.is_blocked and self._is_released_soon(job):
                    count, demands = headroom.take(job.task_count, job.resources[0]), blocked
                if count > 0:
                    demands.append(
                        wire.Demand(team_state.name, job.build_requirements(), job.spec.zone, count, job.spec.job_class)
                    )
        return blocked, placed

    def _is_released_soon(self, job: Job) -> bool:
        """Check whether a blocked job is expected to be released so soon that a machine for it must be rented now.

        A job whose dependencies take far longer than estimated does not count: its release can't be predicted, and idle
        machines cost money.
        """
        left_s = self._job_index.expected_release_at(job.id) - self._effects.wall()
        boot_s = self._policy.boot_s
        return -MAX_RELEASE_DELAY_PROVISIONING_TIMES * boot_s <= left_s <= RELEASE_LOOKAHEAD_PROVISIONING_TIMES * boot_s


class _Headroom:
    """CPUs that a team may still use within its limit."""

    def __init__(self, team_state: TeamState) -> None:
        self._free_cpus = team_state.cpu_limit - team_state.allocated() if team_state.cpu_limit > 0 else UNLIMITED_CPUS

    def take(self, count: int, cpus_per_task: float) -> int:
        """Take the CPUs of as many of `count` tasks as fit, and return the number of these tasks."""
        if cpus_per_task > 0:
            count = min(count, int((self._free_cpus + RESOURCE_TOLERANCE) / cpus_per_task))
            self._free_cpus -= count * cpus_per_task
        return count


def _jobs_oldest_first(team_state: TeamState) -> list[Job]:
    return sorted(team_state.jobs.values(), key=lambda job: job.mod_revision)


def _team_usage(team_state: TeamState) -> wire.TeamUsage:
    used_cpus = team_state.allocated()
    urgent_cpus = sum(
        job.resources[0] * len(job.attempts)
        for job in team_state.jobs.values()
        if job.spec is not None and job.priority > STANDARD_RANK
    )
    over_guarantee_cpus = max(0.0, used_cpus - team_state.cpu_guarantee) if team_state.cpu_guarantee > 0 else used_cpus
    return wire.TeamUsage(team_state.name, used_cpus, urgent_cpus, over_guarantee_cpus)
