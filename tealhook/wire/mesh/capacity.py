"""Capacity of partitions: how many tasks of given requirements fit, and when."""

from __future__ import annotations

import msgspec


class TaskRequirements(msgspec.Struct, array_like=True, frozen=True):
    """The resources that a task needs, and which machines it may use; tasks with equal ones are placed alike."""

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
    """Base of all messages to the owner of a partition."""

    zone: str


class Capacity(msgspec.Struct, array_like=True):
    """How many tasks of given requirements fit now, with and without the image in the machine's cache.

    `next_free_s`: seconds until the next of them fits.
    """

    cached: int
    uncached: int
    next_free_s: float
    fetch_gb_per_s: float


class CapacityRequest(PartitionRequest, tag="ask"):
    """Asks a partition's owner how many tasks fit, and when the next one will."""

    requirements: list[TaskRequirements] = msgspec.field(name="shapes")


class CapacityReply(msgspec.Struct, tag="ask_r"):
    """One capacity for each of the requirements, in their order, and the owner's fencing token."""

    token: int
    capacities: list[Capacity] = msgspec.field(name="rooms")
