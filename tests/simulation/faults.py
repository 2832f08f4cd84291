"""Troubles of controllers, network, machines and users, and their end."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from tests import user_requests
from tests.standins import Worker

if TYPE_CHECKING:
    from tests.simulated_cluster import World


def up(world: World) -> list[Worker]:
    return [worker for worker in world.cloud.machines.values() if worker.up]


def for_span(world: World, span: float, thing: object, name: str, value: object, after: object) -> None:
    """An attribute has one value for a span, then another."""
    setattr(thing, name, value)
    world.at(span, lambda: setattr(thing, name, after))


def hang(world: World, worker: Worker, seconds: float) -> None:
    for_span(world, seconds, worker, "hung", True, False)


class _Trouble:
    """A trouble that lasts for some span, one of `ALL`."""

    def __init__(self, world: World, span: float) -> None:
        self.world, self.rng, self.net, self.span = world, world.rng, world.network, span

    # -- controllers

    def end_one(self) -> None:
        self.world.crash(self.rng.choice(self.world.names), self.rng.choice([0.2, 3.0, 8.0]))

    def end_all(self) -> None:
        for name in self.world.names:
            self.world.crash(name, self.rng.uniform(0.2, 6.0))

    def freeze(self) -> None:
        """For less than a grant, or for longer than a lease."""
        self.world.freeze(self.rng.choice(self.world.names), self.rng.choice([self.rng.uniform(0.5, 3.0), self.span]))

    # -- services

    def state_down(self) -> None:
        self.world.state.outage(True)
        self.world.at(self.span, lambda: self.world.state.outage(False))

    def state_refuses_one(self) -> None:
        for_span(self.world, self.span, self.world.state, "refuses", {self.rng.choice(self.world.names)}, set())

    def cloud_down(self) -> None:
        for_span(self.world, self.span, self.world.cloud, "down", True, False)

    # -- network

    def cut_from_state(self) -> None:
        self._cut_one(["state"])
        self.world.at(self.span, self.net.heal)

    def cut_from_peers(self) -> None:
        self._cut_one(self.world.names)
        self.world.at(self.span, self.net.heal)

    def cut_from_workers(self) -> None:
        self._cut_one([worker.name for worker in up(self.world)])
        self.world.at(self.span, self.net.heal)

    def cut_from_services_and_peers(self) -> None:
        """And maybe from the workers of a zone."""
        node = self._cut_one(["state", "cloud", *self.world.names])
        if self.rng.random() < 0.5:
            for worker in up(self.world):
                if worker.yard == "za":
                    self.net.cut(node, worker.name)
        self.world.at(self.span, self.net.heal)

    def _cut_one(self, others: Iterable[str]) -> str:
        """Cut any one controller from these; its name."""
        self.net.hold = self.rng.random() < 0.7
        node = self.rng.choice(self.world.names)
        for other in others:
            if other != node:
                self.net.cut(node, other)
        return node

    def cut_all_peers(self) -> None:
        self.net.cut_peers()
        self.world.at(self.span, self.net.heal)

    def lossy(self) -> None:
        for_span(self.world, self.span, self.net, "lossy", self.rng.uniform(0.02, 0.15), 0.0)

    def copies(self) -> None:
        for_span(self.world, 2 * self.span, self.net, "copies", 0.3, 0.0)

    # -- machines

    def hang_one(self) -> None:
        """For less than a lease, or for longer."""
        if workers := up(self.world):
            worker = self.rng.choice(workers)
            hang(self.world, worker, self.rng.choice([self.rng.uniform(1.0, 8.0), self.span]))

    def lose_a_third(self) -> None:
        """The cloud takes spot machines, others fail."""
        workers = up(self.world)
        for worker in self.rng.sample(workers, max(1, len(workers) // 3)) if workers else ():
            if worker.loaners:
                worker.notice(4.0)
                self.world.at(self.rng.choice([0.0, 4.0]), lambda worker=worker: self.world.cloud.remove(worker.name))
            else:
                worker.fail()

    def sick(self) -> None:
        if workers := up(self.world):
            self.rng.choice(workers).sick = True

    def deaf(self) -> None:
        """For less than a lease, for several, for good."""
        if workers := up(self.world):
            name = self.rng.choice(workers).name
            self.net.deaf.add(name)
            self.world.at(self.rng.choice([4.0, self.span, 1e9]), lambda: self.net.deaf.discard(name))

    # -- users

    def close_looks(self) -> None:
        for_span(self.world, self.span, self.world, "looks", 0.8, 0.0)

    def meet_ends(self) -> None:
        self.world.meeting = ("cancel", "cancel", "question", "repeat")
        for_span(self.world, self.span, self.world, "meets", 0.5, 0.0)

    def cancel_now(self) -> None:
        count = self.rng.randint(1, 6)
        user_requests.cancel_now(self.world, count, self.rng.choice([0.0, self.rng.uniform(1.0, 8.0), self.span]))

    def odd_requests(self) -> None:
        user_requests.odd_requests(self.world, 20, self.span)

    def stream(self) -> None:
        user_requests.stream(self.world, min(self.span, 8.0))

    # The order decides what a seed draws.
    ALL = (
        end_one,
        end_all,
        state_down,
        state_refuses_one,
        cut_from_state,
        cut_from_peers,
        cut_from_workers,
        cut_from_services_and_peers,
        lossy,
        cloud_down,
        hang_one,
        lose_a_third,
        sick,
        deaf,
        copies,
        cut_all_peers,
        freeze,
        close_looks,
        meet_ends,
        cancel_now,
        odd_requests,
        stream,
    )


def trouble(world: World) -> None:
    """One random trouble, and its end some time later."""
    cause = world.rng.choice(_Trouble.ALL)
    cause(_Trouble(world, world.rng.uniform(2.0, 25.0)))


def calm(world: World) -> None:
    """All troubles end."""
    world.calm_at = world.now
    world.looks = world.meets = 0.0
    world.network.lossy = 0.0
    world.network.heal()
    world.network.deaf.clear()
    world.network.copies = 0.0
    world.state.outage(False)
    world.state.refuses = set()
    world.cloud.down = False
    for worker in world.cloud.machines.values():
        worker.hung = False
