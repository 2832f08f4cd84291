"""What decision code may ask of the world. Tests give it a virtual one."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Protocol

Answer = Callable[[int | None, bytes], Any]


class Cancellable(Protocol):
    def cancel(self) -> None: ...


class Effects(Protocol):
    """Clock, chance, timers and calls. An answer of (None, b"") means that none came."""

    rng: random.Random

    def now(self) -> float: ...

    def wall(self) -> float:
        """Time of day in seconds, off by no more than the settings' skew: for what must outlast a process."""
        ...

    def later(self, delay: float, call: Callable[[], Any]) -> Cancellable: ...

    def state(self, method: str, target: str, body: bytes | None, timeout: float, answer: Answer) -> None: ...

    def cloud(self, method: str, target: str, body: bytes | None, timeout: float, answer: Answer) -> None: ...

    def worker(
        self, addr: str, method: str, target: str, body: bytes | None, timeout: float, answer: Answer
    ) -> None: ...

    def mesh(self, peer: str, frame: bytes, soon: bool = False) -> None:
        """Send a frame; `soon`: it may wait a little for others to the same peer, but never behind a later one."""
        ...


def every(effects: Effects, period: float, call: Callable[[], Any]) -> None:
    """Run `call` now and then about every `period` seconds, jittered so that nodes do not fall into step."""

    def step() -> None:
        effects.later(period * (0.9 + 0.2 * effects.rng.random()), step)
        call()

    effects.later(period * effects.rng.random(), step)
