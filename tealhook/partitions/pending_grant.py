"""A reservation request while it is being served."""

from __future__ import annotations

from dataclasses import dataclass, field

from tealhook.partitions.machine import required_resources
from tealhook.partitions.packing import PackingOrder
from tealhook.wire import mesh
from tealhook.wire.common import Resources


@dataclass(slots=True)
class PendingGrant:
    """What is asked for, what has been granted of it so far, and what is free on the machines meanwhile."""

    request: mesh.ReservationRequest
    packing: PackingOrder
    now: float
    granted: list[mesh.ReservationGrant] = field(default_factory=list)
    required: Resources = field(init=False)  # by one task

    def __post_init__(self) -> None:
        """Nothing is granted yet."""
        self.required = required_resources(self.request.requirements)

    @property
    def missing(self) -> int:
        """How many tasks have no reservation yet."""
        return self.request.count - len(self.granted)
