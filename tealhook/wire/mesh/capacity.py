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


class CapacityRequest(PartitionRequest, tag="ask"):
    """A request for the number of tasks that fit in a partition, and for the time until the next one fits."""

    requirements: list[TaskRequirements] = msgspec.field(name="shapes")


class CapacityReply(msgspec.Struct, tag="ask_r"):
    """The capacity for each of the requirements, in their order, and the owner's fencing token."""

    token: int
    capacities: list[Capacity] = msgspec.field(name="rooms")
