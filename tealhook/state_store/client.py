"""Client of the state store: reads, lists, watches, compare-and-swap transactions and leases."""

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

CALL_TIMEOUT_S = 2.0
RECORD_SHARE = 0.97  # of the size limit of a value; the rest allows for another way of counting
LIST_PAGE_SIZE = 500
LOGGED_BYTES = 200  # of the body of an answer with an error

# HTTP statuses of the state store.
OK = 200
NO_CONTENT = 204
BAD_REQUEST = 400
NOT_FOUND = 404
CONFLICT = 409
GONE = 410  # the revision asked from has been compacted

OnRead = Callable[[ReadResult], Any]
OnList = Callable[[list[wire.KeyValue] | None, int], Any]  # of the key-values and the revision; (None, 0): no answer
OnWatch = Callable[[WatchResult], Any]
OnTransaction = Callable[[TransactionResult], Any]


class StateClient(RequestQueue):
    """One node's requests to the state store, queued by priority."""

    def __init__(self, context: NodeContext) -> None:
        """Rate limits and the limits of what may be written come from the settings."""
        super().__init__(context)
        limits = context.settings.params.state.least
        self.max_operations = limits.txn_ops
        self.max_value_bytes = int(limits.value_kb * 1024)

    # -- reads

    @property
    def max_record_bytes(self) -> float:
        """How large the value of a record may be laid out."""
        return RECORD_SHARE * self.max_value_bytes

    def get(
        self,
        key: str,
        on_done: OnRead,
        priority: CallPriority = CallPriority.ADMIT,
        queue_timeout_s: float = 1.0,
        answer_timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        """Read one key. `wait`: seconds for tokens, `timeout`: seconds for the answer, here and below."""

        def answer(status: int | None, body: bytes) -> None:
            on_done(_parse_read(status, body))

        self._get(priority, "/store/" + quote(key, safe="/"), queue_timeout_s, answer_timeout_s, answer)

    def list(
        self,
        prefix: str,
        on_done: OnList,
        page_size: int = LIST_PAGE_SIZE,
        priority: CallPriority = CallPriority.ASSIGN,
        queue_timeout_s: float = 5.0,
        answer_timeout_s: float = 2 * CALL_TIMEOUT_S,
    ) -> None:
        """Read all key-values below a prefix, page by page; `on_done` also gets the revision of the first page."""
        items: list[wire.KeyValue] = []
        revisions: list[int] = []  # of the pages

        def answer(status: int | None, body: bytes) -> None:
            if status != OK:
                on_done(None, 0)
                return
            try:
                reply = wire.key_range_decoder.decode(body)
            except msgspec.DecodeError as exc:
                log.error("state store: malformed answer to a list: %s", exc)
                on_done(None, 0)
                return
            items.extend(reply.items)
            revisions.append(reply.revision)
            if reply.more and reply.items:
                request_page(reply.items[-1].key)
            else:
                on_done(items, revisions[0])

        def request_page(after: str) -> None:
            target = f"/store?starts={quote(prefix, safe='/')}&page={page_size}"
            if after:
                target += f"&after={quote(after, safe='/')}"
            self._get(priority, target, queue_timeout_s, answer_timeout_s, answer)

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
        answer_timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        """Wait for changes below a prefix since revision `after`.

        `wait_s`: how long the store may hold the request open while nothing changes; 0 asks for what has changed so
        far. `queue_timeout_s`: for tokens; `answer_timeout_s`: for the answer, beyond `wait_s`.
        """

        def answer(status: int | None, body: bytes) -> None:
            on_done(_parse_watch(status, body))

        target = f"/watch?starts={quote(prefix, safe='/')}&after={after}&wait_ms={int(wait_s * 1000)}"
        self._get(priority, target, queue_timeout_s, wait_s + answer_timeout_s, answer)

    def _get(
        self, priority: CallPriority, target: str, queue_timeout_s: float, answer_timeout_s: float, answer: OnAnswer
    ) -> None:
        self.submit(priority, StateRequest("GET", target, None, 0, queue_timeout_s, answer_timeout_s, answer))

    # -- writes

    def transact(
        self,
        conditions: wire.Conditions,
        operations: Sequence[wire.Operation],
        priority: CallPriority,
        on_done: OnTransaction,
        queue_timeout_s: float = 1.0,
        answer_timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        """Compare and swap: execute all operations, or none where a condition fails."""

        def answer(status: int | None, body: bytes) -> None:
            on_done(_parse_transaction(status, body))

        body = wire.encode_transaction(conditions, operations)
        self.submit(
            priority,
            StateRequest("POST", "/txn", body, max(1, len(operations)), queue_timeout_s, answer_timeout_s, answer),
        )

    # -- leases

    def grant_lease(self, ttl_s: float, on_done: Callable[[int | None], Any]) -> None:
        """Create a lease that expires `ttl_s` after its last renewal; `on_done` is passed its id, or None."""

        def answer(status: int | None, body: bytes) -> None:
            on_done(_parse_lease(status, body))

        body = encode_json({"ttl_ms": int(ttl_s * 1000)})
        self.submit(CallPriority.RENEW, StateRequest("POST", "/grants", body, 0, 1.0, CALL_TIMEOUT_S, answer))

    def renew_lease(self, lease_id: int, answer_timeout_s: float, on_done: Callable[[RenewalOutcome], Any]) -> None:
        """Renew a lease for its whole time to live."""

        def answer(status: int | None, _body: bytes) -> None:
            if status == OK:
                on_done(RenewalOutcome.RENEWED)
            else:
                on_done(RenewalOutcome.EXPIRED if status == NOT_FOUND else RenewalOutcome.UNKNOWN)

        target = f"/grants/{lease_id}/renew"
        self.submit(CallPriority.RENEW, StateRequest("POST", target, b"{}", 0, 0.5, answer_timeout_s, answer))

    def revoke_lease(self, lease_id: int, on_done: Callable[[bool], Any]) -> None:
        """Delete a lease and with it every key under it; `on_done(whether it certainly exists no more)`."""

        def answer(status: int | None, _body: bytes) -> None:
            on_done(status in (OK, NO_CONTENT, NOT_FOUND))

        target = f"/grants/{lease_id}"
        self.submit(CallPriority.RENEW, StateRequest("DELETE", target, None, 0, 1.0, CALL_TIMEOUT_S, answer))


def _parse_read(status: int | None, body: bytes) -> ReadResult:
    try:
        if status == OK:
            return ReadResult(ReadOutcome.FOUND, wire.key_value_decoder.decode(body))
        if status == NOT_FOUND:
            wire.absent_decoder.decode(body)  # a 404 of anything else, such as a proxy, proves nothing
            return ReadResult(ReadOutcome.ABSENT)
    except msgspec.DecodeError as exc:
        log.error("state store: malformed answer to a read: %s", exc)
    return ReadResult(ReadOutcome.UNKNOWN)


def _parse_watch(status: int | None, body: bytes) -> WatchResult:
    if status == OK:
        try:
            return WatchResult(WatchOutcome.CHANGES, wire.watch_reply_decoder.decode(body))
        except msgspec.DecodeError as exc:
            log.error("state store: malformed answer to a watch: %s", exc)
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
    # 503 and 429 say that it was not executed; no answer, and any other status, say nothing.
    is_refused = status in (TOO_MANY_REQUESTS, UNAVAILABLE)
    return TransactionResult(TransactionOutcome.REFUSED if is_refused else TransactionOutcome.UNKNOWN)


def _parse_lease(status: int | None, body: bytes) -> int | None:
    try:
        return wire.lease_granted_decoder.decode(body).lease_id if status == OK else None
    except msgspec.DecodeError as exc:
        log.error("state store: malformed answer to the request of a lease: %s", exc)
        return None


def _parse_bad_request(body: bytes) -> TransactionOutcome:
    if b"no such lease" in body:  # as after any network partition that outlasts the lease: its renewal handles that
        log.info("state store: transaction refused, its lease has expired: %s", body[:LOGGED_BYTES])
        return TransactionOutcome.REFUSED
    log.error("state store: transaction rejected: %s", body[:LOGGED_BYTES])
    return TransactionOutcome.REJECTED
