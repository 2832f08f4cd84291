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


@pytest.mark.parametrize("downtime_s", [0.05, 0.5, 6.0])
def test_single_returning_controller_takes_over_all_keys(downtime_s):
    """The nodes have exchanged ownership before, so that each of them owns some keys when all crash."""
    cluster = busy_cluster(5, expected_s=12.0)
    for name in cluster.node_names[1:]:
        cluster.crash(name, 5.0)
    cluster.run(20.0)  # every node owns some keys again
    assert len({node for kind in OWNERSHIP_PREFIXES for node in owners(cluster, kind)}) == 3
    crashed_at = cluster.now
    crash_all_controllers(cluster, lambda name: downtime_s if name == "n1" else 25.0)
    cancel_some_jobs(cluster, within_s=2.0)
    cluster.run(20.0)
    assert {node for kind in OWNERSHIP_PREFIXES for node in new_owners(cluster, kind, crashed_at)} == {"n1"}
    cluster.run(20.0)
    crash_all_controllers(cluster, lambda name: cluster.rng.uniform(0.05, 1.0))
    cluster.run(10.0)
    recover(cluster)


@pytest.mark.parametrize("with_outage", [False, True])
@pytest.mark.parametrize("kind", OWNERSHIP_PREFIXES)
def test_jobs_finish_after_ten_failovers_in_two_minutes(kind, with_outage):
    cluster = busy_cluster(6, expected_s=12.0, jobs=30)
    crashes_began_at = cluster.now
    crash_owners_repeatedly(cluster, kind, 10, 12.0)
    if with_outage:
        cluster.call_later(30.0, lambda: cluster.state.set_down(True))
        cluster.call_later(68.0, lambda: cluster.state.set_down(False))
    cancel_some_repeatedly(cluster, 6, 18.0)
    cluster.run(130.0)
    assert len(new_owners(cluster, kind, crashes_began_at)) >= (5 if with_outage else 10)
    recover(cluster)


@pytest.mark.parametrize("seed", SEEDS)
def test_jobs_finish_after_all_controllers_are_down_longer_than_a_lease(seed):
    cluster = busy_cluster(seed, expected_s=15.0)
    busy_count = len(busy_machines(cluster))
    expired_before = cluster.network.event_counts["lease expired"]
    cancel_some_jobs(cluster, share=0.3)
    cluster.run(0.3)
    crash_all_controllers(cluster, lambda name: 1.6 * LEASE_S + (0.0 if name == "n0" else 3.0))
    cluster.run(40.0)
    assert cluster.network.event_counts["lease expired"] - expired_before >= busy_count > 0
    recover(cluster)


def _failover_with_unreachable_machines(seed: int, kind: str, cause: str, duration_leases: float) -> SimulatedCluster:
    """Crash an owner while half of the machines with long tasks are cut off or get no commands, then recover."""
    cluster = busy_cluster(seed, expected_s=40.0, plays=3, jobs=10)
    unreachable = busy_machines(cluster)[::2]
    for machine in unreachable:
        if cause == "no commands":
            cluster.network.command_blackholes.add(machine.name)
        for name in cluster.node_names if cause == "cut" else ():
            cluster.network.cut(name, machine.name)
    fault_began_at = cluster.now
    cluster.run(1.0)
    cluster.crash(random_owner(cluster, kind), 3.0)
    cluster.run(duration_leases * LEASE_S)
    assert unreachable and new_owners(cluster, kind, fault_began_at)
    assert cause == "no commands" or cluster.network.event_counts["packet cut off"] > 0
    cluster.network.command_blackholes.clear()
    cluster.network.heal()
    cluster.run(LEASE_S)
    return recover(cluster)


@pytest.mark.parametrize("duration_leases", [0.6, 2.0])
@pytest.mark.parametrize("cause", ["cut", "no commands"])
@pytest.mark.parametrize("kind", ["team", "partition"])
def test_long_tasks_on_unreachable_machines_finish_after_failover(kind, cause, duration_leases):
    _failover_with_unreachable_machines(7, kind, cause, duration_leases)


def failover_at_quota(seed: int) -> SimulatedCluster:
    """Crash the owner of a team at its limit while half of its machines are cut off; cancel jobs, then recover."""
    cpu_limit = 16.0
    cluster = SimulatedCluster(seed, cpu_limit=cpu_limit)
    for _ in range(6):
        cluster.submit(plays=4, expected_s=25.0, crew="team-0", **UNIFORM_JOB)
    while sum(2.0 * len(machine.started_tasks()) for machine in machines_up(cluster)) < cpu_limit:
        cluster.run(0.1)
        assert cluster.now < 60.0
    unreachable = busy_machines(cluster)[::2]
    for machine in unreachable:
        for name in cluster.node_names:
            cluster.network.cut(name, machine.name)
    crashed_at = cluster.now
    cluster.crash(cluster.state.rows["own/home/team-0"][0]["n"], 8.0)
    cluster.call_later(2.0, lambda: cancel_some_jobs(cluster))
    for _ in range(3):
        cluster.submit(plays=2, expected_s=4.0, crew="team-0", **UNIFORM_JOB)
    cluster.run(12.0)
    assert (
        unreachable and cluster.network.event_counts["packet cut off"] > 0 and new_owners(cluster, "team", crashed_at)
    )
    cluster.network.heal()
    cluster.run(20.0)
    return recover(cluster)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_team_at_quota_recovers_from_failover_with_unreachable_machines(seed):
    failover_at_quota(seed)
