"""Reads of many single keys, a bounded number at a time, each repeated until it is answered."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

from tealhook.loop.effects import Effects
from tealhook.state_store.client import StateClient
from tealhook.state_store.request_queue import CallPriority
from tealhook.state_store.results import ReadOutcome, ReadResult
from tealhook.wire import state as wire

MAX_CONCURRENT_READS = 16
READ_QUEUE_TIMEOUT_S = 5.0  # longest wait of a read for rate limit tokens
RETRY_DELAY_S = 0.5


class KeyFetch:
    """One pass over a set of keys; `on_item` gets each key-value that exists, and `on_done` is called at the end."""

    def __init__(
        self,
        effects: Effects,
        store: StateClient,
        keys: Iterable[str],
        on_item: Callable[[wire.KeyValue], Any],
        on_done: Callable[[], Any],
    ) -> None:
        """Initialize a fetch; nothing is read before `start`."""
        self._effects = effects
        self._store = store
        self._waiting = deque(keys)
        self._in_flight_count = 0
        self._on_item = on_item
        self._on_done = on_done
        self._is_cancelled = False

    def start(self) -> None:
        """Read the keys; without any, `on_done` is called at once."""
        for _ in range(min(MAX_CONCURRENT_READS, len(self._waiting))):
            self._read_next()
        if not self._in_flight_count:
            self._on_done()

    def cancel(self) -> None:
        """Stop: no callback is called any more."""
        self._is_cancelled = True

    def _read_next(self) -> None:
        self._in_flight_count += 1
        self._read(self._waiting.popleft())

    def _read(self, key: str) -> None:
        if not self._is_cancelled:
            self._store.get(key, partial(self._on_read, key), CallPriority.ASSIGN, READ_QUEUE_TIMEOUT_S)

    def _on_read(self, key: str, result: ReadResult) -> None:
        if self._is_cancelled:
            return
        if result.outcome is ReadOutcome.UNKNOWN:
            self._effects.later(RETRY_DELAY_S * (0.5 + self._effects.rng.random()), partial(self._read, key))
            return
        if result.item is not None:
            self._on_item(result.item)
        self._in_flight_count -= 1
        if self._waiting:
            self._read_next()
        elif not self._in_flight_count:
            self._on_done()
