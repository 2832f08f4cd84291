"""A reservation request that is being served."""

from __future__ import annotations

from dataclasses import dataclass, field

from tealhook.partitions.machine import required_resources
from tealhook.partitions.packing import PackingOrder
from tealhook.wire import mesh
from tealhook.wire.common import Resources


@dataclass(slots=True)
class PendingGrant:
    """A reservation request, the reservations granted for it so far, and the resources left on the machines."""

    request: mesh.ReservationRequest
    packing: PackingOrder
    now: float
    granted: list[mesh.ReservationGrant] = field(default_factory=list)
    required: Resources = field(init=False)  # resources of one task

    def __post_init__(self) -> None:
        """Compute the resources that one task requires."""
        self.required = required_resources(self.request.requirements)

    @property
    def missing_count(self) -> int:
        """The number of tasks that have no reservation yet."""
        return self.request.count - len(self.granted)
