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
from tests.infrastructure_faults import (
    OWNERSHIP_PREFIXES,
    crash_all_controllers,
    crash_owners_repeatedly,
    machines_up,
    owners,
    random_owner,
)
from tests.simulated_cluster import SimulatedCluster
from tests.user_requests import UNIFORM_JOB


@pytest.mark.parametrize("back_s", [0.05, 0.5, 6.0])
def test_all_controllers_crash_and_one_returns(back_s):
    """Before that they hand over and back."""
    cluster = busy_cluster(5, expected_s=12.0)
    for name in cluster.node_names[1:]:
        cluster.crash(name, 5.0)
    cluster.run(20.0)  # all are given back some
    assert len({node for kind in OWNERSHIP_PREFIXES for node in owners(cluster, kind)}) == 3
    now = cluster.now
    crash_all_controllers(cluster, lambda name: back_s if name == "n1" else 25.0)
    cancel_some_jobs(cluster, within_s=2.0)
    cluster.run(20.0)
    assert {node for kind in OWNERSHIP_PREFIXES for node in new_owners(cluster, kind, now)} == {"n1"}
    cluster.run(20.0)
    crash_all_controllers(cluster, lambda name: cluster.rng.uniform(0.05, 1.0))
    cluster.run(10.0)
    recover(cluster)


@pytest.mark.parametrize("outage", [False, True])
@pytest.mark.parametrize("kind", OWNERSHIP_PREFIXES)
def test_ten_failovers_in_two_minutes(kind, outage):
    cluster = busy_cluster(6, expected_s=12.0, jobs=30)
    now = cluster.now
    crash_owners_repeatedly(cluster, kind, 10, 12.0)
    if outage:
        cluster.call_later(30.0, lambda: cluster.state.set_down(True))
        cluster.call_later(68.0, lambda: cluster.state.set_down(False))
    cancel_some_repeatedly(cluster, 6, 18.0)
    cluster.run(130.0)
    assert len(new_owners(cluster, kind, now)) >= (5 if outage else 10)
    recover(cluster)


@pytest.mark.parametrize("seed", SEEDS)
def test_all_controllers_are_down_longer_than_a_lease(seed):
    cluster = busy_cluster(seed, expected_s=15.0)
    held = len(busy_machines(cluster))
    before = cluster.network.event_counts["lease expired"]
    cancel_some_jobs(cluster, share=0.3)
    cluster.run(0.3)
    crash_all_controllers(cluster, lambda name: 1.6 * LEASE_S + (0.0 if name == "n0" else 3.0))
    cluster.run(40.0)
    assert cluster.network.event_counts["lease expired"] - before >= held > 0
    recover(cluster)


def _failover_with_unreachable_machines(seed: int, kind: str, cause: str, leases: float) -> SimulatedCluster:
    """A leader ends while machines with long tasks can't be reached, or don't hear its successor."""
    cluster = busy_cluster(seed, expected_s=40.0, plays=3, jobs=10)
    some = busy_machines(cluster)[::2]
    for machine in some:
        if cause == "no commands":
            cluster.network.command_blackholes.add(machine.name)
        for name in cluster.node_names if cause == "cut" else ():
            cluster.network.cut(name, machine.name)
    now = cluster.now
    cluster.run(1.0)
    cluster.crash(random_owner(cluster, kind), 3.0)
    cluster.run(leases * LEASE_S)
    assert some and new_owners(cluster, kind, now)
    assert cause == "no commands" or cluster.network.event_counts["packet cut off"] > 0
    cluster.network.command_blackholes.clear()
    cluster.network.heal()
    cluster.run(LEASE_S)
    return recover(cluster)


@pytest.mark.parametrize("leases", [0.6, 2.0])
@pytest.mark.parametrize("cause", ["cut", "no commands"])
@pytest.mark.parametrize("kind", ["team", "partition"])
def test_failover_while_machines_with_long_tasks_are_unreachable(kind, cause, leases):
    _failover_with_unreachable_machines(7, kind, cause, leases)


def failover_at_quota(seed: int) -> SimulatedCluster:
    """A team at its limit loses its leader; of some of its machines nobody knows, and then a job is called off."""
    limit = 16.0
    cluster = SimulatedCluster(seed, cpu_limit=limit)
    for _ in range(6):
        cluster.submit(plays=4, expected_s=25.0, crew="team-0", **UNIFORM_JOB)
    while sum(2.0 * len(machine.started_tasks()) for machine in machines_up(cluster)) < limit:
        cluster.run(0.1)
        assert cluster.now < 60.0
    some = busy_machines(cluster)[::2]
    for machine in some:
        for name in cluster.node_names:
            cluster.network.cut(name, machine.name)
    now = cluster.now
    cluster.crash(cluster.state.rows["own/home/team-0"][0]["n"], 8.0)
    cluster.call_later(2.0, lambda: cancel_some_jobs(cluster))
    for _ in range(3):
        cluster.submit(plays=2, expected_s=4.0, crew="team-0", **UNIFORM_JOB)
    cluster.run(12.0)
    assert some and cluster.network.event_counts["packet cut off"] > 0 and new_owners(cluster, "team", now)
    cluster.network.heal()
    cluster.run(20.0)
    return recover(cluster)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_failover_of_team_at_quota_with_unreachable_machines(seed):
    failover_at_quota(seed)
