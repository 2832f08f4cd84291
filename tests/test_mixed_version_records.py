"""Failover between versions while a large assignment record is written or half split."""

from __future__ import annotations

import json

import pytest

from tests.dependency_steps import run_until
from tests.infrastructure_faults import run_until_finished
from tests.mixed_versions import LOWER, NAMES, rows_of, times_named, wide_job
from tests.simulated_cluster import SimulatedCluster
from tests.user_requests import UNCONSTRAINED_JOB
from tests.versions import present, production


def _largest(world: SimulatedCluster, job: str) -> int:
    return max(len(json.dumps(value, separators=(",", ":"))) for value in rows_of(world, job).values())


def _half_split(world: SimulatedCluster, job: str) -> None:
    """Some tasks end, so that the record is written anew, until it is half split.

    An owner of the present version has copied some assignments then, and has not yet shortened the first chunk.
    """
    running = [
        play
        for machine in world.cloud.machines.values()
        for key, play in machine.tasks.items()
        if key[0].startswith(job + "/") and play["status"] == "running"
    ]
    for play in running[:5]:
        play["ends"] = world.now + 1.0
    run_until(world, lambda: max(times_named(rows_of(world, job)).values()) > 1, 60.0)


def _team_owner(world: SimulatedCluster) -> str:
    return world.state.rows["own/home/team-0"][0]["n"]


def _all_on_record(world: SimulatedCluster, job: str) -> None:
    """Every task on a machine is named by the job's record."""
    on_machines = {
        int(key[0].rpartition("/")[2])
        for machine in world.cloud.machines.values()
        for key in machine.started_tasks()
        if key[0].startswith(job + "/")
    }
    assert on_machines <= times_named(rows_of(world, job)).keys() and on_machines


@pytest.mark.parametrize(("seed", "late_writes"), [(1, 0.2), (2, 0.0), (3, 0.2)])
def test_old_node_takes_over_half_split_record_of_new_node(seed, late_writes):
    """And then a new one what the old one has made of it."""
    world, job = wide_job(seed, NAMES, next=LOWER)
    assert _largest(world, job) > 2 * 1024 * LOWER["value_kb"]
    first = _team_owner(world)
    for name in NAMES:  # only the owner is upgraded: the others are too late for anything
        if name != first:
            world.crash(name, 12.0)
    world.upgrade(first, 0.3)
    _half_split(world, job)
    assert _team_owner(world) == first and world.running[first] is present()
    world.network.late_write_share = late_writes
    world.crash(first, 25.0)
    run_until(world, lambda: "own/home/team-0" in world.state.rows and _team_owner(world) != first, 30.0)
    old = _team_owner(world)
    assert world.running[old] is production()
    assert max(times_named(rows_of(world, job)).values()) > 1  # that is what it reads
    world.run(8.0)
    _all_on_record(world, job)
    for name in NAMES:
        world.upgrade(name, 1.0)
    world.run(10.0)
    assert all(world.running[name] is present() for name in NAMES)
    _all_on_record(world, job)
    world.network.late_write_share = 0.0
    world.run(12.0)  # what the old ones wrote is carried out at the latest
    world.state.lower_limits()
    run_until_finished(world, 300.0)
    assert world.jobs[job].final == "done" and rows_of(world, job) == {}
    assert set(world.state.refused) <= {"rate"}


@pytest.mark.parametrize("seed", [4, 5])
def test_new_node_takes_over_record_being_written_by_old_node(seed):
    """The old owner ends with writes under way, some of which are carried out late."""
    world, job = wide_job(seed, NAMES, next=LOWER)
    assert _largest(world, job) > 2 * 1024 * LOWER["value_kb"]
    for name in NAMES:
        if name != _team_owner(world):
            world.upgrade(name, 0.5)
    world.run(3.0)
    old = _team_owner(world)
    assert world.running[old] is production()
    world.network.late_write_share = 0.3
    for _ in range(3):
        world.submit(**UNCONSTRAINED_JOB | {"plays": 30, "vcpus": 8.0, "crew": "team-0", "expected_s": 20.0})
    world.run(4.0)
    world.crash(old, 20.0)
    run_until(world, lambda: "own/home/team-0" in world.state.rows and _team_owner(world) != old, 30.0)
    assert world.running[_team_owner(world)] is present()
    _half_split(world, job)
    world.network.late_write_share = 0.0
    world.run(3.0)
    _all_on_record(world, job)
    world.upgrade(old, 0.5)
    world.run(12.0)
    world.state.lower_limits()
    run_until_finished(world, 300.0)
    assert world.unfinished() == [] and world.network.event_counts["late write"] > 0
    assert set(world.state.refused) <= {"rate"}
