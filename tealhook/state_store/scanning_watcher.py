"""Watched view of a prefix whose keys become more with the age of a deployment, read page by page."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from tealhook.loop.effects import LONG_AGO_S, Effects
from tealhook.state_store.client import StateClient
from tealhook.state_store.key_fetch import KeyFetch
from tealhook.state_store.watcher import Watcher
from tealhook.wire import state as wire

log = logging.getLogger(__name__)

SCAN_PAGE_SIZE = 1000  # keys per request; the state store returns no more


class ScanningWatcher(Watcher):
    """Watcher that passes on one page of keys at a time, while the watch already follows the changes.

    Only one page is in memory at a time, and a scan may take longer than the store retains changes. `on_page` gets
    each page and has to ignore key-values that are older than what it knows, since a change of a key may be passed to
    `on_events` before the page that holds the key.

    Once changes have been missed, keys that were passed on before may be outdated. Those that may still change, as
    `list_mutable_keys` tells, are then read again one by one, so that they need not wait for the end of a new scan.
    """

    def __init__(
        self,
        effects: Effects,
        store: StateClient,
        prefix: str,
        wait_s: float,
        on_page: Callable[[list[wire.KeyValue]], Any],
        on_events: Callable[[list[wire.WatchEvent]], Any],
        list_mutable_keys: Callable[[], list[str]],
    ) -> None:
        """Initialize a watcher; the store may hold a watch open for `wait_s` while nothing changes."""
        super().__init__(effects, store, prefix, wait_s, on_events)
        self._on_page = on_page
        self._list_mutable_keys = list_mutable_keys
        self._key_fetch: KeyFetch | None = None
        self._scan = 0  # number of the current scan; answers to earlier ones are ignored
        self._scan_started_at = LONG_AGO_S
        self._key_count = 0  # keys read by the current scan
        self._page_failure_count = 0  # consecutive unanswered requests for the same page
        self._watched_at = LONG_AGO_S  # time at which the last answered watch was sent

    def tracking_s(self) -> float:
        """Return the seconds since the present scan began, or 0 while the changes are not being followed."""
        return self._effects.now() - self._scan_started_at if self.is_tracking else 0.0

    def _apply(self, reply: wire.WatchReply, sent_at: float) -> None:
        self._watched_at = max(self._watched_at, sent_at)
        super()._apply(reply, sent_at)

    def _read_keys(self) -> None:
        self._scan += 1
        self._key_count = self._page_failure_count = 0
        self.is_tracking = self.has_all_keys = False
        if self._key_fetch is not None:
            self._key_fetch.cancel()
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

        In the first scan of a process nothing has been passed on before, so the watch covers all changes.
        """
        self._revision = max(self._revision, first_page.revision)
        self._scan_started_at = sent_at
        if self._scan == 1:
            self._on_tracking()
        elif first_page.more:
            self._key_fetch = KeyFetch(
                self._effects,
                self._store,
                self._list_mutable_keys(),
                lambda item: self._on_page([item]),
                self._on_tracking,
            )
            self._key_fetch.start()

    def _on_tracking(self) -> None:
        self.is_tracking = True
        self.viewed_at = max(self.viewed_at, self._scan_started_at, self._watched_at)

    def _on_page_read(self, scan: int, page: wire.KeyRange) -> None:
        began_at = self._effects.now()
        self._page_failure_count = 0
        self._key_count += len(page.items)
        if not (page.more and page.items):
            self._on_all_read(max(self._scan_started_at, self._watched_at))
            self._on_page(page.items)
            log.info("%s: read %d keys in %.1f s", self._prefix, self._key_count, began_at - self._scan_started_at)
            return
        self._on_page(page.items)
        # A pause as long as the processing leaves half of the processor time to requests and heartbeats.
        pause_s = self._effects.now() - began_at
        after = page.items[-1].key
        if pause_s > 0:
            self._effects.later(pause_s, lambda: self._read_page(scan, after))
        else:
            self._read_page(scan, after)

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
