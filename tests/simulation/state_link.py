"""The way to the state service and back: what is lost there, and what is carried out late or unknown to its writer."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.simulation.network import Network


class StateLink:
    """All nodes' requests to the state service."""

    def __init__(self, network: Network) -> None:
        self.network = network
        self.written: dict[str, int] = {}  # node -> how many of its transactions were sent
        self.newest: dict[str, int] = {}  # node -> the newest of its transactions that was carried out
        self.unanswered: dict[tuple[str, int], str] = {}  # changes of which the writer was told nothing

    def send(self, node: str, method: str, target: str, body: bytes | None, answer: Callable) -> None:
        number = 0
        if target == "/txn":
            number = self.written[node] = self.written.get(node, 0) + 1
        request = _Request(self, node, method, target, body, answer, number)
        self.network.deliver(node, "state", request.arrive)

    def read(self, node: str, data: bytes) -> None:
        """Count reads of what another node wrote without being told so."""
        value = json.loads(data)
        rows = value.get("rows", value.get("events", [value]))
        for row in rows:
            writer = self.unanswered.get((row.get("path") or row.get("write") or row.get("drop"), row.get("stamp")))
            self.network.event_counts["unanswered write read by another"] += writer not in (None, node)


class _Request:
    """One request; a transaction has a number among those of its node."""

    def __init__(
        self, link: StateLink, node: str, method: str, target: str, body: bytes | None, answer: Callable, number: int
    ) -> None:
        self.link, self.network, self.cluster = link, link.network, link.network.cluster
        self.node, self.method, self.target, self.body = node, method, target, body
        self.answer, self.number = answer, number

    def arrive(self) -> None:
        net, cluster = self.network, self.cluster
        if self.number and net.chance(net.late_write_share):
            cluster.call_later(cluster.rng.uniform(2.0, 12.0), self._apply_late)
            return
        if self.number and net.chance(net.lost_answer_share):
            self._handle(self._lose_answer)
            return
        chance = cluster.rng.random()
        if chance < net.state_loss_share / 3:
            return  # lost on its way
        if chance < net.state_loss_share * 2 / 3 and self.method != "GET":
            # Applied late, long after the sender has given up.
            cluster.call_later(cluster.rng.uniform(1.0, 40.0), lambda: self._handle(self._discard_answer))
            return
        if chance < net.state_loss_share:
            self._handle(self._discard_answer)  # answer lost
            return
        self._handle(self._deliver_answer)

    def _handle(self, reply: Callable) -> None:
        """The state service carries it out."""
        link, node = self.link, self.node

        def answered(status: int, data: bytes) -> None:
            if self.number and status == 200:
                link.newest[node] = max(self.number, link.newest.get(node, 0))
            if self.method == "GET" and status == 200 and link.unanswered:
                link.read(node, data)
            reply(status, data)

        self.cluster.state.handle(node, self.method, self.target, self.body, answered)

    # -- what becomes of the answer

    def _discard_answer(self, _status: int, _data: bytes) -> None:
        pass

    def _apply_late(self) -> None:
        """A transaction is carried out when its sender has given up; nobody hears of it."""
        event_counts, newer = self.network.event_counts, self.link.newest.get(self.node, 0) > self.number

        def carried_out(status: int, _data: bytes) -> None:
            event_counts["late write"] += 1
            event_counts[f"late write: {status}"] += 1
            event_counts["late write after newer ones"] += newer

        self._handle(carried_out)

    def _lose_answer(self, status: int, data: bytes) -> None:
        self.network.event_counts["answer to a write lost"] += 1
        if status == 200:
            for op in json.loads(self.body)["apply"]:
                self.link.unanswered[(op.get("write") or op["drop"], json.loads(data)["epoch"])] = self.node

    def _deliver_answer(self, status: int, data: bytes) -> None:
        net, cluster = self.network, self.cluster
        if net.state_answer_delay_s:
            wait = cluster.rng.uniform(0.0, net.state_answer_delay_s)
            net.event_counts["slow answer of the state service"] += wait > 0.5
            cluster.call_later(wait, lambda: net.deliver(self.node, "state", lambda: self.answer(status, data)))
        else:
            net.deliver(self.node, "state", lambda: self.answer(status, data))
