"""Event loop that polls sockets with `selectors` and keeps its timers in a heap."""

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
    """A callback to run at a given time, unless it is cancelled before."""

    __slots__ = ("due_at", "number", "callback")

    def __init__(self, due_at: float, number: int, callback: Callable[[], Any] | None) -> None:
        """Initialize a timer; of timers due at the same time, the one with the lowest `number` runs first."""
        self.due_at = due_at
        self.number = number
        self.callback = callback

    def cancel(self) -> None:
        """Cancel the call; the timer stays in the heap until it is the first one."""
        self.callback = None

    def __lt__(self, other: Timer) -> bool:
        """Compare two timers in the heap by due time, then by creation order."""
        return (self.due_at, self.number) < (other.due_at, other.number)


class Loop:
    """Event loop that runs the callbacks of sockets and timers one at a time in one thread."""

    def __init__(self) -> None:
        """Initialize a loop without sockets and timers."""
        self._selector = selectors.DefaultSelector()
        self._timers: list[Timer] = []
        self._lock = threading.Lock()  # guards the timers, the only state that other threads may access
        self._last_timer_number = 0
        self._is_stopped = False

    @staticmethod
    def now() -> float:
        """Return the monotonic time in seconds, which is unrelated to the time of day."""
        return time.monotonic()

    def later(self, delay: float, call: Callable[[], Any]) -> Timer:
        """Make a call after `delay` seconds; other threads may use only this method."""
        with self._lock:
            self._last_timer_number += 1
            timer = Timer(self.now() + max(0.0, delay), self._last_timer_number, call)
            heapq.heappush(self._timers, timer)
        return timer

    def watch(self, sock: Any, events: int, callback: Callable[[int], Any]) -> None:
        """Run `callback` with the ready events whenever `sock` is ready; replaces an earlier registration."""
        try:
            self._selector.modify(sock, events, callback)
        except KeyError:
            self._selector.register(sock, events, callback)

    def unwatch(self, sock: Any) -> None:
        """Stop watching `sock`, if it is watched."""
        try:
            self._selector.unregister(sock)
        except (KeyError, ValueError):
            pass

    def stop(self) -> None:
        """Make `run` return after the current iteration."""
        self._is_stopped = True

    def _pop_due_timers(self) -> list[Timer]:
        now = self.now()
        due = []
        with self._lock:
            while self._timers and (self._timers[0].due_at <= now or self._timers[0].callback is None):
                due.append(heapq.heappop(self._timers))
        return due

    def _poll_timeout_s(self) -> float:
        with self._lock:
            if not self._timers:
                return MAX_POLL_S
            return min(MAX_POLL_S, max(0.0, self._timers[0].due_at - self.now()))

    def run(self) -> None:
        """Run until `stop` is called; an exception in a callback is logged and does not end the loop."""
        while not self._is_stopped:
            for key, events in self._selector.select(self._poll_timeout_s()):
                self._run_callback(key.data, events)
            for timer in self._pop_due_timers():
                if timer.callback is not None:
                    self._run_callback(timer.callback)

    @staticmethod
    def _run_callback(callback: Callable[..., Any], *args: int) -> None:
        try:
            callback(*args)
        except Exception:
            log.exception("event loop: unhandled exception in a callback; the loop continues")
