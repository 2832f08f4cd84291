"""Gossip: the state that every controller sends to all others periodically."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from tealhook.wire.mesh.fleet import Demand, MachineState, TeamUsage


class JobProgress(NamedTuple):
    """Numbers of a job's tasks."""

    done: int
    running: int


class Gossip(msgspec.Struct, tag="gossip"):
    """The state of one controller, sent to every other one periodically."""

    node: str
    state_age_s: float = msgspec.field(name="state_age")
    tokens: dict[str, int] = msgspec.field(name="owned")
    usage: list[TeamUsage] = []
    demand: list[Demand] = []
    machines: dict[str, list[MachineState]] = msgspec.field(default_factory=dict, name="boxes")
    progress: dict[str, JobProgress] = {}  # of active jobs
    addresses: dict[str, dict[str, str]] = msgspec.field(
        default_factory=dict, name="addrs"
    )  # from the fleet's owner: zone -> machine -> address
    blocked: list[Demand] = []  # of jobs that may not use spot machines: tasks soon to be released,
    placed: list[Demand] = []  # and tasks that have a machine
