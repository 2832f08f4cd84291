"""A small event loop: readiness by `selectors`, timers by a heap."""

from __future__ import annotations

import heapq
import logging
import selectors
import threading
import time
from collections.abc import Callable
from typing import Any

log = logging.getLogger(__name__)

MAX_POLL_S = 1.0


class Timer:
    """A call due at a time; `cancel` makes it void."""

    __slots__ = ("when", "order", "call")

    def __init__(self, when: float, order: int, call: Callable[[], Any] | None) -> None:
        """`order` keeps timers due at the same time in the order in which they were set."""
        self.when = when
        self.order = order
        self.call = call

    def cancel(self) -> None:
        """The call is not made; the timer's entry leaves the heap when it comes to the front."""
        self.call = None

    def __lt__(self, other: Timer) -> bool:
        """The order of the heap: by due time, then by the order of setting."""
        return (self.when, self.order) < (other.when, other.order)


class Loop:
    """Runs callbacks of sockets and timers, one at a time, in one thread."""

    def __init__(self) -> None:
        """An empty loop; it does nothing before `run`."""
        self._selector = selectors.DefaultSelector()
        self._timers: list[Timer] = []
        self._lock = threading.Lock()  # guards the timer heap, the only state other threads may touch
        self._order = 0
        self._stopped = False

    @staticmethod
    def now() -> float:
        """Monotonic time in seconds: never set back, unrelated to the time of day."""
        return time.monotonic()

    def later(self, delay: float, call: Callable[[], Any]) -> Timer:
        """Make a call after `delay` seconds; the only method that other threads may use."""
        with self._lock:
            self._order += 1
            timer = Timer(self.now() + max(0.0, delay), self._order, call)
            heapq.heappush(self._timers, timer)
        return timer

    def watch(self, sock: Any, events: int, call: Callable[[int], Any]) -> None:
        """Call back with the ready events of `sock`; replaces what was asked before."""
        try:
            self._selector.modify(sock, events, call)
        except KeyError:
            self._selector.register(sock, events, call)

    def unwatch(self, sock: Any) -> None:
        """Stop watching `sock`; no error if it was not watched."""
        try:
            self._selector.unregister(sock)
        except (KeyError, ValueError):
            pass

    def stop(self) -> None:
        """Let `run` return after the present turn."""
        self._stopped = True

    def _due(self) -> list[Timer]:
        now = self.now()
        due = []
        with self._lock:
            while self._timers and (self._timers[0].when <= now or self._timers[0].call is None):
                due.append(heapq.heappop(self._timers))
        return due

    def _pause(self) -> float:
        with self._lock:
            if not self._timers:
                return MAX_POLL_S
            return min(MAX_POLL_S, max(0.0, self._timers[0].when - self.now()))

    def run(self) -> None:
        """Run until `stop`. A callback that raises is logged; none ends the process."""
        while not self._stopped:
            for key, events in self._selector.select(self._pause()):
                self._guard(key.data, events)
            for timer in self._due():
                if timer.call is not None:
                    self._guard(timer.call)

    @staticmethod
    def _guard(call: Callable[..., Any], *args: int) -> None:
        try:
            call(*args)
        except Exception:
            log.exception("callback failed")
