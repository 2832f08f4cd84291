"""Messages by which a team's scheduler learns from partition owners which tasks run on machines."""

from __future__ import annotations

import msgspec

from tealhook.wire.mesh.capacity import PartitionRequest

LAUNCHING = "launching"  # the status of an observed task whose launch is not resolved


class ObservedTask(msgspec.Struct, array_like=True):
    """A task on a machine with the status that its worker reported, or `LAUNCHING`."""

    job: str
    index: int
    attempt: int
    status: str
    cause: str | None = None


class StatusUpdate(msgspec.Struct, tag="news"):
    """All tasks of one team on one machine, at the heartbeat that `session` and `heartbeat_sequence` identify.

    `sequence` numbers the updates that a partition's owner sends under one token, because two connections may deliver
    them out of order.
    """

    zone: str
    team: str
    token: int
    sequence: int = msgspec.field(name="seq")
    machine: str
    session: int = msgspec.field(name="shift")
    heartbeat_sequence: int = msgspec.field(name="tick")
    tasks: list[ObservedTask] = msgspec.field(name="seen")


class ReconcileRequest(PartitionRequest, tag="look"):
    """A request of a team's scheduler for the status of machines.

    The team's token ends launches by earlier owners of the team. `known_sequences` holds the sequence of the newest
    known update for each machine: only newer updates are sent, and 0 requests all of them again.
    """

    team: str
    team_token: int = msgspec.field(name="home_token")
    machines: list[str]
    known_sequences: list[int] = msgspec.field(name="heard")


class ReconcileReply(msgspec.Struct, tag="look_r"):
    """The reply to a reconcile request.

    `silent_s` holds the time since the last heartbeat of each machine, or -1 if none arrived under this token, and
    `owned_s` the time since the owner took over the partition. `mostly_reporting` means that most of the partition's
    machines send heartbeats, so the silent ones are not merely cut off together with the whole partition.
    """

    token: int
    sequence: int = msgspec.field(name="seq")
    silent_s: list[float] = msgspec.field(name="silent")
    owned_s: float
    mostly_reporting: bool = msgspec.field(default=False, name="lone")
