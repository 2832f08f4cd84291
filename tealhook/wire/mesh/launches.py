"""Requests of a team's scheduler to a partition's owner to start and stop tasks with recorded assignments."""

from __future__ import annotations

import msgspec

from tealhook.wire.mesh.capacity import PartitionRequest

# The attempt has ended and its outcome is recorded, so its worker may forget it instead of stopping it.
FORGET_GRACE_PERIOD_S = -1.0


class TaskStart(msgspec.Struct, array_like=True):
    """The start of a task on its reservation, after the assignment is durable."""

    reservation_id: int
    job: str
    index: int
    attempt: int


class LaunchRequest(PartitionRequest, tag="launch"):
    """A request to start tasks on their reservations, sent after their assignments are recorded."""

    token: int
    team: str
    team_token: int = msgspec.field(name="home_token")
    starts: list[TaskStart]


class LaunchReply(msgspec.Struct, tag="launch_r"):
    """The reply to a launch request, with the ids of the reservations that were refused.

    Status updates with a higher `sequence` under this token include the accepted launches.
    """

    token: int
    sequence: int = msgspec.field(name="seq")
    refused: list[int]


class TaskStop(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """An attempt that a machine is to stop within a grace period, or to forget if the period is negative.

    It is encoded like a tuple of these five items; decoding fails if there are more or fewer.
    """

    machine: str
    job: str
    index: int
    attempt: int
    grace_period_s: float


class StopRequest(PartitionRequest, tag="stop"):
    """A request to have the workers of a zone stop or forget attempts."""

    team: str
    team_token: int = msgspec.field(name="home_token")
    items: list[TaskStop]
