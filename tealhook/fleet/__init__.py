"""The fleet manager: rents machines from the cloud, drains and releases them."""

from tealhook.fleet.manager import FleetManager

__all__ = ["FleetManager"]
