"""Usage, demand and progress of a node's teams, which gossip reports to the other nodes and the fleet's owner."""

from __future__ import annotations

import math
from collections.abc import Mapping

from tealhook.context import NodeContext
from tealhook.jobs.index import JobIndex
from tealhook.jobs.job import Job
from tealhook.jobs.team import TeamState
from tealhook.scheduling.team_limits import CPU_INDEX, GPU_INDEX, compute_remaining_limit
from tealhook.scheduling.zone_limits import compute_zone_limits
from tealhook.wire import mesh as wire
from tealhook.wire.common import RESOURCE_TOLERANCE, Resources
from tealhook.wire.users import STANDARD_RANK, JobSpec

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
        self._zones = context.settings.params.zones

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
                count = headroom.take(count, job.resources)
                if count <= 0:
                    continue
                requirements = job.build_requirements()
                for zone, zone_count in self._count_by_zone(job, job.spec, count).items():
                    demand = demand_by_key.setdefault(
                        (team_state.name, requirements, zone),
                        wire.Demand(team_state.name, requirements, zone, 0, job.spec.job_class),
                    )
                    demand.count += zone_count
        return list(demand_by_key.values())

    def _count_by_zone(self, job: Job, spec: JobSpec, count: int) -> dict[str | None, int]:
        """Return the zones in which `count` waiting tasks may run, with the number for each; None stands for any zone.

        The tasks of a job in a single zone have to follow those that are placed. Those of a spread job are divided
        among the zones that have not reached its limit, once one has.
        """
        if spec.single_zone and spec.zone is None:
            occupied = job.occupied_zones()
            return {occupied.pop() if len(occupied) == 1 else None: count}
        if not spec.spread:
            return {spec.zone: count}
        zones = sorted({*self._zones, *job.occupied_zones()})
        limits = compute_zone_limits(job, spec, zones)
        allowed = [zone for zone in zones if limits.get(zone, count) > 0]
        if len(allowed) == len(zones) or not allowed:
            return {spec.zone: count}
        share = math.ceil(count / len(allowed))
        return {zone: min(share, limits.get(zone, share)) for zone in allowed}

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
                    count, demands = headroom.take(job.task_count, job.resources), blocked
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
    """CPUs and GPUs that a team may still use within its limits."""

    def __init__(self, team_state: TeamState) -> None:
        self._free = list(compute_remaining_limit(team_state))

    def take(self, count: int, resources: Resources) -> int:
        """Take the CPUs and GPUs of as many of `count` tasks as fit, and return the number of these tasks."""
        for index in (CPU_INDEX, GPU_INDEX):
            if resources[index] > 0:
                count = min(count, int((self._free[index] + RESOURCE_TOLERANCE) / resources[index]))
        count = max(0, count)
        for index in (CPU_INDEX, GPU_INDEX):
            self._free[index] -= count * resources[index]
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
