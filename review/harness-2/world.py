"""A small deployment on loopback: three controller processes, the stand-ins around them, users, and a record."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

from machines import Cloud, Worker
from state_service import StateService
from web import Client

ROOT = Path(__file__).resolve().parents[2]
RUN_COMMAND = shlex.split(tomllib.loads((ROOT / "deploy" / "service.toml").read_text(encoding="utf-8"))["run"])
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
MAX_RUN_S = 119.0
SETTLE_S = 15.0  # after the start, teams change hands for balance for two leases of the controllers and some seconds
NODES = ("worker-0", "worker-1", "worker-2")


class Site(NamedTuple):
    """The numbers of one of the small deployments of BRIEF."""

    name: str
    zones: tuple[str, ...]
    node_zones: tuple[str, str, str]
    teams: dict[str, dict[str, float]]
    objectives: list[dict[str, Any]]
    workers: dict[str, float]
    state: dict[str, float]
    cloud: dict[str, float]
    limits: dict[str, float]
    rigs: list[dict[str, Any]]


def _rig(name: str, vcpus: int, prices: tuple[float, float], ready_s: int, rate: float, zones: tuple) -> dict[str, Any]:
    return {
        "name": name,
        "vcpus": vcpus,
        "cards": 0,
        "memory_gb": 4 * vcpus,
        "local_gb": 40,
        "pull_gb_per_s": rate,
        "hourly": prices[0],
        "spot_price": prices[1],
        "ready_s": ready_s,
        "yards": list(zones),
    }


ZONES = ("austin-rack", "dallas-colo", "elpaso-spare", "houston-closet")
RIG = "ranchhand-16"
LONE_STAR = Site(
    name="lsglt-tealhook",
    zones=ZONES,
    node_zones=("austin-rack", "dallas-colo", "austin-rack"),
    teams={f"league-ops-{i:02d}": {"cpus": 80.0, "cpus_max": 128.0} for i in range(6)},
    objectives=[
        {"kind": "finished", "class": "roster-refresh", "within_s": 70.0, "share": 0.92},
        {"kind": "finished", "class": "roster-refresh", "within_s": 200.0, "share": 0.95},
        {"kind": "deadline", "class": "score-recalc", "share": 0.85, "times": 1.0},
        {"kind": "guarantee", "within_s": 5.0, "share": 0.8},
    ],
    workers={"report_s": 1.0, "lease_s": 11.0, "gang_wait_s": 50.0, "gang_peer_s": 8.0, "cancel_s": 36.0},
    state={"rps": 150.0, "write_rps": 30.0, "value_kb": 8.0, "txn_ops": 16},
    cloud={"rps": 2.0, "list_lag_s": 8.0},
    limits={"core_share": 0.36, "mem_mb": 146.0, "max_connections": 800},
    rigs=[_rig(RIG, 16, (0.97, 0.25), 25, 0.4, ZONES)],
)
NYL_ZONES = ("budapest-a", "budapest-b", "debrecen-dc", "szeged-dc")
SMALL_RIG, LARGE_RIG = "kiskocsi-8", "nagykocsi-16"
STATEMENTS = Site(
    name="nyl-tealhook",
    zones=NYL_ZONES,
    node_zones=("debrecen-dc", "debrecen-dc", "debrecen-dc"),
    teams={f"calc-ops-{i:02d}": {"cpus": 0.0, "cpus_max": 0.0} for i in range(10)},
    objectives=[
        {"kind": "wait", "class": "entitlement-calc", "within_s": 8.0, "share": 0.95},
        {"kind": "finished", "class": "entitlement-calc", "within_s": 80.0, "share": 0.95},
        {"kind": "finished", "class": "history-merge", "within_s": 250.0, "share": 0.96},
    ],
    workers={"report_s": 3.0, "lease_s": 21.0, "gang_wait_s": 40.0, "gang_peer_s": 4.0, "cancel_s": 46.0},
    state={"rps": 250.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 40},
    cloud={"rps": 2.0, "list_lag_s": 5.0},
    limits={"core_share": 0.288, "mem_mb": 186.0, "max_connections": 1200},
    rigs=[
        _rig(SMALL_RIG, 8, (0.36, 0.15), 50, 0.6, ("budapest-a", "budapest-b", "szeged-dc")),
        _rig(LARGE_RIG, 16, (0.79, 0.32), 30, 0.3, NYL_ZONES),
    ],
)


class CannotRunError(Exception):
    """The case can't run on this machine, or its set-up failed."""


def _ephemeral_range() -> range:
    """Return the ports that the system gives to outgoing connections."""
    try:
        first, last = Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()
        return range(int(first), int(last) + 1)
    except (OSError, ValueError):
        return range(32768, 65536)


class Ports:
    """Free loopback ports outside the range of outgoing connections, each given out once and kept from other runs."""

    def __init__(self) -> None:
        """Start at a random port."""
        outgoing = _ephemeral_range()
        self._candidates = [port for port in range(10000, 32000) if port not in outgoing]
        random.shuffle(self._candidates)
        self._reserved: list[socket.socket] = []

    def take(self) -> int:
        """Return a port that nobody uses.

        A socket that does not listen stays bound to it: other runs see it in use, and a server can still listen on it.
        """
        while self._candidates:
            port = self._candidates.pop()
            with socket.socket() as sock:
                try:
                    sock.bind(("127.0.0.1", port))
                except OSError:
                    continue
            reserved = socket.socket()
            reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                reserved.bind(("127.0.0.1", port))
            except OSError:
                reserved.close()
                continue
            self._reserved.append(reserved)
            return port
        raise CannotRunError("no free port")

    def close(self) -> None:
        """Give up all ports."""
        for reserved in self._reserved:
            reserved.close()


class World:
    """The deployment of one case."""

    def __init__(self, folder: Path, capacity: dict, site: Site = LONE_STAR) -> None:
        """Initialize; `folder` gets the record, `capacity` is the cloud's, by (type, zone, spot)."""
        self.folder, self.site = folder, site
        self.node_names = list(NODES)
        self.workers, self.cloud_limits = site.workers, site.cloud
        self.teams = list(site.teams)
        self.started_at = time.monotonic()
        self.jobs: dict[str, dict] = {}  # what users have sent, by id
        self.run_times: dict[str, float] = {}  # true run time of a job's tasks
        self.done_tasks: set[str] = set()
        self.ended_tasks: set[str] = set()  # tasks of which an attempt has exited, whatever the cause
        self.on_machine: dict[str, set[tuple[str, int]]] = {}  # task -> machine and attempt, while it holds its image
        self.violations: list[str] = []
        self._ports = Ports()
        self.take_port = self._ports.take
        self.api_ports = [self.take_port() for _ in NODES]
        self._mesh_ports = [self.take_port() for _ in NODES]
        self._state_ports = {node: self.take_port() for node in NODES}
        self._cloud_port = self.take_port()
        self._record = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115 - closed by `close`
        self.state = StateService(self._state_ports, site.state)
        self.cloud = Cloud(self, [self._cloud_port], site.rigs, capacity)
        self.processes: dict[str, subprocess.Popen] = {}
        self._owner_log: asyncio.Task | None = None
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self._users = [Client(port) for port in self.api_ports]

    # -- record

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def log(self, text: str) -> None:
        """Write a line to the record."""
        self._record.write(f"{self.now():8.3f} {text}\n")
        self._record.flush()

    def violate(self, text: str) -> None:
        """Record that a rule was broken."""
        self.violations.append(text)
        self.log(f"RULE BROKEN: {text}")

    # -- processes

    def _settings(self, index: int) -> str:
        site = self.site

        def fields(values: dict[str, Any]) -> str:
            return "".join(f"{key} = {json.dumps(value)}\n" for key, value in values.items())

        known = "".join(
            "[[known]]\n"
            + fields(
                {
                    "node": NODES[i],
                    "domain": site.node_zones[i],
                    "endpoint": f"127.0.0.1:{self._mesh_ports[i]}",
                }
            )
            for i in range(len(NODES))
            if i != index
        )
        teams = "".join(
            "[[params.teams]]\n" + fields({"name": team, **amounts, "gpus": 0.0, "gpus_max": 0.0})
            for team, amounts in site.teams.items()
        )
        objectives = "".join("[[params.objectives]]\n" + fields(objective) for objective in site.objectives)
        tables = "".join(
            f"[params.{name}]\n" + fields(values)
            for name, values in (
                ("workers", site.workers),
                ("state", site.state),
                ("cloud", site.cloud),
                ("limits", site.limits),
            )
        )
        return (
            fields(
                {
                    "node": NODES[index],
                    "domain": site.node_zones[index],
                    "api_addr": f"127.0.0.1:{self.api_ports[index]}",
                    "mesh_addr": f"127.0.0.1:{self._mesh_ports[index]}",
                }
            )
            + known
            + "[services]\n"
            + fields(
                {
                    "cloud": f"127.0.0.1:{self._cloud_port}",
                    "state": f"127.0.0.1:{self._state_ports[NODES[index]]}",
                }
            )
            + "[params]\n"
            + fields({"nodes": len(NODES), "zones": list(site.zones), "skew_ms": 250.0})
            + teams
            + objectives
            + tables
        )

    def start_controller(self, node: str) -> None:
        """Start a controller by the command of the deploy file."""
        index = NODES.index(node)
        settings = Path(self._temporary.name) / f"{node}.toml"
        settings.write_text(self._settings(index), encoding="utf-8")
        log_path = Path(self._temporary.name) / f"{node}.log"
        with open(log_path, "ab") as log_file:
            self.processes[node] = subprocess.Popen(
                [*RUN_COMMAND, str(settings)],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
                stderr=log_file,
                env=os.environ | {"LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
            )
        self.log(f"controller {node} started")

    def kill_controller(self, node: str) -> None:
        """End a controller without a signal that it could handle."""
        process = self.processes.pop(node)
        process.send_signal(signal.SIGKILL)
        process.wait()
        self.log(f"controller {node} killed")

    def controller_log(self, node: str) -> str:
        """Return what a controller has logged."""
        path = Path(self._temporary.name) / f"{node}.log"
        return path.read_text(encoding="utf-8", errors="replace") if path.exists() else ""

    async def start(
        self,
        machines: list[tuple[str, str, bool]],
        *,
        age_s: float = 600.0,
        settle: bool = False,
        one_first: bool = False,
    ) -> None:
        """Start everything, and wait until all partitions have owners.

        `machines` (type, zone, spot) are up at the start, and were rented `age_s` before.

        With `settle`, also wait until the controllers have divided the teams evenly among them. With `one_first`, the
        first controller is started alone and owns everything at first; the others are started after that.
        """
        if not (ROOT / "target" / "deps" / "msgspec").is_dir():
            raise CannotRunError("target/deps is missing: run the build of the deploy file first")
        await self.state.start()
        await self.cloud.start()
        self._owner_log = asyncio.create_task(self._log_owners())
        for machine in machines:
            self.cloud.add(*machine, boot_s=0.0, age_s=age_s)
        if one_first:
            self.start_controller(NODES[0])
            await self._until_owned()
        for node in NODES:
            if node not in self.processes:
                self.start_controller(node)
        for client in self._users:
            await self._until_healthy(client)
        await self._until_owned()
        while settle and self.now() < SETTLE_S and not self._is_balanced():
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)  # the workers find the owners of their partitions

    async def _until_owned(self) -> None:
        while any(self.owner(f"own/part/{zone}") is None for zone in self.site.zones):
            self._check_time(20.0)
            await asyncio.sleep(0.1)

    async def _log_owners(self) -> None:
        """Record who owns the fleet, the partitions and the teams, as the state service shows it."""
        known: dict[str, str] = {}
        while True:
            owners = {key: row[0]["n"] for key, row in self.state.rows.items() if key.startswith("own/")}
            for key in sorted(owners.keys() | known.keys()):
                if owners.get(key) != known.get(key) and not key.startswith("own/node/"):
                    self.log(f"state service: {key} {owners.get(key, 'without owner')}")
            known = owners
            await asyncio.sleep(0.05)

    async def _until_healthy(self, client: Client) -> None:
        while (await client.request("GET", "/healthz", timeout_s=1.0)).status != 200:
            self._check_time(20.0)
            await asyncio.sleep(0.2)

    def owner(self, key: str) -> str | None:
        """Return the controller that owns a key by the state service."""
        return self.state.rows[key][0]["n"] if key in self.state.rows else None

    def _is_balanced(self) -> bool:
        owners = [row[0]["n"] for key, row in self.state.rows.items() if key.startswith("own/home/")]
        return all(owners.count(node) == len(self.teams) // len(NODES) for node in NODES)

    def _check_time(self, limit_s: float) -> None:
        if any(process.poll() is not None for process in self.processes.values()):
            raise CannotRunError("a controller has ended at its start")
        if self.now() > limit_s:
            raise CannotRunError("the deployment did not come up in time")

    def close(self) -> None:
        """End all processes and stand-ins."""
        for node in list(self.processes):
            self.log(f"controller {node}: exit status {self.processes[node].poll()} before the end of the case")
            self.kill_controller(node)
        if self._owner_log is not None:
            self._owner_log.cancel()
        self.cloud.close()
        self.state.close()
        for client in self._users:
            client.close()
        if os.environ.get("KEEP_LOGS"):
            for node in NODES:
                Path(os.environ["KEEP_LOGS"], f"{node}.log").write_text(self.controller_log(node), encoding="utf-8")
        for node in NODES:
            errors = [line for line in self.controller_log(node).splitlines() if " ERROR " in line]
            for line in errors[:5]:
                self.log(f"log of {node}: {line}")
        self._temporary.cleanup()
        self._ports.close()
        self._record.close()

    # -- users

    def job(self, job_id: str, **changes: Any) -> dict:
        """Return a submission of the class `score-recalc`, or as it with changes."""
        return {
            "name_id": job_id,
            "lineup": "score-recalc",
            "crew": self.teams[0],
            "shape": "array",
            "urgency": "standard",
            "plays": 1,
            "vcpus": 8.0,
            "cards": 0.0,
            "memory_gb": 29.0,
            "playbook": "img-01",
            "pull_gb": 1.2,
            "rigs": None,
            "yard": None,
            "together": False,
            "spread": False,
            "loaners": True,
            "expected_s": 60.0,
            "snapshot_every_s": 0.0,
            "snapshot_s": 0.0,
            "due_s": None,
        } | changes

    async def request(self, method: str, target: str, value: Any = None, node: int = 0, timeout_s: float = 5.0) -> Any:
        """Send one request of a user to a controller on a connection of its own."""
        client = Client(self.api_ports[node])
        answer = await client.request(method, target, value, timeout_s)
        client.close()
        self.log(f"user: {method} {target} at {NODES[node]}: {answer.status} {json.dumps(answer.value)}")
        return answer

    async def submit(self, spec: dict, run_s: float, node: int = 0, for_s: float = 60.0) -> bool:
        """Submit a job as PROTOCOL asks of a user, and return whether it was accepted."""
        self.jobs[spec["name_id"]] = spec
        self.run_times[spec["name_id"]] = run_s
        until = self.now() + for_s
        while self.now() < until:
            answer = await self.request("POST", "/work", spec, node)
            if answer.status in (200, 201):
                return True
            if answer.status in (400, 422):
                return False
            await asyncio.sleep(max(1.0, answer.retry_after_s))
            node = (node + 1) % len(NODES)
        return False

    async def poll(self, job_id: str, node: int = 0) -> str | None:
        """Poll a job once, and return its status."""
        answer = await self.request("GET", f"/work/{job_id}", node=node, timeout_s=2.0)
        return answer.value["status"] if answer.status == 200 else None

    # -- what the machines do

    def spec_of(self, task: str) -> Any:
        """Return the submission that a task belongs to, or None."""
        return self.jobs.get(task.rpartition("/")[0])

    def run_s(self, task: str) -> float:
        """Return the true run time of a task; a task that has completed before ends at once."""
        return 0.05 if task in self.done_tasks else self.run_times[task.rpartition("/")[0]]

    def on_task_started(self, machine: Worker, key: tuple[str, int]) -> None:
        """Check a start: the task must not be on another machine, and the place must be permitted."""
        task, attempt = key
        self.log(f"machine {machine.name}: {task} try {attempt} runs")
        others = self.on_machine.setdefault(task, set())
        if others:
            self.violate(f"ran_twice: {task} try {attempt} starts on {machine.name} while it is on {sorted(others)}")
        others.add((machine.name, attempt))
        spec = self.spec_of(task)
        if (
            (machine.spot and not spec["loaners"])
            or (spec["yard"] and machine.yard != spec["yard"])
            or (spec["rigs"] and machine.rig["name"] not in spec["rigs"])
        ):
            self.violate(f"wrong_place: {task} starts on {machine.name}")

    def on_task_left(self, machine: Worker, key: tuple[str, int]) -> None:
        """Record that a task is no longer on its machine."""
        self.on_machine.get(key[0], set()).discard((machine.name, key[1]))

    def on_task_exited(self, machine: Worker, key: tuple[str, int], cause: str) -> None:
        """Record the end of a task."""
        self.log(f"machine {machine.name}: {key[0]} try {key[1]} exited, {cause}")
        self.ended_tasks.add(key[0])
        if cause == "done":
            self.done_tasks.add(key[0])

    def is_started(self, job_id: str) -> bool:
        """Check whether a task of a job is on a machine or completed."""
        return any(
            name.rpartition("/")[0] == job_id and (places or name in self.done_tasks)
            for name, places in self.on_machine.items()
        )

    def waiting_tasks(self, job_id: str) -> list[str]:
        """Return the tasks of a job that have not completed and that no machine has, in any state."""
        held = {task for machine in self.cloud.machines.values() for task, _ in machine.alive_tasks()}
        names = [f"{job_id}/{i}" for i in range(self.jobs[job_id]["plays"])]
        return [name for name in names if name not in self.done_tasks and name not in held]

    def machines_with_room(self, spec: dict) -> list[str]:
        """Return the machines that are up and sound, that a job's constraints permit, and that have room for a task."""
        found = []
        for machine in self.cloud.machines.values():
            cpus, memory_gb = machine.free()
            if (
                machine.is_up
                and not machine.is_sick
                and machine.taken_at is None
                and (spec["loaners"] or not machine.spot)
                and (spec["yard"] is None or spec["yard"] == machine.yard)
                and (spec["rigs"] is None or machine.rig["name"] in spec["rigs"])
                and cpus >= spec["vcpus"]
                and memory_gb >= spec["memory_gb"]
            ):
                found.append(machine.name)
        return found

    def team_limit(self, team: str) -> float:
        """Return the CPUs that a team may use."""
        return self.site.teams[team]["cpus_max"] or float("inf")

    def used_cpus(self, team: str) -> float:
        """Return the CPUs of a team's tasks that are on machines or fetch their image."""
        return sum(
            self.spec_of(task)["vcpus"]
            for machine in self.cloud.machines.values()
            for task, _ in machine.alive_tasks()
            if self.spec_of(task)["crew"] == team
        )

    async def watch_waiting(self, job_id: str, since: float, limit_s: float, poll_s: float = 5.0) -> None:
        """Watch a job from `since` on until it is done, or has been left waiting for `limit_s`.

        The time counts anew whenever no task waits, no sound machine has room, or the team is at its limit.
        """
        spec = self.jobs[job_id]
        waiting_since, polled_at = max(since, self.now()), -poll_s
        while self.now() < MAX_RUN_S - 0.5:
            await asyncio.sleep(0.1)
            waiting, room = self.waiting_tasks(job_id), self.machines_with_room(spec)
            within_limit = self.used_cpus(spec["crew"]) + spec["vcpus"] <= self.team_limit(spec["crew"]) + 1e-6
            if not (waiting and room and within_limit):
                waiting_since = self.now()
            if self.now() - polled_at >= poll_s:
                polled_at = self.now()
                if await self.poll(job_id, random.randrange(len(NODES))) == "done":
                    return
            if self.now() - waiting_since > limit_s:
                self.violate(
                    f"left_waiting: {waiting} of {job_id} have waited for {self.now() - waiting_since:.1f} s; "
                    f"machines that fit and have room: {room}; the team uses {self.used_cpus(spec['crew']):g} CPUs "
                    f"of {self.team_limit(spec['crew']):g}"
                )
                return
        raise CannotRunError("out of time before the rule was kept or broken")


def run_case(folder: Path, make_world: Callable[[], World], play: Callable[[World, bool], Awaitable[None]]) -> int:
    """Run a case and return its exit status: 0 the rule held, 1 it was broken, 2 the case could not run."""

    async def run() -> int:
        world = make_world()
        has_trouble = os.environ.get("TROUBLE", "1") != "0"
        world.log(f"case {folder.name}, {'with' if has_trouble else 'without'} the disruption")
        try:
            await asyncio.wait_for(play(world, has_trouble), MAX_RUN_S)
        except Exception as exc:  # also a mistake in a script, which must not count as a broken rule
            world.log(f"could not run: {exc!r}")
            return COULD_NOT_RUN
        finally:
            world.close()
        return BROKEN if world.violations else HELD

    try:
        status = asyncio.run(run())
    except Exception as exc:
        print(f"could not run: {exc!r}", file=sys.stderr)
        return COULD_NOT_RUN
    with open(folder / "record.txt", "a", encoding="utf-8") as record:
        record.write(f"exit status {status}\n")
    return status
