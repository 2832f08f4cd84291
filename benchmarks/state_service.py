"""Stand-in for the state service with the records of any number of ended jobs, which are made up when they are read."""

from __future__ import annotations

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ENDED_PREFIX = "job/req-"  # followed by digits, so that all other job records sort behind those of ended jobs
ENDED_DIGITS = 8
MAX_PAGE_ROWS = 1000
CHANGE_POLL_S = 0.02


def ended_key(number: int) -> str:
    """Return the key of the record of an ended job."""
    return f"{ENDED_PREFIX}{number:0{ENDED_DIGITS}d}"


class StateService:
    """A consistent store with leases and watches, whose rows are those of ended jobs and those that were written."""

    def __init__(self, ended_jobs: int, written: dict[str, Any]) -> None:
        """Initialize with this many ended jobs, and with rows that were `written` before."""
        self._ended_jobs = ended_jobs
        self._lock = threading.RLock()
        self._revision = ended_jobs + len(written)
        self._compacted = self._revision
        self._rows = {key: (value, self._revision, None) for key, value in written.items()}
        self._changes: list[tuple[int, str, Any]] = []  # revision, key, value or None for a deletion
        self._leases: dict[int, list[float]] = {}  # id -> expiry, time to live
        self._lease_count = 0
        self.first_seen: dict[str, float] = {}  # kind of request -> time of the first one

    def forget_requests(self) -> None:
        """Forget which kinds of requests were seen."""
        self.first_seen.clear()

    def _note(self, kind: str) -> None:
        self.first_seen.setdefault(kind, time.monotonic())

    def handle(self, method: str, target: str, body: dict) -> tuple[int, Any]:
        """Execute one request; return status and answer."""
        url = urlsplit(target)
        path = unquote(url.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        self._end_leases()
        if path == "/watch":
            self._note("watch " + query["starts"])
            return self._watch(query)
        with self._lock:
            if path == "/store":
                self._note("list " + query["starts"].split("/")[0])
                return 200, self._list(query["starts"], query.get("after", ""), int(query.get("page", MAX_PAGE_ROWS)))
            if path.startswith("/store/"):
                return self._get(path.removeprefix("/store/"))
            if path == "/txn":
                return self._execute(body)
            return self._change_lease(method, path, body)

    def _ended_row(self, number: int) -> dict:
        value = {"t": f"team-{number % 6}", "st": "done", "at": 1.7e9 + number}
        return {"path": ended_key(number), "v": value, "stamp": number + 1}

    def _list(self, prefix: str, after: str, page: int) -> dict:
        rows = []
        if ENDED_PREFIX.startswith(prefix):
            first = int(after.removeprefix(ENDED_PREFIX)) + 1 if after[len(ENDED_PREFIX) :].isdigit() else 0
            if not after or after < ended_key(self._ended_jobs):
                rows = [self._ended_row(number) for number in range(first, min(self._ended_jobs, first + page + 1))]
        keys = sorted(key for key in self._rows if key.startswith(prefix) and key > after)
        rows += [{"path": key, "v": self._rows[key][0], "stamp": self._rows[key][1]} for key in keys]
        return {"rows": rows[:page], "more": len(rows) > page, "epoch": self._revision}

    def _get(self, key: str) -> tuple[int, Any]:
        if key in self._rows:
            value, revision, lease = self._rows[key]
            return 200, {"path": key, "v": value, "stamp": revision, "hold": lease}
        number = key.removeprefix(ENDED_PREFIX)
        if key.startswith(ENDED_PREFIX) and number.isdigit() and int(number) < self._ended_jobs:
            return 200, self._ended_row(int(number))
        return 404, {"epoch": self._revision}

    def _execute(self, body: dict) -> tuple[int, Any]:
        failed = [
            condition["path"]
            for condition in body.get("when", [])
            if self._rows.get(condition["path"], (None, 0, None))[1] != condition["stamp"]
        ]
        if failed:
            return 409, {"failed": failed, "epoch": self._revision}
        if any(operation.get("hold") not in (None, *self._leases) for operation in body["apply"]):
            return 400, {"error": "no such lease"}
        self._revision += 1
        for operation in body["apply"]:
            if "write" in operation:
                self._rows[operation["write"]] = (operation["v"], self._revision, operation.get("hold"))
                self._changes.append((self._revision, operation["write"], operation["v"]))
            else:
                self._delete(operation["drop"])
        return 200, {"epoch": self._revision}

    def _delete(self, key: str) -> None:
        if self._rows.pop(key, None) is not None:
            self._changes.append((self._revision, key, None))

    def _change_lease(self, method: str, path: str, body: dict) -> tuple[int, Any]:
        if path == "/grants":
            self._lease_count += 1
            self._leases[self._lease_count] = [time.monotonic() + body["ttl_ms"] / 1000, body["ttl_ms"] / 1000]
            return 200, {"hold": self._lease_count}
        lease = int(path.split("/")[2])
        if lease not in self._leases:
            return 404, {}
        self._leases[lease][0] = time.monotonic() + (self._leases[lease][1] if method == "POST" else -1.0)
        return 200, {}

    def _end_leases(self) -> None:
        with self._lock:
            for lease, (expiry, _ttl) in list(self._leases.items()):
                if expiry < time.monotonic():
                    del self._leases[lease]
                    self._revision += 1
                    for key in [key for key, row in self._rows.items() if row[2] == lease]:
                        self._delete(key)

    def _watch(self, query: dict) -> tuple[int, Any]:
        prefix, after = query["starts"], int(query["after"])
        ends_at = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            with self._lock:
                if after < self._compacted:
                    return 410, {"error": "compacted"}
                events = [
                    {"drop": key, "stamp": revision} if value is None else {"write": key, "v": value, "stamp": revision}
                    for revision, key, value in self._changes
                    if revision > after and key.startswith(prefix)
                ]
                if events or time.monotonic() >= ends_at:
                    return 200, {"epoch": self._revision, "events": events}
            time.sleep(CHANGE_POLL_S)


class _Server(ThreadingHTTPServer):
    """A server whose clients may be killed at any time."""

    daemon_threads = True

    def handle_error(self, *_arguments: Any) -> None:
        """Ignore connections that end in the middle of a request."""


def serve(service: StateService) -> ThreadingHTTPServer:
    """Serve a state service on a free loopback port, in threads of this process."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        wbufsize = -1  # one packet an answer
        disable_nagle_algorithm = True

        def _answer(self) -> None:
            length = int(self.headers.get("content-length") or 0)
            status, value = service.handle(self.command, self.path, json.loads(self.rfile.read(length) or b"{}"))
            body = json.dumps(value, separators=(",", ":")).encode()
            self.send_response(status)
            self.send_header("content-length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        do_GET = do_POST = do_DELETE = _answer  # noqa: N815

        def log_message(self, format: str, *arguments: Any) -> None:  # noqa: A002
            """Log nothing."""

    server = _Server(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server
