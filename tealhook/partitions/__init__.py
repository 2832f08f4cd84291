"""Partitions: the machines of a zone with their heartbeats, capacity, commands and draining."""

from tealhook.partitions.manager import PartitionManager

__all__ = ["PartitionManager"]
