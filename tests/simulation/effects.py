"""Clocks, timers and connections of a simulated controller process."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.simulated_cluster import SimulatedCluster


class Timer:
    """A scheduled call; timers sort by time, and those of the same time in the order in which they were created."""

    __slots__ = ("when", "order", "call")

    def __init__(self, when: float, order: int, call: Callable) -> None:
        self.when, self.order, self.call = when, order, call

    def cancel(self) -> None:
        self.call = None

    def __lt__(self, other: Timer) -> bool:
        return (self.when, self.order) < (other.when, other.order)


class SimulatedEffects:
    """`Effects` of one process; it runs no callback once the process has ended."""

    def __init__(self, cluster: SimulatedCluster, name: str, incarnation: int) -> None:
        self.cluster, self.name, self.incarnation = cluster, name, incarnation
        self.rng = random.Random(f"{cluster.seed}/{name}/{incarnation}")
        self.clock_skew_s = self.rng.uniform(-0.25, 0.25)
        self.clock_rate = 1.0 + self.rng.uniform(0.0, 0.0005)

    @property
    def is_alive(self) -> bool:
        return self.cluster.incarnations.get(self.name) == self.incarnation

    def now(self) -> float:
        return self.cluster.now * self.clock_rate

    def wall(self) -> float:
        return 1e9 + self.cluster.now + self.clock_skew_s

    def later(self, delay: float, call: Callable) -> Timer:
        return self.cluster.call_later(
            delay / self.clock_rate,
            lambda: self.cluster.run_when_resumed(self.name, call, timer=True) if self.is_alive else None,
        )

    def _call(self, timeout: float, answer: Callable, send: Callable[[Callable], None]) -> None:
        """Send a request and pass `answer` the response, or (None, b"") when none arrives within the timeout."""
        is_answered = False

        def answer_once(status: int | None, body: bytes) -> None:
            nonlocal is_answered
            if not is_answered and self.is_alive:
                is_answered = True
                answer(status, body)

        def on_response(status: int | None, body: bytes) -> None:
            if self.is_alive:
                self.cluster.run_when_resumed(self.name, lambda: answer_once(status, body))

        self.later(timeout, lambda: answer_once(None, b""))
        send(on_response)

    def state(self, method, target, body, timeout, answer) -> None:
        net = self.cluster.network
        self._call(timeout, answer, lambda on_response: net.send_to_state(self.name, method, target, body, on_response))

    def cloud(self, method, target, body, timeout, answer) -> None:
        net = self.cluster.network
        self._call(timeout, answer, lambda on_response: net.send_to_cloud(self.name, method, target, body, on_response))

    def worker(self, addr, method, target, body, timeout, answer) -> None:
        self._call(
            timeout,
            answer,
            lambda on_response: self.cluster.network.send_to_worker(self.name, addr, method, target, body, on_response),
        )

    def mesh(self, peer: str, frame: bytes, **_batching: bool) -> None:
        self.cluster.network.send_mesh_frame(self.name, peer, frame)
