"""The network: delays, losses, cuts, and packets that arrive late."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from tests.simulation.late_heartbeats import LateHeartbeats
from tests.simulation.requests import make_request
from tests.simulation.state_link import StateLink

if TYPE_CHECKING:
    from tests.simulated_cluster import SimulatedCluster


class Network:
    """Delays, losses, and cuts that hold packets and deliver them late. What really occurred is counted."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster = cluster
        self.cuts: set[frozenset[str]] = set()
        self.cut_from_workers: set[str] = set()  # controllers that are cut off from all machines, new ones too
        self.command_blackholes: set[str] = set()  # machines whose heartbeats arrive, but nothing reaches them
        self.heartbeat_blackholes: set[str] = set()  # machines that direct commands reach, but that reach no controller
        self.lost_starts = 0  # start commands that were lost on their way to such machines
        self.duplicate_share = 0.0  # chance that a copy of a heartbeat arrives late
        self.held_packets: dict[frozenset[str], list[Callable]] = {}
        self.hold_cut_packets = True
        self.max_delay_s = 0.01  # seconds that a packet may take
        self.state_loss_share = 0.0  # chance that a request to the state service goes wrong
        self.state_answer_delay_s = 0.0  # seconds by which its answers may be late
        self.late_write_share = 0.0  # chance that a transaction gets no answer and is carried out 2 to 12 s later
        self.lost_answer_share = 0.0  # chance that a transaction is carried out at once and its answer lost
        self.late_heartbeat_share = 0.0  # chance that a copy of a heartbeat arrives 2 s to three leases later, anywhere
        self.next_owner_copy_share = 0.0  # chance that a copy of a heartbeat is kept for the next owner
        self.held_heartbeat_share = 0.0  # chance that a heartbeat is kept until the next owner starts a task
        self.late_command_share = 0.0  # chance that a direct command or its answer is held up
        self.command_delay_s = (2.0, 12.0)  # for how long
        self.event_counts: Counter[str] = Counter()
        self.ownership_changes: list[tuple[float, str, str]] = []  # when, which key, which node: an ownership began
        self.late_heartbeats = LateHeartbeats(self)
        self.send_to_state = StateLink(self).send

    def cut(self, a: str, b: str) -> None:
        self.cuts.add(frozenset((a, b)))

    def cut_peers(self) -> None:
        """All connections between controllers are refused."""
        self.hold_cut_packets = False
        for one in self.cluster.node_names:
            for other in self.cluster.node_names:
                if one != other:
                    self.cut(one, other)

    def cut_node(self, node: str) -> None:
        """A controller loses the state service and its peers, not its workers or users."""
        self.cut(node, "state")
        for other in self.cluster.node_names:
            if other != node:
                self.cut(node, other)

    def cut_zone(self, zone: str, node: str) -> None:
        """A zone with its machines and one controller in it is cut off from all else."""
        self.cut_node(node)
        self.cut(node, "cloud")
        self.cut(node, "users")
        for machine in self.cluster.cloud.machines.values():
            for other in self.cluster.node_names:
                if (machine.zone == zone) != (other == node):
                    self.cut(machine.name, other)

    def heal(self) -> None:
        self.cuts.clear()
        self.cut_from_workers.clear()
        held, self.held_packets = self.held_packets, {}
        for calls in held.values():
            for call in calls:
                self.cluster.call_later(self.cluster.rng.uniform(0.0, 0.3), call)

    def end_faults(self) -> None:
        """End all faults of the network."""
        self.heal()
        self.command_blackholes.clear()
        self.heartbeat_blackholes.clear()
        self.duplicate_share = self.state_loss_share = self.state_answer_delay_s = self.late_write_share = (
            self.lost_answer_share
        ) = 0.0
        self.late_heartbeat_share = self.next_owner_copy_share = self.held_heartbeat_share = self.late_command_share = (
            0.0
        )

    def chance(self, share: float) -> bool:
        """Draws only while the fault lasts, so that seeded runs without it stay the same."""
        return share > 0.0 and self.cluster.rng.random() < share

    def deliver(self, a: str, b: str, call: Callable) -> None:
        if b in self.command_blackholes:
            return
        pair = frozenset((a, b))
        if pair in self.cuts or self._cut_from_workers(a, b):
            self.event_counts["packet cut off"] += 1
            if self.hold_cut_packets:
                self.held_packets.setdefault(pair, []).append(call)
            return
        self.cluster.call_later(self.cluster.rng.uniform(0.0005, self.max_delay_s), call)

    def _cut_from_workers(self, a: str, b: str) -> bool:
        machines = self.cluster.cloud.machines
        return a in self.cut_from_workers and b in machines or b in self.cut_from_workers and a in machines

    # -- services

    def on_change(self, key: str, value: Any, _epoch: int) -> None:
        """The state service wrote a key; a change of owner is recorded and triggers what waits for it."""
        if not key.startswith("own/") or key.startswith("own/node/"):
            return
        self.ownership_changes.append((self.cluster.now, key, value["n"]))
        if key.startswith("own/part/"):
            self.late_heartbeats.deliver_to_next_owner(key[len("own/part/") :])

    def send_to_cloud(self, node: str, method: str, target: str, body: bytes | None, answer: Callable) -> None:
        cluster = self.cluster

        def arrive() -> None:
            lost = cluster.rng.random() < self.state_loss_share / 3
            cluster.cloud.handle(
                method,
                target,
                body,
                lambda status, data: None if lost else self.deliver(node, "cloud", lambda: answer(status, data)),
            )

        cluster.call_later(cluster.rng.uniform(0.02, 0.2), lambda: self.deliver(node, "cloud", arrive))

    # -- controllers and workers

    def send_to_node(self, who: str, node: str, method: str, target: str, body: bytes | None, answer: Callable) -> None:
        cluster = self.cluster
        if who in self.heartbeat_blackholes:
            self.event_counts["heartbeat lost"] += 1
            if cluster.rng.random() < 0.5:  # refused, else it waits in vain
                cluster.call_later(0.01, lambda: answer(None, b""))
            return
        is_report = target == "/v1/report"
        if is_report and self.chance(self.held_heartbeat_share):
            self.late_heartbeats.hold_back(node, body)
            return
        self.deliver(who, node, lambda: self._arrive(who, node, method, target, body, answer))
        if is_report:
            self.late_heartbeats.duplicate(node, body)

    def _arrive(self, who: str, node: str, method: str, target: str, body: bytes | None, answer: Callable) -> None:
        """A request is at a controller, or where it ran."""
        cluster = self.cluster
        controller = cluster.controllers.get(node)
        if controller is None:
            cluster.call_later(0.01, lambda: answer(None, b""))
            return
        life = cluster.incarnations[node]

        def reply(status: int, data: bytes = b"{}", _retry_after: int | None = None) -> None:
            if who in self.command_blackholes:
                self.lost_starts += data.count(b'"launch"')
            if target == "/v1/report":
                self.late_heartbeats.answered(node, who, data)
            if cluster.incarnations.get(node) == life:
                self.deliver(node, who, lambda: answer(status, data))

        request = make_request(method, target, body, cluster.running_versions[node])
        cluster.run_when_resumed(node, lambda: controller.on_request(request, reply))

    def send_to_worker(
        self, node: str, addr: str, method: str, target: str, body: bytes | None, answer: Callable
    ) -> None:
        cluster = self.cluster
        worker = next((w for w in cluster.cloud.machines.values() if w.addr == addr), None)
        if worker is None:
            return
        late = self.chance(self.late_command_share)
        wait = cluster.rng.uniform(*self.command_delay_s) if late else 0.0
        on_the_way = late and cluster.rng.random() < 0.6
        sent = cluster.now

        def back(status: int, data: bytes) -> None:
            if method == "POST" and cluster.now - sent > 2.0:
                self.event_counts["late command"] += 1
                self.event_counts[f"late command: {status}"] += 1
            if worker.name in self.heartbeat_blackholes:
                self.event_counts["command reached a machine without heartbeats"] += 1
            if late and not on_the_way:
                self.event_counts["late answer to a command"] += 1
                cluster.call_later(wait, lambda: self.deliver(worker.name, node, lambda: answer(status, data)))
            else:
                self.deliver(worker.name, node, lambda: answer(status, data))

        def arrive() -> None:
            if worker.name in cluster.cloud.machines:
                worker.handle_request(method, target, body, back)

        def leave() -> None:
            self.deliver(node, worker.name, arrive)

        if on_the_way:
            cluster.call_later(wait, leave)
        else:
            leave()

    def send_mesh_frame(self, sender: str, peer: str, frame: bytes) -> None:
        def arrive() -> None:
            controller = self.cluster.controllers.get(peer)
            if controller is not None:
                self.cluster.run_when_resumed(peer, lambda: controller.mesh.on_frame(frame))

        self.deliver(sender, peer, arrive)
