"""Keys of ownership records in the state store.

The strings are stored and shared with other versions: `own/part/` is the prefix of partitions, `own/home/` that of
teams, that is, of their schedulers.
"""

from __future__ import annotations

OWNERSHIP_PREFIX = "own/"
NODE_PREFIX = "own/node/"  # registrations of the nodes themselves
PARTITION_PREFIX = "own/part/"
TEAM_PREFIX = "own/home/"
FLEET_KEY = "own/fleet"


def partition_key(zone: str) -> str:
    """The ownership key of a zone's partition."""
    return PARTITION_PREFIX + zone


def team_key(team: str) -> str:
    """The ownership key of a team's scheduler."""
    return TEAM_PREFIX + team


def node_key(node: str) -> str:
    """The key under which a node is registered."""
    return NODE_PREFIX + node
