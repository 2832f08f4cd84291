"""Common steps of tests that combine two faults: a busy cluster, cancellations, recovery."""

from __future__ import annotations

from tests.infrastructure_faults import OWNERSHIP_PREFIXES, end_all_faults, machines_up, run_until_finished
from tests.simulated_cluster import SimulatedCluster
from tests.standins import Worker
from tests.user_requests import UNIFORM_JOB

LEASE_S, CANCEL_S = 9.0, 30.0
SEEDS = [1, 2]


def busy_cluster(seed: int, expected_s: float = 5.0, jobs: int = 14, plays: int = 5, **overrides) -> SimulatedCluster:
    """Return a cluster that runs jobs of all teams and gets more of them for a while."""
    cluster = SimulatedCluster(seed, **({"cpu_limit": 48.0} | overrides))
    for i in range(jobs):
        cluster.call_later(
            3.0 * i, lambda i=i: cluster.submit(plays=plays, expected_s=expected_s, crew=f"team-{i % 3}", **UNIFORM_JOB)
        )
    cluster.run(24.0)
    assert busy_machines(cluster)
    return cluster


def busy_machines(cluster: SimulatedCluster) -> list[Worker]:
    return [machine for machine in machines_up(cluster) if machine.started_tasks()]


def cancel_some_jobs(cluster: SimulatedCluster, share: float = 0.5, within_s: float = 0.0) -> list[str]:
    """Cancel a share of the jobs that have running tasks, at least one; return their ids."""
    running = sorted({task.rpartition("/")[0] for m in busy_machines(cluster) for task, _ in m.started_tasks()})
    some = [job for job in running if cluster.rng.random() < share] or running[:1]
    for job in some:
        cluster.call_later(cluster.rng.uniform(0.0, within_s), lambda job=job: cluster.cancel(job))
    assert some
    return some


def cancel_some_repeatedly(cluster: SimulatedCluster, times: int, interval_s: float) -> None:
    """Cancel a fifth of the jobs that have running tasks, repeatedly from now on."""
    for i in range(times):
        cluster.call_later(
            interval_s * i, lambda: cancel_some_jobs(cluster, share=0.2) if busy_machines(cluster) else None
        )


def recover(cluster: SimulatedCluster, seconds: float = 130.0) -> SimulatedCluster:
    """End all faults and run until every job has finished; return the cluster."""
    end_all_faults(cluster)
    run_until_finished(cluster, seconds)
    assert cluster.unfinished_jobs() == []
    return cluster


def new_owners(cluster: SimulatedCluster, kind: str, since: float) -> list[str]:
    """Return the nodes that became owners of keys of this kind after the time `since`, in order."""
    return [
        node
        for when, key, node in cluster.network.ownership_changes
        if when > since and key.startswith(OWNERSHIP_PREFIXES[kind])
    ]
