"""Failover between versions while a large assignment record is written or half split."""

from __future__ import annotations

import json

import pytest

from tests.dependency_steps import run_until
from tests.infrastructure_faults import run_until_finished
from tests.mixed_versions import LOWERED_LIMITS, NODE_NAMES, assignment_counts, assignment_records, run_wide_job
from tests.simulated_cluster import SimulatedCluster
from tests.user_requests import UNCONSTRAINED_JOB
from tests.versions import current_version, production_version


def _largest(cluster: SimulatedCluster, job: str) -> int:
    return max(len(json.dumps(value, separators=(",", ":"))) for value in assignment_records(cluster, job).values())


def _half_split(cluster: SimulatedCluster, job: str) -> None:
    """Some tasks end, so that the record is written anew, until it is half split.

    An owner of the present version has copied some assignments then, and has not yet shortened the first chunk.
    """
    running = [
        play
        for machine in cluster.cloud.machines.values()
        for key, play in machine.tasks.items()
        if key[0].startswith(job + "/") and play["status"] == "running"
    ]
    for play in running[:5]:
        play["ends_at"] = cluster.now + 1.0
    run_until(cluster, lambda: max(assignment_counts(assignment_records(cluster, job)).values()) > 1, 60.0)


def _team_owner(cluster: SimulatedCluster) -> str:
    return cluster.state.rows["own/home/team-0"][0]["n"]


def _all_on_record(cluster: SimulatedCluster, job: str) -> None:
    """Every task on a machine is named by the job's record."""
    on_machines = {
        int(key[0].rpartition("/")[2])
        for machine in cluster.cloud.machines.values()
        for key in machine.started_tasks()
        if key[0].startswith(job + "/")
    }
    assert on_machines <= assignment_counts(assignment_records(cluster, job)).keys() and on_machines


@pytest.mark.parametrize(("seed", "late_writes"), [(1, 0.2), (2, 0.0), (3, 0.2)])
def test_old_node_takes_over_half_split_record_of_new_node(seed, late_writes):
    """And then a new one what the old one has made of it."""
    cluster, job = run_wide_job(seed, NODE_NAMES, next_limits=LOWERED_LIMITS)
    assert _largest(cluster, job) > 2 * 1024 * LOWERED_LIMITS["value_kb"]
    first = _team_owner(cluster)
    for name in NODE_NAMES:  # only the owner is upgraded: the others are too late for anything
        if name != first:
            cluster.crash(name, 12.0)
    cluster.upgrade(first, 0.3)
    _half_split(cluster, job)
    assert _team_owner(cluster) == first and cluster.running_versions[first] is current_version()
    cluster.network.late_write_share = late_writes
    cluster.crash(first, 25.0)
    run_until(cluster, lambda: "own/home/team-0" in cluster.state.rows and _team_owner(cluster) != first, 30.0)
    old = _team_owner(cluster)
    assert cluster.running_versions[old] is production_version()
    assert max(assignment_counts(assignment_records(cluster, job)).values()) > 1  # that is what it reads
    cluster.run(8.0)
    _all_on_record(cluster, job)
    for name in NODE_NAMES:
        cluster.upgrade(name, 1.0)
    cluster.run(10.0)
    assert all(cluster.running_versions[name] is current_version() for name in NODE_NAMES)
    _all_on_record(cluster, job)
    cluster.network.late_write_share = 0.0
    cluster.run(12.0)  # what the old ones wrote is carried out at the latest
    cluster.state.lower_limits()
    run_until_finished(cluster, 300.0)
    assert cluster.jobs[job].final_status == "done" and assignment_records(cluster, job) == {}
    assert set(cluster.state.refused_writes) <= {"rate"}


@pytest.mark.parametrize("seed", [4, 5])
def test_new_node_takes_over_record_being_written_by_old_node(seed):
    """The old owner ends with writes under way, some of which are carried out late."""
    cluster, job = run_wide_job(seed, NODE_NAMES, next_limits=LOWERED_LIMITS)
    assert _largest(cluster, job) > 2 * 1024 * LOWERED_LIMITS["value_kb"]
    for name in NODE_NAMES:
        if name != _team_owner(cluster):
            cluster.upgrade(name, 0.5)
    cluster.run(3.0)
    old = _team_owner(cluster)
    assert cluster.running_versions[old] is production_version()
    cluster.network.late_write_share = 0.3
    for _ in range(3):
        cluster.submit(**UNCONSTRAINED_JOB | {"plays": 30, "vcpus": 8.0, "crew": "team-0", "expected_s": 20.0})
    cluster.run(4.0)
    cluster.crash(old, 20.0)
    run_until(cluster, lambda: "own/home/team-0" in cluster.state.rows and _team_owner(cluster) != old, 30.0)
    assert cluster.running_versions[_team_owner(cluster)] is current_version()
    _half_split(cluster, job)
    cluster.network.late_write_share = 0.0
    cluster.run(3.0)
    _all_on_record(cluster, job)
    cluster.upgrade(old, 0.5)
    cluster.run(12.0)
    cluster.state.lower_limits()
    run_until_finished(cluster, 300.0)
    assert cluster.unfinished_jobs() == [] and cluster.network.event_counts["late write"] > 0
    assert set(cluster.state.refused_writes) <= {"rate"}
