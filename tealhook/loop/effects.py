"""What decision code may ask of the world. Tests give it a virtual one."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Protocol

# A time before all others on the monotonic clock, for what has never happened. It is finite, since ages that are
# reckoned from it are sent to other controllers.
LONG_AGO_S = -1e9

OnAnswer = Callable[[int | None, bytes], Any]


class Cancellable(Protocol):
    """A timer that has not fired yet."""

    def cancel(self) -> None:
        """The call is not made."""
        ...


class Effects(Protocol):
    """Clock, chance, timers and calls. An answer of (None, b"") means that none came."""

    rng: random.Random

    def now(self) -> float:
        """Monotonic time in seconds, of this process alone."""
        ...

    def wall(self) -> float:
        """Time of day in seconds, off by no more than the settings' skew: for what must outlast a process."""
        ...

    def later(self, delay: float, call: Callable[[], Any]) -> Cancellable:
        """Make a call after `delay` seconds, never before the present callback has returned."""
        ...

    def state(self, method: str, target: str, body: bytes | None, timeout: float, answer: OnAnswer) -> None:
        """Call the state service."""
        ...

    def cloud(self, method: str, target: str, body: bytes | None, timeout: float, answer: OnAnswer) -> None:
        """Call the cloud."""
        ...

    def worker(self, addr: str, method: str, target: str, body: bytes | None, timeout: float, answer: OnAnswer) -> None:
        """Call the worker at `addr`."""
        ...

    def mesh(self, peer: str, frame: bytes, soon: bool = False) -> None:
        """Send a frame; `soon`: it may wait a little for others to the same peer, but never behind a later one."""
        ...


def every(effects: Effects, period: float, call: Callable[[], Any]) -> None:
    """Run `call` now and then about every `period` seconds, jittered so that nodes do not fall into step."""

    def step() -> None:
        effects.later(period * (0.9 + 0.2 * effects.rng.random()), step)
        call()

    effects.later(period * effects.rng.random(), step)
