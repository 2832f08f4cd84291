"""Stand-ins for the state service, the cloud, the workers and the network between them, by the published protocol.

All of them run in one asyncio process, on loopback addresses and the real clock. The controllers are real processes.
Each controller has addresses of its own for the state service and the cloud, so that a stand-in knows who sent a
request and a link between two parties can be cut.
"""

from __future__ import annotations

import asyncio
import bisect
import json
import random
import socket
import time
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

RETAINED_CHANGES = 10_000  # by the state service, for watches

Handler = Callable[[str, str, dict, str], Awaitable[tuple[int, Any]]]


def now() -> float:
    """Return the time on the steady clock."""
    return time.monotonic()


def free_port() -> int:
    """Return a TCP port that is free on the loopback address, below those that outgoing connections get."""
    while True:
        port = random.SystemRandom().randrange(15_000, 32_000)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


class Record:
    """The record of what was sent, answered and run, one line each."""

    def __init__(self, path: str) -> None:
        """Open the file at `path`."""
        self._file = open(path, "w")  # noqa: SIM115
        self.started_at = now()

    def __call__(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        self._file.write(f"{now() - self.started_at:8.3f} {text}\n")
        self._file.flush()


# -- HTTP


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Read one request or response with Content-Length; return its first line, its headers and its body."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    first, *lines = head.decode("latin-1").strip().split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


async def serve_http(handler: Handler, sender: str) -> int:
    """Serve HTTP on a free loopback port; requests there count as those of `sender`. Return the port."""

    async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _version = message[0].split(" ", 2)
                status, value = await handler(method, target, json.loads(message[2]) if message[2] else {}, sender)
                if status == 0:
                    continue  # no answer
                body = json.dumps(value, separators=(",", ":")).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body)
                await writer.drain()
        except (ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(on_connection, "127.0.0.1", 0, limit=1 << 20, backlog=1024)
    return server.sockets[0].getsockname()[1]


class HttpClient:
    """A client with one persistent connection, which carries one request at a time."""

    def __init__(self, port: int) -> None:
        """Initialize for a server on a loopback port."""
        self.port = port
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def call(self, method: str, target: str, value: Any, timeout_s: float) -> tuple[int, dict, dict[str, str]]:
        """Send a request; return status, body and headers, or status 0 if no answer comes in time."""
        try:
            return await asyncio.wait_for(self._call(method, target, value), timeout_s)
        except (TimeoutError, OSError, ValueError):
            self.close()
            return 0, {}, {}

    async def _call(self, method: str, target: str, value: Any) -> tuple[int, dict, dict[str, str]]:
        for attempt in range(2):
            is_reused = self._streams is not None
            if self._streams is None:
                self._streams = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 20)
            reader, writer = self._streams
            body = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
            writer.write(
                f"{method} {target} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
            )
            message = await read_message(reader)
            if message is None:
                self.close()
                if is_reused and attempt == 0:
                    continue  # the server had closed the idle connection
                raise ConnectionError
            if message[1].get("connection", "").lower() == "close":
                self.close()
            return int(message[0].split()[1]), json.loads(message[2] or b"{}"), message[1]
        raise ConnectionError


# -- network


class Link:
    """A TCP proxy from one party to another, which can be cut.

    Modes of a cut, as the pages name them: `hold` delivers what was sent once the cut ends; `reset` resets connections,
    and what is sent during the cut is lost; `refuse` resets connections and refuses new ones.
    """

    def __init__(self, target_port: int) -> None:
        """Initialize for a server on a loopback port."""
        self._target_port = target_port
        self._is_open = asyncio.Event()
        self._is_open.set()
        self._mode = "hold"
        self._writers: set[asyncio.StreamWriter] = set()
        self._lost: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> int:
        """Listen on a free loopback port and return it."""
        server = await asyncio.start_server(self._on_connection, "127.0.0.1", 0, backlog=256)
        self.port = server.sockets[0].getsockname()[1]
        return self.port

    def cut(self, mode: str) -> None:
        """Cut the link."""
        self._mode = mode
        self._is_open.clear()
        if mode != "hold":
            self._abort(self._writers)

    def heal(self) -> None:
        """End the cut."""
        self._abort(self._lost)
        self._is_open.set()

    @staticmethod
    def _abort(writers: set[asyncio.StreamWriter]) -> None:
        for writer in list(writers):
            writer.transport.abort()
        writers.clear()

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self._is_open.is_set():
            if self._mode == "refuse":
                writer.transport.abort()
                return
            # A connection attempt during a cut does not complete afterwards: nothing is ever forwarded.
            self._lost.add(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self._target_port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        await asyncio.gather(self._pump(reader, target_writer), self._pump(target_reader, writer))
        self._writers -= {writer, target_writer}

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                await self._is_open.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        await self._is_open.wait()
        writer.close()


# -- the state service


class StateService:
    """The state service."""

    def __init__(self, record: Record, rps: float, write_rps: float) -> None:
        """Initialize an empty store with these limits."""
        self.record = record
        self.rows: dict[str, tuple[Any, int, int | None]] = {}
        self.epoch = 0
        self.log: list[tuple[int, str, Any, bool]] = []  # the last changes
        self.compacted = 0  # the newest revision whose changes are no longer all retained
        self.leases: dict[int, list[float]] = {}  # lease -> end, time to live
        self.lease_owner: dict[int, str] = {}
        self.down = False
        self.refused: set[str] = set()
        self.on_change: Callable[[str, Any, int], None] = lambda _key, _value, _epoch: None
        self.late_share = 0.0  # share of transactions that get no answer and are carried out later
        self.lost_answer_share = 0.0  # share of transactions that are carried out and get no answer
        self._changed = asyncio.Event()
        self._next_lease = 1
        self._sorted_keys: list[str] = []
        self._sorted_at = -1
        self._limits = {"requests": [rps, rps, now()], "writes": [write_rps, write_rps, now()]}
        self.rate_limited = 0

    def is_unserved(self, sender: str) -> bool:
        """Check whether a sender gets 503."""
        return self.down or sender in self.refused

    def _take(self, limit: str, count: int) -> bool:
        bucket, at = self._limits[limit], now()
        bucket[1] = min(bucket[0], bucket[1] + (at - bucket[2]) * bucket[0])
        bucket[2] = at
        if bucket[1] < count:
            self.rate_limited += 1
            return False
        bucket[1] -= count
        return True

    async def run(self) -> None:
        """End leases when they expire; none does during an outage."""
        while True:
            await asyncio.sleep(0.02)
            if self.down:
                continue
            for lease, (ends_at, _ttl) in list(self.leases.items()):
                if ends_at < now():
                    self.record(f"state: lease {lease} of {self.lease_owner.get(lease)} expired")
                    self.end_lease(lease)

    def set_down(self, down: bool) -> None:
        """Begin or end an outage; at its end each lease regains its full time."""
        if self.down and not down:
            for lease in self.leases.values():
                lease[0] = now() + lease[1]
        self.down = down
        self._notify()

    def feed(self, rows: dict[str, Any]) -> None:
        """Add rows, one change each, as if they had been written over a longer time."""
        for key, value in rows.items():
            self.epoch += 1
            self.rows[key] = (value, self.epoch, None)
            self.log.append((self.epoch, key, value, True))
        self._notify()

    def _notify(self) -> None:
        if len(self.log) > 2 * RETAINED_CHANGES:
            self.compacted = self.log[-RETAINED_CHANGES - 1][0]
            del self.log[:-RETAINED_CHANGES]
        self._changed.set()
        self._changed = asyncio.Event()

    def end_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
        self.leases.pop(lease, None)
        keys = [key for key, row in self.rows.items() if row[2] == lease]
        if keys:
            self.epoch += 1
            for key in keys:
                self._drop(key)
            self._notify()

    def _drop(self, key: str) -> None:
        if self.rows.pop(key, None) is not None:
            self.log.append((self.epoch, key, None, False))
            self.on_change(key, None, self.epoch)

    async def handle(self, method: str, target: str, body: dict, sender: str) -> tuple[int, Any]:
        """Handle one request."""
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        await asyncio.sleep(random.uniform(0.002, 0.006))
        if self.is_unserved(sender):
            return 503, {"error": "trouble"}
        if not self._take("requests", 1):
            return 429, {"error": "rate"}
        path = unquote(url.path)
        if path == "/watch":
            return await self._watch(query, sender)
        if path == "/store":
            keys, more = self._list_keys(query["starts"], query.get("after", ""), int(query.get("page", 1000)))
            rows = [{"path": key, "v": self.rows[key][0], "stamp": self.rows[key][1]} for key in keys]
            return 200, {"rows": rows, "more": more, "epoch": self.epoch}
        if path.startswith("/store/"):
            row = self.rows.get(path[len("/store/") :])
            if row is None:
                return 404, {"epoch": self.epoch}
            return 200, {"path": path[len("/store/") :], "v": row[0], "stamp": row[1], "hold": row[2]}
        if path == "/txn":
            return await self._transact(body, sender)
        if path == "/grants":
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            ttl = body["ttl_ms"] / 1000
            self.leases[lease] = [now() + ttl, ttl]
            self.lease_owner[lease] = sender
            return 200, {"hold": lease}
        lease = int(path.split("/")[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self.end_lease(lease)
        else:
            self.leases[lease][0] = now() + self.leases[lease][1]
        return 200, {}

    async def _transact(self, body: dict, sender: str) -> tuple[int, Any]:
        chance = random.random()
        if chance < self.late_share:
            await asyncio.sleep(random.uniform(2, 12))
            self.apply(body, sender)
            return 0, {}
        answer = self.apply(body, sender)
        if chance < self.late_share + self.lost_answer_share:
            return 0, {}
        return answer

    def apply(self, body: dict, sender: str) -> tuple[int, Any]:
        """Execute a transaction."""
        operations, conditions = body.get("apply", []), body.get("when", [])
        if operations and not self._take("writes", len(operations)):
            return 429, {"error": "rate"}
        if any(operation.get("hold") is not None and operation["hold"] not in self.leases for operation in operations):
            return 400, {"error": "no such lease"}
        failed = [item["path"] for item in conditions if self.rows.get(item["path"], (0, 0, 0))[1] != item["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if operations:
            self.epoch += 1
            for operation in operations:
                if "write" in operation:
                    key = operation["write"]
                    self.rows[key] = (operation["v"], self.epoch, operation.get("hold"))
                    self.log.append((self.epoch, key, operation["v"], True))
                    self.on_change(key, operation["v"], self.epoch)
                    if key.startswith("own/"):
                        self.record(f"state: {sender} wrote {key} at revision {self.epoch}")
                else:
                    if operation["drop"].startswith("own/"):
                        self.record(f"state: {sender} deleted {operation['drop']}")
                    self._drop(operation["drop"])
            self._notify()
        return 200, {"epoch": self.epoch}

    def _list_keys(self, prefix: str, after: str, page: int) -> tuple[list[str], bool]:
        """Return the next keys with a prefix, and whether there are more."""
        if len(self._sorted_keys) != len(self.rows) or self._sorted_at != self.epoch:
            self._sorted_keys, self._sorted_at = sorted(self.rows), self.epoch
        first = max(bisect.bisect_left(self._sorted_keys, prefix), bisect.bisect_right(self._sorted_keys, after))
        keys = [key for key in self._sorted_keys[first : first + page + 1] if key.startswith(prefix)]
        return keys[:page], len(keys) > page

    def _events(self, prefix: str, after: int) -> list[dict]:
        first = len(self.log)
        while first and self.log[first - 1][0] > after:
            first -= 1
        return [
            {"write": key, "v": value, "stamp": epoch} if is_put else {"drop": key, "stamp": epoch}
            for epoch, key, value, is_put in self.log[first:]
            if key.startswith(prefix)
        ]

    async def _watch(self, query: dict, sender: str) -> tuple[int, Any]:
        ends_at = now() + int(query.get("wait_ms", 0)) / 1000
        prefix, after = query["starts"], int(query["after"])
        while True:
            if not self.is_unserved(sender):
                if after < self.compacted:
                    return 410, {"error": "compacted"}
                events = self._events(prefix, after)
                if events or now() >= ends_at:
                    return 200, {"epoch": self.epoch, "events": events}
            changed = self._changed
            wait_s = max(0.01, ends_at - now()) if not self.is_unserved(sender) else 0.2
            try:
                await asyncio.wait_for(changed.wait(), wait_s)
            except TimeoutError:
                pass


# -- workers


class Worker:
    """The worker of one machine."""

    def __init__(self, cluster: Any, name: str, rig: dict, zone: str, spot: bool) -> None:
        """Initialize a worker whose machine is not up yet."""
        self.cluster, self.name, self.rig, self.zone, self.spot = cluster, name, rig, zone, spot
        self.created_at = now()
        self.up = self.dead = False
        self.hung = asyncio.Event()  # cleared while the machine hangs
        self.hung.set()
        self.mute = False  # its reports don't arrive
        self.deaf = False  # answers and direct commands don't arrive
        self.sick = False
        self.session, self.tick, self.token = 1, 0, 0
        self.tasks: dict[tuple[str, int], dict] = {}
        self.images: set[str] = set()
        self.node = random.choice(cluster.nodes)
        self.lease_from = 0.0
        self.port = 0
        self._wake = asyncio.Event()
        self._token_reported_at = -1e9
        self._clients: dict[str, HttpClient] = {}
        self._jobs: list[asyncio.Task] = []
        self.warning_until: float | None = None

    async def boot(self, delay_s: float) -> None:
        """Come up after a delay, and report until the machine is gone."""
        await asyncio.sleep(delay_s)
        if self.dead:
            return
        self.port = await serve_http(self._handle, self.name)
        self.up, self.lease_from = True, now()
        self._jobs = [asyncio.create_task(self._report_loop()), asyncio.create_task(self._lease_loop())]

    def power_off(self) -> None:
        """Stop the machine with all that is on it."""
        self.dead, self.up = True, False
        for job in self._jobs:
            job.cancel()
        for client in self._clients.values():
            client.close()
        for key, task in self.tasks.items():
            self._end_task(key, task, "machine gone")
        self.tasks.clear()

    def _end_task(self, key: tuple[str, int], task: dict, why: str) -> None:
        if task.get("timer") is not None:
            task["timer"].cancel()
        if task["status"] in ("running", "flushing"):
            self.cluster.on_task_off(self, key, why)

    async def _lease_loop(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            await self.hung.wait()
            if now() - self.lease_from > self.cluster.lease_s:
                self.cluster.record(f"{self.name}: lease expired, session {self.session} ends, {len(self.tasks)} tasks")
                for key, task in self.tasks.items():
                    self._end_task(key, task, "lease expired")
                self.tasks.clear()
                self.session += 1
                self.lease_from = now()
                self._wake.set()

    def report(self) -> dict:
        """Return the worker's report."""
        self.tick += 1
        plays = []
        for (play, attempt), task in self.tasks.items():
            entry = {"play": play, "try": attempt, "status": task["status"]}
            if task["status"] == "exited":
                entry["cause"] = task["cause"]
            plays.append(entry)
        warning_s = None if self.warning_until is None else max(0.0, self.warning_until - now())
        return {
            "box": self.name,
            "addr": f"127.0.0.1:{self.port}",
            "rig": self.rig["name"],
            "yard": self.zone,
            "loaners": self.spot,
            "shift": self.session,
            "tick": self.tick,
            "baton": self.token,
            "warning_s": warning_s,
            "plays": plays,
        }

    async def _report_loop(self) -> None:
        while True:
            await self.hung.wait()
            self._wake.clear()
            sent_at, session = now(), self.session
            pause_s = await self._report_once(sent_at, session)
            if pause_s is not None:
                await asyncio.sleep(pause_s)
                continue
            period_s = self.cluster.report_s * random.uniform(0.75, 1.25)
            try:
                await asyncio.wait_for(self._wake.wait(), max(0.0, sent_at + period_s - now()))
            except TimeoutError:
                pass
            await asyncio.sleep(max(0.0, sent_at + 0.5 - now()))

    async def _report_once(self, sent_at: float, session: int) -> float | None:
        """Send one report and apply the answer; return the pause before the next one if it was not answered."""
        client = self._clients.setdefault(self.node, HttpClient(self.cluster.worker_ports[self.node]))
        if self.mute or (self.name, self.node) in self.cluster.worker_cuts:
            client.close()
            await asyncio.sleep(4.0)
            status, body = 0, {}
        else:
            report = self.report()
            status, body, _headers = await client.call("POST", "/v1/report", report, 4.0)
        await self.hung.wait()
        if self.deaf or now() - sent_at > 4.0:
            status = 0
            await asyncio.sleep(max(0.0, sent_at + 4.0 - now()))
        if status == 200:
            self._apply(body, sent_at, session)
            return None
        client.close()
        boss = body.get("boss") if status == 421 else None
        if boss in self.cluster.nodes and boss != self.node:
            self.node = boss
            return random.uniform(0.0, 0.5)
        self.node = self.cluster.nodes[(self.cluster.nodes.index(self.node) + 1) % len(self.cluster.nodes)]
        return 1.0

    def _apply(self, body: dict, sent_at: float, session: int) -> None:
        token = body.get("baton")
        if token is None or token < self.token or session != self.session:
            return
        self._see_token(token)
        self.lease_from = max(self.lease_from, sent_at)
        for order in body["orders"]:
            self._execute(order)

    def _see_token(self, token: int) -> None:
        if token > self.token:
            self.token = token
            if now() - self._token_reported_at > self.cluster.lease_s / 2:
                self._token_reported_at = now()
                self._wake.set()

    async def _handle(self, method: str, target: str, body: dict, _sender: str) -> tuple[int, Any]:
        await self.hung.wait()
        if not self.up or self.deaf:
            return 0, {}
        if method == "GET":
            return 200, self.report()
        if "baton" not in body or "shift" not in body:
            return 400, {}
        if body["baton"] < self.token or body["shift"] != self.session:
            return 409, self.report()
        self._see_token(body["baton"])
        for order in body["orders"]:
            self._execute(order)
        return 200, self.report()

    def _execute(self, order: dict) -> None:
        key = (order["play"], order["try"])
        task = self.tasks.get(key)
        if order["verb"] == "clear":
            if task is not None and task["status"] == "exited":
                del self.tasks[key]
                self._wake.set()
        elif order["verb"] == "kill":
            if task is not None and task["status"] != "exited":
                self._end_task(key, task, "killed")
                task.update(status="exited", cause="halted")
                self._wake.set()
        elif task is None:
            self._launch(key)
            self._wake.set()

    def _launch(self, key: tuple[str, int]) -> None:
        job = self.cluster.jobs.get(key[0].rpartition("/")[0])
        task: dict = {"status": "exited", "cause": "unknown", "timer": None}
        self.tasks[key] = task
        if job is None:
            return
        live = [other for other, state in self.tasks.items() if state["status"] != "exited"]
        if any(other[0] == key[0] for other in live):
            task["cause"] = "busy"
            return
        for amount in ("vcpus", "memory_gb"):
            used = sum(self.cluster.jobs[other[0].rpartition("/")[0]][amount] for other in live)
            if used + job[amount] > self.rig[amount] + 1e-6:
                task["cause"] = "full"
                return
        task.update(status="pulling", cause=None)
        fetch_s = 0.0 if job["playbook"] in self.images else job["pull_gb"] / self.rig["pull_gb_per_s"]
        task["timer"] = asyncio.create_task(self._run(key, task, job, fetch_s))

    async def _run(self, key: tuple[str, int], task: dict, job: dict, fetch_s: float) -> None:
        await asyncio.sleep(fetch_s)
        await self.hung.wait()
        self.images.add(job["playbook"])
        task["status"] = "running"
        self.cluster.on_task_start(self, key)
        self._wake.set()
        run_s = 0.05 if key[0] in self.cluster.results else job.get("run_s", job["expected_s"])
        await asyncio.sleep(run_s)
        await self.hung.wait()
        task["status"], task["cause"], task["timer"] = "exited", "error" if self.sick else "done", None
        self.cluster.on_task_off(self, key, task["cause"])
        if task["cause"] == "done":
            self.cluster.results.add(key[0])
        self._wake.set()


# -- the cloud


class Cloud:
    """The cloud, which rents machines by request and lists them with a lag."""

    def __init__(self, cluster: Any, rigs: list[dict], capacity: int, lag_s: float) -> None:
        """Initialize without machines; `capacity` is the number of machines of each type, zone and kind."""
        self.cluster, self.rigs, self.capacity, self.lag_s = cluster, rigs, capacity, lag_s
        self.machines: dict[str, Worker] = {}
        self.asks: dict[str, list[str]] = {}
        self.history: list[tuple[float, list[dict]]] = [(0.0, [])]
        self.down = False
        self.boot_s = (0.6, 1.5)  # share of `ready_s`
        self.on_request: Callable[[str, str, dict], None] = lambda _sender, _kind, _body: None
        self._count = 0

    async def run(self) -> None:
        """Keep the history of the machine list."""
        while True:
            listing = [
                {
                    "name_id": worker.name,
                    "addr": f"127.0.0.1:{worker.port}",
                    "rig": worker.rig["name"],
                    "yard": worker.zone,
                    "loaners": worker.spot,
                    "status": "failed" if worker.dead else "running" if worker.up else "starting",
                    "age_s": now() - worker.created_at,
                }
                for _name, worker in sorted(self.machines.items())
            ]
            self.history.append((now(), listing))
            del self.history[:-400]
            await asyncio.sleep(0.1)

    def add_machine(self, rig: dict, zone: str, spot: bool, boot_s: float) -> str:
        """Add a machine that comes up after `boot_s`."""
        self._count += 1
        name = f"host-{self._count:06d}"
        self.machines[name] = Worker(self.cluster, name, rig, zone, spot)
        asyncio.get_running_loop().create_task(self.machines[name].boot(boot_s))
        return name

    async def handle(self, method: str, target: str, body: dict, sender: str) -> tuple[int, Any]:
        """Handle one request."""
        await asyncio.sleep(random.uniform(0.05, 0.2))
        if self.down:
            return 503, {"error": "trouble"}
        url = urlsplit(target)
        if url.path == "/machine_types":
            return 200, {"rigs": self.rigs}
        if url.path == "/rentals/release":
            names = [name for name in body["boxes"] if name in self.machines]
            self.cluster.record(f"cloud: {sender} releases {', '.join(body['boxes'])}")
            self.on_request(sender, "release", body)
            for name in names:
                self.machines.pop(name).power_off()
            return 200, {}
        if method == "POST":
            return self._rent(body, sender)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        lag_s = self.lag_s * random.uniform(0.5, 1.2)
        listing = [entries for at, entries in self.history if at <= max(0.0, now() - lag_s)] or [[]]
        rest = [entry for entry in listing[-1] if entry["name_id"] > query.get("after", "")]
        page = int(query.get("page", 500))
        return 200, {"boxes": rest[:page], "more": len(rest) > page}

    def _rent(self, body: dict, sender: str) -> tuple[int, Any]:
        if body["ask"] not in self.asks:
            pool = (body["rig"], body["yard"], body["loaners"])
            rented = sum((w.rig["name"], w.zone, w.spot) == pool for w in self.machines.values())
            count = min(body["count"], self.capacity - rented)
            rig = next(rig for rig in self.rigs if rig["name"] == body["rig"])
            if count <= 0:
                return 503, {"error": "no capacity"}
            self.asks[body["ask"]] = [
                self.add_machine(rig, body["yard"], body["loaners"], rig["ready_s"] * random.uniform(*self.boot_s))
                for _ in range(count)
            ]
            names = self.asks[body["ask"]]
            self.cluster.record(f"cloud: {sender} rents {body['ask']} in {body['yard']}: {', '.join(names)}")
            self.on_request(sender, "rent", body)
        return 200, {"boxes": self.asks[body["ask"]]}
