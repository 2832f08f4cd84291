"""Faults of the network and the state store, combined with cancellations and failovers; each run asserts both.

The rules are checked after each step, as in the random runs; after recovery every accepted job must end.
"""

import pytest

from tests.combined_faults import (
    CANCEL_S,
    LEASE_S,
    SEEDS,
    busy_cluster,
    busy_machines,
    cancel_some_jobs,
    cancel_some_repeatedly,
    new_owners,
    recover,
)
from tests.infrastructure_faults import OWNERSHIP_PREFIXES, owners, random_owner, set_temporarily
from tests.simulated_cluster import SimulatedCluster

# -- network partitions


@pytest.mark.parametrize("seed, hold_cut_packets", [(1, True), (2, False), (3, True)])
def test_jobs_finish_after_zone_is_partitioned_longer_than_lease(seed, hold_cut_packets):
    cluster = busy_cluster(seed, expected_s=20.0)
    zone = max(("za", "zb"), key=lambda zone: sum(machine.zone == zone for machine in busy_machines(cluster)))
    cluster.network.hold_cut_packets = hold_cut_packets
    cluster.network.cut_zone(zone, random_owner(cluster, "partition"))
    cluster.run(2.0)
    cancel_some_jobs(cluster, within_s=5.0)
    cluster.run(1.7 * LEASE_S)
    assert cluster.network.event_counts["packet cut off"] > 20
    recover(cluster)


def _cut_owner(seed: int, kind: str) -> SimulatedCluster:
    """Cut an owner from the state store and its peers, then cancel all running jobs through the other nodes."""
    cluster = busy_cluster(seed, expected_s=60.0, plays=3, jobs=8)
    owner = random_owner(cluster, kind)
    cluster.network.hold_cut_packets = seed % 2 == 0
    cluster.network.cut_node(owner)
    cut_at = cluster.now
    cancelled = cancel_some_jobs(cluster, share=1.0, within_s=8.0)
    cluster.run(1.5 * CANCEL_S)
    assert cluster.network.event_counts["packet cut off"] > 20 and new_owners(cluster, kind, cut_at)
    assert owner not in new_owners(cluster, kind, cut_at)
    assert any(cluster.jobs[job_id].cancelled_at for job_id in cancelled)
    return recover(cluster)


@pytest.mark.parametrize("kind", OWNERSHIP_PREFIXES)
@pytest.mark.parametrize("seed", SEEDS)
def test_cancellations_hold_while_owner_reaches_only_workers_and_users(seed, kind):
    _cut_owner(seed, kind)


# -- the state store


def _busy_with_state_fault(seed: int, fault_share: str) -> SimulatedCluster:
    """Cancel some jobs while half of the transactions meet a fault; `fault_share` is the network's setting for it."""
    cluster = busy_cluster(seed, jobs=24)
    set_temporarily(cluster, 40.0, cluster.network, fault_share, 0.5, 0.0)
    cancel_some_repeatedly(cluster, 4, 8.0)
    cluster.run(60.0)
    return cluster


def late_writes(seed: int) -> SimulatedCluster:
    """Let half of the transactions get no answer and apply seconds later, some of them after newer ones."""
    cluster = _busy_with_state_fault(seed, "late_write_share")
    assert cluster.network.event_counts["late write after newer ones"] > 0
    return recover(cluster)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_rules_hold_when_unanswered_transactions_apply_after_newer_ones(seed):
    late_writes(seed)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_rules_hold_when_unanswered_writes_are_read_by_other_nodes(seed):
    cluster = _busy_with_state_fault(seed, "lost_answer_share")
    assert cluster.network.event_counts["unanswered write read by another"] > 0
    recover(cluster)


@pytest.mark.parametrize("kind", OWNERSHIP_PREFIXES)
def test_cancellations_hold_when_state_store_refuses_owner_then_fails_for_all(kind):
    """The state store answers slowly before, and jobs are cancelled just as it begins to refuse the owner."""
    cluster = busy_cluster(4, expected_s=50.0, plays=3, jobs=8)
    set_temporarily(cluster, 10.0, cluster.network, "state_answer_delay_s", 1.5, 0.0)
    cluster.run(4.0)
    refused_at, owner = cluster.now, random_owner(cluster, kind)
    cluster.state.refused_nodes = {owner}
    cancel_some_jobs(cluster, share=1.0, within_s=0.1)
    if kind == "team":
        cluster.run(1.0)
    else:  # until the owner's lease has expired and another node has taken over
        while not new_owners(cluster, kind, refused_at):
            cluster.run(0.5)
            assert cluster.now < refused_at + 15.0
    cluster.state.set_down(True)
    cluster.run(1.2 * CANCEL_S)
    assert cluster.network.event_counts["slow answer of the state store"] > 0
    assert (owner in owners(cluster, kind)) == (kind == "team")
    assert bool(new_owners(cluster, kind, refused_at)) == (kind != "team")
    cluster.state.set_down(False)
    cluster.run(5.0)
    recover(cluster)
