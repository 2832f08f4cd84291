"""Linearizable reads of a watched view: one call to the state service serves every question that waits for it.

A poll has to be answered by what is written when it arrives. With a read for each of them, a storm of polls used up the
budget that leases, assignments and cancellations need. Here the calls grow with time instead of the number of
questions: at most one begins per `gap_s`, and each is sent after all the questions that it answers have arrived.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tealhook.context import NodeContext
from tealhook.loop.effects import Cancellable
from tealhook.state_store.watcher import Watcher

Fresh = Callable[[bool], Any]  # told whether the view shows all that was written before the question

READS_SHARE = 0.2  # of this node's even share of the requests to the state service


class ReadIndex:
    """Questions about one watched view."""

    def __init__(self, context: NodeContext, watcher: Watcher, timeout_s: float) -> None:
        """`timeout_s`: a call that takes longer leaves its questions without an answer."""
        self._effects = context.effects
        self._watcher = watcher
        self._timeout_s = timeout_s
        params = context.settings.params
        self._gap_s = max(1, params.nodes) / (READS_SHARE * max(1.0, params.state.least.rps))
        self._slow_s = timeout_s / 4  # a call that has taken so long does not hold up the next one
        self._waiting: list[Fresh] = []
        self._timer: Cancellable | None = None
        self._sent_at = -1e9
        self._in_flight = 0

    def read(self, done: Fresh) -> None:
        """Bring the view up to date, together with all others who ask at about the same time."""
        self._waiting.append(done)
        self._schedule()

    def _schedule(self) -> None:
        if self._timer is not None or not self._waiting:
            return
        pause = self._slow_s if self._in_flight else self._gap_s
        left = self._sent_at + pause - self._effects.now()
        if left <= 0.0:
            self._send()
        else:
            self._timer = self._effects.later(left, self._due)

    def _due(self) -> None:
        self._timer = None
        if self._waiting:
            self._send()

    def _send(self) -> None:
        asked, self._waiting = self._waiting, []
        self._sent_at = self._effects.now()
        self._in_flight += 1

        def answered(fresh: bool) -> None:
            self._in_flight -= 1
            if self._timer is not None:  # it was set for a slow call
                self._timer.cancel()
                self._timer = None
            for done in asked:
                done(fresh)
            self._schedule()

        self._watcher.refresh(self._timeout_s, answered)
