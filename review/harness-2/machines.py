"""Stand-ins for the cloud and for the workers on its machines, by PROTOCOL."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from state_service import Bucket
from web import Client, Server

ANSWER_TIMEOUT_S = 4.0
MIN_REPORT_INTERVAL_S = 0.5
STEP_S = 0.02


class Worker:
    """The worker of one machine: reports, leases and sessions, tokens, image cache and tasks."""

    def __init__(self, world: Any, name: str, rig: dict, yard: str, spot: bool) -> None:
        """Initialize a machine that is not up yet."""
        self._world, self.name, self.rig, self.yard, self.spot = world, name, rig, yard, spot
        self.port = world.take_port()
        self.asked_at = time.monotonic()
        self.is_up = self.is_gone = False
        self.is_sick = False  # every task fails
        self.taken_at: float | None = None  # announced time at which the cloud takes the machine back
        self.tasks: dict[tuple[str, int], dict] = {}
        self.images: list[str] = []
        self._shift, self._tick, self._baton = 1, 0, 0
        self._renewed_at = self._reported_at = 0.0
        self._token_reported_at = -1e9
        self._report_due = asyncio.Event()
        self._server = Server(self.port, self._handle)
        self._clients = [Client(port) for port in world.api_ports]
        self._node = random.randrange(len(self._clients))
        self._loops: list[asyncio.Task] = []

    async def boot(self, after_s: float) -> None:
        """Come up after some seconds."""
        await asyncio.sleep(after_s)
        if self.is_gone:
            return
        await self._server.start()
        self.is_up = True
        self._renewed_at = time.monotonic()
        self._world.log(f"machine {self.name} ({self.yard}, {'spot' if self.spot else 'on demand'}) is up")
        self._loops = [asyncio.create_task(self._report_loop()), asyncio.create_task(self._step_loop())]

    def power_off(self) -> None:
        """End the machine with all that is on it."""
        if not self.is_gone:
            self._world.log(f"machine {self.name} ({self.yard}) is gone")
        self.is_gone, self.is_up = True, False
        for loop in self._loops:
            loop.cancel()
        self._server.close()
        for client in self._clients:
            client.close()
        for key in list(self.tasks):
            self._world.on_task_left(self, key)
        self.tasks.clear()

    def announce_end(self, notice_s: float) -> None:
        """Give notice that the cloud takes the machine back."""
        self.taken_at = time.monotonic() + notice_s
        self._report_due.set()

    def alive_tasks(self) -> list[tuple[str, int]]:
        """Return the tasks that use the machine."""
        return [key for key, task in self.tasks.items() if task["status"] != "exited"]

    def free(self) -> tuple[float, float]:
        """Return the free CPUs and GB of memory."""
        specs = [self._world.spec_of(task) for task, _ in self.alive_tasks()]
        return (
            self.rig["vcpus"] - sum(spec["vcpus"] for spec in specs),
            self.rig["memory_gb"] - sum(spec["memory_gb"] for spec in specs),
        )

    # -- tasks

    async def _step_loop(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            now = time.monotonic()
            if now - self._renewed_at > self._world.workers["lease_s"]:
                self._begin_session()
            for key, task in list(self.tasks.items()):
                self._step_task(key, task, now)

    def _begin_session(self) -> None:
        self._world.log(f"machine {self.name}: lease expired, session {self._shift + 1}")
        for key in list(self.tasks):
            self._world.on_task_left(self, key)
        self.tasks.clear()
        self._shift += 1
        self._renewed_at = time.monotonic()
        self._report_due.set()

    def _step_task(self, key: tuple[str, int], task: dict, now: float) -> None:
        if task["status"] == "pulling" and now >= task["pulled_at"]:
            task["status"] = "running"
            task["ends_at"] = now + (1.0 if self.is_sick else self._world.run_s(key[0]))
            task["fails"] = self.is_sick
            if task["image"] not in self.images:
                self.images.append(task["image"])
            self._world.on_task_started(self, key)
            self._report_due.set()
        elif task["status"] == "running" and now >= task["ends_at"]:
            self._exit(key, "error" if task["fails"] else "done")
        elif task["status"] == "flushing" and now >= task["ends_at"]:
            self._exit(key, "halted")

    def _exit(self, key: tuple[str, int], cause: str) -> None:
        task = self.tasks[key]
        task.update(status="exited", cause=cause)
        self._world.on_task_left(self, key)
        self._world.on_task_exited(self, key, cause)
        self._report_due.set()

    def _execute(self, order: dict) -> None:
        key = (order["play"], order["try"])
        task = self.tasks.get(key)
        if order["verb"] == "clear":
            if task is not None and task["status"] == "exited":
                del self.tasks[key]
        elif order["verb"] == "kill":
            if task is not None and task["status"] != "exited":
                self._kill(key, task, order.get("wind_down_s") or 0.0)
        elif order["verb"] == "launch" and task is None:
            self._launch(key)
        self._report_due.set()

    def _kill(self, key: tuple[str, int], task: dict, wind_down_s: float) -> None:
        spec = self._world.spec_of(key[0])
        saves = spec["snapshot_every_s"] > 0 and wind_down_s >= spec["snapshot_s"]
        if task["status"] == "running" and saves:
            task.update(status="flushing", ends_at=time.monotonic() + spec["snapshot_s"])
        elif task["status"] != "flushing" or wind_down_s <= 0:
            self._exit(key, "halted")

    def _launch(self, key: tuple[str, int]) -> None:
        spec = self._world.spec_of(key[0])
        self._world.log(f"machine {self.name}: launch {key[0]} try {key[1]}")
        if spec is None:
            self.tasks[key] = {"status": "exited", "cause": "unknown"}
            return
        cpus, memory_gb = self.free()
        if any(name == key[0] for name, _ in self.alive_tasks()):
            self.tasks[key] = {"status": "exited", "cause": "busy"}
        elif spec["vcpus"] > cpus + 1e-6 or spec["memory_gb"] > memory_gb + 1e-6:
            self.tasks[key] = {"status": "exited", "cause": "full"}
        else:
            image = spec["playbook"]
            pull_s = 0.0 if image in self.images else spec["pull_gb"] / self.rig["pull_gb_per_s"]
            self.tasks[key] = {"status": "pulling", "image": image, "pulled_at": time.monotonic() + pull_s}

    # -- reports

    def _report(self) -> dict:
        self._tick += 1
        plays = []
        for (name, attempt), task in self.tasks.items():
            play = {"play": name, "try": attempt, "status": task["status"]}
            if task["status"] == "exited":
                play["cause"] = task["cause"]
            plays.append(play)
        left_s = None if self.taken_at is None else max(0.0, self.taken_at - time.monotonic())
        return {
            "box": self.name,
            "addr": f"127.0.0.1:{self.port}",
            "rig": self.rig["name"],
            "yard": self.yard,
            "loaners": self.spot,
            "shift": self._shift,
            "tick": self._tick,
            "baton": self._baton,
            "warning_s": left_s,
            "plays": plays,
        }

    async def _report_loop(self) -> None:
        while True:
            self._report_due.clear()
            await self._send_report()
            period_s = self._world.workers["report_s"] * random.uniform(0.75, 1.25)
            try:
                left_s = max(0.0, self._reported_at + period_s - time.monotonic())
                await asyncio.wait_for(self._report_due.wait(), left_s)
            except TimeoutError:
                pass
            await asyncio.sleep(max(0.0, self._reported_at + MIN_REPORT_INTERVAL_S - time.monotonic()))

    async def _send_report(self) -> None:
        self._reported_at = sent_at = time.monotonic()
        shift = self._shift
        answer = await self._clients[self._node].request("POST", "/v1/report", self._report(), ANSWER_TIMEOUT_S)
        if answer.status == 200:
            self._apply(answer.value, sent_at, shift)
            return
        boss = answer.value.get("boss") if answer.status == 421 else None
        nodes = self._world.node_names
        if boss in nodes and boss != nodes[self._node]:
            self._clients[self._node].close()
            self._node = nodes.index(boss)
            await asyncio.sleep(random.uniform(0.0, 0.5))
        else:
            self._node = (self._node + 1) % len(nodes)
            await asyncio.sleep(1.0)
        self._report_due.set()

    def _apply(self, response: dict, sent_at: float, shift: int) -> None:
        if response.get("baton", -1) < self._baton or shift != self._shift:
            return
        self._see_token(response["baton"])
        self._renewed_at = max(self._renewed_at, sent_at)
        for order in response["orders"]:
            self._execute(order)

    def _see_token(self, baton: int) -> None:
        now = time.monotonic()
        if baton > self._baton and now - self._token_reported_at > self._world.workers["lease_s"] / 2:
            self._token_reported_at = now
            self._report_due.set()
        self._baton = max(self._baton, baton)

    async def _handle(self, method: str, target: str, body: Any) -> tuple[int, Any]:
        if method == "GET" and target == "/show":
            return 200, self._report()
        if not {"baton", "shift"} <= body.keys():
            return 400, {"error": "baton or shift is missing"}
        if body["baton"] < self._baton or body["shift"] != self._shift:
            return 409, self._report()
        self._see_token(body["baton"])
        for order in body["orders"]:
            self._execute(order)
        return 200, self._report()


class Cloud:
    """The cloud: machine types, rentals within the capacity of each pool, releases and a list that lags."""

    def __init__(self, world: Any, ports: list[int], rigs: list[dict], capacity: dict) -> None:
        """Initialize; `capacity` maps (type, zone, spot) to the number of machines that there are."""
        self._world, self._rigs = world, rigs
        self.capacity = capacity
        self.machines: dict[str, Worker] = {}
        self._rentals: dict[str, list[str]] = {}
        self._count = 0
        self._bucket = Bucket(world.cloud_limits["rps"], 2.0)
        self._lists: list[tuple[float, list[dict]]] = [(time.monotonic(), [])]
        self._servers = [Server(port, self._handle) for port in ports]
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Listen."""
        for server in self._servers:
            await server.start()
        self._tasks.append(asyncio.create_task(self._record_lists()))

    def close(self) -> None:
        """Stop, with all machines."""
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.close()
        for machine in self.machines.values():
            machine.power_off()

    async def _record_lists(self) -> None:
        while True:
            now = time.monotonic()
            boxes = [
                {
                    "name_id": machine.name,
                    "addr": f"127.0.0.1:{machine.port}",
                    "rig": machine.rig["name"],
                    "yard": machine.yard,
                    "loaners": machine.spot,
                    "status": "running" if machine.is_up else "starting",
                    "age_s": now - machine.asked_at,
                }
                for _, machine in sorted(self.machines.items())
            ]
            self._lists.append((now, boxes))
            del self._lists[:-400]
            await asyncio.sleep(0.1)

    def add(self, rig_name: str, yard: str, spot: bool, boot_s: float, age_s: float = 0.0) -> Worker:
        """Start a machine that is up after `boot_s`, and was rented `age_s` ago."""
        self._count += 1
        rig = next(rig for rig in self._rigs if rig["name"] == rig_name)
        machine = Worker(self._world, f"host-{self._count:06d}", rig, yard, spot)
        machine.asked_at -= age_s
        self.machines[machine.name] = machine
        self._tasks.append(asyncio.create_task(machine.boot(boot_s)))
        return machine

    def remove(self, name: str) -> None:
        """End a machine and take it off the list."""
        machine = self.machines.pop(name, None)
        if machine is not None:
            machine.power_off()

    async def _handle(self, method: str, target: str, body: Any) -> tuple[int, Any]:
        await asyncio.sleep(0.1)
        if not self._bucket.take(1):
            return 429, {"error": "too many requests"}
        url = urlsplit(target)
        if url.path == "/machine_types":
            return 200, {"rigs": self._rigs}
        if url.path == "/rentals/release":
            for name in body["boxes"]:
                self.remove(name)
            return 200, {}
        return self._rent(body) if method == "POST" else self._list(url.query)

    def _rent(self, body: dict) -> tuple[int, Any]:
        if body["ask"] in self._rentals:
            return 200, {"boxes": self._rentals[body["ask"]]}
        pool = (body["rig"], body["yard"], body["loaners"])
        in_use = sum((m.rig["name"], m.yard, m.spot) == pool for m in self.machines.values())
        count = min(body["count"], self.capacity.get(pool, 0) - in_use)
        if count <= 0:
            return 503, {"error": "no capacity"}
        self._world.log(f"cloud: {count} machines rented, {pool}")
        ready_s = next(rig["ready_s"] for rig in self._rigs if rig["name"] == body["rig"])
        names = [self.add(*pool, boot_s=ready_s * random.uniform(0.6, 1.5)).name for _ in range(count)]
        self._rentals[body["ask"]] = names
        return 200, {"boxes": names}

    def _list(self, query_text: str) -> tuple[int, Any]:
        query = {name: values[0] for name, values in parse_qs(query_text, keep_blank_values=True).items()}
        before = time.monotonic() - self._world.cloud_limits["list_lag_s"]
        boxes = next((boxes for at, boxes in reversed(self._lists) if at <= before), self._lists[0][1])
        left = [box for box in boxes if box["name_id"] > query.get("after", "")]
        page = min(500, int(query.get("page", 500)))
        return 200, {"boxes": left[:page], "more": len(left) > page}
