"""What the homes of a node add up to, as others are told of it."""

from __future__ import annotations

from collections.abc import Callable

from tealhook.jobs.job import Job
from tealhook.jobs.team import TeamState
from tealhook.wire import mesh as wire
from tealhook.wire.users import STANDARD_RANK


def progress(teams: dict[str, TeamState]) -> dict[str, wire.JobProgress]:
    """Tasks done and tasks running, by job."""
    return {
        job.id: wire.JobProgress(job.done_count, job.running_count())
        for team_state in teams.values()
        for job in team_state.jobs.values()
        if job.spec is not None
    }


def usage(teams: dict[str, TeamState]) -> list[wire.TeamUsage]:
    """CPUs that teams take, in all, for urgent jobs, and beyond their guarantees."""
    found = []
    for team_state in teams.values():
        taken = team_state.allocated()
        urgent = sum(
            job.resources[0] * len(job.attempts)
            for job in team_state.jobs.values()
            if job.spec is not None and job.priority > STANDARD_RANK
        )
        over = max(0.0, taken - team_state.guarantee) if team_state.guarantee > 0 else taken
        found.append(wire.TeamUsage(team_state.name, taken, urgent, over))
    return found


def demand(teams: dict[str, TeamState]) -> list[wire.Demand]:
    """Waiting tasks by shape, no more than the team's limit lets run."""
    found: dict[tuple, wire.Demand] = {}
    for team_state in teams.values():
        room = team_state.limit - team_state.allocated() if team_state.limit > 0 else 1e9
        for job in sorted(team_state.jobs.values(), key=lambda j: j.mod_revision):
            count = job.waiting_count()
            if job.spec is None or count <= 0:
                continue
            if job.failing:
                count = 1  # room for its next try, no more: it may fail wherever it is tried
            if job.resources[0] > 0:
                count = min(count, int((room + 1e-6) / job.resources[0]))
                room -= count * job.resources[0]
            if count <= 0:
                continue
            requirements = job.requirements()
            entry = found.setdefault(
                (team_state.name, requirements, job.spec.zone),
                wire.Demand(team_state.name, requirements, job.spec.zone, 0, job.spec.job_class),
            )
            entry.count += count
    return list(found.values())


def ordinary_demand(
    teams: dict[str, TeamState], released_soon: Callable[[Job], bool]
) -> tuple[list[wire.Demand], list[wire.Demand]]:
    """Of jobs that may not use spot machines: tasks soon to be released, and tasks that have a machine."""
    blocked: list[wire.Demand] = []
    placed: list[wire.Demand] = []
    for team_state in teams.values():
        room = team_state.limit - team_state.allocated() if team_state.limit > 0 else 1e9
        for job in sorted(team_state.jobs.values(), key=lambda j: j.mod_revision):
            if job.spec is None or job.spec.allows_spot:
                continue
            count, kind = len(job.attempts) + len(job.staged), placed
            if job.blocked and released_soon(job):
                count, kind = job.task_count, blocked
                if job.resources[0] > 0:
                    count = min(count, int((room + 1e-6) / job.resources[0]))
                    room -= count * job.resources[0]
            if count > 0:
                kind.append(wire.Demand(team_state.name, job.requirements(), job.spec.zone, count, job.spec.job_class))
    return blocked, placed
