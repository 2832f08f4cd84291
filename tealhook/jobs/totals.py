"""What the homes of a node add up to, as others are told of it."""

from __future__ import annotations

from collections.abc import Callable

from tealhook.jobs.job import Job
from tealhook.jobs.team import TeamState
from tealhook.wire import mesh as wire
from tealhook.wire.users import URGENCY_RANK


def progress(homes: dict[str, TeamState]) -> dict[str, tuple[int, int]]:
    """Tasks done and tasks running, by job."""
    return {
        job.id: (job.done_count, job.running())
        for home in homes.values()
        for job in home.jobs.values()
        if job.spec is not None
    }


def usage(homes: dict[str, TeamState]) -> list[wire.Usage]:
    """CPUs that teams take, in all, for urgent jobs, and beyond their guarantees."""
    found = []
    for home in homes.values():
        taken = home.taken()
        urgent = sum(
            job.need[0] * len(job.attempts)
            for job in home.jobs.values()
            if job.spec is not None and job.urgency > URGENCY_RANK["standard"]
        )
        over = max(0.0, taken - home.guarantee) if home.guarantee > 0 else taken
        found.append(wire.Usage(home.team, taken, urgent, over))
    return found


def demand(homes: dict[str, TeamState]) -> list[wire.Demand]:
    """Waiting tasks by shape, no more than the team's limit lets run."""
    found: dict[tuple, wire.Demand] = {}
    for home in homes.values():
        room = home.limit - home.taken() if home.limit > 0 else 1e9
        for job in sorted(home.jobs.values(), key=lambda j: j.stamp):
            count = job.waiting()
            if job.spec is None or count <= 0:
                continue
            if job.failing:
                count = 1  # room for its next try, no more: it may fail wherever it is tried
            if job.need[0] > 0:
                count = min(count, int((room + 1e-6) / job.need[0]))
                room -= count * job.need[0]
            if count <= 0:
                continue
            shape = job.shape()
            entry = found.setdefault(
                (home.team, shape, job.spec.yard),
                wire.Demand(home.team, shape, job.spec.yard, 0, job.spec.lineup),
            )
            entry.count += count
    return list(found.values())


def ordinary_demand(
    homes: dict[str, TeamState], released_soon: Callable[[Job], bool]
) -> tuple[list[wire.Demand], list[wire.Demand]]:
    """Of jobs that may not use spot machines: tasks soon to be released, and tasks that have a machine."""
    blocked: list[wire.Demand] = []
    placed: list[wire.Demand] = []
    for home in homes.values():
        room = home.limit - home.taken() if home.limit > 0 else 1e9
        for job in sorted(home.jobs.values(), key=lambda j: j.stamp):
            if job.spec is None or job.spec.loaners:
                continue
            count, kind = len(job.attempts) + len(job.staged), placed
            if job.blocked and released_soon(job):
                count, kind = job.plays, blocked
                if job.need[0] > 0:
                    count = min(count, int((room + 1e-6) / job.need[0]))
                    room -= count * job.need[0]
            if count > 0:
                kind.append(wire.Demand(home.team, job.shape(), job.spec.yard, count, job.spec.lineup))
    return blocked, placed
