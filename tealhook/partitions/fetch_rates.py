"""How fast machines fetch images: learned from the fetches of a partition's machines."""

from __future__ import annotations

from tealhook.wire.cloud import MachineType

MEASUREMENT_WEIGHT = 0.2  # of a measured fetch in the rate learned of a type
SHORTEST_FETCH_S = 0.05  # one that took less was seen too coarsely to be measured
DEFAULT_FETCH_GB_PER_S = 1.0  # of a type of which nothing is known
MAX_PUBLISHED_MULTIPLE = 2  # a measurement of that many times the published rate, or more, is not believed


class FetchRates:
    """The rate of each machine type: measured, else as published."""

    def __init__(self, machine_types: dict[str, MachineType]) -> None:
        """Nothing is measured yet; `machine_types` is kept up to date by the fleet manager."""
        self._machine_types = machine_types
        self._measured: dict[str, float] = {}  # machine type -> GB a second

    def gb_per_s(self, machine_type: str) -> float:
        """GB a second at which machines of a type fetch images."""
        known = self._machine_types.get(machine_type)
        published = known.fetch_gb_per_s if known else DEFAULT_FETCH_GB_PER_S
        return self._measured.get(machine_type) or published or DEFAULT_FETCH_GB_PER_S

    def record_fetch(self, machine_type: MachineType | None, image_gb: float, took_s: float) -> None:
        """Take a fetch that was measured on a machine of a type into its rate."""
        if machine_type is None:
            return
        measured = image_gb / max(took_s, SHORTEST_FETCH_S)
        gb_per_s = self.gb_per_s(machine_type.name)
        if measured < MAX_PUBLISHED_MULTIPLE * machine_type.fetch_gb_per_s:
            self._measured[machine_type.name] = gb_per_s + MEASUREMENT_WEIGHT * (measured - gb_per_s)
