"""Rented machines, and the options for renting one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from tealhook.wire.cloud import MachineStatus, MachineType


class RentalOption(NamedTuple):
    """A machine type in a zone, as a spot or an on-demand machine."""

    machine_type: str
    zone: str
    spot: bool


@dataclass(slots=True)
class RentedMachine:
    """A rented machine as the fleet manager knows it."""

    name: str
    machine_type: str
    zone: str
    spot: bool
    requested_at: float
    status: str = MachineStatus.STARTING
    up_at: float = 0.0
    address: str = ""
    reported_at: float = 0.0  # when its partition's owner last reported it, or could not report any machine
    listed: bool = False
    missing_since: float | None = None  # since when the cloud's list lacks it, after it was listed


def hourly_cpu_price(machine_type: MachineType, spot: bool) -> float:
    """Return the hourly price of one CPU of a machine type."""
    return (machine_type.spot_price if spot else machine_type.hourly_price) / max(machine_type.vcpus, 1e-6)
