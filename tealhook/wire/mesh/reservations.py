"""Reservations: capacity that a partition's owner sets aside before tasks are assigned to it."""

from __future__ import annotations

import msgspec

from tealhook.wire.mesh.capacity import PartitionRequest, TaskRequirements


class ReservationRequest(msgspec.Struct, array_like=True):
    """Asks for capacity for `count` tasks of one job with the same requirements."""

    job: str
    team: str
    requirements: TaskRequirements
    count: int
    within_guarantee: bool
    starving: bool
    avoided_machines: list[str]
    team_token: int
    may_preempt: bool
    non_preemptible: bool  # not to be stopped for others: the first task of a job that has waited for long


class ReserveRequest(PartitionRequest, tag="reserve"):
    """Reserve capacity for tasks whose assignment is about to be recorded."""

    requests: list[ReservationRequest] = msgspec.field(name="wants")


class ReservationGrant(msgspec.Struct, array_like=True):
    """Capacity reserved on a machine until it is used or expires."""

    reservation_id: int
    machine: str
    session: int
    fetch_s: float


class ReserveReply(msgspec.Struct, tag="reserve_r"):
    """The reservations made for each item of the request; fewer than requested where capacity is short."""

    token: int
    grants: list[list[ReservationGrant]] = msgspec.field(name="slots")
