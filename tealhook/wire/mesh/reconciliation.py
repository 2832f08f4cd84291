"""Reconciliation: what runs on machines, as a team's scheduler learns it from partition owners."""

from __future__ import annotations

import msgspec

from tealhook.wire.mesh.capacity import PartitionRequest

LAUNCHING = "launching"  # the status of an observed task whose launch is not resolved


class ObservedTask(msgspec.Struct, array_like=True):
    """A task on a machine; `status`: as its worker reports it, or `LAUNCHING`."""

    job: str
    index: int
    attempt: int
    status: str
    cause: str | None = None


class StatusUpdate(msgspec.Struct, tag="news"):
    """All tasks of one team on one machine, as of its heartbeat (`session`, `heartbeat_sequence`).

    `sequence` numbers the updates of a partition's owner under one token, since two connections may deliver them out
    of order.
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
    """A team's scheduler asks for the status of machines; its token ends launches by earlier owners of the team.

    `known_sequences`: the newest update that it has of each machine; only newer ones are sent. 0: all of them again.
    """

    team: str
    team_token: int = msgspec.field(name="home_token")
    machines: list[str]
    known_sequences: list[int] = msgspec.field(name="heard")


class ReconcileReply(msgspec.Struct, tag="look_r"):
    """`silent_s`: seconds since each machine's last heartbeat; -1: none under this token.

    `mostly_reporting`: most of the partition's machines send heartbeats, so the machines that do not are not merely cut
    off together with the partition.
    """

    token: int
    sequence: int = msgspec.field(name="seq")
    silent_s: list[float] = msgspec.field(name="silent")
    owned_s: float
    mostly_reporting: bool = msgspec.field(default=False, name="lone")
