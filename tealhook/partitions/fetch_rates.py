"""Image fetch rates of machine types, learned from the fetches of a partition's machines."""

from __future__ import annotations

from tealhook.wire.cloud import MachineType

MEASUREMENT_WEIGHT = 0.2  # weight of a new measurement in the moving average of a machine type
MIN_FETCH_S = 0.05  # a shorter fetch counts as this long, since its duration is observed too coarsely
DEFAULT_FETCH_GB_PER_S = 1.0  # rate of machine types with neither a measured nor a published rate
MAX_PUBLISHED_RATE_RATIO = 2  # a measurement of this multiple of the published rate or more is discarded


class FetchRates:
    """The fetch rate of each machine type: the measured rate, else the published one, else a default."""

    def __init__(self, machine_types: dict[str, MachineType]) -> None:
        """Initialize without measurements; `machine_types` is kept up to date by the fleet manager."""
        self._machine_types = machine_types
        self._measured_gb_per_s: dict[str, float] = {}  # by machine type

    def gb_per_s(self, machine_type: str) -> float:
        """Return the rate at which machines of a type fetch images."""
        known_type = self._machine_types.get(machine_type)
        published_gb_per_s = known_type.fetch_gb_per_s if known_type else DEFAULT_FETCH_GB_PER_S
        return self._measured_gb_per_s.get(machine_type) or published_gb_per_s or DEFAULT_FETCH_GB_PER_S

    def record_fetch(self, machine_type: MachineType | None, image_gb: float, duration_s: float) -> None:
        """Update the rate of a machine type with the measured duration of a fetch."""
        if machine_type is None:
            return
        measured_gb_per_s = image_gb / max(duration_s, MIN_FETCH_S)
        gb_per_s = self.gb_per_s(machine_type.name)
        if measured_gb_per_s < MAX_PUBLISHED_RATE_RATIO * machine_type.fetch_gb_per_s:
            self._measured_gb_per_s[machine_type.name] = gb_per_s + MEASUREMENT_WEIGHT * (measured_gb_per_s - gb_per_s)
