"""A machine that is rented, and the kinds of machine that can be."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from tealhook.wire.cloud import MachineStatus, MachineType


class RentalOption(NamedTuple):
    """One kind of machine that can be rented: a type in a zone, spot or ordinary."""

    machine_type: str
    zone: str
    spot: bool


@dataclass(slots=True)
class RentedMachine:
    """A machine that we rent."""

    name: str
    machine_type: str
    zone: str
    spot: bool
    requested_at: float
    status: str = MachineStatus.STARTING
    up_at: float = 0.0
    address: str = ""
    reported_at: float = 0.0  # when its partition's owner last reported it, or could not
    listed: bool = False
    missing_since: float | None = None  # listed before, not in any list since then


def hourly_cpu_price(machine_type: MachineType, spot: bool) -> float:
    """What a CPU of a type costs by the hour."""
    return (machine_type.spot_price if spot else machine_type.hourly_price) / max(machine_type.vcpus, 1e-6)
