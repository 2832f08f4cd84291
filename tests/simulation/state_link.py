"""The connection between controllers and the state store: lost requests and answers, and late writes."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.simulation.network import Network


class StateLink:
    """The connection of all nodes to the state store."""

    def __init__(self, network: Network) -> None:
        self.network = network
        self.transactions_sent: dict[str, int] = {}  # node -> number of transactions that it has sent
        self.newest: dict[str, int] = {}  # node -> number of its newest transaction that was applied
        # Key and revision of a write whose answer was lost -> the node that wrote it.
        self.unanswered_writes: dict[tuple[str, int], str] = {}

    def send(self, node: str, method: str, target: str, body: bytes | None, answer: Callable) -> None:
        number = 0
        if target == "/txn":
            number = self.transactions_sent[node] = self.transactions_sent.get(node, 0) + 1
        request = _Request(self, node, method, target, body, answer, number)
        self.network.deliver(node, "state", request.arrive)

    def count_unanswered_reads(self, node: str, data: bytes) -> None:
        """Count the records in an answer to a node that another node wrote without getting an answer."""
        value = json.loads(data)
        rows = value.get("rows", value.get("events", [value]))
        for row in rows:
            writer = self.unanswered_writes.get(
                (row.get("path") or row.get("write") or row.get("drop"), row.get("stamp"))
            )
            self.network.event_counts["unanswered write read by another"] += writer not in (None, node)


class _Request:
    """A request; a transaction has a number that counts those of its node from 1, other requests have 0."""

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
            self._handle(self._lose_write_answer)
            return
        chance = cluster.rng.random()
        if chance < net.state_loss_share / 3:
            return  # request lost
        if chance < net.state_loss_share * 2 / 3 and self.method != "GET":
            # Applied late, possibly long after the sender's timeout.
            cluster.call_later(cluster.rng.uniform(1.0, 40.0), lambda: self._handle(self._discard_answer))
            return
        if chance < net.state_loss_share:
            self._handle(self._discard_answer)  # answer lost
            return
        self._handle(self._deliver_answer)

    def _handle(self, reply: Callable) -> None:
        """Pass the request to the state store and its answer to `reply`."""
        link, node = self.link, self.node

        def answered(status: int, data: bytes) -> None:
            if self.number and status == 200:
                link.newest[node] = max(self.number, link.newest.get(node, 0))
            if self.method == "GET" and status == 200 and link.unanswered_writes:
                link.count_unanswered_reads(node, data)
            reply(status, data)

        self.cluster.state.handle(node, self.method, self.target, self.body, answered)

    # -- handling of the answer

    def _discard_answer(self, _status: int, _data: bytes) -> None:
        pass

    def _apply_late(self) -> None:
        """Apply a transaction after its sender's timeout, without an answer."""
        event_counts, newer = self.network.event_counts, self.link.newest.get(self.node, 0) > self.number

        def applied(status: int, _data: bytes) -> None:
            event_counts["late write"] += 1
            event_counts[f"late write: {status}"] += 1
            event_counts["late write after newer ones"] += newer

        self._handle(applied)

    def _lose_write_answer(self, status: int, data: bytes) -> None:
        self.network.event_counts["answer to a write lost"] += 1
        if status == 200:
            for op in json.loads(self.body)["apply"]:
                self.link.unanswered_writes[(op.get("write") or op["drop"], json.loads(data)["epoch"])] = self.node

    def _deliver_answer(self, status: int, data: bytes) -> None:
        net, cluster = self.network, self.cluster
        if net.state_answer_delay_s:
            wait = cluster.rng.uniform(0.0, net.state_answer_delay_s)
            net.event_counts["slow answer of the state store"] += wait > 0.5
            cluster.call_later(wait, lambda: net.deliver(self.node, "state", lambda: self.answer(status, data)))
        else:
            net.deliver(self.node, "state", lambda: self.answer(status, data))
