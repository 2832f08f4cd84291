"""A stand-in for the state store."""

from __future__ import annotations

import bisect
import json
from collections import Counter
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from tests.simulation.errors import RuleViolationError


class StateStore:
    """A consistent store with leases and watches; lost answers and late requests are simulated by the network."""

    def __init__(self, cluster: Any) -> None:
        self.cluster = cluster
        self.rows: dict[str, tuple[Any, int, int | None]] = {}  # key -> value, modification revision, lease id
        self.revision = 0
        self.change_log: list[tuple[int, str, Any, bool]] = []  # revision, key, value, whether it is a put
        self.leases: dict[int, tuple[float, float]] = {}  # lease id -> expiry, time to live
        self.next_lease_id = 1
        self.down = False
        self.refused_nodes: set[str] = set()  # nodes that get 503 while others are served
        self.open_watches: list[tuple[str, str, int, Callable]] = []  # node, prefix, after which revision, answer
        self._sorted_keys: list[str] = []  # as of `_sorted_at`
        self._sorted_at = -1
        self.max_page_rows = 1000  # most rows of one page of a list
        self.retained_changes = 10_000  # number of changes that watches can still report
        self.compacted_revision = 0  # newest revision of which a change is no longer retained
        self.lowered_limits: Any = None  # limits that are enforced since `lower_limits`
        self.refused_writes: Counter[str] = Counter()  # transactions refused by the lowered limits, by the limit
        self._tokens, self._tokens_at = 0.0, 0.0  # of the lowered rate limit's token bucket

    def handle(self, node: str, method: str, target: str, body: bytes | None, answer: Callable) -> None:
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if self.down or node in self.refused_nodes:
            answer(503, b"{}")
            return
        if url.path == "/watch":
            self._watch(node, query, answer)
            return
        status, value = self._respond(method, unquote(url.path), query, json.loads(body) if body else {}, node)
        answer(status, json.dumps(value).encode())

    def _respond(self, method: str, path: str, query: dict, body: dict, node: str) -> tuple[int, Any]:
        if path == "/store":
            page = min(self.max_page_rows, int(query.get("page", 1000)))
            keys = self._list_keys(query["starts"], query.get("after", ""), page + 1)
            rows = [{"path": k, "v": self.rows[k][0], "stamp": self.rows[k][1]} for k in keys[:page]]
            return 200, {"rows": rows, "more": len(keys) > page, "epoch": self.revision}
        if path.startswith("/store/"):
            key = path[len("/store/") :]
            if key not in self.rows:
                return 404, {"epoch": self.revision}
            value, revision, lease_id = self.rows[key]
            return 200, {"path": key, "v": value, "stamp": revision, "hold": lease_id}
        if path == "/txn":
            return self._txn(body, node)
        if path == "/grants":
            lease_id, self.next_lease_id = self.next_lease_id, self.next_lease_id + 1
            ttl = body["ttl_ms"] / 1000
            self.leases[lease_id] = (self.cluster.now + ttl, ttl)
            return 200, {"hold": lease_id}
        lease_id = int(path.split("/")[2])
        if lease_id not in self.leases:
            return 404, {}
        if method == "DELETE":
            self._end_lease(lease_id)
        else:
            ttl = self.leases[lease_id][1]
            self.leases[lease_id] = (self.cluster.now + ttl, ttl)
        return 200, {}

    def _list_keys(self, prefix: str, after: str, count: int) -> list[str]:
        """Return the first `count` keys with a prefix that come after a key."""
        if self._sorted_at != self.revision or len(self._sorted_keys) != len(self.rows):
            self._sorted_keys, self._sorted_at = sorted(self.rows), self.revision
        first = max(bisect.bisect_left(self._sorted_keys, prefix), bisect.bisect_right(self._sorted_keys, after))
        return [key for key in self._sorted_keys[first : first + count] if key.startswith(prefix)]

    def add_old_rows(self, values: dict[str, Any]) -> None:
        """Add rows that were written one by one so long ago that their changes are not retained any more."""
        for key, value in values.items():
            self.revision += 1
            self.rows[key] = (value, self.revision, None)
        self.change_log.clear()
        self.compacted_revision = self.revision

    def _check_single_writer(self, key: str, node: str) -> None:
        """Check that only the owner of a team writes the team's assignment records."""
        if key.startswith("live/"):
            owner = self.rows.get("own/home/" + key.split("/")[1])
            if owner is None or owner[0]["n"] != node:
                raise RuleViolationError(
                    f"two writers: {node} writes {key}, but the team's owner is {owner and owner[0]['n']}"
                )

    def lower_limits(self, **limits: float) -> None:
        """Enforce these limits from now on, by default those of `state.next`; stored values stay readable."""
        strictest = self.cluster.settings.params.state.strictest
        self.lowered_limits = {name: getattr(strictest, name) for name in ("write_rps", "value_kb", "txn_ops")} | limits
        self._tokens, self._tokens_at = self.lowered_limits["write_rps"], self.cluster.now

    def _limit_status(self, body: dict) -> int | None:
        """Return 400 or 429 for a transaction that exceeds the lowered limits, else None."""
        limits, now = self.lowered_limits, self.cluster.now
        values = [json.dumps(op["v"], separators=(",", ":")) for op in body["apply"] if "write" in op]
        exceeded = None
        if len(body["apply"]) > limits["txn_ops"]:
            exceeded = "operations"
        elif len(body["when"]) > 4 * limits["txn_ops"]:
            exceeded = "conditions"
        elif any(len(value.encode()) > 1024 * limits["value_kb"] for value in values):
            exceeded = "value"
        elif len(json.dumps(body, separators=(",", ":")).encode()) > 64 * 1024:
            exceeded = "size"
        if exceeded is not None:
            self.refused_writes[exceeded] += 1
            return 400
        rate = limits["write_rps"]
        self._tokens = min(rate, self._tokens + rate * (now - self._tokens_at))
        self._tokens_at = now
        if self._tokens < len(body["apply"]):
            self.refused_writes["rate"] += 1
            return 429
        self._tokens -= len(body["apply"])
        return None

    def _txn(self, body: dict, node: str) -> tuple[int, Any]:
        for op in body.get("apply", []):
            if op.get("hold") is not None and op["hold"] not in self.leases:
                return 400, {"error": "no such lease"}
        limits = self.cluster.settings.params.state
        body = {"when": [], "apply": []} | body
        if self.lowered_limits is not None and (status := self._limit_status(body)) is not None:
            return status, {"error": "beyond the limits"}
        assert len(body["apply"]) <= limits.txn_ops and len(body["when"]) <= 4 * limits.txn_ops
        failed = [c["path"] for c in body["when"] if self.rows.get(c["path"], (0, 0, 0))[1] != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.revision}
        if not body["apply"]:
            return 200, {"epoch": self.revision}  # a transaction of conditions only
        self.revision += 1
        for op in body["apply"]:
            self._check_single_writer(op.get("write") or op["drop"], node)
            if "write" in op:
                assert len(json.dumps(op["v"])) <= limits.value_kb * 1024 * 1.2
                self._put(op["write"], op["v"], op.get("hold"))
            else:
                self._delete(op["drop"])
        self._answer_due_watches()
        return 200, {"epoch": self.revision}

    def apply_put(self, key: str, value: Any) -> None:
        """Put a key as a client outside the cluster would."""
        self.revision += 1
        self._put(key, value, None)
        self._answer_due_watches()

    def _put(self, key: str, value: Any, lease_id: int | None) -> None:
        self.rows[key] = (value, self.revision, lease_id)
        self._log_change(key, value, True)
        self.cluster.network.on_state_change(key, value, self.revision)

    def _delete(self, key: str) -> None:
        if self.rows.pop(key, None) is not None:
            self._log_change(key, None, False)

    def _log_change(self, key: str, value: Any, is_put: bool) -> None:
        self.change_log.append((self.revision, key, value, is_put))
        if len(self.change_log) > 1.2 * self.retained_changes:
            self.compacted_revision = self.change_log[-self.retained_changes - 1][0]
            del self.change_log[: -self.retained_changes]

    def _end_lease(self, lease_id: int) -> None:
        self.leases.pop(lease_id, None)
        self.revision += 1
        for key in [k for k, row in self.rows.items() if row[2] == lease_id]:
            self._delete(key)
        self._answer_due_watches()

    def step(self) -> None:
        """End leases that have expired; during an outage none expires."""
        if self.down:
            return
        for lease_id, (expires_at, _) in list(self.leases.items()):
            if expires_at < self.cluster.now:
                self._end_lease(lease_id)
        self._answer_due_watches()

    def set_down(self, down: bool) -> None:
        """Begin or end an outage, after which every lease has its full time to live again."""
        if self.down and not down:
            self.leases = {lease_id: (self.cluster.now + ttl, ttl) for lease_id, (_, ttl) in self.leases.items()}
        self.down = down

    def _events(self, prefix: str, after: int) -> list[dict]:
        """Return the retained changes of keys with a prefix after a revision, as a watch reports them."""
        events = []
        for revision, key, value, is_put in self.change_log:
            if revision > after and key.startswith(prefix):
                events.append(
                    {"write": key, "v": value, "stamp": revision} if is_put else {"drop": key, "stamp": revision}
                )
        return events

    def _watch(self, node: str, query: dict, answer: Callable) -> None:
        watch = (node, query["starts"], int(query["after"]), answer)
        self.open_watches.append(watch)

        def expire() -> None:
            if watch in self.open_watches:
                if self.down or node in self.refused_nodes:
                    self.cluster.call_later(0.2, expire)
                    return
                self._answer_watch(watch)

        self.cluster.call_later(int(query.get("wait_ms", 0)) / 1000, expire)
        self._answer_due_watches()

    def _answer_due_watches(self) -> None:
        if self.down:
            return
        for watch in list(self.open_watches):
            node, prefix, after, _answer = watch
            if node not in self.refused_nodes and (after < self.compacted_revision or self._events(prefix, after)):
                self._answer_watch(watch)

    def _answer_watch(self, watch: tuple[str, str, int, Callable]) -> None:
        """Answer a watch, also one that has waited during a refusal, with all changes since its revision."""
        self.open_watches.remove(watch)
        _node, prefix, after, answer = watch
        if after < self.compacted_revision:
            answer(410, b"{}")
            return
        answer(200, json.dumps({"epoch": self.revision, "events": self._events(prefix, after)}).encode())
