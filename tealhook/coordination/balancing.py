"""Which of the live nodes should own each ownership key: pure functions."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from tealhook.coordination.ownership_keys import FLEET_KEY, PARTITION_PREFIX


def plan_owners(keys: Iterable[str], nodes: dict[str, str]) -> dict[str, str]:
    """Rendezvous hashing with even shares of each kind of key; a partition prefers nodes of its own zone.

    `nodes` maps live nodes to their zones. Every node with the same view computes the same plan.
    """
    plan: dict[str, str] = {}
    if not nodes:
        return plan
    owned_count = dict.fromkeys(nodes, 0)  # of all kinds
    for kind, kind_keys in sorted(_group_by_kind(keys).items(), reverse=True):  # partitions first: the most work
        quotas = _quotas(kind, len(kind_keys), nodes, owned_count)
        for key in sorted(kind_keys, key=lambda key: not any(_is_local(key, zone) for zone in nodes.values())):
            owner = min((node for node in nodes if quotas[node] > 0), key=lambda node: _preference(key, node, nodes))
            plan[key] = owner
            quotas[owner] -= 1
            owned_count[owner] += 1
    return plan


def _group_by_kind(keys: Iterable[str]) -> dict[str, list[str]]:
    """Sorted keys by what they are of: the partitions, the teams, the fleet."""
    kinds: dict[str, list[str]] = {}
    for key in sorted(keys):
        kinds.setdefault(key.rsplit("/", 1)[0] if key != FLEET_KEY else FLEET_KEY, []).append(key)
    return kinds


def _quotas(kind: str, key_count: int, nodes: dict[str, str], owned_count: dict[str, int]) -> dict[str, int]:
    """How many keys of a kind each node is to own.

    The remainder goes to the nodes that own least of the kinds before, one key each: shares may not differ by two.
    """
    even, remainder = divmod(key_count, len(nodes))
    quotas = dict.fromkeys(nodes, even)
    for node in sorted(nodes, key=lambda node: (owned_count[node], _hash(kind, node)))[:remainder]:
        quotas[node] += 1
    return quotas


def _preference(key: str, node: str, nodes: dict[str, str]) -> tuple[bool, bytes]:
    """Lowest for the node that should own a key, if its quota allows."""
    return not _is_local(key, nodes[node]), _hash(key, node)


def _is_local(key: str, zone: str) -> bool:
    return key.startswith(PARTITION_PREFIX) and zone == key[len(PARTITION_PREFIX) :]


def _hash(key: str, node: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{node}".encode(), digest_size=8).digest()
