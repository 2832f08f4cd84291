"""Failover between versions while a large assignment record is being written or is half split."""

from __future__ import annotations

import json

import pytest

from tests.dependency_steps import run_until
from tests.infrastructure_faults import run_until_finished
from tests.mixed_versions import LOWERED_LIMITS, NODE_NAMES, assignment_counts, assignment_records, run_wide_job
from tests.simulated_cluster import SimulatedCluster
from tests.user_requests import UNCONSTRAINED_JOB
from tests.versions import current_version, production_version


def _largest_record_size(cluster: SimulatedCluster, job: str) -> int:
    return max(len(json.dumps(value, separators=(",", ":"))) for value in assignment_records(cluster, job).values())


def _run_until_half_split(cluster: SimulatedCluster, job: str) -> None:
    """End some tasks, so that the record is rewritten, and run until it is half split.

    The owner, of the current version, has then copied some assignments but not yet shortened the first chunk.
    """
    running = [
        task
        for machine in cluster.cloud.machines.values()
        for key, task in machine.tasks.items()
        if key[0].startswith(job + "/") and task["status"] == "running"
    ]
    for task in running[:5]:
        task["ends_at"] = cluster.now + 1.0
    run_until(cluster, lambda: max(assignment_counts(assignment_records(cluster, job)).values()) > 1, 60.0)


def _team_owner(cluster: SimulatedCluster) -> str:
    return cluster.state.rows["own/home/team-0"][0]["n"]


def _assert_running_tasks_recorded(cluster: SimulatedCluster, job: str) -> None:
    """Assert that tasks of the job run and that its assignment record contains all of them."""
    on_machines = {
        int(key[0].rpartition("/")[2])
        for machine in cluster.cloud.machines.values()
        for key in machine.started_tasks()
        if key[0].startswith(job + "/")
    }
    assert on_machines <= assignment_counts(assignment_records(cluster, job)).keys() and on_machines


@pytest.mark.parametrize(("seed", "late_write_share"), [(1, 0.2), (2, 0.0), (3, 0.2)])
def test_old_node_takes_over_half_split_record_of_new_node(seed, late_write_share):
    """The record as rewritten by the old node is later taken over by a new node in turn."""
    cluster, job = run_wide_job(seed, NODE_NAMES, next_limits=LOWERED_LIMITS)
    assert _largest_record_size(cluster, job) > 2 * 1024 * LOWERED_LIMITS["value_kb"]
    new_owner = _team_owner(cluster)
    for name in NODE_NAMES:  # only the owner is upgraded; the others are down meanwhile
        if name != new_owner:
            cluster.crash(name, 12.0)
    cluster.upgrade(new_owner, 0.3)
    _run_until_half_split(cluster, job)
    assert _team_owner(cluster) == new_owner and cluster.running_versions[new_owner] is current_version()
    cluster.network.late_write_share = late_write_share
    cluster.crash(new_owner, 25.0)
    run_until(cluster, lambda: "own/home/team-0" in cluster.state.rows and _team_owner(cluster) != new_owner, 30.0)
    old_owner = _team_owner(cluster)
    assert cluster.running_versions[old_owner] is production_version()
    # The old owner reads the half-split record.
    assert max(assignment_counts(assignment_records(cluster, job)).values()) > 1
    cluster.run(8.0)
    _assert_running_tasks_recorded(cluster, job)
    for name in NODE_NAMES:
        cluster.upgrade(name, 1.0)
    cluster.run(10.0)
    assert all(cluster.running_versions[name] is current_version() for name in NODE_NAMES)
    _assert_running_tasks_recorded(cluster, job)
    cluster.network.late_write_share = 0.0
    cluster.run(12.0)  # until all late writes of the old nodes are executed
    cluster.state.lower_limits()
    run_until_finished(cluster, 300.0)
    assert cluster.jobs[job].final_status == "done" and assignment_records(cluster, job) == {}
    assert set(cluster.state.refused_writes) <= {"rate"}


@pytest.mark.parametrize("seed", [4, 5])
def test_new_node_takes_over_record_being_written_by_old_node(seed):
    """The old owner crashes with writes in flight, some of which are executed late."""
    cluster, job = run_wide_job(seed, NODE_NAMES, next_limits=LOWERED_LIMITS)
    assert _largest_record_size(cluster, job) > 2 * 1024 * LOWERED_LIMITS["value_kb"]
    for name in NODE_NAMES:
        if name != _team_owner(cluster):
            cluster.upgrade(name, 0.5)
    cluster.run(3.0)
    old_owner = _team_owner(cluster)
    assert cluster.running_versions[old_owner] is production_version()
    cluster.network.late_write_share = 0.3
    for _ in range(3):
        cluster.submit(**UNCONSTRAINED_JOB | {"plays": 30, "vcpus": 8.0, "crew": "team-0", "expected_s": 20.0})
    cluster.run(4.0)
    cluster.crash(old_owner, 20.0)
    run_until(cluster, lambda: "own/home/team-0" in cluster.state.rows and _team_owner(cluster) != old_owner, 30.0)
    assert cluster.running_versions[_team_owner(cluster)] is current_version()
    _run_until_half_split(cluster, job)
    cluster.network.late_write_share = 0.0
    cluster.run(3.0)
    _assert_running_tasks_recorded(cluster, job)
    cluster.upgrade(old_owner, 0.5)
    cluster.run(12.0)
    cluster.state.lower_limits()
    run_until_finished(cluster, 300.0)
    assert cluster.unfinished_jobs() == [] and cluster.network.event_counts["late write"] > 0
    assert set(cluster.state.refused_writes) <= {"rate"}
