"""Common steps of tests of dependencies: submit jobs, run until an event, cancel, delay updates."""

from __future__ import annotations

from collections.abc import Callable

from tests.infrastructure_faults import run_until_finished
from tests.simulated_cluster import SimulatedCluster
from tests.user_requests import UNCONSTRAINED_JOB

SEEDS = range(3)
TEAMS = ("team-0", "team-1", "team-2")
SHORT_JOB = {"plays": 1, "vcpus": 1.0, "memory_gb": 1.0, "expected_s": 2.0}
LONG_JOB = SHORT_JOB | {"expected_s": 1000.0}


def settled_cluster(seed: int, capacity_per_pool: int = 4, **overrides) -> SimulatedCluster:
    """Return a cluster whose nodes are up and know the machine types."""
    cluster = SimulatedCluster(seed, **({"cpu_limit": 48.0} | overrides))
    cluster.cloud.capacity_per_pool = capacity_per_pool
    cluster.run(20.0)
    return cluster


def submit_accepted(cluster: SimulatedCluster, dependencies: list[str] | None = None, **overrides) -> str:
    """Submit a short job and run until it is accepted; return its id."""
    job_id = cluster.submit(**(UNCONSTRAINED_JOB | SHORT_JOB | {"waits_on": list(dependencies or [])} | overrides))
    run_until(cluster, lambda: cluster.jobs[job_id].accepted)
    return job_id


def run_until(cluster: SimulatedCluster, condition: Callable[[], bool], seconds: float = 90.0) -> None:
    until = cluster.now + seconds
    while not condition():
        assert cluster.now < until, f"condition still false after {seconds} s"
        cluster.run(0.01)


def run_until_started(cluster: SimulatedCluster, job_id: str) -> None:
    run_until(cluster, lambda: any(name in running_task_ids(cluster) for name in cluster.jobs[job_id].task_ids()))


def running_task_ids(cluster: SimulatedCluster) -> set[str]:
    return {key[0] for machine in cluster.cloud.machines.values() for key in machine.started_tasks()}


def finish_in(cluster: SimulatedCluster, job_id: str, seconds: float) -> None:
    """Let all tasks of a job, which must be running, end after this time."""
    running = [
        task
        for machine in cluster.cloud.machines.values()
        for key, task in machine.tasks.items()
        if key[0].rpartition("/")[0] == job_id and task["status"] == "running"
    ]
    assert len(running) == len(cluster.jobs[job_id].task_ids())
    for task in running:
        task["ends_at"] = cluster.now + seconds


def team_owner(cluster: SimulatedCluster, team: str) -> str:
    """Return the node that owns a team by the state store's records."""
    return cluster.state.rows[f"own/home/{team}"][0]["n"]


def team_of_other_owner(cluster: SimulatedCluster, team: str) -> str:
    """Return a team that another node owns."""
    return next(other for other in TEAMS if team_owner(cluster, other) != team_owner(cluster, team))


def query_all_nodes(cluster: SimulatedCluster, jobs: list[str], seconds: float, interval_s: float = 0.5) -> None:
    """Query every node for these jobs for a while; the simulation checks each answer."""
    for i in range(int(seconds / interval_s)):
        for job_id in jobs:
            for node in cluster.node_names:
                cluster.call_later(i * interval_s, lambda job_id=job_id, node=node: cluster.query(job_id, node))


def final_statuses(cluster: SimulatedCluster, jobs: list[str]) -> list[str | None]:
    return [cluster.jobs[job_id].final_status for job_id in jobs]


def run_until_all_finished(cluster: SimulatedCluster, seconds: float = 150.0) -> None:
    run_until_finished(cluster, seconds)
    assert cluster.unfinished_jobs() == []


def submit_chain(cluster: SimulatedCluster, length: int, teams: tuple[str, ...] = TEAMS, **overrides) -> list[str]:
    jobs: list[str] = []
    for i in range(length):
        jobs.append(submit_accepted(cluster, jobs[-1:], crew=teams[i % len(teams)], **overrides))
    return jobs


def cancel_and_wait(cluster: SimulatedCluster, job_id: str, node: str | None = None) -> None:
    """Cancel a job and run until its user gets the final status."""
    cluster.cancel(job_id, node)
    run_until(cluster, lambda: cluster.jobs[job_id].final_status is not None)
    assert cluster.jobs[job_id].final_status == "cancelled"


def assert_all_cancelled(cluster: SimulatedCluster, jobs: list[str]) -> None:
    """Run until all jobs have finished; assert that these were cancelled before any of their tasks started.

    The rule checker covers the time within which they must be cancelled.
    """
    run_until_all_finished(cluster)
    assert set(final_statuses(cluster, jobs)) == {"cancelled"}
    assert all(cluster.jobs[job_id].started_at is None for job_id in jobs)
    assert cluster.event_counts["cancelled with a dependency"] == len(jobs)


def submit_graph(cluster: SimulatedCluster, teams: tuple[str, ...] = TEAMS) -> tuple[str, list[str]]:
    """Submit a long job and dependents of it: direct ones, transitive ones, and one that depends on it in two ways.

    Return the id of the long job, once it runs, and those of the dependents.
    """
    first = submit_accepted(cluster, crew="team-0", **LONG_JOB)
    dependents = [submit_accepted(cluster, [first], crew=teams[i % len(teams)]) for i in range(3)]
    dependents.append(submit_accepted(cluster, dependents[:2], crew=teams[-1]))
    dependents.append(submit_accepted(cluster, dependents[3:], crew=teams[0]))
    dependents.append(submit_accepted(cluster, [first, dependents[4]], crew=teams[-1]))
    run_until_started(cluster, first)
    return first, dependents


def delay_job_updates(cluster: SimulatedCluster, seconds: float) -> None:
    """Delay the answers to watches and lists of job records; return once the watches open so far have ended."""
    handle = cluster.state.handle

    def handle_late(node, method, target, body, answer):
        if target.startswith(("/watch?starts=job/", "/store?starts=job/")):
            handle(
                node,
                method,
                target,
                body,
                lambda status, data: cluster.call_later(seconds, lambda: answer(status, data)),
            )
        else:
            handle(node, method, target, body, answer)

    open_before = [watch for watch in cluster.state.open_watches if watch[1] == "job/"]
    cluster.state.handle = handle_late
    cluster.run(seconds)
    run_until(cluster, lambda: not any(watch in cluster.state.open_watches for watch in open_before))
