"""Heartbeats of workers that arrive late, twice, or at the next owner of their partition."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from tests.simulation.requests import make_request
from tests.versions import owned_partitions

if TYPE_CHECKING:
    from tests.simulation.network import Network


class Heartbeat:
    """A heartbeat, or a copy of one, that has not arrived yet."""

    __slots__ = ("machine", "zone", "node", "body", "fencing_token", "session", "sequence")

    def __init__(self, node: str, body: bytes) -> None:
        value = json.loads(body)
        self.machine, self.zone, self.fencing_token = value["box"], value["yard"], value["baton"]
        self.session, self.sequence = value["shift"], value["tick"]
        self.node, self.body = node, body


class LateHeartbeats:
    """A component of the network that delays and duplicates heartbeats, as often as the network's shares say."""

    def __init__(self, network: Network) -> None:
        self.network = network
        self._next_owner_copies: list[Heartbeat] = []  # copies that the next owner of their partition gets
        self._held_back: list[Heartbeat] = []  # heartbeats that are held until the next owner has started a task

    def duplicate(self, node: str, body: bytes) -> None:
        """Schedule or keep copies of a heartbeat that arrive later."""
        cluster, net = self.network.cluster, self.network
        lease_s = cluster.settings.params.workers.lease_s
        if cluster.rng.random() < net.duplicate_share:
            heartbeat = Heartbeat(node, body)
            cluster.call_later(
                cluster.rng.uniform(0.5, 4 * lease_s), lambda: self._arrive_late(heartbeat, node, "heartbeat copy")
            )
        if net.chance(net.late_heartbeat_share):
            heartbeat = Heartbeat(node, body)
            for other in sorted({node, cluster.rng.choice(cluster.node_names)}):
                cluster.call_later(
                    cluster.rng.uniform(2.0, 3 * lease_s),
                    lambda other=other: self._arrive_late(heartbeat, other, "late heartbeat"),
                )
        if net.chance(net.next_owner_copy_share):
            self._next_owner_copies.append(Heartbeat(node, body))

    def hold_back(self, node: str, body: bytes) -> None:
        """Hold a heartbeat until the next owner of its partition has started a task."""
        self._held_back.append(Heartbeat(node, body))

    def on_heartbeat_answered(self, node: str, machine: str, data: bytes) -> None:
        """Deliver the heartbeats held back for earlier owners of a partition once its new owner starts a task."""
        if not self._held_back or b'"launch"' not in data:
            return
        cluster, token = self.network.cluster, json.loads(data)["baton"]
        zone = next((m.zone for m in cluster.cloud.machines.values() if m.name == machine), None)
        due = [heartbeat for heartbeat in self._held_back if heartbeat.zone == zone and heartbeat.fencing_token < token]
        self._held_back = [heartbeat for heartbeat in self._held_back if heartbeat not in due]
        for heartbeat in due:
            cluster.call_later(
                cluster.rng.uniform(0.0, 2.0),
                lambda heartbeat=heartbeat: self._arrive_late(heartbeat, node, "heartbeat held back"),
            )

    def deliver_to_next_owner(self, zone: str) -> None:
        """Deliver the copies kept for a partition's next owner, to every node, as that ownership begins."""
        cluster = self.network.cluster
        due = [heartbeat for heartbeat in self._next_owner_copies if heartbeat.zone == zone]
        self._next_owner_copies = [heartbeat for heartbeat in self._next_owner_copies if heartbeat.zone != zone]
        for heartbeat in due:
            for node in cluster.node_names:
                cluster.call_later(
                    cluster.rng.uniform(0.0, 0.3),
                    lambda heartbeat=heartbeat, node=node: self._arrive_late(
                        heartbeat, node, "heartbeat copy for the next owner"
                    ),
                )

    def _arrive_late(self, heartbeat: Heartbeat, node: str, kind: str) -> None:
        """Deliver a heartbeat whose sender no longer waits for the answer, and count its circumstances."""
        cluster, event_counts = self.network.cluster, self.network.event_counts
        controller = cluster.controllers.get(node)
        if controller is None:
            return
        machine = cluster.cloud.machines.get(heartbeat.machine)
        event_counts[kind] += 1
        event_counts[f"{kind}: at its owner"] += heartbeat.zone in owned_partitions(controller)
        if machine is not None:
            event_counts[f"{kind}: after newer ones"] += machine.sequence > heartbeat.sequence
            event_counts[f"{kind}: of an earlier session"] += machine.session > heartbeat.session
            known = {(task["play"], task["try"]) for task in json.loads(heartbeat.body)["plays"]}
            names = {task for task, _ in known}
            moved = any(
                task in names and (task, attempt) not in known
                for other in cluster.cloud.machines.values()
                for task, attempt in other.tasks
            )
            event_counts[f"{kind}: of an earlier attempt"] += moved
        cluster.run_when_resumed(
            node,
            lambda: controller.on_request(
                make_request("POST", "/v1/report", heartbeat.body, cluster.running_versions[node]),
                lambda _status, _data=b"{}", _retry_after=None: None,
            ),
        )
