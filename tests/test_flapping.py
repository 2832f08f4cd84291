"""Flapping: a controller that loses the state store repeatedly is not given its keys back each time."""

from __future__ import annotations

import pytest

from tealhook.coordination import stability
from tealhook.coordination.stability import MembershipStability
from tests.simulated_cluster import SimulatedCluster
from tests.user_requests import UNIFORM_JOB

LEASE_S = 3.0


def test_required_stable_time_doubles_per_loss_of_same_node_and_expires():
    nodes = {"a", "b", "c"}
    membership = MembershipStability(LEASE_S, 0.0)
    stable_after_s = []
    for start in (10.0, 40.0, 70.0, 100.0):
        membership.record_change(nodes, nodes - {"a"}, start)
        membership.record_change(nodes - {"a"}, nodes, start + 1.0)
        waited = 0.0
        while not membership.is_stable(start + 1.0 + waited):
            waited += 0.5
        stable_after_s.append(waited)
    assert stable_after_s == [6.5, 12.5, 24.5, 24.5]
    membership.record_change(nodes, nodes - {"a"}, 400.0)
    assert not membership.is_stable(406.0) and membership.is_stable(406.5)


def test_rolling_restart_is_not_flapping():
    """Losses of different nodes do not add up, so restarting all of them in turn does not lengthen the stable time."""
    nodes = {"a", "b", "c"}
    membership = MembershipStability(LEASE_S, 0.0)
    for position, node in enumerate(sorted(nodes)):
        membership.record_change(nodes, nodes - {node}, 10.0 * position)
        membership.record_change(nodes - {node}, nodes, 10.0 * position + 1.0)
    assert membership.is_stable(21.0 + 6.5)


def _count_owner_changes(seed: int) -> int:
    """Count changes of owners while the state store refuses one node five times in two minutes."""
    cluster = SimulatedCluster(seed, cpu_limit=64.0)
    cluster.run(30.0)
    for i in range(12):
        cluster.call_later(9.0 * i, lambda: cluster.submit(plays=4, expected_s=6.0, **UNIFORM_JOB))
    before = len(cluster.network.ownership_changes)
    for i in range(5):
        cluster.call_later(24.0 * i, lambda: cluster.state.refused_nodes.add("n0"))
        cluster.call_later(24.0 * i + 6.0, lambda: cluster.state.refused_nodes.discard("n0"))
    cluster.run(120.0)
    changes = len(cluster.network.ownership_changes) - before
    cluster.run(90.0)
    assert cluster.unfinished_jobs() == []
    owners = {row[0]["n"] for key, row in cluster.state.rows.items() if key.startswith("own/home/")}
    assert owners == set(cluster.node_names)  # the refused node has its share again at the end
    return changes


@pytest.mark.parametrize("seed", range(81, 84))
def test_ownership_of_flapping_node_is_not_handed_back(seed, monkeypatch):
    with_backoff = _count_owner_changes(seed)
    monkeypatch.setattr(stability, "MAX_STABILITY_DOUBLINGS", 0)
    assert with_backoff < 0.75 * _count_owner_changes(seed)
