"""The simulated network: delays, losses, cuts, and packets that arrive late."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from tests.simulation.late_copies import LateCopies
from tests.simulation.late_heartbeats import LateHeartbeats
from tests.simulation.requests import make_request
from tests.simulation.state_link import StateLink

if TYPE_CHECKING:
    from tests.simulated_cluster import SimulatedCluster


class Network:
    """The network of a cluster, with faults that can be switched on; it counts the faults that really occurred."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster = cluster
        self.cuts: set[frozenset[str]] = set()  # pairs of endpoints that do not reach each other
        self.cut_from_workers: set[str] = set()  # controllers that are cut off from all machines, also later ones
        self.command_blackholes: set[str] = set()  # machines that nothing reaches, although their heartbeats arrive
        self.heartbeat_blackholes: set[str] = set()  # machines that reach no controller, although commands reach them
        self.lost_starts = 0  # start commands that were lost on their way to machines in `command_blackholes`
        self.duplicate_share = 0.0  # share of heartbeats of which a copy arrives late
        self.held_packets: dict[frozenset[str], list[Callable]] = {}  # pair -> packets held until the cut ends
        self.hold_cut_packets = True  # whether cuts hold packets and deliver them in the end, or lose them
        self.max_delay_s = 0.01  # maximum delay of a packet
        # Share of requests to the state store that are lost, late or not answered.
        # The share of the cloud's answers that are lost is a third of it.
        self.state_loss_share = 0.0
        self.state_answer_delay_s = 0.0  # maximum additional delay of answers of the state store
        self.late_write_share = 0.0  # share of transactions that get no answer and are applied 2 to 12 s later
        self.lost_answer_share = 0.0  # share of transactions that are applied at once, but whose answer is lost
        self.late_heartbeat_share = 0.0  # share of heartbeats of which a copy arrives 2 s to 3 leases later anywhere
        self.next_owner_copy_share = 0.0  # share of heartbeats of which a copy is kept for the next owner
        self.held_heartbeat_share = 0.0  # share of heartbeats that are held until the next owner starts a task
        self.late_command_share = 0.0  # share of direct commands of which the request or the answer is delayed
        self.command_delay_s = (2.0, 12.0)  # range of that delay
        self.mesh_copy_share = 0.0  # share of frames between controllers of which copies arrive late
        self.mesh_delay_share = 0.0  # share of these frames that are delayed by up to 3 s
        self.mesh_loss_share = 0.0  # share of these frames that are lost
        self.response_copy_share = 0.0  # share of the responses to heartbeats of which a copy arrives late
        self.command_copy_share = 0.0  # share of direct commands of which a copy arrives late
        self.direct_starts = 0  # start commands that were sent directly, so that they could be executed late
        self.event_counts: Counter[str] = Counter()
        self.ownership_changes: list[tuple[float, str, str]] = []  # time, key and new owner
        self.late_heartbeats = LateHeartbeats(self)
        self.late_copies = LateCopies(self)
        self.send_to_state = StateLink(self).send

    def cut(self, a: str, b: str) -> None:
        self.cuts.add(frozenset((a, b)))

    def cut_peers(self) -> None:
        """Cut all connections between controllers and lose their packets."""
        self.hold_cut_packets = False
        for node in self.cluster.node_names:
            for other in self.cluster.node_names:
                if node != other:
                    self.cut(node, other)

    def cut_node(self, node: str) -> None:
        """Cut a controller from the state store and its peers, but not from workers and users."""
        self.cut(node, "state")
        for other in self.cluster.node_names:
            if other != node:
                self.cut(node, other)

    def cut_zone(self, zone: str, node: str) -> None:
        """Cut the machines of a zone, together with one controller, from everything else."""
        self.cut_node(node)
        self.cut(node, "cloud")
        self.cut(node, "users")
        for machine in self.cluster.cloud.machines.values():
            for other in self.cluster.node_names:
                if (machine.zone == zone) != (other == node):
                    self.cut(machine.name, other)

    def heal(self) -> None:
        """End all cuts and deliver the packets that they held."""
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
        self.end_copies()

    def end_copies(self) -> None:
        """End the losses, delays and copies of messages; copies that are under way still arrive."""
        self.mesh_copy_share = self.mesh_delay_share = self.mesh_loss_share = 0.0
        self.response_copy_share = self.command_copy_share = 0.0

    def chance(self, share: float) -> bool:
        """Return True with this probability; draw only while the share is positive, which keeps other runs the same."""
        return share > 0.0 and self.cluster.rng.random() < share

    def deliver(self, sender: str, receiver: str, call: Callable) -> None:
        """Run `call` as the arrival of a packet, unless a fault holds or loses the packet."""
        if receiver in self.command_blackholes:
            return
        pair = frozenset((sender, receiver))
        if pair in self.cuts or self._is_cut_from_workers(sender, receiver):
            self.event_counts["packet cut off"] += 1
            if self.hold_cut_packets:
                self.held_packets.setdefault(pair, []).append(call)
            return
        self.cluster.call_later(self.cluster.rng.uniform(0.0005, self.max_delay_s), call)

    def _is_cut_from_workers(self, a: str, b: str) -> bool:
        machines = self.cluster.cloud.machines
        return a in self.cut_from_workers and b in machines or b in self.cut_from_workers and a in machines

    # -- services

    def on_state_change(self, key: str, value: Any, _revision: int) -> None:
        """Record a change of owner that the state store has stored, and deliver the heartbeats kept for it."""
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

    def send_to_node(
        self, sender: str, node: str, method: str, target: str, body: bytes | None, answer: Callable
    ) -> None:
        """Send a request of a machine or of the users to a controller."""
        cluster = self.cluster
        if sender in self.heartbeat_blackholes:
            self.event_counts["heartbeat lost"] += 1
            if cluster.rng.random() < 0.5:  # connection refused; otherwise the sender waits until its timeout
                cluster.call_later(0.01, lambda: answer(None, b""))
            return
        is_heartbeat = target == "/v1/report"
        if is_heartbeat and self.chance(self.held_heartbeat_share):
            self.late_heartbeats.hold_back(node, body)
            return
        self.deliver(sender, node, lambda: self._arrive_at_node(sender, node, method, target, body, answer))
        if is_heartbeat:
            self.late_heartbeats.duplicate(node, body)

    def _arrive_at_node(
        self, sender: str, node: str, method: str, target: str, body: bytes | None, answer: Callable
    ) -> None:
        """Pass a request to a controller; the connection is refused when its process is down."""
        cluster = self.cluster
        controller = cluster.controllers.get(node)
        if controller is None:
            cluster.call_later(0.01, lambda: answer(None, b""))
            return
        incarnation = cluster.incarnations[node]

        def reply(status: int, data: bytes = b"{}", _retry_after: int | None = None) -> None:
            if sender in self.command_blackholes:
                self.lost_starts += data.count(b'"launch"')
            if target == "/v1/report":
                self.late_heartbeats.on_heartbeat_answered(node, sender, data)
            if cluster.incarnations.get(node) == incarnation:
                self.deliver(node, sender, lambda: answer(status, data))
                if target == "/v1/report":
                    self.late_copies.repeat_response(sender, data, lambda: answer(status, data))

        request = make_request(method, target, body, cluster.running_versions[node])
        cluster.run_when_resumed(node, lambda: controller.on_request(request, reply))

    def _count_direct_starts(self, body: bytes | None) -> None:
        self.direct_starts += (body or b"").count(b'"launch"')

    def send_to_worker(
        self, node: str, addr: str, method: str, target: str, body: bytes | None, answer: Callable
    ) -> None:
        cluster = self.cluster
        worker = next((w for w in cluster.cloud.machines.values() if w.addr == addr), None)
        if worker is None:
            return
        is_late = self.chance(self.late_command_share)
        delay_s = cluster.rng.uniform(*self.command_delay_s) if is_late else 0.0
        is_request_late = is_late and cluster.rng.random() < 0.6
        sent_at = cluster.now
        self._count_direct_starts(body)

        def on_answer(status: int, data: bytes) -> None:
            if method == "POST" and cluster.now - sent_at > 2.0:
                self.event_counts["late command"] += 1
                self.event_counts[f"late command: {status}"] += 1
            if worker.name in self.heartbeat_blackholes:
                self.event_counts["command reached a machine without heartbeats"] += 1
            if is_late and not is_request_late:
                self.event_counts["late answer to a command"] += 1
                cluster.call_later(delay_s, lambda: self.deliver(worker.name, node, lambda: answer(status, data)))
            else:
                self.deliver(worker.name, node, lambda: answer(status, data))

        def arrive() -> None:
            if worker.name in cluster.cloud.machines:
                worker.handle_request(method, target, body, on_answer)

        def send() -> None:
            self.deliver(node, worker.name, arrive)
            self.late_copies.repeat_command(worker, method, target, body)

        if is_request_late:
            cluster.call_later(delay_s, send)
        else:
            send()

    def send_mesh_frame(self, sender: str, peer: str, frame: bytes) -> None:
        def arrive() -> None:
            controller = self.cluster.controllers.get(peer)
            if controller is not None:
                self.cluster.run_when_resumed(peer, lambda: controller.mesh.on_frame(frame))

        if self.chance(self.mesh_loss_share):
            self.event_counts["frame lost"] += 1
            return
        if self.chance(self.mesh_delay_share):
            delay_s = self.cluster.rng.uniform(0.0, 3.0)
            self.cluster.call_later(delay_s, lambda: self.deliver(sender, peer, arrive))
        else:
            self.deliver(sender, peer, arrive)
        self.late_copies.repeat_frame(frame, arrive)
