"""An attempt: one assignment of a task to a machine."""

from __future__ import annotations

import enum

from tealhook.placement import PlacementEstimate
from tealhook.wire.workers import TaskStatus

NO_CHUNK = -1  # the chunk of an attempt that no chunk of its job's assignment record is known to name


class AttemptState(enum.Enum):
    """How far an attempt has come, as its team's scheduler knows it."""

    ASSIGNED = "assigned"  # its machine has not shown it yet
    STARTING = "starting"  # on its machine, and not at work yet: it fetches its image
    RUNNING = "running"  # at work, or writing the checkpoint with which it stops

    @classmethod
    def from_task_status(cls, status: str) -> AttemptState:
        """Return the state of an attempt whose machine shows it with a status other than exited."""
        return cls.RUNNING if status in _RUNNING_STATUSES else cls.STARTING


_RUNNING_STATUSES = frozenset({TaskStatus.RUNNING, TaskStatus.CHECKPOINTING})


class Attempt:
    """A task's assignment to a machine, durable before it is launched."""

    __slots__ = (
        "index",
        "number",
        "machine",
        "session",
        "zone",
        "partition_token",
        "state",
        "estimate",
        "reservation_id",
        "acknowledged_sequence",
        "launch_expires_at",
        "assigned_at",
        "is_stopping",
        "chunk",
    )

    def __init__(
        self,
        index: int,
        number: int,
        machine: str,
        session: int,
        zone: str,
        partition_token: int,
        assigned_at: float,
    ) -> None:
        """Attempt `number` of task `index`, on a machine in its present session."""
        self.index = index
        self.number = number
        self.machine = machine
        self.session = session
        self.zone = zone
        self.partition_token = partition_token  # the partition's fencing token when capacity was reserved
        self.state = AttemptState.ASSIGNED
        self.estimate: PlacementEstimate | None = None  # only for tasks that this scheduler has placed itself
        self.reservation_id = 0
        # Status updates under `partition_token` prove absence only above this number; None: the launch is unresolved.
        self.acknowledged_sequence: int | None = None
        # Until then a launch of ours may still reach the partition; from then on its reservation has expired.
        self.launch_expires_at = 0.0
        self.assigned_at = assigned_at
        self.is_stopping = False
        self.chunk = 0  # of the job's assignment record that names it
