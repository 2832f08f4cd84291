"""Faults of machines, heartbeats and commands, combined with failovers and cancellations; each run asserts both."""

import pytest

from tests.combined_faults import (
    CANCEL_S,
    LEASE_S,
    SEEDS,
    busy_cluster,
    busy_machines,
    cancel_some_jobs,
    new_owners,
    recover,
)
from tests.infrastructure_faults import (
    OWNERSHIP_PREFIXES,
    block_heartbeats,
    hang_machine,
    random_owner,
    set_temporarily,
)
from tests.simulated_cluster import SimulatedCluster
from tests.user_requests import UNIFORM_JOB

LONG_DELAY_SEEDS = (1, 3, 4, 5)


# -- machines


@pytest.mark.parametrize("kind", OWNERSHIP_PREFIXES)
@pytest.mark.parametrize("seed", SEEDS)
def test_new_machines_start_tasks_despite_slow_writes_and_failover(seed, kind):
    cluster = SimulatedCluster(seed, cpu_limit=48.0)
    cluster.cloud.fast_provisioning, cluster.cloud.max_answer_delay_s = True, 6.0
    cluster.network.state_answer_delay_s, cluster.network.late_write_share = 0.8, 0.2
    for i in range(9):
        cluster.submit(plays=4, expected_s=12.0, crew=f"team-{i % 3}", **UNIFORM_JOB)
    while not busy_machines(cluster):
        cluster.run(0.1)
        assert cluster.now < 40.0
    new_machines = [machine.name for machine in busy_machines(cluster)]
    crashed_at = cluster.now
    cluster.crash(random_owner(cluster, kind), 12.0)
    cluster.run(6.0)
    assert any(name in cluster.cloud.machines for name in new_machines)  # they outlive the owner
    assert cluster.network.event_counts["machine up before its rental was answered"] > 0
    cluster.run(20.0)
    assert new_owners(cluster, kind, crashed_at)
    recover(cluster)


@pytest.mark.parametrize(
    # With some seeds every hung machine is released before a late command arrives; with LONG_DELAY_SEEDS it is not.
    ("seed", "direct_s"),
    [*((seed, (3.0, 12.0)) for seed in SEEDS), *((seed, (20.0, 60.0)) for seed in LONG_DELAY_SEEDS)],
)
def test_rules_hold_when_delayed_commands_reach_resumed_machines(seed, direct_s):
    """Machines hang for less or more than a lease, and kills of cancelled tasks arrive late.

    A machine may run other tasks by then.
    """
    cluster = busy_cluster(seed, expected_s=30.0, plays=4)
    cluster.network.command_delay_s, cluster.network.late_command_share = direct_s, 1.0
    for machine in busy_machines(cluster)[::2]:
        hang_machine(cluster, machine, cluster.rng.choice([0.7, 1.5]) * LEASE_S)
    cancel_some_jobs(cluster, share=1.0, within_s=3.0)
    cluster.run(4.0)
    cluster.crash(random_owner(cluster, "partition"), 0.5)
    cluster.run(8.0 + direct_s[1])
    assert cluster.network.event_counts["late command"] > 0
    recover(cluster)


@pytest.mark.parametrize("duration_leases", [0.7, 3.0])
@pytest.mark.parametrize("seed", SEEDS)
def test_cancellations_hold_during_heartbeat_loss(seed, duration_leases):
    cluster = busy_cluster(seed, expected_s=25.0, plays=4)
    blocked = busy_machines(cluster)[::2]
    block_heartbeats(cluster, blocked, duration_leases * LEASE_S)
    cluster.run(0.3 * LEASE_S)
    cancel_some_jobs(cluster, within_s=2.0)
    cluster.run(duration_leases * LEASE_S + CANCEL_S)
    assert cluster.network.event_counts["heartbeat lost"] >= len(blocked) > 0
    assert duration_leases < 1.0 or cluster.network.event_counts["lease expired"] > 0
    recover(cluster)


def test_commands_reach_machines_without_heartbeats():
    cluster = busy_cluster(1, expected_s=25.0, plays=4)
    block_heartbeats(cluster, busy_machines(cluster), 3 * LEASE_S)
    cluster.crash(random_owner(cluster, "partition"), 5.0)
    cancel_some_jobs(cluster, within_s=2.0)
    cluster.run(2 * LEASE_S)
    assert cluster.network.event_counts["command reached a machine without heartbeats"] > 0
    recover(cluster)


# -- heartbeats


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_rules_hold_with_duplicate_heartbeats_at_failover(seed):
    cluster = busy_cluster(seed, expected_s=12.0)
    cluster.network.next_owner_copy_share = 0.5
    for _ in range(2):
        cluster.run(12.0)
        crashed_at = cluster.now
        cluster.crash(random_owner(cluster, "partition"), 4.0)
        cluster.run(8.0)
        assert new_owners(cluster, "partition", crashed_at)
    assert cluster.network.event_counts["heartbeat copy for the next owner: at its owner"] > 0
    assert cluster.network.event_counts["heartbeat copy for the next owner: after newer ones"] > 0
    recover(cluster)


def delayed_heartbeats(seed: int) -> SimulatedCluster:
    """Crash a partition's owner while some heartbeats are held until the next owner has started a task."""
    cluster = busy_cluster(seed, expected_s=8.0, jobs=30, cpu_limit=24.0)
    set_temporarily(cluster, 14.0, cluster.network, "held_heartbeat_share", 0.3, 0.0)
    cluster.run(12.0)
    cluster.crash(random_owner(cluster, "partition"), 0.5 if seed % 2 else 12.0)
    cluster.run(40.0)
    assert cluster.network.event_counts["heartbeat held back"] > 0
    return recover(cluster)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_rules_hold_with_heartbeats_held_until_next_owner_starts_tasks(seed):
    delayed_heartbeats(seed)


def late_heartbeats(seed: int) -> SimulatedCluster:
    """Hang machines, some past their lease so that their tasks run elsewhere, and deliver their old heartbeats late."""
    cluster = busy_cluster(seed, expected_s=20.0, plays=4, jobs=20, cpu_limit=24.0)
    set_temporarily(cluster, 60.0, cluster.network, "late_heartbeat_share", 0.5, 0.0)
    for _ in range(3):
        for position, machine in enumerate(busy_machines(cluster)):
            hang_machine(cluster, machine, (0.5 if position % 2 else 1.2) * LEASE_S)
        cluster.run(8.0)
        cluster.crash(random_owner(cluster, "partition"), 1.0)
        cluster.run(14.0)
    event_counts = cluster.network.event_counts
    assert event_counts["late heartbeat: after newer ones"] > 0
    assert event_counts["late heartbeat: of an earlier session"] > 0
    assert event_counts["late heartbeat: of an earlier attempt"] > 0
    return recover(cluster)


@pytest.mark.parametrize("seed", SEEDS)
def test_rules_hold_with_late_heartbeats_of_earlier_sessions_and_attempts(seed):
    late_heartbeats(seed)
