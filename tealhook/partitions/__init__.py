"""Parts: the machines of one zone, their reports, room, commands and drain."""

from tealhook.partitions.manager import PartitionManager

__all__ = ["PartitionManager"]
