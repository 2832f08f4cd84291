"""A small deployment: three controllers as real processes, the stand-ins around them, and a checker of the rules."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import shlex
import signal
import subprocess
import sys
import tempfile
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from standins import Cloud, HttpClient, Link, Record, StateService, Worker, free_port, now, serve_http

ROOT = Path(__file__).resolve().parents[2]
RUN = shlex.split(tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"])
ACCEPTED = (200, 201)
MAX_RUN_S = 116.0
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case


def run_case(play: Callable[[], Awaitable[int]]) -> None:
    """Run a case, and exit with its code, or with `NOT_RUN` if it fails or takes too long."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    run = loop.create_task(asyncio.wait_for(play(), MAX_RUN_S))
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(number, run.cancel)  # the case then ends its processes
    try:
        code = loop.run_until_complete(run)
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        code = NOT_RUN
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)  # without the noise of the stand-ins' connections, which end here


class Site:
    """The figures of a site that the settings name."""

    def __init__(self, **values: Any) -> None:
        """Initialize with the figures of lsglt-tealhook, replaced by `values`."""
        self.zones = ["austin-rack", "dallas-colo", "elpaso-spare", "houston-closet"]
        self.domains = ["austin-rack", "dallas-colo", "austin-rack"]
        self.teams = [{"name": f"league-ops-{i:02d}", "cpus": 80.0, "cpus_max": 128.0} for i in range(6)]
        self.report_s, self.lease_s, self.cancel_s = 1.0, 11.0, 36.0
        self.rps, self.write_rps, self.value_kb, self.txn_ops = 150.0, 30.0, 8.0, 16
        self.cloud_rps, self.list_lag_s = 2.0, 8.0
        self.core_share, self.mem_mb, self.max_connections = 0.36, 146.0, 800
        self.restart_s = 3.0
        self.rigs = [
            {
                "name": "ranchhand-16",
                "vcpus": 16.0,
                "cards": 0.0,
                "memory_gb": 64.0,
                "local_gb": 70.0,
                "pull_gb_per_s": 0.4,
                "hourly": 0.97,
                "spot_price": 0.25,
                "ready_s": 25.0,
                "yards": self.zones,
            }
        ]
        self.objectives = [
            {"kind": "finished", "class": "roster-refresh", "within_s": 70.0, "share": 0.92},
            {"kind": "guarantee", "within_s": 5.0, "share": 0.8},
        ]
        self.__dict__.update(values)


def _toml(value: Any) -> str:
    if isinstance(value, str):
        return f'"{value}"'
    if isinstance(value, list):
        return "[" + ", ".join(map(_toml, value)) + "]"
    return str(value)


class Cluster:
    """The deployment, with the rules checked on what workers run and users are told."""

    def __init__(self, record: Record, site: Site, log_level: str = "error") -> None:
        """Initialize without any process."""
        self.record, self.site, self.log_level = record, site, log_level
        self.report_s, self.lease_s = site.report_s, site.lease_s
        self.nodes = [f"worker-{i}" for i in range(3)]
        self.state = StateService(record, site.rps, site.write_rps)
        self.cloud = Cloud(self, site.rigs, 8, site.list_lag_s)
        self.jobs: dict[str, dict] = {}  # what users have uploaded
        self.results: set[str] = set()  # tasks that are done
        self.worker_ports: dict[str, int] = {}
        self.user_ports: dict[str, int] = {}
        self.worker_cuts: set[tuple[str, str]] = set()
        self.links: dict[tuple[str, str], Link] = {}
        self.processes: dict[str, subprocess.Popen] = {}
        self.directory = tempfile.TemporaryDirectory()
        self.on_machine: dict[str, tuple[str, int]] = {}  # task -> machine, attempt
        self.zones_of: dict[str, dict[str, int]] = {}
        self.used: dict[str, float] = {}
        self.cancelled_at: dict[str, float] = {}
        self.violations: list[str] = []
        self.starts = 0
        self.unexpected_ends: list[str] = []
        self.most_memory_mb: dict[str, float] = {}
        self.memory_kills: dict[str, int] = {}

    # -- processes

    async def start(self, machines: list[tuple[str, bool]]) -> None:
        """Start stand-ins, machines that are up at once (zone, spot), and the controllers."""
        site = self.site
        loop = asyncio.get_running_loop()
        self._background = [loop.create_task(self.state.run()), loop.create_task(self.cloud.run())]
        ports = {node: (free_port(), free_port()) for node in self.nodes}
        for node in self.nodes:
            for service, handle in (("state", self.state.handle), ("cloud", self.cloud.handle)):
                link = self.links[node, service] = Link(await serve_http(handle, node))
                await link.start()
            for peer in self.nodes:
                if peer != node:
                    link = self.links[node, peer] = Link(ports[peer][1])
                    await link.start()
            self.worker_ports[node] = self.user_ports[node] = ports[node][0]
        for i, node in enumerate(self.nodes):
            lines = [f'node = "{node}"', f'domain = "{site.domains[i]}"']
            lines += [f'api_addr = "127.0.0.1:{ports[node][0]}"', f'mesh_addr = "127.0.0.1:{ports[node][1]}"']
            for k, peer in enumerate(self.nodes):
                if peer != node:
                    lines += ["[[known]]", f'node = "{peer}"', f'domain = "{site.domains[k]}"']
                    lines += [f'endpoint = "127.0.0.1:{self.links[node, peer].port}"']
            lines += ["[services]", f'cloud = "127.0.0.1:{self.links[node, "cloud"].port}"']
            lines += [f'state = "127.0.0.1:{self.links[node, "state"].port}"']
            lines += ["[params]", "nodes = 3", f"zones = {_toml(site.zones)}", "skew_ms = 250.0"]
            for team in site.teams:
                lines += ["[[params.teams]]", *(f"{key} = {_toml(value)}" for key, value in team.items())]
                lines += ["gpus = 0.0", "gpus_max = 0.0"]
            for objective in site.objectives:
                lines += ["[[params.objectives]]", *(f"{key} = {_toml(value)}" for key, value in objective.items())]
            lines += ["[params.workers]", f"report_s = {site.report_s}", f"lease_s = {site.lease_s}"]
            lines += ["gang_wait_s = 50.0", "gang_peer_s = 8.0", f"cancel_s = {site.cancel_s}"]
            lines += ["[params.state]", f"rps = {site.rps}", f"write_rps = {site.write_rps}"]
            lines += [f"value_kb = {site.value_kb}", f"txn_ops = {site.txn_ops}"]
            lines += ["[params.cloud]", f"rps = {site.cloud_rps}", f"list_lag_s = {site.list_lag_s}"]
            lines += ["[params.limits]", f"core_share = {site.core_share}", f"mem_mb = {site.mem_mb}"]
            lines += [f"max_connections = {site.max_connections}"]
            Path(self.directory.name, f"{node}.toml").write_text("\n".join(lines) + "\n")
        for zone, spot in machines:
            self.cloud.add_machine(site.rigs[0], zone, spot, 0.0)
        await asyncio.sleep(0.1)
        for node in self.nodes:
            self.start_node(node)

    def start_node(self, node: str) -> None:
        """Start the process of a controller."""
        self.record(f"{node}: process started")
        stderr = open(Path(self.directory.name, f"{node}.log"), "ab")  # noqa: SIM115
        self.processes[node] = subprocess.Popen(
            [*RUN, str(Path(self.directory.name, f"{node}.toml"))],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=stderr,
            stderr=stderr,
            env=os.environ | {"LOG_LEVEL": self.log_level},
        )
        stderr.close()

    def kill_node(self, node: str) -> None:
        """Kill the process of a controller."""
        self.record(f"{node}: process killed")
        self.processes[node].kill()
        self.processes[node].wait()

    def freeze(self, node: str) -> None:
        """Make a controller stand still."""
        self.record(f"{node}: stands still")
        self.processes[node].send_signal(signal.SIGSTOP)

    def thaw(self, node: str) -> None:
        """Let a controller go on."""
        self.record(f"{node}: goes on")
        self.processes[node].send_signal(signal.SIGCONT)

    def logs(self) -> str:
        """Return what the controllers have logged."""
        return "\n".join(f"--- {node}\n{Path(self.directory.name, f'{node}.log').read_text()}" for node in self.nodes)

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for node, process in self.processes.items():
            if process.poll() is not None and process.returncode != -signal.SIGKILL:
                self.unexpected_ends.append(f"{node} ended by itself with {process.returncode}")
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            process.wait()
        for worker in list(self.cloud.machines.values()):
            worker.power_off()
        for task in self._background:
            task.cancel()
        self.directory.cleanup()

    # -- the platform

    def memory_mb(self, node: str) -> float:
        """Return the anonymous memory that a controller's process holds; what it maps from files doesn't count."""
        try:
            lines = Path(f"/proc/{self.processes[node].pid}/status").read_text().splitlines()
        except OSError:
            return 0.0
        return sum(int(line.split()[1]) for line in lines if line.startswith("RssAnon:")) / 1024

    async def limit_memory(self) -> None:
        """Kill each controller that goes over its memory limit, and start it again, as the page on deployment says."""
        while True:
            await asyncio.sleep(0.05)
            for node, process in self.processes.items():
                held_mb = self.memory_mb(node)
                self.most_memory_mb[node] = max(self.most_memory_mb.get(node, 0.0), held_mb)
                if held_mb > self.site.mem_mb and process.poll() is None:
                    self.record(f"{node}: holds {held_mb:.1f} MB, over its limit of {self.site.mem_mb} MB")
                    self.kill_node(node)
                    self.memory_kills[node] = self.memory_kills.get(node, 0) + 1
                    asyncio.get_running_loop().call_later(self.site.restart_s, self.start_node, node)

    # -- who owns what, as the state service shows

    def owner(self, key: str) -> str | None:
        """Return the owner of a key."""
        row = self.state.rows.get(key)
        return row[0]["n"] if row is not None else None

    def partitions_of(self, node: str) -> list[str]:
        """Return the zones whose partition a controller owns."""
        return [zone for zone in self.site.zones if self.owner(f"own/part/{zone}") == node]

    async def wait_for(self, condition: Any, timeout_s: float) -> bool:
        """Wait until a condition holds; return whether it does."""
        ends_at = now() + timeout_s
        while not condition():
            if now() > ends_at:
                return False
            await asyncio.sleep(0.05)
        return True

    def all_owned(self) -> bool:
        """Check whether all three controllers are registered and each key has an owner."""
        keys = [f"own/node/{node}" for node in self.nodes] + ["own/fleet"]
        keys += [f"own/part/{zone}" for zone in self.site.zones]
        keys += [f"own/home/{team['name']}" for team in self.site.teams]
        return all(key in self.state.rows for key in keys)

    # -- rules

    def violate(self, text: str) -> None:
        """Record that a rule is broken."""
        self.record(f"RULE BROKEN {text}")
        self.violations.append(text)

    def on_task_start(self, worker: Worker, key: tuple[str, int]) -> None:
        """Check the rules for a task that now is on a machine with its image."""
        self.starts += 1
        task, attempt = key
        job_id = task.rpartition("/")[0]
        job = self.jobs[job_id]
        self.record(f"{worker.name}: {task} attempt {attempt} starts")
        if task in self.on_machine:
            self.violate(f"ran_twice: {task} starts on {worker.name} while it is on {self.on_machine[task]}")
        self.on_machine[task] = (worker.name, attempt)
        team = job["crew"]
        self.used[team] = self.used.get(team, 0.0) + job["vcpus"]
        limit = next(item["cpus_max"] for item in self.site.teams if item["name"] == team)
        if 0 < limit < self.used[team] - 1e-6:
            self.violate(f"quota: {team} uses {self.used[team]} of {limit}")
        zones = self.zones_of.setdefault(job_id, {})
        zones[worker.zone] = zones.get(worker.zone, 0) + 1
        if job["yard"] not in (None, worker.zone) or worker.spot and not job["loaners"]:
            self.violate(f"wrong_place: {task} on {worker.name}")
        if job["together"] and sum(count > 0 for count in zones.values()) > 1:
            self.violate(f"wrong_place: {task} is not together: {zones}")
        if job["spread"] and max(zones.values()) > (job["plays"] + 1) // 2:
            self.violate(f"wrong_place: {task} is not spread: {zones}")
        for other in job.get("waits_on") or []:
            if any(f"{other}/{i}" not in self.results for i in range(self.jobs[other]["plays"])):
                self.violate(f"too_early: {task} starts before {other} is done")
        if job_id in self.cancelled_at and now() > self.cancelled_at[job_id] + self.site.cancel_s:
            self.violate(f"ran_cancelled: {task} starts {now() - self.cancelled_at[job_id]:.1f} s after its end")

    def on_task_off(self, worker: Worker, key: tuple[str, int], why: str) -> None:
        """Note that a task is no longer on its machine."""
        task, attempt = key
        job_id = task.rpartition("/")[0]
        self.record(f"{worker.name}: {task} attempt {attempt} off: {why}")
        if self.on_machine.get(task) == (worker.name, attempt):
            del self.on_machine[task]
        self.used[self.jobs[job_id]["crew"]] -= self.jobs[job_id]["vcpus"]
        self.zones_of[job_id][worker.zone] -= 1

    def check_cancelled(self) -> None:
        """Check that no task of a cancelled job is on a machine for too long."""
        for task in list(self.on_machine):
            at = self.cancelled_at.get(task.rpartition("/")[0])
            if at is not None and now() > at + self.site.cancel_s + 0.2:
                self.violate(f"ran_cancelled: {task} is on {self.on_machine[task]} {now() - at:.1f} s later")
                del self.on_machine[task]

    # -- users

    def job(self, job_id: str, team: int, plays: int, run_s: float, **values: Any) -> dict:
        """Return a submission, which the user has uploaded for the workers as well."""
        value = {
            "name_id": job_id,
            "lineup": "roster-refresh",
            "crew": self.site.teams[team]["name"],
            "shape": "array",
            "urgency": "standard",
            "plays": plays,
            "vcpus": 2.0,
            "cards": 0.0,
            "memory_gb": 5.4,
            "playbook": f"img-{random.randrange(3)}",
            "pull_gb": 0.2,
            "rigs": None,
            "yard": None,
            "together": False,
            "spread": False,
            "loaners": True,
            "expected_s": run_s,
            "snapshot_every_s": 0.0,
            "snapshot_s": 0.0,
            "due_s": None,
        } | values
        self.jobs[job_id] = value
        return {key: item for key, item in value.items() if key != "run_s"}

    async def ask(
        self, node: str, method: str, target: str, value: Any = None, timeout_s: float = 5.0, client: Any = None
    ) -> tuple[int, dict]:
        """Send one user's request to a controller."""
        own = client or HttpClient(self.user_ports[node])
        status, body, _headers = await own.call(method, target, value, timeout_s)
        if client is None:
            own.close()
        return status, body

    async def submit(self, value: dict, nodes: list[str], for_s: float = 60.0) -> bool:
        """Submit a job, and repeat that as a user does; return whether it was accepted."""
        ends_at = now() + for_s
        while now() < ends_at:
            node = random.choice(nodes)
            status, body = await self.ask(node, "POST", "/work", value)
            if status != 201:
                self.record(f"user: POST /work {value['name_id']} to {node}: {status} {body}")
            if status in ACCEPTED:
                return True
            if status in (400, 422):
                return False
            await asyncio.sleep(1.0)
        return False


class LoadBalancer:
    """The load balancer, which sends new connections to healthy controllers.

    A controller is healthy after two successful probes in a row, or one if it has never been healthy, and unhealthy
    after two that fail. The pauses after a removal are left out, so it is more lenient than the page.
    """

    def __init__(self, cluster: Cluster) -> None:
        """Initialize without healthy controllers."""
        self._cluster = cluster
        self.healthy: set[str] = set()

    async def run(self) -> None:
        """Probe all controllers about once per second."""
        await asyncio.gather(*(self._probe(node) for node in self._cluster.nodes))

    async def _probe(self, node: str) -> None:
        in_a_row, needed = 0, 1  # successful probes in a row, or failed ones as a negative number
        while True:
            started_at = now()
            status, _body = await self._cluster.ask(node, "GET", "/healthz", None, 1.0)
            if status == 200:
                in_a_row = max(0, in_a_row) + 1
                if in_a_row >= needed and node not in self.healthy:
                    needed = 2
                    self.healthy.add(node)
                    self._cluster.record(f"load balancer: {node} is healthy")
            else:
                in_a_row = min(0, in_a_row) - 1
                if in_a_row <= -2 and node in self.healthy:
                    self.healthy.discard(node)
                    self._cluster.record(f"load balancer: {node} is unhealthy ({status or 'no answer'})")
            await asyncio.sleep(max(0.0, started_at + 1.0 - now()))

    async def ask(self, method: str, target: str, value: Any = None, timeout_s: float = 5.0) -> tuple[int, dict]:
        """Send a user's request on a new connection to a healthy controller; status 0 if there is no answer."""
        tried: set[str] = set()
        for _attempt in range(3):
            nodes = sorted(self.healthy - tried)
            if not nodes:
                break
            node = random.choice(nodes)
            tried.add(node)
            status, body = await self._cluster.ask(node, method, target, value, timeout_s)
            if status:
                return status, body
        return 0, {}
