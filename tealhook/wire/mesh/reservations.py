"""Messages that reserve capacity with a partition's owner before tasks are assigned to it."""

from __future__ import annotations

import msgspec

from tealhook.wire.mesh.capacity import PartitionRequest, TaskRequirements

RESERVATION_LEASE_SHARE = 1 / 4  # share of a worker's lease after which a partition drops an unused reservation


class ReservationRequest(msgspec.Struct, array_like=True):
    """A request for capacity for `count` tasks of one job with the same requirements.

    `non_preemptible` tasks must not be stopped for others; it is set for the first task of a job that has waited for a
    long time. A machine is held for a starving job that is granted less than it requests.
    """

    job: str
    team: str
    requirements: TaskRequirements
    count: int
    within_guarantee: bool
    starving: bool
    avoided_machines: list[str]
    team_token: int
    may_preempt: bool
    non_preemptible: bool


class ReserveRequest(PartitionRequest, tag="reserve"):
    """A request to reserve capacity for tasks whose assignments are about to be recorded."""

    requests: list[ReservationRequest] = msgspec.field(name="wants")


class ReservationGrant(msgspec.Struct, array_like=True):
    """Capacity that is reserved on a machine until it is used or the reservation expires."""

    reservation_id: int
    machine: str
    session: int
    fetch_s: float


class ReserveReply(msgspec.Struct, tag="reserve_r"):
    """The reservations for each item of the request, fewer than requested where capacity is short."""

    token: int
    grants: list[list[ReservationGrant]] = msgspec.field(name="slots")
