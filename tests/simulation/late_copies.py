"""Late copies of messages that may start tasks, on every hop, and of direct commands.

A copy arrives again after the message itself, which may have been carried out and answered. The circumstances in which
copies arrive are counted by the state of the attempt that they would start.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import TYPE_CHECKING

from tealhook.wire import mesh

if TYPE_CHECKING:
    from tests.simulation.network import Network
    from tests.standins import Worker

MAX_LATENESS_S = 90.0  # "Messages may arrive minutes late"; longer than every lease
SOON_S = 0.2  # within this time, the sender of a request still waits for the reply


class LateCopies:
    """A component of the network that repeats messages, as often as the network's shares say."""

    def __init__(self, network: Network) -> None:
        self.network = network

    def _lateness_s(self) -> float:
        """Return a random delay: often while the sender still waits, else up to minutes."""
        rng = self.network.cluster.rng
        return rng.choice([rng.uniform(0.0, SOON_S), rng.uniform(0.0, 3.0), rng.uniform(0.0, MAX_LATENESS_S)])

    def repeat_frame(self, frame: bytes, deliver: Callable[[], None]) -> None:
        """Deliver a copy of a frame between controllers, on a share of occasions; every third has several copies."""
        if not self.network.chance(self.network.mesh_copy_share):
            return
        for _ in range(self.network.cluster.rng.choice([1, 1, 3])):
            self.network.cluster.call_later(self._lateness_s(), lambda: self._deliver_frame(frame, deliver))

    def _deliver_frame(self, frame: bytes, deliver: Callable[[], None]) -> None:
        body = mesh.envelope_decoder.decode(frame).body
        if isinstance(body, mesh.LaunchRequest):
            for start in body.starts:
                self._count("launch request", f"{start.job}/{start.index}", start.attempt)
        deliver()

    def repeat_response(self, machine: str, body: bytes, deliver: Callable[[], None]) -> None:
        """Deliver a copy of the response to a heartbeat, on a share of occasions."""
        if self.network.chance(self.network.response_copy_share):
            self.network.cluster.call_later(
                self._lateness_s(), lambda: self._deliver_commands("response", machine, body, deliver)
            )

    def repeat_command(self, worker: Worker, method: str, target: str, body: bytes | None) -> None:
        """Deliver a copy of a direct command, on a share of occasions."""

        def deliver() -> None:
            worker.handle_request(method, target, body, lambda _status, _data: None)

        if self.network.chance(self.network.command_copy_share):
            self.network.cluster.call_later(
                self._lateness_s(), lambda: self._deliver_commands("direct command", worker.name, body, deliver)
            )

    def _deliver_commands(self, kind: str, machine: str, body: bytes | None, deliver: Callable[[], None]) -> None:
        worker = self.network.cluster.cloud.machines.get(machine)
        commands = json.loads(body).get("orders", []) if body else []
        for command in commands:
            if command["verb"] == "launch":
                self._count(kind, command["play"], command["try"])
        self.network.event_counts[f"copy of a {kind}"] += 1
        if worker is not None:
            deliver()

    def _count(self, kind: str, task: str, attempt: int) -> None:
        state = self._attempt_state(task, attempt)
        self.network.event_counts[f"copy of a {kind}: {state}"] += 1

    def _attempt_state(self, task: str, attempt: int) -> str:
        """Return the state of an attempt on its machine, or why no machine has it."""
        cluster = self.network.cluster
        attempts = {
            number: state
            for machine in cluster.cloud.machines.values()
            for (name, number), state in machine.tasks.items()
            if name == task
        }
        if attempt in attempts:
            state = attempts[attempt]
            return "stopped" if state["cause"] == "halted" else state["status"]
        if cluster.jobs[task.rpartition("/")[0]].cancelled_at is not None:
            return "cancelled and forgotten"
        return "moved" if attempts else "forgotten"
