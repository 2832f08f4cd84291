"""Launches and stops: what a team's scheduler has the owner of a partition do with recorded tasks."""

from __future__ import annotations

import msgspec

from tealhook.wire.mesh.capacity import PartitionRequest

# The attempt has ended and its outcome is recorded, so its worker may forget it instead of stopping it.
FORGET_GRACE_PERIOD_S = -1.0


class TaskStart(msgspec.Struct, array_like=True):
    """Use of a reservation, after the assignment is durable."""

    reservation_id: int
    job: str
    index: int
    attempt: int


class LaunchRequest(PartitionRequest, tag="launch"):
    """Start tasks on reservations, once their assignments are recorded."""

    token: int
    team: str
    team_token: int = msgspec.field(name="home_token")
    starts: list[TaskStart]


class LaunchReply(msgspec.Struct, tag="launch_r"):
    """The reservations that were refused.

    Status updates with a higher `sequence` under this token include the launches that were taken.
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
    """Have the workers of a zone stop or forget attempts."""

    team: str
    team_token: int = msgspec.field(name="home_token")
    items: list[TaskStop]
