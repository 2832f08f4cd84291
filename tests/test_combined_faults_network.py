"""Faults of network and state service, combined with cancellations and failovers; each run asserts both.

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
from tests.infrastructure_faults import OWNERSHIP_PREFIXES, owner, owners, set_for_span
from tests.simulated_cluster import SimulatedCluster

# -- cuts


@pytest.mark.parametrize("seed, hold", [(1, True), (2, False), (3, True)])
def test_zone_with_controller_is_partitioned_longer_than_lease(seed, hold):
    world = busy_cluster(seed, expected_s=20.0)
    zone = max(("za", "zb"), key=lambda zone: sum(machine.zone == zone for machine in busy_machines(world)))
    world.network.hold_cut_packets = hold
    world.network.cut_zone(zone, owner(world, "partition"))
    world.run(2.0)
    cancel_some_jobs(world, within_s=5.0)
    world.run(1.7 * LEASE_S)
    assert world.network.event_counts["cut"] > 20
    recover(world)


def _cut_leader(seed: int, kind: str) -> SimulatedCluster:
    """The leader loses state service and peers; all that runs is cancelled through the others."""
    world = busy_cluster(seed, expected_s=60.0, plays=3, jobs=8)
    leader = owner(world, kind)
    world.network.hold_cut_packets = seed % 2 == 0
    world.network.cut_node(leader)
    now = world.now
    jobs = cancel_some_jobs(world, share=1.0, within_s=8.0)
    world.run(1.5 * CANCEL_S)
    assert world.network.event_counts["cut"] > 20 and new_owners(world, kind, now)
    assert leader not in new_owners(world, kind, now)
    assert any(world.jobs[job].cancelled_at for job in jobs)
    return recover(world)


@pytest.mark.parametrize("kind", OWNERSHIP_PREFIXES)
@pytest.mark.parametrize("seed", SEEDS)
def test_cancellation_while_leader_reaches_only_workers_and_users(seed, kind):
    _cut_leader(seed, kind)


# -- the state service


def _busy_with_state_fault(seed: int, share: str) -> SimulatedCluster:
    """Half of the transactions meet a fault, which is named by its share, while some jobs are cancelled."""
    world = busy_cluster(seed, jobs=24)
    set_for_span(world, 40.0, world.network, share, 0.5, 0.0)
    cancel_some_repeatedly(world, 4, 8.0)
    world.run(60.0)
    return world


def late_writes(seed: int) -> SimulatedCluster:
    world = _busy_with_state_fault(seed, "late_write_share")
    assert world.network.event_counts["late write after newer ones"] > 0
    return recover(world)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_unacknowledged_transactions_apply_after_newer_ones(seed):
    late_writes(seed)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_unacknowledged_writes_are_read_by_other_nodes(seed):
    world = _busy_with_state_fault(seed, "lost_answer_share")
    assert world.network.event_counts["unanswered write read by another"] > 0
    recover(world)


@pytest.mark.parametrize("kind", OWNERSHIP_PREFIXES)
def test_state_service_refuses_leader_then_fails_for_all(kind):
    """Slow before; jobs are cancelled at the very moment of the refusal."""
    world = busy_cluster(4, expected_s=50.0, plays=3, jobs=8)
    set_for_span(world, 10.0, world.network, "state_answer_delay_s", 1.5, 0.0)
    world.run(4.0)
    now, leader = world.now, owner(world, kind)
    world.state.refused_nodes = {leader}
    cancel_some_jobs(world, share=1.0, within_s=0.1)
    if kind == "team":
        world.run(1.0)
    else:  # long enough for the leader's lease to end and another node to take over
        while not new_owners(world, kind, now):
            world.run(0.5)
            assert world.now < now + 15.0
    world.state.outage(True)
    world.run(1.2 * CANCEL_S)
    assert world.network.event_counts["slow answer of the state service"] > 0
    assert (leader in owners(world, kind)) == (kind == "team")
    assert bool(new_owners(world, kind, now)) == (kind != "team")
    world.state.outage(False)
    world.run(5.0)
    recover(world)
