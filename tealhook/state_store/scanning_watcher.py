"""Watched view of a prefix whose keys become more with the age of a deployment, read page by page."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any, Protocol

from tealhook.loop.effects import LONG_AGO_S, Effects
from tealhook.state_store.client import StateClient
from tealhook.state_store.key_checkpoint import Checkpoint, KeyCheckpoint
from tealhook.state_store.key_fetch import KeyFetch
from tealhook.state_store.request_queue import CallPriority
from tealhook.state_store.results import WatchResult
from tealhook.state_store.watcher import Watcher
from tealhook.wire import state as wire

log = logging.getLogger(__name__)

SCAN_PAGE_SIZE = 1000  # keys per request; the state store returns no more
PAGES_PER_CHECKPOINT_LOOKUP = 4  # a scan looks for a checkpoint, or a newer one, after each so many pages
MIN_CHECKPOINT_KEYS = PAGES_PER_CHECKPOINT_LOOKUP * SCAN_PAGE_SIZE  # fewer keys are scanned as fast


class KeyObserver(Protocol):
    """The receiver of the keys below a prefix and of their changes."""

    def on_keys_read(self, items: list[wire.KeyValue]) -> None:
        """Apply key-values that were read in any order, except those older than what is known of their keys."""

    def on_page_read(self, items: list[wire.KeyValue]) -> None:
        """Apply the key-values of one page of a scan, which are ordered by key."""

    def on_keys_changed(self, events: list[wire.WatchEvent]) -> None:
        """Apply changes, which may be passed on more than once, and before the keys are read."""

    def list_mutable_keys(self) -> list[str]:
        """Return those of the known keys whose values may still change."""

    def list_missing_keys(self) -> list[str]:
        """Return the keys that belong to keys passed on, and have not been passed on themselves."""


class ScanningWatcher(Watcher):
    """Watcher that passes on one page of keys at a time, while the watch already follows the changes.

    Only one page is in memory at a time, and a scan may take longer than the store retains changes.

    Once changes have been missed, keys that were passed on before may be outdated. Those that may still change are then
    read again one by one, so that they need not wait for the end of a new scan.

    The scan of many keys ends early if there is a `KeyCheckpoint` from which on the state store retains all changes:
    then only the keys that may still change are read. The nodes that have such a view save the next checkpoint.
    """

    def __init__(
        self,
        effects: Effects,
        store: StateClient,
        prefix: str,
        wait_s: float,
        observer: KeyObserver,
        checkpoint: KeyCheckpoint,
    ) -> None:
        """Initialize a watcher; the store may hold a watch open for `wait_s` while nothing changes."""
        super().__init__(effects, store, prefix, wait_s, observer.on_keys_changed)
        self._observer = observer
        self._checkpoint = checkpoint
        self._has_mutable_keys = False  # whether the present view has all keys that may still change
        self._key_fetch: KeyFetch | None = None
        self._scan = 0  # number of the current scan; answers to earlier ones are ignored
        self._scan_started_at = LONG_AGO_S
        self._page_count = 0  # pages read by the current scan
        self._key_count = 0  # keys read by the current scan, and changes since
        self._page_failure_count = 0  # consecutive unanswered requests for the same page
        self._watched_at = LONG_AGO_S  # time at which the last answered watch was sent

    def tracking_s(self) -> float:
        """Return the seconds since the present scan began, or 0 while the changes are not being followed."""
        return self._effects.now() - self._scan_started_at if self.is_tracking else 0.0

    def _apply(self, reply: wire.WatchReply, sent_at: float) -> None:
        self._watched_at = max(self._watched_at, sent_at)
        self._key_count += len(reply.events)
        super()._apply(reply, sent_at)
        if self._has_mutable_keys and self._key_count >= MIN_CHECKPOINT_KEYS:
            self._checkpoint.save_if_due(self._revision, self._take_checkpoint)

    def _take_checkpoint(self) -> Checkpoint | None:
        return Checkpoint(self._revision, self._observer.list_mutable_keys()) if self._has_mutable_keys else None

    def _read_keys(self) -> None:
        self._scan += 1
        self._page_count = self._key_count = self._page_failure_count = 0
        self.is_tracking = self.has_all_keys = self._has_mutable_keys = False
        self._cancel_fetch()
        self._read_first_page(self._scan)

    def _read_first_page(self, scan: int) -> None:
        sent_at = self._effects.now()

        def on_done(page: wire.KeyRange | None) -> None:
            if scan != self._scan:
                return
            if page is None:
                self._retry(lambda: self._read_first_page(scan) if scan == self._scan else None)
                return
            self._failure_count = 0
            self._begin(page, sent_at)
            self._on_page_read(scan, page)
            self._watch()

        self._store.list_page(self._prefix, "", on_done, SCAN_PAGE_SIZE)

    def _begin(self, first_page: wire.KeyRange, sent_at: float) -> None:
        """Track changes from the revision of the first page on.

        The observer may know keys already, from before the changes were missed or, in the first scan of a process, from
        its own reads and writes. The watch does not cover what happened to them until now.
        """
        self.view_number += 1
        self._revision = max(self._revision, first_page.revision)
        self._scan_started_at = sent_at
        if first_page.more:
            self._fetch(self._observer.list_mutable_keys(), self._on_tracking)

    def _on_tracking(self) -> None:
        self.is_tracking = True
        self.viewed_at = max(self.viewed_at, self._scan_started_at, self._watched_at)

    def _on_page_read(self, scan: int, page: wire.KeyRange) -> None:
        began_at = self._effects.now()
        self._page_failure_count = 0
        self._page_count += 1
        self._key_count += len(page.items)
        if not (page.more and page.items):
            self._cancel_fetch()
            self._has_mutable_keys = True
            self._on_all_read(max(self._scan_started_at, self._watched_at))
            self._observer.on_page_read(page.items)
            log.info("%s: read %d keys in %.1f s", self._prefix, self._key_count, began_at - self._scan_started_at)
            return
        self._observer.on_page_read(page.items)
        # A pause as long as the processing leaves half of the processor time to requests and heartbeats.
        pause_s = self._effects.now() - began_at
        after = page.items[-1].key
        if pause_s > 0:
            self._effects.later(pause_s, lambda: self._go_on(scan, after))
        else:
            self._go_on(scan, after)

    def _go_on(self, scan: int, after: str) -> None:
        """Read the next page, or look for a checkpoint first."""
        if self._page_count % PAGES_PER_CHECKPOINT_LOOKUP:
            self._read_page(scan, after)
        else:
            self._look_for_checkpoint(scan, lambda: self._read_page(scan, after))

    def _read_page(self, scan: int, after: str) -> None:
        if scan != self._scan:
            return

        def on_done(page: wire.KeyRange | None) -> None:
            if scan != self._scan:
                return
            if page is None:
                self._page_failure_count += 1
                self._retry_after_failures(self._page_failure_count, lambda: self._read_page(scan, after))
                return
            self._on_page_read(scan, page)

        self._store.list_page(self._prefix, after, on_done, SCAN_PAGE_SIZE)

    # -- checkpoint

    def _look_for_checkpoint(self, scan: int, go_on: Callable[[], Any]) -> None:
        """End the scan by a checkpoint and the changes since, or call `go_on` if there is no usable one."""

        def on_loaded(checkpoint: Checkpoint | None) -> None:
            if scan != self._scan:
                return
            if checkpoint is None:
                go_on()
                return
            self._store.watch(
                self._prefix,
                checkpoint.revision,
                0.0,
                lambda result: on_changes_read(checkpoint, result),
                priority=CallPriority.ASSIGN,
            )

        def on_changes_read(checkpoint: Checkpoint, result: WatchResult) -> None:
            if scan != self._scan:
                return
            if result.reply is None:
                go_on()  # the checkpoint is too old
                return
            events = result.reply.events
            self._on_events(events)
            changed = {event.key for event in events}
            keys = dict.fromkeys([*checkpoint.keys, *self._observer.list_mutable_keys()])
            self._fetch([key for key in keys if key not in changed], self._on_mutable_read)

        self._checkpoint.load(on_loaded)

    def _on_mutable_read(self) -> None:
        self._fetch(self._observer.list_missing_keys(), self._on_checkpoint_applied)

    def _fetch(self, keys: list[str], on_done: Callable[[], Any]) -> None:
        """Pass on the present values of some keys, in place of an earlier fetch that is not done yet."""
        self._cancel_fetch()
        self._key_fetch = KeyFetch(
            self._effects, self._store, keys, lambda item: self._observer.on_keys_read([item]), on_done
        )
        self._key_fetch.start()

    def _cancel_fetch(self) -> None:
        if self._key_fetch is not None:
            self._key_fetch.cancel()

    def _on_checkpoint_applied(self) -> None:
        """End the scan, since every key that was not read is final."""
        self.is_synced = self._has_mutable_keys = True
        self._on_tracking()
        log.info(
            "%s: read %d keys and a checkpoint in %.1f s",
            self._prefix,
            self._key_count,
            self._effects.now() - self._scan_started_at,
        )
