"""Common steps of tests of dependencies: submit, run until an event, cancel, delay updates."""

from __future__ import annotations

from collections.abc import Callable

from tests.infrastructure_faults import run_until_finished
from tests.simulated_cluster import SimulatedCluster
from tests.user_requests import UNCONSTRAINED_JOB

SEEDS = range(3)
TEAMS = ("team-0", "team-1", "team-2")
SHORT_JOB = {"plays": 1, "vcpus": 1.0, "memory_gb": 1.0, "expected_s": 2.0}
LONG_JOB = SHORT_JOB | {"expected_s": 1000.0}


def settled_cluster(seed: int, capacity: int = 4, **over) -> SimulatedCluster:
    """A cluster whose nodes are up and know the machine types."""
    world = SimulatedCluster(seed, **({"limit": 48.0} | over))
    world.cloud.capacity_per_kind = capacity
    world.run(20.0)
    return world


def submit_accepted(world: SimulatedCluster, needs: list[str] | None = None, **over) -> str:
    """A job, once it is accepted."""
    job_id = world.submit(**(UNCONSTRAINED_JOB | SHORT_JOB | {"waits_on": list(needs or [])} | over))
    run_until(world, lambda: world.jobs[job_id].accepted)
    return job_id


def run_until(world: SimulatedCluster, condition: Callable[[], bool], seconds: float = 90.0) -> None:
    until = world.now + seconds
    while not condition():
        assert world.now < until, "did not happen"
        world.run(0.01)


def run_until_started(world: SimulatedCluster, job_id: str) -> None:
    run_until(world, lambda: any(name in running_task_names(world) for name in world.jobs[job_id].tasks()))


def running_task_names(world: SimulatedCluster) -> set[str]:
    return {key[0] for machine in world.cloud.machines.values() for key in machine.started_tasks()}


def finish_in(world: SimulatedCluster, job_id: str, seconds: float) -> None:
    """The tasks of a job that run now end after that time."""
    found = [
        task
        for machine in world.cloud.machines.values()
        for key, task in machine.tasks.items()
        if key[0].rpartition("/")[0] == job_id and task["status"] == "running"
    ]
    assert len(found) == len(world.jobs[job_id].tasks())
    for task in found:
        task["ends"] = world.now + seconds


def team_owner(world: SimulatedCluster, team: str) -> str:
    """The node that owns a team, by the state service's records."""
    return world.state.rows[f"own/home/{team}"][0]["n"]


def team_of_other_owner(world: SimulatedCluster, team: str) -> str:
    """A team that another node owns."""
    return next(other for other in TEAMS if team_owner(world, other) != team_owner(world, team))


def query_everywhere(world: SimulatedCluster, jobs: list[str], seconds: float, every_s: float = 0.5) -> None:
    """Users query every node for these jobs for a while; the simulation checks each answer."""
    for i in range(int(seconds / every_s)):
        for job_id in jobs:
            for node in world.names:
                world.at(i * every_s, lambda job_id=job_id, node=node: world.query(job_id, node))


def final_statuses(world: SimulatedCluster, jobs: list[str]) -> list[str | None]:
    return [world.jobs[job_id].final for job_id in jobs]


def run_until_all_finished(world: SimulatedCluster, seconds: float = 150.0) -> None:
    run_until_finished(world, seconds)
    assert world.unfinished() == []


def submit_chain(world: SimulatedCluster, length: int, teams: tuple[str, ...] = TEAMS, **over) -> list[str]:
    jobs: list[str] = []
    for i in range(length):
        jobs.append(submit_accepted(world, jobs[-1:], crew=teams[i % len(teams)], **over))
    return jobs


def cancel_and_wait(world: SimulatedCluster, job_id: str, node: str | None = None) -> None:
    """Cancel a job; back once its user has been told."""
    world.cancel(job_id, node)
    run_until(world, lambda: world.jobs[job_id].final is not None)
    assert world.jobs[job_id].final == "cancelled"


def assert_all_cancelled(world: SimulatedCluster, jobs: list[str]) -> None:
    """In time: the world checks each answer and task."""
    run_until_all_finished(world)
    assert set(final_statuses(world, jobs)) == {"cancelled"}
    assert all(world.jobs[job_id].started_at is None for job_id in jobs)
    assert world.event_counts["cancelled with another"] == len(jobs)


def submit_graph(world: SimulatedCluster, teams: tuple[str, ...] = TEAMS) -> tuple[str, list[str]]:
    """A job that runs for long, and some that need it: directly, through one or several others, by two ways."""
    first = submit_accepted(world, crew="team-0", **LONG_JOB)
    after = [submit_accepted(world, [first], crew=teams[i % len(teams)]) for i in range(3)]
    after.append(submit_accepted(world, after[:2], crew=teams[-1]))
    after.append(submit_accepted(world, after[3:], crew=teams[0]))
    after.append(submit_accepted(world, [first, after[4]], crew=teams[-1]))
    run_until_started(world, first)
    return first, after


def delay_job_updates(world: SimulatedCluster, seconds: float) -> None:
    """Nodes hear of changes of jobs so much later, by watch or list, once the watches that are open have ended."""
    whole = world.state.handle

    def late(node, method, target, body, answer):
        if target.startswith(("/watch?starts=job/", "/store?starts=job/")):
            whole(node, method, target, body, lambda status, data: world.at(seconds, lambda: answer(status, data)))
        else:
            whole(node, method, target, body, answer)

    open_before = [entry for entry in world.state.open_watches if entry[1] == "job/"]
    world.state.handle = late
    world.run(seconds)
    run_until(world, lambda: not any(entry in world.state.open_watches for entry in open_before))
