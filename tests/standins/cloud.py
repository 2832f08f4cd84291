"""A stand-in for the cloud."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from tests.standins.worker import Worker


class Cloud:
    """A cloud that rents machines and whose list of machines lags behind."""

    def __init__(self, cluster: Any, machine_types: list[dict], capacity_per_pool: int) -> None:
        self.cluster = cluster
        self.machine_types = machine_types
        # A pool is a machine type in a zone, either spot or on demand.
        self.capacity_per_pool = capacity_per_pool
        self.machines: dict[str, Worker] = {}
        self.rentals: dict[str, list[str]] = {}  # request id -> names of the machines
        self.list_history: list[tuple[float, list[dict]]] = [(0.0, [])]  # time, list of machines
        self.down = False
        self.rejected_calls = 0  # calls beyond the rate limit
        self.fast_provisioning = False  # whether machines are up within two seconds
        self.failing_zones: set[str] = set()  # zones in which provisioning always fails
        self.rented_by_zone: Counter[str] = Counter()
        self.provisioning_failure_share = 0.0  # share of machines that never come up, beyond the usual 5 %
        self.provisioning_slowdown = 1.0  # factor of the usual provisioning time
        self.max_answer_delay_s = 0.0  # maximum delay of answers to rentals
        self._rented_count = 0
        self._tokens, self._tokens_at = 0.0, -1e9  # of the rate limit's token bucket

    def handle(self, method: str, target: str, body: bytes | None, answer: Callable) -> None:
        rps, now = self.cluster.settings.params.cloud.rps, self.cluster.now
        self._tokens = min(2.0 * rps, self._tokens + rps * (now - self._tokens_at))  # bursts worth two seconds
        self._tokens_at = now
        if self._tokens < 1.0:
            self.rejected_calls += 1
            answer(429, b"{}")
            return
        self._tokens -= 1.0
        if self.down:
            answer(503, b'{"error":"trouble"}')
            return
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query, keep_blank_values=True).items()}
        value = json.loads(body) if body else {}
        if url.path == "/machine_types":
            answer(200, json.dumps({"rigs": self.machine_types}).encode())
        elif url.path == "/rentals/release":
            for name in value["boxes"]:
                self.remove(name)
            answer(200, b"{}")
        elif method == "POST":
            self._rent(value, answer)
        else:
            lag = self.cluster.settings.params.cloud.list_lag_s * self.cluster.rng.uniform(0.3, 2.0)
            listing = [entries for time, entries in self.list_history if time <= max(0.0, self.cluster.now - lag)][-1]
            remaining = [entry for entry in listing if entry["name_id"] > query["after"]]
            page_size = int(query["page"])
            answer(200, json.dumps({"boxes": remaining[:page_size], "more": len(remaining) > page_size}).encode())

    def _rent(self, value: dict, answer: Callable) -> None:
        if value["ask"] in self.rentals:
            answer(200, json.dumps({"boxes": self.rentals[value["ask"]]}).encode())
            return
        pool = (value["rig"], value["yard"], value["loaners"])
        rented = sum((w.machine_type["name"], w.zone, w.spot) == pool for w in self.machines.values())
        names = []
        for _ in range(min(value["count"], self.capacity_per_pool - rented)):
            self._rented_count += 1
            name = f"host-{self._rented_count:06d}"
            names.append(name)
            self.rented_by_zone[value["yard"]] += 1
            machine_type = next(offered for offered in self.machine_types if offered["name"] == value["rig"])
            worker = Worker(self.cluster, name, machine_type, value["yard"], value["loaners"])
            self.machines[name] = worker
            if self.cluster.rng.random() < 0.95 - self.provisioning_failure_share:
                boot_s = self.provisioning_slowdown * machine_type["ready_s"] * self.cluster.rng.uniform(0.05, 1.5)
                if self.fast_provisioning:
                    boot_s = self.cluster.rng.uniform(0.0, 2.0)
                if value["yard"] not in self.failing_zones:
                    self.cluster.call_later(boot_s, worker.boot)
        if names:
            self.rentals[value["ask"]] = names
            self._answer_rental(names, answer)
        else:
            answer(503, b'{"error":"no capacity"}')

    def _answer_rental(self, names: list[str], answer: Callable) -> None:
        def reply() -> None:
            if self.max_answer_delay_s or self.fast_provisioning:
                self.cluster.network.event_counts["rental answered"] += 1
                if any(name in self.machines and self.machines[name].up for name in names):
                    self.cluster.network.event_counts["machine up before its rental was answered"] += 1
            answer(200, json.dumps({"boxes": names}).encode())

        if self.max_answer_delay_s:
            self.cluster.call_later(self.cluster.rng.uniform(0.0, self.max_answer_delay_s), reply)
        else:
            reply()

    def remove(self, name: str) -> None:
        worker = self.machines.pop(name, None)
        if worker is not None:
            worker.power_off()

    def step(self) -> None:
        """Record the current list of machines."""
        listing = [
            {
                "name_id": w.name,
                "addr": w.addr,
                "rig": w.machine_type["name"],
                "yard": w.zone,
                "loaners": w.spot,
                "status": "failed" if w.failed else "running" if w.up else "starting",
                "age_s": self.cluster.now - w.created_at,
            }
            for _, w in sorted(self.machines.items())
        ]
        self.list_history.append((self.cluster.now, listing))
        del self.list_history[:-200]
