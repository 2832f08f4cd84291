"""Keys of ownership records in the state store.

The keys are shared with controllers of other versions and therefore fixed: `own/part/` is the prefix of partitions, and
`own/home/` that of teams, whose owner runs the team's scheduler.
"""

from __future__ import annotations

OWNERSHIP_PREFIX = "own/"
NODE_PREFIX = "own/node/"  # registrations of the nodes themselves
PARTITION_PREFIX = "own/part/"
TEAM_PREFIX = "own/home/"
FLEET_KEY = "own/fleet"


def partition_key(zone: str) -> str:
    """Return the ownership key of a zone's partition."""
    return PARTITION_PREFIX + zone


def team_key(team: str) -> str:
    """Return the ownership key of a team's scheduler."""
    return TEAM_PREFIX + team


def node_key(node: str) -> str:
    """Return the key of a node's registration."""
    return NODE_PREFIX + node
