"""Calls to the state service: reads, watches, transactions and leases."""

from __future__ import annotations

import enum
import logging
from collections.abc import Callable, Sequence
from typing import Any, Literal
from urllib.parse import quote

import msgspec

from tealhook.context import NodeContext
from tealhook.state_store.request_queue import CallPriority, RequestQueue
from tealhook.wire import state as wire
from tealhook.wire.common import dumps

log = logging.getLogger("tealhook.store")

CALL_TIMEOUT_S = 2.0
RECORD_SHARE = 0.97  # of what a value may hold; the rest allows for another way of counting


class Outcome(enum.Enum):
    """What is known of a transaction after its answer, or for want of one."""

    OK = "ok"
    CONFLICT = "conflict"
    REFUSED = "refused"  # certainly not executed; the same may pass later
    REJECTED = "rejected"  # certainly not executed, and never will be as it is
    UNSURE = "unsure"  # may have been executed, or may yet be


ReadKind = Literal["ok", "absent", "unknown"]
WatchKind = Literal["ok", "old", "unknown"]  # old: the revision asked from is no longer kept, so list anew
RenewKind = Literal["ok", "ended", "unknown"]
TxnDone = Callable[[Outcome, int, list[str]], Any]  # of the epoch if executed, and of the failed keys if not


class StateClient(RequestQueue):
    """One node's calls to the state service, queued by priority."""

    def __init__(self, context: NodeContext) -> None:
        """Budgets and the limits of what may be written come from the settings."""
        super().__init__(context)
        limits = context.settings.params.state.least
        self.max_operations = limits.txn_ops
        self.value_bytes = int(limits.value_kb * 1024)

    # -- reads

    @property
    def record_bytes(self) -> float:
        """How large the value of a record may be laid out."""
        return RECORD_SHARE * self.value_bytes

    def get(
        self,
        key: str,
        done: Callable[[ReadKind, wire.KeyValue | None], Any],
        priority: CallPriority = CallPriority.ADMIT,
        wait: float = 1.0,
        timeout: float = CALL_TIMEOUT_S,
    ) -> None:
        """`done("ok", row)`, `done("absent", None)` or `done("unknown", None)`."""

        def answer(status: int | None, body: bytes) -> None:
            try:
                if status == 200:
                    done("ok", wire.row_decoder.decode(body))
                    return
                if status == 404:
                    wire.absent_decoder.decode(body)
                    done("absent", None)
                    return
            except msgspec.DecodeError as exc:
                log.error("state service: bad answer to a read: %s", exc)
            done("unknown", None)

        self._submit(priority, "GET", "/store/" + quote(key, safe="/"), None, 0, wait, timeout, answer)

    def list(
        self,
        prefix: str,
        done: Callable[[list[wire.KeyValue] | None, int], Any],
        page: int = 500,
        priority: CallPriority = CallPriority.ASSIGN,
        wait: float = 5.0,
        timeout: float = 2 * CALL_TIMEOUT_S,
    ) -> None:
        """All rows below a prefix with the epoch of the first page, or (None, 0)."""
        rows: list[wire.KeyValue] = []
        first: list[int] = []

        def answer(status: int | None, body: bytes) -> None:
            if status != 200:
                done(None, 0)
                return
            try:
                chunk = wire.rows_decoder.decode(body)
            except msgspec.DecodeError as exc:
                log.error("state service: bad answer to a list: %s", exc)
                done(None, 0)
                return
            rows.extend(chunk.items)
            first.append(chunk.revision)
            if chunk.more and chunk.items:
                ask(chunk.items[-1].key)
            else:
                done(rows, first[0])

        def ask(after: str) -> None:
            target = f"/store?starts={quote(prefix, safe='/')}&page={page}"
            if after:
                target += f"&after={quote(after, safe='/')}"
            self._submit(priority, "GET", target, None, 0, wait, timeout, answer)

        ask("")

    def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float,
        done: Callable[[WatchKind, wire.WatchReply | None], Any],
        *,
        priority: CallPriority = CallPriority.ADMIT,
        queue_s: float = 5.0,
        spare_s: float = CALL_TIMEOUT_S,
    ) -> None:
        """`done("ok", watched)`, `done("old", None)` or `done("unknown", None)`.

        `wait_s`: how long the service may hold the call while nothing changes; 0 asks for what has changed so far.
        `queue_s`: for tokens; `spare_s`: for the answer, beyond `wait_s`.
        """

        def answer(status: int | None, body: bytes) -> None:
            if status == 200:
                try:
                    done("ok", wire.watched_decoder.decode(body))
                    return
                except msgspec.DecodeError as exc:
                    log.error("state service: bad answer to a watch: %s", exc)
            done("old" if status == 410 else "unknown", None)

        target = f"/watch?starts={quote(prefix, safe='/')}&after={after}&wait_ms={int(wait_s * 1000)}"
        self._submit(priority, "GET", target, None, 0, queue_s, wait_s + spare_s, answer)

    # -- changes

    def transact(
        self,
        conditions: wire.Conditions,
        operations: Sequence[wire.Operation],
        priority: CallPriority,
        done: TxnDone,
        wait: float = 1.0,
        timeout: float = CALL_TIMEOUT_S,
    ) -> None:
        """Execute all operations, or none where a condition fails; `done(outcome, epoch, failed keys)`."""

        def answer(status: int | None, body: bytes) -> None:
            try:
                if status == 200:
                    done(Outcome.OK, wire.committed_decoder.decode(body).revision, [])
                    return
                if status == 409:
                    done(Outcome.CONFLICT, 0, wire.conflict_decoder.decode(body).failed_keys)
                    return
            except msgspec.DecodeError as exc:
                log.error("state service: bad answer to a transaction: %s", exc)
                done(Outcome.UNSURE, 0, [])
                return
            if status == 400:
                ended = b"no such lease" in body  # as after any cut that outlasts it: the renewal sees to that
                log.log(logging.INFO if ended else logging.ERROR, "state service: transaction refused: %s", body[:200])
                if not ended:
                    done(Outcome.REJECTED, 0, [])
                    return
            # 503 and 429 say that it was not executed; silence and anything unknown say nothing.
            done(Outcome.REFUSED if status in (400, 429, 503) else Outcome.UNSURE, 0, [])

        body = wire.encode_transaction(conditions, operations)
        self._submit(priority, "POST", "/txn", body, max(1, len(operations)), wait, timeout, answer)

    # -- leases

    def grant_lease(self, ttl_s: float, done: Callable[[int | None], Any]) -> None:
        """Create a lease that ends `ttl_s` after its last renewal; `done(lease id or None)`."""

        def answer(status: int | None, body: bytes) -> None:
            try:
                done(wire.granted_decoder.decode(body).lease_id if status == 200 else None)
            except msgspec.DecodeError:
                done(None)

        body = dumps({"ttl_ms": int(ttl_s * 1000)})
        self._submit(CallPriority.RENEW, "POST", "/grants", body, 0, 1.0, CALL_TIMEOUT_S, answer)

    def renew_lease(self, lease: int, timeout: float, done: Callable[[RenewKind], Any]) -> None:
        """`done("ok")`, `done("ended")` or `done("unknown")`."""

        def answer(status: int | None, _body: bytes) -> None:
            done("ok" if status == 200 else "ended" if status == 404 else "unknown")

        self._submit(CallPriority.RENEW, "POST", f"/grants/{lease}/renew", b"{}", 0, 0.5, timeout, answer)

    def revoke_lease(self, lease: int, done: Callable[[bool], Any]) -> None:
        """End a lease and with it every key under it; `done(whether it has certainly ended)`."""

        def answer(status: int | None, _body: bytes) -> None:
            done(status in (200, 204, 404))

        self._submit(CallPriority.RENEW, "DELETE", f"/grants/{lease}", None, 0, 1.0, CALL_TIMEOUT_S, answer)
