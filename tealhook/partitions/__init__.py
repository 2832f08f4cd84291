"""Partitions: the machines of one zone, their heartbeats, capacity, commands and drain."""

from tealhook.partitions.manager import PartitionManager

__all__ = ["PartitionManager"]
