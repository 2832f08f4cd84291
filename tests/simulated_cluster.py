"""A simulated deployment in virtual time: controllers, stand-ins, network and users, with injected faults.

After each step the rules of the protocol are checked against the actual state of the workers.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

from tealhook.settings import Policy
from tests.simulation.effects import SimulatedEffects, Timer
from tests.simulation.errors import RuleViolationError
from tests.simulation.faults import end_faults, random_fault
from tests.simulation.jobs import SimulatedJob, Users
from tests.simulation.network import Network, make_request
from tests.simulation.rules import RuleChecker
from tests.simulation.settings import MACHINE_TYPES, settings_text
from tests.standins import Cloud, StateStore
from tests.user_requests import FinishedTasks
from tests.versions import Version, current_version, production_version

__all__ = [
    "RuleViolationError",
    "Network",
    "MACHINE_TYPES",
    "SimulatedEffects",
    "SimulatedJob",
    "SimulatedCluster",
    "end_faults",
    "make_request",
    "random_faults_run",
    "settings_text",
    "random_fault",
]


class SimulatedCluster:
    """A simulated cluster whose runs are reproducible: the same seed gives the same run."""

    def __init__(
        self,
        seed: int,
        nodes: int = 3,
        policy: Policy | None = None,
        production_nodes: Iterable[str] = (),
        **overrides: Any,
    ) -> None:
        """Start a cluster; `production_nodes` run the version in production until they are upgraded.

        `overrides` are arguments of `settings_text`.
        """
        self.seed = seed
        self.rng = random.Random(seed)
        self.now = 0.0
        self._timer_count = 0
        self._timers: list[Timer] = []  # a heap
        self.node_names = [f"n{i}" for i in range(nodes)]
        self._settings_texts = {f"n{i}": settings_text(i, nodes, **overrides) for i in range(nodes)}
        self.settings = current_version().parse_settings("settings.toml", self._settings_texts["n0"])
        self._policies = {current_version().package: policy or current_version().load_policy(None)}
        # The version that each node runs, or will run when it starts next.
        self.versions: dict[str, Version] = dict.fromkeys(self.node_names, current_version())
        self.versions |= {name: production_version() for name in production_nodes}
        self.jobs: dict[str, SimulatedJob] = {}
        self.rule_checker = RuleChecker(self)
        self.check_start = self.rule_checker.check_start
        self.users = users = Users(self)
        self.send_request, self.random_spec, self.submit, self.resubmit = (
            users.send_request,
            users.random_spec,
            users.submit,
            users.resubmit,
        )
        self.cancel, self.query, self.poll, self.record_answer = (
            users.cancel,
            users.query,
            users.poll,
            users.record_answer,
        )
        self.finished_tasks: set[str] = FinishedTasks(users.on_task_completed)
        self.task_starts = 0
        self.invalid_submissions = 0  # submissions that must be refused
        self.event_counts: Counter[str] = Counter()  # faults and other events that really occurred
        self.late_starts: list[tuple[str, str, float, str]] = []  # task, machine, seconds after cancellation, kind
        self.faults_ended_at = float("inf")  # the time since which no fault is active
        self.request_burst_share = 0.0  # share of occasions on which users send a burst of requests
        self.completion_race_share = 0.0  # share of jobs for which a request races the completion of the last task
        self.racing_requests = ("cancel",)  # kinds of requests that race a completion: cancel, query, resubmit
        self.controllers: dict[str, Any] = {}  # node -> its controller, of the nodes that are up
        self.running_versions: dict[str, Version] = {}  # node -> the version that it was last started with
        # Suspended node -> calls that wait until it is resumed: those of its sockets, those of its timers.
        self.suspended: dict[str, tuple[list[Callable], list[Callable]]] = {}
        self.incarnations: dict[str, int] = {}  # node -> number of its running process, -1 when it is down
        self._last_incarnation = 0
        self.network = Network(self)
        self.state = StateStore(self)
        self.cloud = Cloud(self, MACHINE_TYPES, 2)
        for name in self.node_names:
            self.start(name)
        self._call_every(0.1, self._step_standins)

    # -- time

    def call_later(self, delay: float, call: Callable) -> Timer:
        self._timer_count += 1
        timer = Timer(self.now + max(0.0, delay), self._timer_count, call)
        heapq.heappush(self._timers, timer)
        return timer

    def call_at_random_times(self, count: int, earliest: float, latest: float, call: Callable) -> None:
        """Schedule `count` calls, each after a random delay between `earliest` and `latest`."""
        for _ in range(count):
            self.call_later(self.rng.uniform(earliest, latest), call)

    def _call_every(self, period: float, call: Callable) -> None:
        def step() -> None:
            call()
            self.call_later(period, step)

        self.call_later(period, step)

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self._timers and self._timers[0].when <= until:
            timer = heapq.heappop(self._timers)
            self.now = max(self.now, timer.when)
            if timer.call is not None:
                timer.call()
        self.now = until

    def _step_standins(self) -> None:
        self.state.step()
        self.cloud.step()
        for worker in list(self.cloud.machines.values()):
            worker.step()
        self.rule_checker.check()
        if self.completion_race_share:
            self.users.race_completions()

    # -- processes

    def start(self, name: str) -> None:
        self._last_incarnation += 1
        self.incarnations[name] = self._last_incarnation
        version = self.versions[name]
        settings = version.parse_settings("settings.toml", self._settings_texts[name])
        policy = self._policies.setdefault(version.package, version.load_policy(None))
        controller = version.controller(SimulatedEffects(self, name, self._last_incarnation), settings, policy)
        self.controllers[name] = controller
        self.running_versions[name] = version
        self.event_counts["both versions run"] += (
            len({self.running_versions[node].package for node in self.controllers}) > 1
        )
        controller.start()

    def upgraded_nodes(self) -> list[str]:
        """Return the nodes that run the current version, or will when they restart; only they know new features."""
        return [name for name in self.node_names if self.versions[name] is current_version()]

    def all_upgraded(self) -> bool:
        """Check whether every node is upgraded."""
        return len(self.upgraded_nodes()) == len(self.node_names)

    def upgrade(self, name: str, downtime: float) -> None:
        """End a process and restart it with the current version, which it also runs after later restarts."""
        self.versions[name] = current_version()
        self.crash(name, downtime)

    def crash(self, name: str, downtime: float) -> None:
        """End a process and restart it some seconds later; nothing happens if it is down already."""
        if name in self.controllers:
            del self.controllers[name]
            self.incarnations[name] = -1
            self.suspended.pop(name, None)
            self.call_later(downtime, lambda: self.start(name) if name not in self.controllers else None)

    def suspend(self, name: str, seconds: float) -> None:
        """Suspend a process while its clocks run on; its timers and received packets wait until it is resumed."""
        if name not in self.controllers or name in self.suspended:
            return
        incarnation, waiting = self.incarnations[name], ([], [])
        self.suspended[name] = waiting

        def resume() -> None:
            if self.suspended.get(name) is not waiting:
                return
            del self.suspended[name]
            socket_calls, timer_calls = waiting
            # An event loop may run its timers before or after it reads its sockets.
            calls = [*timer_calls, *socket_calls] if self.rng.random() < 0.5 else [*socket_calls, *timer_calls]
            for call in calls:
                if self.incarnations.get(name) == incarnation:
                    call()

        self.call_later(seconds, resume)

    def run_when_resumed(self, name: str, call: Callable, *, timer: bool = False) -> None:
        """Run a call of a process at once, or when the process is resumed if it is suspended."""
        if name in self.suspended:
            self.suspended[name][timer].append(call)
        else:
            call()

    # -- jobs

    def unfinished_jobs(self) -> list[str]:
        return [job_id for job_id, job in self.jobs.items() if job.final_status is None]


def random_faults_run(
    seed: int,
    seconds: float = 150.0,
    jobs: int = 25,
    max_delay_s: float = 0.01,
    state_loss_share: float = 0.0,
    **overrides: Any,
) -> SimulatedCluster:
    """Run jobs and faults at random times, then end all faults and give the jobs time to finish."""
    cluster = SimulatedCluster(seed, **overrides)
    cluster.network.max_delay_s, cluster.network.state_loss_share = max_delay_s, state_loss_share
    cluster.call_at_random_times(jobs, 0.0, 0.7 * seconds, cluster.submit)
    cluster.call_at_random_times(int(seconds / 8), 10.0, seconds, lambda: random_fault(cluster))
    cluster.run(seconds + 30.0)
    end_faults(cluster)
    cluster.run(150.0)
    return cluster
