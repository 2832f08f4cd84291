"""Client of the state store for reads, lists, watches, compare-and-swap transactions and leases."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from typing import Any
from urllib.parse import quote

import msgspec

from tealhook.context import NodeContext
from tealhook.loop.effects import OnAnswer
from tealhook.state_store.request_queue import (
    TOO_MANY_REQUESTS,
    UNAVAILABLE,
    CallPriority,
    RequestQueue,
    StateRequest,
)
from tealhook.state_store.results import (
    ReadOutcome,
    ReadResult,
    RenewalOutcome,
    TransactionOutcome,
    TransactionResult,
    WatchOutcome,
    WatchResult,
)
from tealhook.wire import state as wire
from tealhook.wire.common import encode_json

log = logging.getLogger(__name__)

STATE_CALL_TIMEOUT_S = 2.0
MAX_RECORD_VALUE_SHARE = 0.97  # leaves a margin because the store may compute the size of a value differently
LIST_PAGE_SIZE = 500
MAX_TRANSACTION_BYTES = 56 * 1024  # leaves a margin to the state store's limit of 64 KiB
MAX_LOGGED_BODY_BYTES = 200  # longer bodies of error responses are truncated in the log

# HTTP statuses of the state store.
OK = 200
NO_CONTENT = 204
BAD_REQUEST = 400
NOT_FOUND = 404
CONFLICT = 409
GONE = 410  # the revision to watch from has been compacted

OnRead = Callable[[ReadResult], Any]
OnPage = Callable[[wire.KeyRange | None], Any]  # is passed None on failure
OnList = Callable[[list[wire.KeyValue] | None, int], Any]  # is passed key-values and revision; (None, 0) on failure
OnWatch = Callable[[WatchResult], Any]
OnTransaction = Callable[[TransactionResult], Any]


class StateClient(RequestQueue):
    """State store client of one node, whose requests are queued by priority."""

    def __init__(self, context: NodeContext) -> None:
        """Initialize a client with the rate and size limits in the settings."""
        super().__init__(context)
        limits = context.settings.params.state.strictest
        self.max_operations = limits.txn_ops
        self.max_value_bytes = int(limits.value_kb * 1024)

    # -- reads

    @property
    def max_record_bytes(self) -> float:
        """Maximum size of the value of a record that is to be written."""
        return MAX_RECORD_VALUE_SHARE * self.max_value_bytes

    def get(
        self,
        key: str,
        on_done: OnRead,
        priority: CallPriority = CallPriority.ADMIT,
        queue_timeout_s: float = 1.0,
        answer_timeout_s: float = STATE_CALL_TIMEOUT_S,
    ) -> None:
        """Read one key.

        In all methods, `queue_timeout_s` limits the wait for rate limit tokens and `answer_timeout_s` the wait for the
        answer once the request is sent.
        """

        def on_answer(status: int | None, body: bytes) -> None:
            on_done(_parse_read(status, body))

        self._get(priority, "/store/" + quote(key, safe="/"), queue_timeout_s, answer_timeout_s, on_answer)

    def list_page(
        self,
        prefix: str,
        after: str,
        on_done: OnPage,
        page_size: int = LIST_PAGE_SIZE,
        priority: CallPriority = CallPriority.ASSIGN,
        queue_timeout_s: float = 5.0,
        answer_timeout_s: float = 2 * STATE_CALL_TIMEOUT_S,
    ) -> None:
        """Read at most `page_size` key-values below a prefix, from the first key behind `after` on."""

        def on_answer(status: int | None, body: bytes) -> None:
            on_done(_parse_page(status, body))

        target = f"/store?starts={quote(prefix, safe='/')}&page={page_size}"
        if after:
            target += f"&after={quote(after, safe='/')}"
        self._get(priority, target, queue_timeout_s, answer_timeout_s, on_answer)

    def list(
        self,
        prefix: str,
        on_done: OnList,
        page_size: int = LIST_PAGE_SIZE,
        priority: CallPriority = CallPriority.ASSIGN,
        queue_timeout_s: float = 5.0,
        answer_timeout_s: float = 2 * STATE_CALL_TIMEOUT_S,
    ) -> None:
        """Read all key-values below a prefix, page by page; pass them and the revision of the first page to `on_done`.

        A watch from that revision also covers the changes made while later pages are read. All key-values are held in
        memory at once: a prefix whose keys become more with the age of a deployment is read by a `ScanningWatcher`.
        """
        items: list[wire.KeyValue] = []
        page_revisions: list[int] = []

        def on_page(page: wire.KeyRange | None) -> None:
            if page is None:
                on_done(None, 0)
                return
            items.extend(page.items)
            page_revisions.append(page.revision)
            if page.more and page.items:
                request_page(page.items[-1].key)
            else:
                on_done(items, page_revisions[0])

        def request_page(after: str) -> None:
            self.list_page(prefix, after, on_page, page_size, priority, queue_timeout_s, answer_timeout_s)

        request_page("")

    def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float,
        on_done: OnWatch,
        *,
        priority: CallPriority = CallPriority.ADMIT,
        queue_timeout_s: float = 5.0,
        answer_timeout_s: float = STATE_CALL_TIMEOUT_S,
    ) -> None:
        """Wait for changes below a prefix since revision `after`.

        The store may hold the request open for `wait_s` while nothing changes; with 0, it returns the changes so far.
        `answer_timeout_s` is added to `wait_s`.
        """

        def on_answer(status: int | None, body: bytes) -> None:
            on_done(_parse_watch(status, body))

        target = f"/watch?starts={quote(prefix, safe='/')}&after={after}&wait_ms={int(wait_s * 1000)}"
        self._get(priority, target, queue_timeout_s, wait_s + answer_timeout_s, on_answer)

    def _get(
        self, priority: CallPriority, target: str, queue_timeout_s: float, answer_timeout_s: float, on_answer: OnAnswer
    ) -> None:
        self.submit(priority, StateRequest("GET", target, None, 0, queue_timeout_s, answer_timeout_s, on_answer))

    # -- writes

    def transact(
        self,
        conditions: wire.Conditions,
        operations: Sequence[wire.Operation],
        priority: CallPriority,
        on_done: OnTransaction,
        queue_timeout_s: float = 1.0,
        answer_timeout_s: float = STATE_CALL_TIMEOUT_S,
    ) -> None:
        """Execute all operations if all conditions hold, and none otherwise."""

        def on_answer(status: int | None, body: bytes) -> None:
            on_done(_parse_transaction(status, body))

        body = wire.encode_transaction(conditions, operations)
        self.submit(
            priority,
            StateRequest("POST", "/txn", body, max(1, len(operations)), queue_timeout_s, answer_timeout_s, on_answer),
        )

    # -- leases

    def grant_lease(self, ttl_s: float, on_done: Callable[[int | None], Any]) -> None:
        """Create a lease that expires `ttl_s` after its last renewal; pass its id to `on_done`, or None on failure."""

        def on_answer(status: int | None, body: bytes) -> None:
            on_done(_parse_lease(status, body))

        body = encode_json({"ttl_ms": int(ttl_s * 1000)})
        self.submit(CallPriority.RENEW, StateRequest("POST", "/grants", body, 0, 1.0, STATE_CALL_TIMEOUT_S, on_answer))

    def renew_lease(self, lease_id: int, answer_timeout_s: float, on_done: Callable[[RenewalOutcome], Any]) -> None:
        """Renew a lease for its full time to live."""

        def on_answer(status: int | None, _body: bytes) -> None:
            if status == OK:
                on_done(RenewalOutcome.RENEWED)
            else:
                on_done(RenewalOutcome.EXPIRED if status == NOT_FOUND else RenewalOutcome.UNKNOWN)

        target = f"/grants/{lease_id}/renew"
        self.submit(CallPriority.RENEW, StateRequest("POST", target, b"{}", 0, 0.5, answer_timeout_s, on_answer))

    def revoke_lease(self, lease_id: int, on_done: Callable[[bool], Any]) -> None:
        """Delete a lease and all keys attached to it; pass to `on_done` whether the lease is known to be gone."""

        def on_answer(status: int | None, _body: bytes) -> None:
            on_done(status in (OK, NO_CONTENT, NOT_FOUND))

        target = f"/grants/{lease_id}"
        self.submit(CallPriority.RENEW, StateRequest("DELETE", target, None, 0, 1.0, STATE_CALL_TIMEOUT_S, on_answer))


def _parse_read(status: int | None, body: bytes) -> ReadResult:
    try:
        if status == OK:
            return ReadResult(ReadOutcome.FOUND, wire.key_value_decoder.decode(body))
        if status == NOT_FOUND:
            wire.absent_decoder.decode(body)  # a 404 of a proxy does not prove that the key is absent
            return ReadResult(ReadOutcome.ABSENT)
    except msgspec.DecodeError as exc:
        log.error("state store: malformed answer to a read request: %s", exc)
    return ReadResult(ReadOutcome.UNKNOWN)


def _parse_page(status: int | None, body: bytes) -> wire.KeyRange | None:
    if status != OK:
        return None
    try:
        return wire.key_range_decoder.decode(body)
    except msgspec.DecodeError as exc:
        log.error("state store: malformed answer to a list request: %s", exc)
        return None


def _parse_watch(status: int | None, body: bytes) -> WatchResult:
    if status == OK:
        try:
            return WatchResult(WatchOutcome.CHANGES, wire.watch_reply_decoder.decode(body))
        except msgspec.DecodeError as exc:
            log.error("state store: malformed answer to a watch request: %s", exc)
    return WatchResult(WatchOutcome.COMPACTED if status == GONE else WatchOutcome.UNKNOWN)


def _parse_transaction(status: int | None, body: bytes) -> TransactionResult:
    try:
        if status == OK:
            return TransactionResult(
                TransactionOutcome.COMMITTED, revision=wire.committed_decoder.decode(body).revision
            )
        if status == CONFLICT:
            return TransactionResult(
                TransactionOutcome.CONFLICTED, failed_keys=wire.conflict_decoder.decode(body).failed_keys
            )
    except msgspec.DecodeError as exc:
        log.error("state store: malformed answer to a transaction: %s", exc)
        return TransactionResult(TransactionOutcome.UNKNOWN)
    if status == BAD_REQUEST:
        return TransactionResult(_parse_bad_request(body))
    # With 503 or 429 it was not executed; with any other status, or no answer, it may have been.
    is_refused = status in (TOO_MANY_REQUESTS, UNAVAILABLE)
    return TransactionResult(TransactionOutcome.REFUSED if is_refused else TransactionOutcome.UNKNOWN)


def _parse_lease(status: int | None, body: bytes) -> int | None:
    try:
        return wire.lease_granted_decoder.decode(body).lease_id if status == OK else None
    except msgspec.DecodeError as exc:
        log.error("state store: malformed answer to a lease grant request: %s", exc)
        return None


def _parse_bad_request(body: bytes) -> TransactionOutcome:
    if b"no such lease" in body:  # the lease expired, such as during a network partition; its renewal handles that
        log.info("state store: transaction refused because its lease has expired: %s", body[:MAX_LOGGED_BODY_BYTES])
        return TransactionOutcome.REFUSED
    log.error("state store: transaction rejected as invalid: %s", body[:MAX_LOGGED_BODY_BYTES])
    return TransactionOutcome.REJECTED
