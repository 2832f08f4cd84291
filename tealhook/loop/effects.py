"""Interface of the controller to its environment: clocks, timers, random numbers and calls.

Tests implement it with a simulated environment.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Protocol

# Stands for the time of an event that has never happened, on the monotonic clock. It is finite because ages computed
# from it are sent to other controllers.
LONG_AGO_S = -1e9

OnAnswer = Callable[[int | None, bytes], Any]  # is passed the HTTP status and the body; (None, b"") without an answer


class Cancellable(Protocol):
    """A timer that has not fired yet."""

    def cancel(self) -> None:
        """Cancel the call; a timer that has fired is not affected."""
        ...


class Effects(Protocol):
    """Environment of a controller; `answer` is called with (None, b"") when no answer arrives within the timeout."""

    rng: random.Random

    def now(self) -> float:
        """Return the monotonic time in seconds, which is comparable within this process only."""
        ...

    def wall(self) -> float:
        """Return the time of day in seconds, for times that must remain valid after this process ends.

        The clock is off by at most the skew in the settings.
        """
        ...

    def later(self, delay: float, call: Callable[[], Any]) -> Cancellable:
        """Make a call after `delay` seconds, never before the current callback has returned."""
        ...

    def state(self, method: str, target: str, body: bytes | None, timeout: float, answer: OnAnswer) -> None:
        """Send a request to the state store."""
        ...

    def cloud(self, method: str, target: str, body: bytes | None, timeout: float, answer: OnAnswer) -> None:
        """Send a request to the cloud API."""
        ...

    def worker(self, addr: str, method: str, target: str, body: bytes | None, timeout: float, answer: OnAnswer) -> None:
        """Send a request to the worker at `addr`."""
        ...

    def mesh(self, peer: str, frame: bytes, soon: bool = False) -> None:
        """Send a frame to a peer; frames to one peer are sent in order.

        With `soon`, the frame may be delayed briefly to be sent together with later ones to the same peer.
        """
        ...


def every(effects: Effects, period: float, call: Callable[[], Any]) -> None:
    """Run `call` about every `period` seconds from a random start, with jitter so that nodes do not synchronize."""

    def step() -> None:
        effects.later(period * (0.9 + 0.2 * effects.rng.random()), step)
        call()

    effects.later(period * effects.rng.random(), step)
