"""Crashes of controllers combined with other faults; each run asserts that both occurred."""

import pytest

from tests.combined_faults import (
    LEASE_S,
    SEEDS,
    busy_cluster,
    busy_machines,
    cancel_some_jobs,
    cancel_some_repeatedly,
    new_owners,
    recover,
)
from tests.infrastructure_faults import OWNERSHIP_PREFIXES, change_leaders, crash_all, machines_up, owner, owners
from tests.simulated_cluster import SimulatedCluster
from tests.user_requests import UNIFORM_JOB


@pytest.mark.parametrize("back_s", [0.05, 0.5, 6.0])
def test_all_controllers_crash_and_one_returns(back_s):
    """Before that they hand over and back."""
    world = busy_cluster(5, expected_s=12.0)
    for name in world.names[1:]:
        world.crash(name, 5.0)
    world.run(20.0)  # all are given back some
    assert len({node for kind in OWNERSHIP_PREFIXES for node in owners(world, kind)}) == 3
    now = world.now
    crash_all(world, lambda name: back_s if name == "n1" else 25.0)
    cancel_some_jobs(world, within_s=2.0)
    world.run(20.0)
    assert {node for kind in OWNERSHIP_PREFIXES for node in new_owners(world, kind, now)} == {"n1"}
    world.run(20.0)
    crash_all(world, lambda name: world.rng.uniform(0.05, 1.0))
    world.run(10.0)
    recover(world)


@pytest.mark.parametrize("outage", [False, True])
@pytest.mark.parametrize("kind", OWNERSHIP_PREFIXES)
def test_ten_failovers_in_two_minutes(kind, outage):
    world = busy_cluster(6, expected_s=12.0, jobs=30)
    now = world.now
    change_leaders(world, kind, 10, 12.0)
    if outage:
        world.at(30.0, lambda: world.state.outage(True))
        world.at(68.0, lambda: world.state.outage(False))
    cancel_some_repeatedly(world, 6, 18.0)
    world.run(130.0)
    assert len(new_owners(world, kind, now)) >= (5 if outage else 10)
    recover(world)


@pytest.mark.parametrize("seed", SEEDS)
def test_all_controllers_are_down_longer_than_a_lease(seed):
    world = busy_cluster(seed, expected_s=15.0)
    held = len(busy_machines(world))
    before = world.network.event_counts["lease expired"]
    cancel_some_jobs(world, share=0.3)
    world.run(0.3)
    crash_all(world, lambda name: 1.6 * LEASE_S + (0.0 if name == "n0" else 3.0))
    world.run(40.0)
    assert world.network.event_counts["lease expired"] - before >= held > 0
    recover(world)


def _failover_with_unreachable_machines(seed: int, kind: str, cause: str, leases: float) -> SimulatedCluster:
    """A leader ends while machines with long tasks can't be reached, or don't hear its successor."""
    world = busy_cluster(seed, expected_s=40.0, plays=3, jobs=10)
    some = busy_machines(world)[::2]
    for machine in some:
        if cause == "no commands":
            world.network.command_blackholes.add(machine.name)
        for name in world.names if cause == "cut" else ():
            world.network.cut(name, machine.name)
    now = world.now
    world.run(1.0)
    world.crash(owner(world, kind), 3.0)
    world.run(leases * LEASE_S)
    assert some and new_owners(world, kind, now)
    assert cause == "no commands" or world.network.event_counts["cut"] > 0
    world.network.command_blackholes.clear()
    world.network.heal()
    world.run(LEASE_S)
    return recover(world)


@pytest.mark.parametrize("leases", [0.6, 2.0])
@pytest.mark.parametrize("cause", ["cut", "no commands"])
@pytest.mark.parametrize("kind", ["team", "partition"])
def test_failover_while_machines_with_long_tasks_are_unreachable(kind, cause, leases):
    _failover_with_unreachable_machines(7, kind, cause, leases)


def failover_at_quota(seed: int) -> SimulatedCluster:
    """A team at its limit loses its leader; of some of its machines nobody knows, and then a job is called off."""
    limit = 16.0
    world = SimulatedCluster(seed, limit=limit)
    for _ in range(6):
        world.submit(plays=4, expected_s=25.0, crew="team-0", **UNIFORM_JOB)
    while sum(2.0 * len(machine.started_tasks()) for machine in machines_up(world)) < limit:
        world.run(0.1)
        assert world.now < 60.0
    some = busy_machines(world)[::2]
    for machine in some:
        for name in world.names:
            world.network.cut(name, machine.name)
    now = world.now
    world.crash(world.state.rows["own/home/team-0"][0]["n"], 8.0)
    world.at(2.0, lambda: cancel_some_jobs(world))
    for _ in range(3):
        world.submit(plays=2, expected_s=4.0, crew="team-0", **UNIFORM_JOB)
    world.run(12.0)
    assert some and world.network.event_counts["cut"] > 0 and new_owners(world, "team", now)
    world.network.heal()
    world.run(20.0)
    return recover(world)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_failover_of_team_at_quota_with_unreachable_machines(seed):
    failover_at_quota(seed)
