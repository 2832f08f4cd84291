"""Messages to and from the owner of the fleet: demand, the state of machines, and releases of machines."""

from __future__ import annotations

import msgspec

from tealhook.wire.mesh.capacity import PartitionRequest, TaskRequirements


class FenceRequest(msgspec.Struct, tag="fence"):
    """A request to the fleet's owner to release machines, which guarantees that their tasks have ended."""

    machines: list[str]


class MachinesReleased(msgspec.Struct, tag="gone"):
    """A notice that machines are released, and that all tasks on them have ended."""

    machines: list[str]


class Demand(msgspec.Struct, array_like=True):
    """The number of tasks of a team with the same requirements."""

    team: str
    requirements: TaskRequirements
    zone: str | None
    count: int
    job_class: str


class MachineState(msgspec.Struct, array_like=True):
    """The state of a machine that its partition's owner reports to the fleet's owner."""

    name: str
    machine_type: str
    spot: bool
    used_cpus: float
    empty_s: float  # estimated time until all of its tasks have ended
    heartbeat_age_s: float  # time since its last heartbeat
    terminating: bool
    drained: bool  # It is empty and gets no more tasks.
    unhealthy: bool


class DrainRequest(PartitionRequest, tag="drain"):
    """A request to a partition's owner to place no more tasks on machines that the fleet will release.

    The draining of all other machines in the partition ends.
    """

    machines: list[str]


class TeamUsage(msgspec.Struct, array_like=True):
    """The CPUs that a team's tasks use; `urgent_cpus` counts those of jobs above standard priority."""

    team: str
    cpus: float
    urgent_cpus: float
    over_guarantee_cpus: float
