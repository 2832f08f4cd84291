"""A whole deployment in virtual time: controllers, stand-ins, network and users, with troubles mixed in.

After each step the rules of the protocol are checked against what the workers really hold.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

from tealhook.settings import Policy
from tests.simulation.effects import SimEffects, Timer
from tests.simulation.faults import calm, trouble
from tests.simulation.jobs import SimJob, Users
from tests.simulation.network import Network, make_request
from tests.simulation.rules import BrokenRuleError, Rules
from tests.simulation.settings import RIGS, settings_text
from tests.standins import Cloud, StateService
from tests.user_requests import Finished
from tests.versions import Version, present, production

__all__ = [
    "Broken",
    "Network",
    "RIGS",
    "SimEffects",
    "SimJob",
    "World",
    "calm",
    "make_request",
    "random_run",
    "settings_text",
    "trouble",
]

Broken = BrokenRuleError  # as the tests call it


class World:
    """Seeded: the same seed gives the same run."""

    broken = BrokenRuleError

    def __init__(
        self, seed: int, nodes: int = 3, policy: Policy | None = None, old: Iterable[str] = (), **over: Any
    ) -> None:
        """`old`: the nodes that run the version in production until they are upgraded."""
        self.seed = seed
        self.rng = random.Random(seed)
        self.now = 0.0
        self._order = 0
        self._heap: list[Timer] = []
        self.names = [f"n{i}" for i in range(nodes)]
        self._texts = {f"n{i}": settings_text(i, nodes, **over) for i in range(nodes)}
        self.settings = present().parse_settings("settings.toml", self._texts["n0"])
        self._policies = {present().package: policy or present().load_policy(None)}
        self.versions: dict[str, Version] = dict.fromkeys(self.names, present())  # what each node runs, or will
        self.versions |= {name: production() for name in old}
        self.jobs: dict[str, SimJob] = {}
        self.rules = Rules(self)
        self.check_start = self.rules.check_start
        self.users = users = Users(self)
        self.ask, self.spec, self.submit, self.repeat = users.ask, users.spec, users.submit, users.repeat
        self.cancel, self.question, self.poll, self.told = users.cancel, users.question, users.poll, users.told
        self.finished: set[str] = Finished(users.task_ended)
        self.starts = 0
        self.odd = 0  # submissions that must be refused
        self.happened: Counter[str] = Counter()  # troubles that really came about
        self.late_starts: list[tuple[str, str, float, str]] = []  # task, machine, seconds, kind
        self.calm_at = float("inf")  # since when there is no trouble
        self.looks = 0.0  # share of occasions on which users look closely
        self.meets = 0.0  # share of jobs whose last task's end is met
        self.meeting = ("cancel",)  # by one of these: cancel, question, repeat
        self.nodes: dict[str, Any] = {}  # the controllers that run
        self.running: dict[str, Version] = {}  # which version each of them is
        self.frozen: dict[str, tuple[list[Callable], list[Callable]]] = {}  # what waits: of sockets, of timers
        self.lives: dict[str, int] = {}
        self._life = 0
        self.network = Network(self)
        self.state = StateService(self)
        self.cloud = Cloud(self, RIGS, 2)
        for name in self.names:
            self.start(name)
        self._every(0.1, self._tick)

    # -- time

    def at(self, delay: float, call: Callable) -> Timer:
        self._order += 1
        timer = Timer(self.now + max(0.0, delay), self._order, call)
        heapq.heappush(self._heap, timer)
        return timer

    def _every(self, period: float, call: Callable) -> None:
        def step() -> None:
            call()
            self.at(period, step)

        self.at(period, step)

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self._heap and self._heap[0].when <= until:
            timer = heapq.heappop(self._heap)
            self.now = max(self.now, timer.when)
            if timer.call is not None:
                timer.call()
        self.now = until

    def _tick(self) -> None:
        self.state.tick()
        self.cloud.tick()
        for worker in list(self.cloud.machines.values()):
            worker.step()
        self.rules.check()
        if self.meets:
            self.users.meet_ends()

    # -- processes

    def start(self, name: str) -> None:
        self._life += 1
        self.lives[name] = self._life
        version = self.versions[name]
        settings = version.parse_settings("settings.toml", self._texts[name])
        policy = self._policies.setdefault(version.package, version.load_policy(None))
        controller = version.controller(SimEffects(self, name, self._life), settings, policy)
        self.nodes[name] = controller
        self.running[name] = version
        self.happened["both versions run"] += len({self.running[node].package for node in self.nodes}) > 1
        controller.start()

    def present_nodes(self) -> list[str]:
        """Nodes that run the present version, or will when they are back: what is new is asked only of them."""
        return [name for name in self.names if self.versions[name] is present()]

    def all_present(self) -> bool:
        """Whether every node is upgraded."""
        return len(self.present_nodes()) == len(self.names)

    def upgrade(self, name: str, back: float) -> None:
        """A process ends and comes back with the present version, as it does from now on whenever it ends."""
        self.versions[name] = present()
        self.crash(name, back)

    def crash(self, name: str, back: float) -> None:
        if name in self.nodes:
            del self.nodes[name]
            self.lives[name] = -1
            self.frozen.pop(name, None)
            self.at(back, lambda: self.start(name) if name not in self.nodes else None)

    def freeze(self, name: str, seconds: float) -> None:
        """A process stands still while its clocks run on; what comes meanwhile waits for it."""
        if name not in self.nodes or name in self.frozen:
            return
        life, waiting = self.lives[name], ([], [])
        self.frozen[name] = waiting

        def wake() -> None:
            if self.frozen.get(name) is not waiting:
                return
            del self.frozen[name]
            sockets, timers = waiting
            # A loop may come to its timers before or after what its sockets hold.
            calls = [*timers, *sockets] if self.rng.random() < 0.5 else [*sockets, *timers]
            for call in calls:
                if self.lives.get(name) == life:
                    call()

        self.at(seconds, wake)

    def awake(self, name: str, call: Callable, *, timer: bool = False) -> None:
        """Run a call of a process, at once or when it goes on."""
        if name in self.frozen:
            self.frozen[name][timer].append(call)
        else:
            call()

    # -- jobs

    def unfinished(self) -> list[str]:
        return [job_id for job_id, job in self.jobs.items() if job.final is None]


def random_run(
    seed: int, seconds: float = 150.0, jobs: int = 25, slowest: float = 0.01, lossy: float = 0.0, **over: Any
) -> World:
    """Jobs and troubles at random times; then calm, in which everything accepted must end."""
    world = World(seed, **over)
    world.network.slowest, world.network.lossy = slowest, lossy
    for _ in range(jobs):
        world.at(world.rng.uniform(0.0, seconds * 0.7), world.submit)
    for _ in range(int(seconds / 8)):
        world.at(world.rng.uniform(10.0, seconds), lambda: trouble(world))
    world.run(seconds + 30.0)
    calm(world)
    world.run(150.0)
    return world
