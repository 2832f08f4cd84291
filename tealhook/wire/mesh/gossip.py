"""The state that every controller periodically sends to all others."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from tealhook.wire.mesh.fleet import Demand, MachineState, TeamUsage


class JobProgress(NamedTuple):
    """The numbers of a job's tasks that are done and running."""

    done: int
    running: int


class Gossip(msgspec.Struct, tag="gossip"):
    """The state of one controller.

    `progress` covers active jobs. `addresses` comes from the fleet's owner and maps zone -> machine -> address.
    `blocked` and `placed` count tasks of jobs that may not use spot machines: those whose dependencies are expected to
    end soon, and those that have a machine.
    """

    node: str
    state_age_s: float = msgspec.field(name="state_age")
    tokens: dict[str, int] = msgspec.field(name="owned")
    usage: list[TeamUsage] = []
    demand: list[Demand] = []
    machines: dict[str, list[MachineState]] = msgspec.field(default_factory=dict, name="boxes")
    progress: dict[str, JobProgress] = {}
    addresses: dict[str, dict[str, str]] = msgspec.field(default_factory=dict, name="addrs")
    blocked: list[Demand] = []
    placed: list[Demand] = []
