"""Ownership keys, and which of the live nodes should own each: pure functions."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

OWNERSHIP_PREFIX = "own/"
NODE_PREFIX = "own/node/"
PARTITION_PREFIX = "own/part/"
TEAM_PREFIX = "own/home/"
FLEET_KEY = "own/fleet"


def partition_key(zone: str) -> str:
    """The ownership key of a zone's part."""
    return PARTITION_PREFIX + zone


def team_key(team: str) -> str:
    """The ownership key of a team's home."""
    return TEAM_PREFIX + team


def _weight(key: str, node: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{node}".encode(), digest_size=8).digest()


def share_out(keys: Iterable[str], nodes: dict[str, str]) -> dict[str, str]:
    """Rendezvous hashing with a fair share of each kind; a part prefers nodes of its own zone.

    `nodes` maps live nodes to their zones. Every node with the same view comes to the same result.
    """
    plan: dict[str, str] = {}
    if not nodes:
        return plan
    kinds: dict[str, list[str]] = {}
    for key in sorted(keys):
        kinds.setdefault(key.rsplit("/", 1)[0] if key != FLEET_KEY else FLEET_KEY, []).append(key)
    total = dict.fromkeys(nodes, 0)
    for kind in sorted(kinds, reverse=True):  # parts first: they are the most work
        fair, extra = divmod(len(kinds[kind]), len(nodes))
        load = dict.fromkeys(nodes, 0)
        room = dict.fromkeys(nodes, fair)
        # Only so many nodes take one more, those that hold least so far: shares may not differ by two.
        for node in sorted(nodes, key=lambda n: (total[n], _weight(kind, n)))[:extra]:
            room[node] += 1

        def rank(node: str, key: str) -> tuple[bool, bytes]:
            near = key.startswith(PARTITION_PREFIX) and nodes[node] == key[len(PARTITION_PREFIX) :]
            return (not near, _weight(key, node))

        for key in sorted(kinds[kind], key=lambda k: min(rank(n, k)[0] for n in nodes)):
            best = min((node for node in nodes if load[node] < room[node]), key=lambda node: rank(node, key))
            plan[key] = best
            load[best] += 1
            total[best] += 1
    return plan
