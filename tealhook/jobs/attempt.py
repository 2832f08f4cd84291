"""An attempt, which is one assignment of a task to a machine."""

from __future__ import annotations

import enum

from tealhook.placement import PlacementEstimate
from tealhook.wire.workers import TaskStatus

NO_CHUNK = -1  # the chunk of an attempt that no chunk of the assignment record is known to list


class AttemptState(enum.Enum):
    """The progress of an attempt, as known to its team's scheduler."""

    ASSIGNED = "assigned"  # its machine has not reported it yet
    STARTING = "starting"  # on its machine, but not executing yet: it fetches its image
    RUNNING = "running"  # executing, or writing a checkpoint before it stops

    @classmethod
    def from_task_status(cls, status: str) -> AttemptState:
        """Return the state of an attempt whose machine reports a status other than exited."""
        return cls.RUNNING if status in _RUNNING_STATUSES else cls.STARTING


_RUNNING_STATUSES = frozenset({TaskStatus.RUNNING, TaskStatus.CHECKPOINTING})


class Attempt:
    """A task's assignment to a machine, which is made durable before the task is launched."""

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
        """Initialize attempt `number` of task `index`, on a machine in its current session."""
        self.index = index
        self.number = number
        self.machine = machine
        self.session = session
        self.zone = zone
        self.partition_token = partition_token  # the fencing token of the partition when it reserved the capacity
        self.state = AttemptState.ASSIGNED
        self.estimate: PlacementEstimate | None = None  # None if the attempt was read from the assignment record
        self.reservation_id = 0
        # Only status updates under `partition_token` with a higher sequence number can prove that the attempt is absent
        # from its machine. None as long as the outcome of the launch is unknown.
        self.acknowledged_sequence: int | None = None
        # The reservation expires at this time; before it, a launch in flight may still reach the partition.
        self.launch_expires_at = 0.0
        self.assigned_at = assigned_at
        self.is_stopping = False
        self.chunk = 0  # the chunk of the job's assignment record that lists this attempt
