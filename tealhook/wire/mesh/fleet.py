"""The fleet: demand and machines as its owner learns them, and what it has done with machines."""

from __future__ import annotations

import msgspec

from tealhook.wire.mesh.capacity import PartitionRequest, TaskRequirements


class FenceRequest(msgspec.Struct, tag="fence"):
    """Asks the fleet's owner to release machines, so that what ran on them has certainly ended."""

    machines: list[str]


class MachinesReleased(msgspec.Struct, tag="gone"):
    """These machines are released, and everything on them has ended."""

    machines: list[str]


class Demand(msgspec.Struct, array_like=True):
    """Waiting tasks of a team with the same requirements."""

    team: str
    requirements: TaskRequirements
    zone: str | None
    count: int
    job_class: str


class MachineState(msgspec.Struct, array_like=True):
    """A machine as its partition's owner sees it, for the fleet's owner."""

    name: str
    machine_type: str
    spot: bool
    used_cpus: float
    empty_s: float  # estimated seconds until its tasks have ended
    heartbeat_age_s: float  # seconds since its last heartbeat
    terminating: bool
    drained: bool  # given nothing more, and empty
    unhealthy: bool


class DrainRequest(PartitionRequest, tag="drain"):
    """Asks a partition's owner to place nothing more on machines that the fleet will release."""

    machines: list[str]


class TeamUsage(msgspec.Struct, array_like=True):
    """CPUs that a team's tasks take; `urgent_cpus`: those of jobs above standard priority."""

    team: str
    cpus: float
    urgent_cpus: float
    over_guarantee_cpus: float
