"""A complete, current view of the keys below a prefix."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tealhook.loop.effects import Effects
from tealhook.state_store.client import CallPriority, StateClient, WatchKind
from tealhook.wire import state as wire

RETRY_S = 0.25
MAX_RETRY_S = 1.0
REFRESH_WAIT_S = 1.0  # for tokens
SERVED_WAITS = 4  # of the time for which a watch is held open: the service that answered anything since is up
LIST_AFTER = 3  # watches without an answer, one after the other, while the service answers other calls


class Watcher:
    """Lists once, then follows changes; lists anew when it fell too far behind.

    It also does when watches go unanswered while other calls are served: an answer holds all changes, whatever their
    size, and after a long cut it may be larger than this process can take. Asked for again it only grows.

    `on_rows(rows)` gives the whole state, `on_events(events)` what came after. `viewed_at` is when the
    request was sent whose answer last showed everything: the view is at least as new as that.
    """

    def __init__(
        self,
        effects: Effects,
        store: StateClient,
        prefix: str,
        wait_s: float,
        on_rows: Callable[[list[wire.KeyValue]], Any],
        on_events: Callable[[list[wire.WatchEvent]], Any],
    ) -> None:
        """`wait_s`: how long the state service may hold a watch open while nothing changes."""
        self._effects = effects
        self._store = store
        self._prefix = prefix
        self._wait_s = wait_s
        self._on_rows = on_rows
        self._on_events = on_events
        self._epoch = 0
        self._failures = 0
        self.viewed_at = -1e9
        self.synced = False

    def start(self) -> None:
        """List the keys, then follow their changes for as long as the process runs."""
        self._list()

    def age(self) -> float:
        """Seconds since the view was certainly complete."""
        return self._effects.now() - self.viewed_at

    def refresh(self, timeout_s: float, done: Callable[[bool], Any]) -> None:
        """Bring the view up to date with one call; `done(whether it shows all that was written before this call)`."""
        sent = self._effects.now()

        def answered(_kind: WatchKind, watched: wire.WatchReply | None) -> None:
            if watched is not None:
                self._advance(watched, sent)
            # An answer that waited in a buffer while this process stood still is as old as that.
            done(watched is not None and self._effects.now() - sent <= timeout_s + REFRESH_WAIT_S)

        self._store.watch(
            self._prefix,
            self._epoch,
            0.0,
            answered,
            priority=CallPriority.ADMIT,
            queue_s=REFRESH_WAIT_S,
            spare_s=timeout_s,
        )

    def _advance(self, watched: wire.WatchReply, sent: float) -> None:
        """Take in the answer to a watch asked for at `sent`. Answers may come in another order than they were asked."""
        self._failures = 0
        self._epoch = max(self._epoch, watched.revision)
        self.viewed_at = max(self.viewed_at, sent)
        if watched.events:
            self._on_events(watched.events)

    def _is_hopeless(self) -> bool:
        """Whether watches go unanswered though the service has answered other calls lately: no outage, no cut."""
        lately = self._effects.now() - self._store.answered_at < SERVED_WAITS * self._wait_s
        return self._failures >= LIST_AFTER and lately

    def _retry(self, call: Callable[[], Any]) -> None:
        self._failures += 1
        pause = min(MAX_RETRY_S, RETRY_S * self._failures)
        self._effects.later(pause * (0.5 + self._effects.rng.random()), call)

    def _list(self) -> None:
        sent = self._effects.now()

        def done(rows: list[wire.KeyValue] | None, revision: int) -> None:
            if rows is None:
                self._retry(self._list)
                return
            self._failures = 0
            self._epoch = revision
            self.viewed_at = sent
            self.synced = True
            self._on_rows(rows)
            self._watch()

        self._store.list(self._prefix, done)

    def _watch(self) -> None:
        sent = self._effects.now()

        def done(kind: WatchKind, watched: wire.WatchReply | None) -> None:
            if kind == "old":
                self._list()
                return
            if watched is None:
                self._retry(self._list if self._is_hopeless() else self._watch)
                return
            self._advance(watched, sent)
            self._watch()

        self._store.watch(self._prefix, self._epoch, self._wait_s, done)
