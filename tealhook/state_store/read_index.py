"""Linearizable reads of a watched view: one request to the state store serves every read that waits for it.

A poll has to be answered by what is committed when it arrives. With a read for each of them, a burst of polls used up
the rate limits that leases, assignments and cancellations need. Here the requests grow with time instead of the number
of reads: at most one is sent per `_min_interval_s`, after all the reads that it serves have arrived.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tealhook.context import NodeContext
from tealhook.loop.effects import LONG_AGO_S, Cancellable
from tealhook.state_store.watcher import Watcher

OnRefresh = Callable[[bool], Any]  # told whether the view shows all that was committed before the read

READS_SHARE = 0.2  # of this node's even share of the request rate limit
SLOW_SHARE = 0.25  # of the timeout: a request that takes longer does not delay the next one


class ReadIndex:
    """Linearizable reads of one watched view."""

    def __init__(self, context: NodeContext, watcher: Watcher, timeout_s: float) -> None:
        """`timeout_s`: a request that takes longer fails the reads that wait for it."""
        self._effects = context.effects
        self._watcher = watcher
        self._timeout_s = timeout_s
        params = context.settings.params
        self._min_interval_s = max(1, params.nodes) / (READS_SHARE * max(1.0, params.state.least.rps))
        self._slow_s = SLOW_SHARE * timeout_s
        self._waiting: list[OnRefresh] = []
        self._timer: Cancellable | None = None
        self._sent_at = LONG_AGO_S
        self._in_flight = 0

    def read(self, on_done: OnRefresh) -> None:
        """Bring the view up to date, by one request for all reads that arrive at about the same time."""
        self._waiting.append(on_done)
        self._schedule()

    def _schedule(self) -> None:
        if self._timer is not None or not self._waiting:
            return
        interval = self._slow_s if self._in_flight else self._min_interval_s
        remaining = self._sent_at + interval - self._effects.now()
        if remaining <= 0.0:
            self._send()
        else:
            self._timer = self._effects.later(remaining, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self._waiting:
            self._send()

    def _send(self) -> None:
        served, self._waiting = self._waiting, []
        self._sent_at = self._effects.now()
        self._in_flight += 1

        def refreshed(fresh: bool) -> None:
            self._in_flight -= 1
            if self._timer is not None:  # it was set in case that this request was slow
                self._timer.cancel()
                self._timer = None
            for on_done in served:
                on_done(fresh)
            self._schedule()

        self._watcher.refresh(self._timeout_s, refreshed)
