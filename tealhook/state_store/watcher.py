"""Keeps a view of the keys below a prefix complete and current: one list, then watches."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tealhook.loop.effects import LONG_AGO_S, Effects
from tealhook.state_store.client import StateClient
from tealhook.state_store.request_queue import CallPriority
from tealhook.state_store.results import WatchOutcome, WatchResult
from tealhook.wire import state as wire

RETRY_S = 0.25  # added to the pause before a retry with each failure in a row
MAX_RETRY_S = 1.0
REFRESH_QUEUE_TIMEOUT_S = 1.0  # for tokens
AVAILABLE_WAITS = 4  # times the hold-open time of a watch: a store that has answered anything within it is available
RELIST_AFTER_FAILURES = 3  # watches in a row without an answer, while the store answers other requests


class Watcher:
    """Lists the keys once, then follows their changes; lists anew when the revision that it knows was compacted.

    It also lists anew when watches go unanswered while other requests are served: an answer holds all changes, whatever
    their size, and after a long network partition it may be larger than this process can take. A retry only makes it
    larger.

    `on_snapshot(items)` is told of all key-values, `on_events(events)` of changes since. `viewed_at` is when the
    request was sent whose answer last showed everything: the view is at least as new as that.
    """

    def __init__(
        self,
        effects: Effects,
        store: StateClient,
        prefix: str,
        wait_s: float,
        on_snapshot: Callable[[list[wire.KeyValue]], Any],
        on_events: Callable[[list[wire.WatchEvent]], Any],
    ) -> None:
        """`wait_s`: how long the state store may hold a watch open while nothing changes."""
        self._effects = effects
        self._store = store
        self._prefix = prefix
        self._wait_s = wait_s
        self._on_snapshot = on_snapshot
        self._on_events = on_events
        self._revision = 0
        self._failures = 0  # lists and watches without an answer, in a row
        self.viewed_at = LONG_AGO_S
        self.is_synced = False  # whether the keys have been listed

    def start(self) -> None:
        """List the keys, then follow their changes for as long as the process runs."""
        self._list()

    def age(self) -> float:
        """Seconds since the view was certainly complete."""
        return self._effects.now() - self.viewed_at

    def refresh(self, timeout_s: float, on_done: Callable[[bool], Any]) -> None:
        """Bring the view up to date with one request; `on_done(whether it shows all that was committed before)`."""
        sent_at = self._effects.now()

        def answered(result: WatchResult) -> None:
            if result.reply is not None:
                self._apply(result.reply, sent_at)
            # An answer that waited in a buffer while this process was suspended is as old as the suspension is long.
            is_recent = self._effects.now() - sent_at <= timeout_s + REFRESH_QUEUE_TIMEOUT_S
            on_done(result.reply is not None and is_recent)

        self._store.watch(
            self._prefix,
            self._revision,
            0.0,
            answered,
            priority=CallPriority.ADMIT,
            queue_timeout_s=REFRESH_QUEUE_TIMEOUT_S,
            answer_timeout_s=timeout_s,
        )

    def _apply(self, reply: wire.WatchReply, sent_at: float) -> None:
        """Apply the answer to a watch that was sent at `sent_at`; answers may arrive in another order than sent."""
        self._failures = 0
        self._revision = max(self._revision, reply.revision)
        self.viewed_at = max(self.viewed_at, sent_at)
        if reply.events:
            self._on_events(reply.events)

    def _should_list_anew(self) -> bool:
        """Whether watches go unanswered though the store has answered other requests lately, so it is reachable."""
        is_available = self._effects.now() - self._store.last_answered_at < AVAILABLE_WAITS * self._wait_s
        return self._failures >= RELIST_AFTER_FAILURES and is_available

    def _retry(self, call: Callable[[], Any]) -> None:
        self._failures += 1
        pause = min(MAX_RETRY_S, RETRY_S * self._failures)
        self._effects.later(pause * (0.5 + self._effects.rng.random()), call)

    def _list(self) -> None:
        sent_at = self._effects.now()

        def on_done(items: list[wire.KeyValue] | None, revision: int) -> None:
            if items is None:
                self._retry(self._list)
                return
            self._failures = 0
            self._revision = revision
            self.viewed_at = sent_at
            self.is_synced = True
            self._on_snapshot(items)
            self._watch()

        self._store.list(self._prefix, on_done)

    def _watch(self) -> None:
        sent_at = self._effects.now()

        def on_done(result: WatchResult) -> None:
            if result.outcome is WatchOutcome.COMPACTED:
                self._list()
                return
            if result.reply is None:
                self._retry(self._list if self._should_list_anew() else self._watch)
                return
            self._apply(result.reply, sent_at)
            self._watch()

        self._store.watch(self._prefix, self._revision, self._wait_s, on_done)
