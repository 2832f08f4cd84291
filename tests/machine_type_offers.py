"""Lists of machine types that a cloud offers, too long for a single record."""

from __future__ import annotations

from tests.simulated_cluster import MACHINE_TYPES

MACHINE_TYPES_KEY = "fleet/types"


def offered_types(count: int, name_prefix: str) -> list[dict]:
    return [MACHINE_TYPES[0] | {"name": f"{name_prefix}-{i:02d}"} for i in range(count)]


def machine_type_names(machine_types: list[dict]) -> list[str]:
    return sorted(machine_type["name"] for machine_type in machine_types)
