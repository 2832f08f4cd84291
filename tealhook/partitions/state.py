"""State that the components of one partition share."""

from __future__ import annotations

from dataclasses import dataclass, field

from tealhook.context import NodeContext
from tealhook.jobs.index import JobIndex
from tealhook.partitions.machine import Machine
from tealhook.wire.cloud import MachineType


@dataclass(slots=True)
class PartitionState:
    """One partition under one fencing token: its machines as heartbeats show them, and data on jobs and teams."""

    context: NodeContext
    zone: str
    token: int
    job_index: JobIndex
    machine_types: dict[str, MachineType]
    over_guarantee_cpus_by_team: dict[str, float]  # CPUs beyond each team's guarantee, as its scheduler reports them
    machines: dict[str, Machine] = field(default_factory=dict)
    owned_since: float = field(init=False)  # when this node became the owner of the partition
    capacity_view_valid_until: float = 0.0  # end of the validity of the view that inquiries share

    def __post_init__(self) -> None:
        """Take the present time as the beginning of the ownership."""
        self.owned_since = self.context.effects.now()

    def mark_changed(self, machine: Machine) -> None:
        """Discard the results that were computed from a machine, for itself and for the partition."""
        machine.mark_changed()
        self.capacity_view_valid_until = 0.0
