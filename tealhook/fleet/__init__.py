"""The fleet: renting and returning machines."""

from tealhook.fleet.keeper import FleetKeeper

__all__ = ["FleetKeeper"]
