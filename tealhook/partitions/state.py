"""What the components of one partition share."""

from __future__ import annotations

from dataclasses import dataclass, field

from tealhook.context import NodeContext
from tealhook.jobs.index import JobIndex
from tealhook.partitions.machine import Machine
from tealhook.wire.cloud import MachineType


@dataclass(slots=True)
class PartitionState:
    """One partition under one fencing token: its machines as known by their heartbeats, and what they are judged by."""

    context: NodeContext
    zone: str
    token: int
    job_index: JobIndex
    machine_types: dict[str, MachineType]
    over_guarantee_cpus_by_team: dict[
        str, float
    ]  # team -> CPUs that it uses beyond its guarantee, as its scheduler says
    machines: dict[str, Machine] = field(default_factory=dict)
    owned_since: float = field(init=False)  # since when this node owns the partition
    capacity_view_valid_until: float = 0.0  # until when inquiries are answered from what was computed for the last one

    def __post_init__(self) -> None:
        """The node begins to own the partition now."""
        self.owned_since = self.context.effects.now()

    def mark_changed(self, machine: Machine) -> None:
        """Something on a machine changed: forget what was computed of it, and of the partition."""
        machine.mark_changed()
        self.capacity_view_valid_until = 0.0
