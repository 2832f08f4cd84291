"""Lists of machine types that a cloud offers, longer than one record may be."""

from __future__ import annotations

from tests.simulated_cluster import MACHINE_TYPES

MACHINE_TYPES_KEY = "fleet/types"


def offered_types(count: int, kind: str) -> list[dict]:
    return [MACHINE_TYPES[0] | {"name": f"{kind}-{i:02d}"} for i in range(count)]


def machine_type_names(types: list[dict]) -> list[str]:
    return sorted(machine_type["name"] for machine_type in types)
