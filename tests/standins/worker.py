"""A stand-in for the workers."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any


class Worker:
    """The worker of one machine: fencing tokens, lease, sessions, one heartbeat in flight at a time."""

    def __init__(self, cluster: Any, name: str, machine_type: dict, zone: str, spot: bool) -> None:
        self.cluster = cluster
        self.name, self.machine_type, self.zone, self.spot = name, machine_type, zone, spot
        self.addr = f"10.1.0.{int(name[-6:])}:9000"
        self.created_at = cluster.now
        self.up = self.dead = self.failed = self.hung = False
        self.faulty = False  # whether all its tasks fail
        self.session, self.sequence, self.fencing_token = 1, 0, 0
        self.termination_at: float | None = None  # announced time at which the cloud reclaims the machine
        self.tasks: dict[tuple[str, int], dict] = {}  # task and attempt -> state
        self.images: set[str] = set()
        self.node = cluster.rng.randrange(len(cluster.node_names))  # index of the node that gets its heartbeats
        self.heartbeat_number = 0
        self.heartbeat_in_flight = False
        self.last_sent_at = 0.0
        self.lease_renewed_at = 0.0
        self.clock_rate = 1.0  # rate of its monotonic clock
        self.token_reported_at = -1e9  # when a higher token last caused an extra heartbeat

    def boot(self) -> None:
        if not self.dead:
            self.up = True
            self.lease_renewed_at = self.cluster.now
            self._send_heartbeat()

    def power_off(self) -> None:
        self.dead = True
        self.up = False
        self.tasks.clear()

    def restart(self, downtime_s: float) -> None:
        """Lose all tasks and everything that the worker has stored, and be up again under the same name."""
        if self.up:
            self.up = False
            self.cluster.rule_checker.forget_attempts(self.tasks)
            self.tasks.clear()
            self.images.clear()
            self.session, self.sequence, self.fencing_token = 1, 0, 0
            self.heartbeat_number += 1  # nothing takes the answer to the last heartbeat
            self.heartbeat_in_flight = False
            self.cluster.call_later(downtime_s, self.boot)

    def announce_termination(self, seconds: float) -> None:
        """Announce that the cloud will reclaim the machine; the caller has to remove it."""
        self.termination_at = self.cluster.now + seconds
        self._send_heartbeat()

    def fail(self) -> None:
        """Stop the machine with all its tasks; the cloud lists it as failed 30 s later."""
        self.power_off()
        self.cluster.call_later(30.0, lambda: setattr(self, "failed", True))

    def active_tasks(self) -> list[tuple[str, int]]:
        return [key for key, task in self.tasks.items() if task["status"] != "exited"]

    def started_tasks(self) -> list[tuple[str, int]]:
        """Return the tasks whose image is fetched and that have not ended."""
        return [key for key, task in self.tasks.items() if task["status"] in ("running", "flushing")]

    def step(self) -> None:
        """Check the lease and advance the tasks; a machine that hangs does neither, but its lease runs on."""
        cluster = self.cluster
        if not self.up or self.hung:
            return
        if (cluster.now - self.lease_renewed_at) * self.clock_rate > cluster.settings.params.workers.lease_s:
            self.tasks.clear()
            self.session += 1
            self.heartbeat_in_flight = False
            self.lease_renewed_at = cluster.now
            cluster.network.event_counts["lease expired"] += 1
            self._send_heartbeat()
            return
        changed = False
        for key, task in list(self.tasks.items()):
            if task["status"] == "pulling" and cluster.now >= task["fetched_at"]:
                task["status"] = "running"
                self.images.add(task["image"])
                task["ends_at"] = cluster.now + task["run_s"]
                changed = True
                cluster.check_start(self, key)
            elif task["status"] == "running" and cluster.now >= task["ends_at"]:
                task["status"] = "exited"
                task["cause"] = "error" if self.faulty or task["fails"] else "done"
                if task["cause"] == "done":
                    cluster.finished_tasks.add(key[0])
                changed = True
            elif task["status"] == "flushing" and cluster.now >= task["saved_at"]:
                task.update(status="exited", cause="halted", saved=True)
                changed = True
        if (
            changed
            or not self.heartbeat_in_flight
            and cluster.now - self.last_sent_at > cluster.settings.params.workers.report_s
        ):
            self._send_heartbeat()

    def _heartbeat(self) -> dict:
        self.sequence += 1
        tasks = []
        for (task, attempt), state in self.tasks.items():
            entry = {"play": task, "try": attempt, "status": state["status"]}
            if state["status"] == "exited":
                entry["cause"] = state["cause"]
                if state["cause"] == "halted":
                    entry["saved"] = state["saved"]
            tasks.append(entry)
        return {
            "box": self.name,
            "addr": self.addr,
            "rig": self.machine_type["name"],
            "yard": self.zone,
            "loaners": self.spot,
            "shift": self.session,
            "tick": self.sequence,
            "baton": self.fencing_token,
            "warning_s": None if self.termination_at is None else max(0.0, self.termination_at - self.cluster.now),
            "plays": tasks,
        }

    def _send_heartbeat(self) -> None:
        cluster = self.cluster
        if self.heartbeat_in_flight or not self.up or self.hung:
            return
        if cluster.now - self.last_sent_at < 0.5:
            cluster.call_later(0.501 - (cluster.now - self.last_sent_at), self._send_heartbeat)
            return
        self.heartbeat_in_flight = True
        self.heartbeat_number += 1
        number, sent_at, session = self.heartbeat_number, cluster.now, self.session
        self.last_sent_at = sent_at

        def answered(status: int | None, body: bytes) -> None:
            if number != self.heartbeat_number or not self.heartbeat_in_flight or not self.up:
                return  # timed out, or of an earlier session
            if self.hung:
                cluster.call_later(0.5, lambda: answered(status, body))
                return
            self.heartbeat_in_flight = False
            if cluster.now - sent_at > 4.0:
                status = None
            if status == 200:
                self._apply_response(json.loads(body), sent_at, session)
                return
            owner = json.loads(body).get("boss") if status == 421 else None
            if owner in cluster.node_names and owner != cluster.node_names[self.node]:
                self.node = cluster.node_names.index(owner)
                cluster.call_later(cluster.rng.uniform(0.0, 0.5), self._send_heartbeat)
            else:
                self.node = (self.node + 1) % len(cluster.node_names)
                cluster.call_later(1.0, self._send_heartbeat)

        body = json.dumps(self._heartbeat()).encode()
        cluster.network.send_to_node(self.name, cluster.node_names[self.node], "POST", "/v1/report", body, answered)
        cluster.call_later(4.0, lambda: answered(None, b""))

    def _apply_response(self, response: dict, sent_at: float, session: int) -> None:
        if response.get("baton", -1) < self.fencing_token or session != self.session:
            return  # a stale answer neither renews the lease nor executes commands
        is_token_higher = response["baton"] > self.fencing_token
        self.fencing_token = response["baton"]
        self.lease_renewed_at = max(self.lease_renewed_at, sent_at)
        before = {key: task["status"] for key, task in self.tasks.items()}
        for command in response["orders"]:
            self._execute(command)
        if (
            is_token_higher
            and self._should_report_token()
            or before != {key: task["status"] for key, task in self.tasks.items()}
        ):
            self._send_heartbeat()

    def _should_report_token(self) -> bool:
        """Check whether a higher token justifies an extra heartbeat, at most once in half a lease."""
        if self.cluster.now - self.token_reported_at < self.cluster.settings.params.workers.lease_s / 2:
            return False
        self.token_reported_at = self.cluster.now
        return True

    def handle_request(self, method: str, target: str, body: bytes | None, answer: Callable) -> None:
        """Handle GET /show and POST /orders; a machine that is down does not answer, one that hangs answers late."""
        if not self.up:
            return
        if self.hung:
            self.cluster.call_later(0.5, lambda: self.handle_request(method, target, body, answer))
            return
        value = json.loads(body) if body else {}
        if method == "POST" and not {"baton", "shift"} <= value.keys():
            answer(400, b"{}")
            return
        if method == "POST" and (value["baton"] < self.fencing_token or value["shift"] != self.session):
            answer(409, json.dumps(self._heartbeat()).encode())
            return
        if method == "POST":
            is_token_higher = value["baton"] > self.fencing_token
            self.fencing_token = value["baton"]
            for command in value["orders"]:
                self._execute(command)
            if is_token_higher and self._should_report_token():
                self.cluster.call_later(0.0, self._send_heartbeat)
        answer(200, json.dumps(self._heartbeat()).encode())

    def _execute(self, command: dict) -> None:
        cluster = self.cluster
        key = (command["play"], command["try"])
        task = self.tasks.get(key)
        if command["verb"] == "clear":
            if task is not None and task["status"] == "exited":
                del self.tasks[key]
        elif command["verb"] == "kill":
            if task is not None:
                self._stop_task(command["play"], task, command["wind_down_s"])
        elif task is None:
            self.tasks[key] = self._start_task(command["play"], cluster)
            if self.tasks[key]["status"] != "exited":
                cluster.rule_checker.check_attempt(self, key)

    def _stop_task(self, name: str, task: dict, grace_period_s: float) -> None:
        """Stop a task: a running one with checkpoints saves if it has the time, every other one exits at once."""
        spec = self.cluster.jobs[name.rsplit("/", 1)[0]].spec if task["status"] != "exited" else {}
        saves = spec.get("snapshot_every_s", 0.0) > 0 and grace_period_s >= spec["snapshot_s"]
        if task["status"] == "running" and saves:
            task.update(status="flushing", saved_at=self.cluster.now + spec["snapshot_s"])
        elif task["status"] in ("pulling", "running") or task["status"] == "flushing" and grace_period_s <= 0:
            task.update(status="exited", cause="halted", saved=False)

    def _start_task(self, name: str, cluster: Any) -> dict:
        job = cluster.jobs.get(name.rsplit("/", 1)[0])
        task = {"status": "exited", "cause": "unknown", "image": "", "run_s": 0.0, "fails": False}
        if job is None:
            return task
        if any(other == name and state["status"] != "exited" for (other, _), state in self.tasks.items()):
            return task | {"cause": "busy"}
        used = [0.0, 0.0]  # CPUs, memory in GB
        for (other, _), state in self.tasks.items():
            if state["status"] != "exited":
                spec = cluster.jobs[other.rsplit("/", 1)[0]].spec
                used[0] += spec["vcpus"]
                used[1] += spec["memory_gb"]
        if (
            used[0] + job.spec["vcpus"] > self.machine_type["vcpus"]
            or used[1] + job.spec["memory_gb"] > self.machine_type["memory_gb"]
        ):
            return task | {"cause": "full"}
        image = job.spec["playbook"]
        fetch_s = 0.0 if image in self.images else job.spec["pull_gb"] / self.machine_type["pull_gb_per_s"]
        run_s = 0.05 if name in cluster.finished_tasks else job.spec["expected_s"] * cluster.rng.uniform(0.5, 1.6)
        return {
            "status": "pulling",
            "cause": None,
            "image": image,
            "fetched_at": cluster.now + fetch_s,
            "run_s": run_s,
            "fails": job.always_fails,
        }
