"""Linearizable reads of a watched view, with one request to the state store for all reads that wait for it.

The answer to a poll must include everything that is committed when the poll arrives. With one read of the store per
poll, a burst of polls would use up the rate limits that leases, assignments and cancellations need. Here the number of
requests depends on time and not on the number of reads: at most one is sent per `_min_interval_s` unless one is slow,
and each serves only reads that arrived before it was sent.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tealhook.context import NodeContext
from tealhook.loop.effects import LONG_AGO_S, Cancellable
from tealhook.state_store.watcher import Watcher

OnRefresh = Callable[[bool], Any]  # is passed whether the view includes all commits before the read

REFRESH_RATE_SHARE = 0.2  # part of the node's even share of the request rate limit; other requests get the rest
SLOW_REQUEST_TIMEOUT_SHARE = 0.25  # a request unanswered for this share of the timeout no longer delays the next


class ReadIndex:
    """Read index that makes reads of one watched view linearizable."""

    def __init__(self, context: NodeContext, watcher: Watcher, timeout_s: float) -> None:
        """Initialize a read index; a request that takes longer than `timeout_s` fails the reads that wait for it."""
        self._effects = context.effects
        self._watcher = watcher
        self._timeout_s = timeout_s
        params = context.settings.params
        self._min_interval_s = max(1, params.nodes) / (REFRESH_RATE_SHARE * max(1.0, params.state.strictest.rps))
        self._slow_after_s = SLOW_REQUEST_TIMEOUT_SHARE * timeout_s
        self._waiting_callbacks: list[OnRefresh] = []
        self._timer: Cancellable | None = None
        self._sent_at = LONG_AGO_S
        self._in_flight_count = 0

    def read(self, on_done: OnRefresh) -> None:
        """Bring the view up to date, with one request for all reads that arrive at about the same time."""
        self._waiting_callbacks.append(on_done)
        self._schedule()

    def _schedule(self) -> None:
        if self._timer is not None or not self._waiting_callbacks:
            return
        interval_s = self._slow_after_s if self._in_flight_count else self._min_interval_s
        remaining_s = self._sent_at + interval_s - self._effects.now()
        if remaining_s <= 0.0:
            self._send()
        else:
            self._timer = self._effects.later(remaining_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self._waiting_callbacks:
            self._send()

    def _send(self) -> None:
        callbacks, self._waiting_callbacks = self._waiting_callbacks, []
        self._sent_at = self._effects.now()
        self._in_flight_count += 1

        def on_refresh(is_current: bool) -> None:
            self._in_flight_count -= 1
            if self._timer is not None:  # set in case this request is slow
                self._timer.cancel()
                self._timer = None
            for on_done in callbacks:
                on_done(is_current)
            self._schedule()

        self._watcher.refresh(self._timeout_s, on_refresh)
