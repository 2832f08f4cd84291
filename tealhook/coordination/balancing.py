"""Balanced assignment of ownership keys to live nodes, as pure functions."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from tealhook.coordination.ownership_keys import FLEET_KEY, PARTITION_PREFIX


def plan_owners(keys: Iterable[str], nodes: dict[str, str]) -> dict[str, str]:
    """Return the planned owner of each key, by rendezvous hashing with an even share of each kind of key per node.

    `nodes` maps live nodes to their zones; a partition prefers the nodes of its own zone. The plan depends only on the
    arguments, so nodes that see the same live nodes and keys compute the same plan.
    """
    plan: dict[str, str] = {}
    if not nodes:
        return plan
    planned_count = dict.fromkeys(nodes, 0)  # keys of all kinds planned for each node so far
    # In reverse order partitions come first: they cause the most work, so they are spread before teams and the fleet.
    for kind, kind_keys in sorted(_group_by_kind(keys).items(), reverse=True):
        quotas = _compute_quotas(kind, len(kind_keys), nodes, planned_count)
        # Partitions that have a node in their zone choose first.
        for key in sorted(kind_keys, key=lambda key: not any(_is_local(key, zone) for zone in nodes.values())):
            owner = min(
                (node for node in nodes if quotas[node] > 0), key=lambda node: _preference_rank(key, node, nodes)
            )
            plan[key] = owner
            quotas[owner] -= 1
            planned_count[owner] += 1
    return plan


def _group_by_kind(keys: Iterable[str]) -> dict[str, list[str]]:
    """Group sorted keys by kind: partitions, teams and the fleet."""
    kinds: dict[str, list[str]] = {}
    for key in sorted(keys):
        kinds.setdefault(key.rsplit("/", 1)[0] if key != FLEET_KEY else FLEET_KEY, []).append(key)
    return kinds


def _compute_quotas(kind: str, key_count: int, nodes: dict[str, str], planned_count: dict[str, int]) -> dict[str, int]:
    """Return the number of keys of a kind that each node should own.

    The quotas of one kind differ by at most one. The remainder of the division goes to the nodes with the fewest
    planned keys of the kinds before.
    """
    even_share, remainder = divmod(key_count, len(nodes))
    quotas = dict.fromkeys(nodes, even_share)
    for node in sorted(nodes, key=lambda node: (planned_count[node], _hash(kind, node)))[:remainder]:
        quotas[node] += 1
    return quotas


def _preference_rank(key: str, node: str, nodes: dict[str, str]) -> tuple[bool, bytes]:
    """Return a sort key that is lowest for the preferred owner of a key."""
    return not _is_local(key, nodes[node]), _hash(key, node)


def _is_local(key: str, zone: str) -> bool:
    """Check whether a key is that of the zone's partition."""
    return key.startswith(PARTITION_PREFIX) and zone == key[len(PARTITION_PREFIX) :]


def _hash(key: str, node: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{node}".encode(), digest_size=8).digest()
