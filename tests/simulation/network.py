"""The network: delays, losses and cuts, and packets that come late."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from tests.simulation.late_heartbeats import LateReports
from tests.simulation.requests import make_request
from tests.simulation.state_link import StateLink

if TYPE_CHECKING:
    from tests.simulated_cluster import World


class Network:
    """Delays, losses, cuts that hold packets and deliver them late. What really happened is counted."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.cuts: set[frozenset[str]] = set()
        self.cut_from_workers: set[str] = set()  # controllers that are cut off from all machines, new ones too
        self.deaf: set[str] = set()  # machines whose reports arrive, but nothing reaches them
        self.mute: set[str] = set()  # machines that direct commands reach, but that reach no controller
        self.swallowed = 0  # launches that were told to deaf machines
        self.copies = 0.0  # chance that a copy of a report comes late
        self.held: dict[frozenset[str], list[Callable]] = {}
        self.hold = True
        self.slowest = 0.01  # seconds that a packet may take
        self.lossy = 0.0  # chance that a request to the state service goes wrong
        self.slow_state = 0.0  # seconds by which its answers may be late
        self.late_writes = 0.0  # chance that a transaction gets no answer and is carried out 2 to 12 s later
        self.lost_answers = 0.0  # chance that a transaction is carried out at once and its answer lost
        self.late_reports = 0.0  # chance that a copy of a report comes 2 s to three leases later, anywhere
        self.for_next = 0.0  # chance that a copy of a report is kept for the next owner of its part
        self.hold_back = 0.0  # chance that a report itself is kept until the next owner has launched something
        self.late_direct = 0.0  # chance that a direct command or its answer is held up
        self.direct_s = (2.0, 12.0)  # for how long
        self.happened: Counter[str] = Counter()
        self.begins: list[tuple[float, str, str]] = []  # when, which key, which node: an ownership began
        self.reports = LateReports(self)
        self.to_state = StateLink(self).send

    def cut(self, a: str, b: str) -> None:
        self.cuts.add(frozenset((a, b)))

    def cut_peers(self) -> None:
        """All connections between controllers are refused."""
        self.hold = False
        for one in self.world.names:
            for other in self.world.names:
                if one != other:
                    self.cut(one, other)

    def cut_node(self, node: str) -> None:
        """A controller loses the state service and its peers, not its workers or users."""
        self.cut(node, "state")
        for other in self.world.names:
            if other != node:
                self.cut(node, other)

    def cut_zone(self, zone: str, node: str) -> None:
        """A zone with its machines and one controller in it is cut off from all else."""
        self.cut_node(node)
        self.cut(node, "cloud")
        self.cut(node, "users")
        for machine in self.world.cloud.machines.values():
            for other in self.world.names:
                if (machine.yard == zone) != (other == node):
                    self.cut(machine.name, other)

    def heal(self) -> None:
        self.cuts.clear()
        self.cut_from_workers.clear()
        held, self.held = self.held, {}
        for calls in held.values():
            for call in calls:
                self.world.at(self.world.rng.uniform(0.0, 0.3), call)

    def calm(self) -> None:
        """All troubles of the network end."""
        self.heal()
        self.deaf.clear()
        self.mute.clear()
        self.copies = self.lossy = self.slow_state = self.late_writes = self.lost_answers = 0.0
        self.late_reports = self.for_next = self.hold_back = self.late_direct = 0.0

    def chance(self, share: float) -> bool:
        """Draws only while the trouble lasts, so that runs without it stay the same."""
        return share > 0.0 and self.world.rng.random() < share

    def carry(self, a: str, b: str, call: Callable) -> None:
        if b in self.deaf:
            return
        pair = frozenset((a, b))
        if pair in self.cuts or self._cut_from_workers(a, b):
            self.happened["cut"] += 1
            if self.hold:
                self.held.setdefault(pair, []).append(call)
            return
        self.world.at(self.world.rng.uniform(0.0005, self.slowest), call)

    def _cut_from_workers(self, a: str, b: str) -> bool:
        machines = self.world.cloud.machines
        return a in self.cut_from_workers and b in machines or b in self.cut_from_workers and a in machines

    # -- services

    def on_change(self, key: str, value: Any, _epoch: int) -> None:
        """The state service wrote a key. Whatever waits for a part's next owner arrives just then."""
        if not key.startswith("own/") or key.startswith("own/node/"):
            return
        self.begins.append((self.world.now, key, value["n"]))
        if key.startswith("own/part/"):
            self.reports.owner_begins(key[len("own/part/") :])

    def to_cloud(self, node: str, method: str, target: str, body: bytes | None, answer: Callable) -> None:
        world = self.world

        def arrive() -> None:
            lost = world.rng.random() < self.lossy / 3
            world.cloud.handle(
                method,
                target,
                body,
                lambda status, data: None if lost else self.carry(node, "cloud", lambda: answer(status, data)),
            )

        world.at(world.rng.uniform(0.02, 0.2), lambda: self.carry(node, "cloud", arrive))

    # -- controllers and workers

    def to_node(self, who: str, node: str, method: str, target: str, body: bytes | None, answer: Callable) -> None:
        world = self.world
        if who in self.mute:
            self.happened["mute"] += 1
            if world.rng.random() < 0.5:  # refused, else it waits in vain
                world.at(0.01, lambda: answer(None, b""))
            return
        is_report = target == "/v1/report"
        if is_report and self.chance(self.hold_back):
            self.reports.hold_back(node, body)
            return
        self.carry(who, node, lambda: self._arrive(who, node, method, target, body, answer))
        if is_report:
            self.reports.copy(node, body)

    def _arrive(self, who: str, node: str, method: str, target: str, body: bytes | None, answer: Callable) -> None:
        """A request is at a controller, or where it ran."""
        world = self.world
        controller = world.nodes.get(node)
        if controller is None:
            world.at(0.01, lambda: answer(None, b""))
            return
        life = world.lives[node]

        def reply(status: int, data: bytes = b"{}", _retry_after: int | None = None) -> None:
            if who in self.deaf:
                self.swallowed += data.count(b'"launch"')
            if target == "/v1/report":
                self.reports.answered(node, who, data)
            if world.lives.get(node) == life:
                self.carry(node, who, lambda: answer(status, data))

        request = make_request(method, target, body, world.running[node])
        world.awake(node, lambda: controller.on_request(request, reply))

    def to_worker(self, node: str, addr: str, method: str, target: str, body: bytes | None, answer: Callable) -> None:
        world = self.world
        worker = next((w for w in world.cloud.machines.values() if w.addr == addr), None)
        if worker is None:
            return
        late = self.chance(self.late_direct)
        wait = world.rng.uniform(*self.direct_s) if late else 0.0
        on_the_way = late and world.rng.random() < 0.6
        sent = world.now

        def back(status: int, data: bytes) -> None:
            if method == "POST" and world.now - sent > 2.0:
                self.happened["late command"] += 1
                self.happened[f"late command: {status}"] += 1
            if worker.name in self.mute:
                self.happened["mute, but commanded"] += 1
            if late and not on_the_way:
                self.happened["late answer to a command"] += 1
                world.at(wait, lambda: self.carry(worker.name, node, lambda: answer(status, data)))
            else:
                self.carry(worker.name, node, lambda: answer(status, data))

        def arrive() -> None:
            if worker.name in world.cloud.machines:
                worker.direct(method, target, body, back)

        def leave() -> None:
            self.carry(node, worker.name, arrive)

        if on_the_way:
            world.at(wait, leave)
        else:
            leave()

    def mesh(self, sender: str, peer: str, frame: bytes) -> None:
        def arrive() -> None:
            controller = self.world.nodes.get(peer)
            if controller is not None:
                self.world.awake(peer, lambda: controller.mesh.on_frame(frame))

        self.carry(sender, peer, arrive)
