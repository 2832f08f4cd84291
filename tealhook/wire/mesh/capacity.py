"""Messages about the capacity of partitions for tasks of given requirements."""

from __future__ import annotations

import msgspec


class TaskRequirements(msgspec.Struct, array_like=True, frozen=True):
    """The resources that a task needs and the machines it may use; tasks with equal requirements are placed alike."""

    vcpus: float
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    allows_spot: bool
    machine_types: tuple[str, ...]
    priority: int
    run_s: float


class MachineRestrictions(msgspec.Struct, array_like=True, frozen=True):
    """The machines that a job may not use although they meet its requirements.

    `may_use_held` is true for a starving job, which may also use capacity that is held for another one.
    """

    may_use_held: bool = True
    avoided_machines: tuple[str, ...] = ()


UNRESTRICTED = MachineRestrictions()


class PartitionRequest(msgspec.Struct):
    """Base class of all requests to the owner of a zone's partition."""

    zone: str


class Capacity(msgspec.Struct, array_like=True):
    """The numbers of tasks of given requirements that fit now, and the time until the next one fits.

    `cached` counts tasks on machines that have the image in their cache, `uncached` those on other machines.
    """

    cached: int
    uncached: int
    next_free_s: float
    fetch_gb_per_s: float


class CapacityRequest(PartitionRequest, tag="ask", omit_defaults=True):
    """A request for the number of tasks that fit in a partition, and for the time until the next one fits.

    `restrictions` has one item for each of the requirements; controllers of an earlier version send none.
    """

    requirements: list[TaskRequirements] = msgspec.field(name="shapes")
    restrictions: list[MachineRestrictions] = []


class CapacityReply(msgspec.Struct, tag="ask_r"):
    """The capacity for each of the requirements, in their order, and the owner's fencing token."""

    token: int
    capacities: list[Capacity] = msgspec.field(name="rooms")
