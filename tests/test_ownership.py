"""Balanced assignment of partitions, teams and the fleet to live nodes."""

from itertools import combinations

from tealhook.coordination import FLEET_KEY, partition_key, team_key
from tealhook.coordination.balancing import plan_owners


def test_ownership_is_balanced_for_any_set_of_live_nodes():
    """Guards against one node that owns half of the machines while another owns none.

    When each node could own up to the rounded-up share of a kind, four partitions were assigned to three nodes as two,
    two and none.
    """
    nodes = {f"n{i}": f"z{i % 2}" for i in range(5)}
    for zones in range(1, 12):
        keys = [
            FLEET_KEY,
            *(partition_key(f"z{i}") for i in range(zones)),
            *(team_key(f"team-{i}") for i in range(2 * zones)),
        ]
        for count in range(1, 6):
            for live in combinations(nodes, count):
                plan = plan_owners(keys, {node: nodes[node] for node in live})
                assert plan.keys() == set(keys)
                for prefix in ("own/part/", "own/home/"):
                    shares = [
                        sum(key.startswith(prefix) and owner == node for key, owner in plan.items()) for node in live
                    ]
                    assert max(shares) - min(shares) <= 1
                totals = [sum(owner == node for owner in plan.values()) for node in live]
                assert max(totals) - min(totals) <= 2
