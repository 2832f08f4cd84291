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


def settled_cluster(seed: int, capacity_per_pool: int = 4, **over) -> SimulatedCluster:
    """A cluster whose nodes are up and know the machine types."""
    cluster = SimulatedCluster(seed, **({"cpu_limit": 48.0} | over))
    cluster.cloud.capacity_per_pool = capacity_per_pool
    cluster.run(20.0)
    return cluster


def submit_accepted(cluster: SimulatedCluster, needs: list[str] | None = None, **over) -> str:
    """A job, once it is accepted."""
    job_id = cluster.submit(**(UNCONSTRAINED_JOB | SHORT_JOB | {"waits_on": list(needs or [])} | over))
    run_until(cluster, lambda: cluster.jobs[job_id].accepted)
    return job_id


def run_until(cluster: SimulatedCluster, condition: Callable[[], bool], seconds: float = 90.0) -> None:
    until = cluster.now + seconds
    while not condition():
        assert cluster.now < until, "did not happen"
        cluster.run(0.01)


def run_until_started(cluster: SimulatedCluster, job_id: str) -> None:
    run_until(cluster, lambda: any(name in running_task_ids(cluster) for name in cluster.jobs[job_id].task_ids()))


def running_task_ids(cluster: SimulatedCluster) -> set[str]:
    return {key[0] for machine in cluster.cloud.machines.values() for key in machine.started_tasks()}


def finish_in(cluster: SimulatedCluster, job_id: str, seconds: float) -> None:
    """The tasks of a job that run now end after that time."""
    found = [
        task
        for machine in cluster.cloud.machines.values()
        for key, task in machine.tasks.items()
        if key[0].rpartition("/")[0] == job_id and task["status"] == "running"
    ]
    assert len(found) == len(cluster.jobs[job_id].task_ids())
    for task in found:
        task["ends_at"] = cluster.now + seconds


def team_owner(cluster: SimulatedCluster, team: str) -> str:
    """The node that owns a team, by the state service's records."""
    return cluster.state.rows[f"own/home/{team}"][0]["n"]


def team_of_other_owner(cluster: SimulatedCluster, team: str) -> str:
    """A team that another node owns."""
    return next(other for other in TEAMS if team_owner(cluster, other) != team_owner(cluster, team))


def query_all_nodes(cluster: SimulatedCluster, jobs: list[str], seconds: float, every_s: float = 0.5) -> None:
    """Users query every node for these jobs for a while; the simulation checks each answer."""
    for i in range(int(seconds / every_s)):
        for job_id in jobs:
            for node in cluster.node_names:
                cluster.call_later(i * every_s, lambda job_id=job_id, node=node: cluster.query(job_id, node))


def final_statuses(cluster: SimulatedCluster, jobs: list[str]) -> list[str | None]:
    return [cluster.jobs[job_id].final_status for job_id in jobs]


def run_until_all_finished(cluster: SimulatedCluster, seconds: float = 150.0) -> None:
    run_until_finished(cluster, seconds)
    assert cluster.unfinished_jobs() == []


def submit_chain(cluster: SimulatedCluster, length: int, teams: tuple[str, ...] = TEAMS, **over) -> list[str]:
    jobs: list[str] = []
    for i in range(length):
        jobs.append(submit_accepted(cluster, jobs[-1:], crew=teams[i % len(teams)], **over))
    return jobs


def cancel_and_wait(cluster: SimulatedCluster, job_id: str, node: str | None = None) -> None:
    """Cancel a job; back once its user has been told."""
    cluster.cancel(job_id, node)
    run_until(cluster, lambda: cluster.jobs[job_id].final_status is not None)
    assert cluster.jobs[job_id].final_status == "cancelled"


def assert_all_cancelled(cluster: SimulatedCluster, jobs: list[str]) -> None:
    """In time: the cluster checks each answer and task."""
    run_until_all_finished(cluster)
    assert set(final_statuses(cluster, jobs)) == {"cancelled"}
    assert all(cluster.jobs[job_id].started_at is None for job_id in jobs)
    assert cluster.event_counts["cancelled with a dependency"] == len(jobs)


def submit_graph(cluster: SimulatedCluster, teams: tuple[str, ...] = TEAMS) -> tuple[str, list[str]]:
    """A job that runs for long, and some that need it: directly, through one or several others, by two ways."""
    first = submit_accepted(cluster, crew="team-0", **LONG_JOB)
    after = [submit_accepted(cluster, [first], crew=teams[i % len(teams)]) for i in range(3)]
    after.append(submit_accepted(cluster, after[:2], crew=teams[-1]))
    after.append(submit_accepted(cluster, after[3:], crew=teams[0]))
    after.append(submit_accepted(cluster, [first, after[4]], crew=teams[-1]))
    run_until_started(cluster, first)
    return first, after


def delay_job_updates(cluster: SimulatedCluster, seconds: float) -> None:
    """Nodes hear of changes of jobs so much later, by watch or list, once the watches that are open have ended."""
    whole = cluster.state.handle

    def late(node, method, target, body, answer):
        if target.startswith(("/watch?starts=job/", "/store?starts=job/")):
            whole(
                node,
                method,
                target,
                body,
                lambda status, data: cluster.call_later(seconds, lambda: answer(status, data)),
            )
        else:
            whole(node, method, target, body, answer)

    open_before = [entry for entry in cluster.state.open_watches if entry[1] == "job/"]
    cluster.state.handle = late
    cluster.run(seconds)
    run_until(cluster, lambda: not any(entry in cluster.state.open_watches for entry in open_before))
