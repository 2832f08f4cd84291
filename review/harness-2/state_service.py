"""A stand-in for the state service, by PROTOCOL, "Controller nodes -> state service"."""

from __future__ import annotations

import asyncio
import bisect
import json
import time
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from web import Server

RETAINED_CHANGES = 10_000
MAX_PAGE = 1000
MAX_BYTES = 64 * 1024


class Bucket:
    """A rate limit with bursts worth `burst_s` seconds."""

    def __init__(self, rate: float, burst_s: float = 1.0) -> None:
        """Initialize a full bucket."""
        self._rate, self._burst = rate, rate * burst_s
        self._tokens, self._at = self._burst, time.monotonic()

    def take(self, count: float) -> bool:
        """Take tokens if there are enough."""
        now = time.monotonic()
        self._tokens, self._at = min(self._burst, self._tokens + self._rate * (now - self._at)), now
        if self._tokens < count:
            return False
        self._tokens -= count
        return True


class StateService:
    """One consistent store with an address for each controller, so that a script can treat controllers differently."""

    def __init__(self, ports: dict[str, int], limits: dict[str, float]) -> None:
        """Initialize an empty store that listens on `ports`, by controller."""
        self.rows: dict[str, tuple[Any, int, int | None]] = {}  # key -> value, revision, lease
        self.epoch = 0
        self.latency_s = 0.004
        self._limits = limits
        self._requests, self._writes = Bucket(limits["rps"]), Bucket(limits["write_rps"])
        self._log: list[tuple[int, str, Any, bool]] = []
        self._compacted = 0
        self._leases: dict[int, tuple[float, float]] = {}  # lease -> time to live, end
        self._last_lease = 0
        self._changed = asyncio.Condition()
        self._servers = [Server(port, self._handle) for port in ports.values()]
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen, and end leases that are not renewed."""
        for server in self._servers:
            await server.start()
        self._task = asyncio.create_task(self._end_leases())

    def close(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()
        for server in self._servers:
            server.close()

    async def _end_leases(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [lease for lease, (_ttl, end) in self._leases.items() if end < now]:
                await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        keys = [key for key, row in self.rows.items() if row[2] == lease]
        if keys:
            self.epoch += 1
            for key in keys:
                self._change(key, None, None, False)
            await self._notify()

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    def _change(self, key: str, value: Any, lease: int | None, is_put: bool) -> None:
        if is_put:
            self.rows[key] = (value, self.epoch, lease)
        elif self.rows.pop(key, None) is None:
            return
        self._log.append((self.epoch, key, value, is_put))
        if len(self._log) > 1.2 * RETAINED_CHANGES:
            self._compacted = self._log[-RETAINED_CHANGES - 1][0]
            del self._log[:-RETAINED_CHANGES]

    async def _handle(self, method: str, target: str, body: Any) -> tuple[int, Any]:
        await asyncio.sleep(self.latency_s)
        if not self._requests.take(1):
            return 429, {"error": "too many requests"}
        url = urlsplit(target)
        path = unquote(url.path)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        if path == "/watch":
            return await self._watch(query)
        if path == "/store":
            return self._list(query)
        if path.startswith("/store/"):
            return self._get(path[len("/store/") :])
        if path == "/txn":
            return await self._transact(body)
        if path.startswith("/grants"):
            return await self._lease(method, path, body)
        return 400, {"error": "no such path"}

    def _get(self, key: str) -> tuple[int, Any]:
        if key not in self.rows:
            return 404, {"epoch": self.epoch}
        value, revision, lease = self.rows[key]
        return 200, {"path": key, "v": value, "stamp": revision, "hold": lease}

    def _list(self, query: dict[str, str]) -> tuple[int, Any]:
        prefix, after = query["starts"], query.get("after", "")
        page = min(MAX_PAGE, int(query.get("page", MAX_PAGE)))
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        keys = keys[bisect.bisect_right(keys, after) :] if after else keys
        rows = [{"path": key, "v": self.rows[key][0], "stamp": self.rows[key][1]} for key in keys[:page]]
        return 200, {"rows": rows, "more": len(keys) > page, "epoch": self.epoch}

    def _refuse(self, when: list, apply: list, body: Any) -> tuple[int, Any] | None:
        limits = self._limits
        if any(op.get("hold") is not None and op["hold"] not in self._leases for op in apply):
            return 400, {"error": "no such lease"}
        sizes = [len(json.dumps(op["v"], separators=(",", ":"))) for op in apply if "write" in op]
        if (
            len(apply) > limits["txn_ops"]
            or len(when) > 4 * limits["txn_ops"]
            or any(size > 1024 * limits["value_kb"] for size in sizes)
            or len(json.dumps(body, separators=(",", ":"))) > MAX_BYTES
        ):
            return 400, {"error": "beyond the limits"}
        return None if self._writes.take(len(apply)) else (429, {"error": "too many changes"})

    async def _transact(self, body: Any) -> tuple[int, Any]:
        when, apply = body.get("when", []), body.get("apply", [])
        refusal = self._refuse(when, apply, body)
        if refusal is not None:
            return refusal
        failed = [c["path"] for c in when if self.rows.get(c["path"], (None, 0))[1] != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if not apply:
            return 200, {"epoch": self.epoch}
        self.epoch += 1
        revision = self.epoch  # of this transaction: others may follow before the answer
        for op in apply:
            if "write" in op:
                self._change(op["write"], op["v"], op.get("hold"), True)
            else:
                self._change(op["drop"], None, None, False)
        await self._notify()
        return 200, {"epoch": revision}

    async def _lease(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        if path == "/grants":
            self._last_lease += 1
            ttl_s = body["ttl_ms"] / 1000
            self._leases[self._last_lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"hold": self._last_lease}
        lease = int(path.split("/")[2])
        if lease not in self._leases:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            await self._end_lease(lease)
        else:
            ttl_s = self._leases[lease][0]
            self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {}

    def _events(self, prefix: str, after: int) -> list[dict]:
        first = bisect.bisect_right(self._log, after, key=lambda change: change[0])
        return [
            {"write": key, "v": value, "stamp": revision} if is_put else {"drop": key, "stamp": revision}
            for revision, key, value, is_put in self._log[first:]
            if key.startswith(prefix)
        ]

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        prefix, after = query["starts"], int(query["after"])
        until = time.monotonic() + min(60_000, int(query.get("wait_ms", 0))) / 1000
        while True:
            if after < self._compacted:
                return 410, {"error": "too old"}
            events = self._events(prefix, after)
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {"epoch": self.epoch, "events": events}
            try:
                async with self._changed:
                    await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass
