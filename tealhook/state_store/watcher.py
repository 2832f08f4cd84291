"""Watched views of the keys below a prefix, which are read once and then updated by watches."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

from tealhook.loop.effects import LONG_AGO_S, Effects
from tealhook.state_store.client import StateClient
from tealhook.state_store.request_queue import CallPriority
from tealhook.state_store.results import WatchOutcome, WatchResult
from tealhook.wire import state as wire

RETRY_STEP_S = 0.25  # the delay before a retry grows by this with each consecutive failure
MAX_RETRY_DELAY_S = 1.0
REFRESH_QUEUE_TIMEOUT_S = 1.0  # longest wait of a refresh for rate limit tokens
AVAILABLE_WITHIN_WAITS = 4  # the store is available if it answered any request within this many waits of a watch
RELIST_AFTER_FAILURES = 3  # consecutive unanswered watches while the store answers other requests


class Watcher(ABC):
    """Watcher that reads the keys below a prefix and then follows their changes.

    It reads the keys again when the store has compacted the changes that it needs. It does so too when watches stay
    unanswered while the store answers other requests: an answer to a watch contains all changes, so after a long
    network partition it may be larger than this process can receive, and every retry asks for more.

    `on_events` is passed the changes. What has been passed on includes everything committed before `viewed_at`, as far
    as the keys have been read.
    """

    def __init__(
        self,
        effects: Effects,
        store: StateClient,
        prefix: str,
        wait_s: float,
        on_events: Callable[[list[wire.WatchEvent]], Any],
    ) -> None:
        """Initialize a watcher; the store may hold a watch open for `wait_s` while nothing changes."""
        self._effects = effects
        self._store = store
        self._prefix = prefix
        self._wait_s = wait_s
        self._on_events = on_events
        self._revision = 0
        self._failure_count = 0  # consecutive lists and watches without an answer
        # Counts how often the keys began to be read anew. What was requested under an earlier number may be older than
        # the changes that are followed now.
        self.view_number = 0
        self.viewed_at = LONG_AGO_S
        self.is_synced = False  # whether all keys have been read at least once
        self.has_all_keys = False  # whether the present view has all keys; false while they are read again
        self.is_tracking = False  # whether the watch covers every change since the keys passed on were read

    def start(self) -> None:
        """Read the keys, then follow their changes until the process ends."""
        self._read_keys()

    def age(self) -> float:
        """Return the seconds since the view was last known to include all changes."""
        return self._effects.now() - self.viewed_at

    def refresh(self, timeout_s: float, on_done: Callable[[bool], Any]) -> None:
        """Bring the view up to date with one request; pass to `on_done` whether it includes all earlier commits."""
        sent_at, view_number = self._effects.now(), self.view_number

        def on_result(result: WatchResult) -> None:
            if view_number != self.view_number:
                on_done(False)
                return
            if result.reply is not None:
                self._apply(result.reply, sent_at)
            # An answer may have waited in a socket buffer while this process was suspended, and is then outdated.
            is_recent = self._effects.now() - sent_at <= timeout_s + REFRESH_QUEUE_TIMEOUT_S
            on_done(result.reply is not None and is_recent and self.is_tracking)

        self._store.watch(
            self._prefix,
            self._revision,
            0.0,
            on_result,
            priority=CallPriority.ADMIT,
            queue_timeout_s=REFRESH_QUEUE_TIMEOUT_S,
            answer_timeout_s=timeout_s,
        )

    @abstractmethod
    def _read_keys(self) -> None:
        """Read the keys below the prefix, and watch from the revision at which this began."""

    def _on_all_read(self, viewed_at: float) -> None:
        """Note that all keys have been read, and that the view includes everything committed before `viewed_at`."""
        self.is_synced = self.is_tracking = self.has_all_keys = True
        self.viewed_at = max(self.viewed_at, viewed_at)

    def _apply(self, reply: wire.WatchReply, sent_at: float) -> None:
        """Apply the answer to a watch that was sent at `sent_at`; answers may arrive out of order."""
        self._failure_count = 0
        self._revision = max(self._revision, reply.revision)
        if self.is_tracking:
            self.viewed_at = max(self.viewed_at, sent_at)
        if reply.events:
            self._on_events(reply.events)

    def _should_relist(self) -> bool:
        """Check whether watches stay unanswered although the store has recently answered other requests."""
        is_available = self._effects.now() - self._store.last_answered_at < AVAILABLE_WITHIN_WAITS * self._wait_s
        return self._failure_count >= RELIST_AFTER_FAILURES and is_available

    def _retry(self, call: Callable[[], Any]) -> None:
        self._failure_count += 1
        self._retry_after_failures(self._failure_count, call)

    def _retry_after_failures(self, failure_count: int, call: Callable[[], Any]) -> None:
        delay_s = min(MAX_RETRY_DELAY_S, RETRY_STEP_S * failure_count)
        self._effects.later(delay_s * (0.5 + self._effects.rng.random()), call)

    def _watch(self) -> None:
        sent_at = self._effects.now()

        def on_done(result: WatchResult) -> None:
            if result.outcome is WatchOutcome.COMPACTED:
                self._read_keys()
                return
            if result.reply is None:
                self._retry(self._read_keys if self._should_relist() else self._watch)
                return
            self._apply(result.reply, sent_at)
            self._watch()

        self._store.watch(self._prefix, self._revision, self._wait_s, on_done)


class SnapshotWatcher(Watcher):
    """Watcher of few keys, all of which are read with one list; `on_snapshot` is passed all of them at once.

    Keys that are absent from a snapshot have been deleted.
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
        """Initialize a watcher; the store may hold a watch open for `wait_s` while nothing changes."""
        super().__init__(effects, store, prefix, wait_s, on_events)
        self._on_snapshot = on_snapshot

    def _read_keys(self) -> None:
        sent_at = self._effects.now()

        def on_done(items: list[wire.KeyValue] | None, revision: int) -> None:
            if items is None:
                self._retry(self._read_keys)
                return
            self._failure_count = 0
            self._revision = revision
            self.view_number += 1
            self._on_all_read(sent_at)
            self._on_snapshot(items)
            self._watch()

        self._store.list(self._prefix, on_done)
