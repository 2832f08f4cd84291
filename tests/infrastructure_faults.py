"""Troubles of state service, network, machines and controllers, by themselves and mixed with those of `world`."""

from __future__ import annotations

from collections.abc import Callable

from tests.simulated_cluster import World, calm, trouble
from tests.simulation.faults import for_span, hang, up
from tests.standins import Worker

KINDS = {
    "fleet": "own/fleet",
    "home": "own/home/",
    "part": "own/part/",
}


def owners(world: World, kind: str) -> list[str]:
    """The nodes that own the fleet, a home or a part, by the state service's word, each once."""
    return sorted({row[0]["n"] for key, row in world.state.rows.items() if key.startswith(KINDS[kind])})


def owner(world: World, kind: str) -> str:
    """One of them; any node when nobody is an owner just now."""
    return world.rng.choice(owners(world, kind) or world.names)


def mute(world: World, workers: list[Worker], seconds: float) -> None:
    names = {worker.name for worker in workers}
    world.network.mute |= names
    world.at(seconds, lambda: world.network.mute.difference_update(names))


def end_all(world: World, back: Callable[[str], float]) -> None:
    """All controllers end; each is back after its time."""
    for name in world.names:
        world.crash(name, back(name))


def change_leaders(world: World, kind: str, times: int, every_s: float) -> None:
    """The owner ends, again and again, whoever it is."""
    for i in range(times):
        world.at(i * every_s, lambda: world.crash(owner(world, kind), world.rng.choice([0.1, 1.0, 4.0])))


class _NetTrouble:
    """A trouble that lasts for some span, one of `ALL`; `which`: whose owner it may fall on."""

    def __init__(self, world: World, span: float, which: str) -> None:
        self.world, self.rng, self.net, self.span, self.which = world, world.rng, world.network, span, which
        self.lease_s, self.cancel_s = world.settings.params.workers.lease_s, world.settings.params.workers.cancel_s

    # -- state service

    def late_writes(self) -> None:
        for_span(self.world, self.span, self.net, "late_writes", self.rng.uniform(0.1, 0.7), 0.0)

    def lost_answers(self) -> None:
        for_span(self.world, self.span, self.net, "lost_answers", self.rng.uniform(0.1, 0.7), 0.0)

    def slow_state(self) -> None:
        for_span(self.world, 2 * self.span, self.net, "slow_state", self.rng.uniform(0.3, 2.5), 0.0)

    def one_refused_then_outage(self) -> None:
        world, rng = self.world, self.rng
        world.state.refuses = {owner(world, self.which)}
        world.at(rng.uniform(0.5, 5.0), lambda: world.state.outage(True))
        until = rng.choice([self.span, 1.1 * self.cancel_s]) + 5.0
        world.at(until, lambda: world.state.outage(False))
        world.at(until, lambda: setattr(world.state, "refuses", set()))

    # -- reports and commands

    def late_reports(self) -> None:
        for_span(self.world, 2 * self.span, self.net, "late_reports", self.rng.uniform(0.1, 0.5), 0.0)

    def reports_for_next_owner(self) -> None:
        for_span(self.world, self.span, self.net, "for_next", self.rng.uniform(0.1, 0.5), 0.0)
        self.world.at(self.span, self._end_owner_of_part)

    def reports_held_back(self) -> None:
        for_span(self.world, self.span, self.net, "hold_back", self.rng.uniform(0.1, 0.5), 0.0)
        self.world.at(0.8 * self.span, self._end_owner_of_part)

    def _end_owner_of_part(self) -> None:
        self.world.crash(owner(self.world, "part"), self.rng.choice([0.05, 0.5, 5.0]))

    def mute_some(self) -> None:
        """Some machines, or a zone, for less than a lease or for several."""
        if workers := up(self.world):
            zone = self.rng.choice([None, "za", "zb"])
            if zone:
                some = [worker for worker in workers if worker.yard == zone]
            else:
                some = self._third_of(workers)
            mute(self.world, some, self.rng.choice([4.0, self.span, 4 * self.lease_s]))

    def late_commands(self) -> None:
        """And a third of the machines hang."""
        if workers := up(self.world):
            self.net.direct_s = self.rng.choice([(0.5, 5.0), (2.0, 12.0), (10.0, 90.0)])
            for_span(self.world, 2 * self.span, self.net, "late_direct", self.rng.uniform(0.2, 0.9), 0.0)
            for worker in self._third_of(workers):
                hang(self.world, worker, self.rng.choice([self.rng.uniform(1.0, 8.0), self.span]))

    def _third_of(self, workers: list[Worker]) -> list[Worker]:
        return self.rng.sample(workers, max(1, len(workers) // 3))

    # -- cuts

    def cut_owner(self) -> None:
        self.net.hold = self.rng.random() < 0.5
        self.net.cut_node(owner(self.world, self.which))
        self.world.at(self.rng.choice([self.span, self.cancel_s]), self.net.heal)

    def cut_zone(self) -> None:
        self.net.hold = self.rng.random() < 0.7
        self.net.cut_zone(self.rng.choice(["za", "zb"]), self.rng.choice(self.world.names))
        self.world.at(self.rng.choice([self.span, 1.5 * self.lease_s]), self.net.heal)

    # -- cloud

    def rentals_answered_late(self) -> None:
        """Machines are up before their rental is answered; half of those that are up fail, so that some are rented."""
        for_span(self.world, 2 * self.span, self.world.cloud, "quick_boots", True, False)
        for_span(self.world, 2 * self.span, self.world.cloud, "answer_s", self.rng.uniform(1.0, 8.0), 0.0)
        workers = up(self.world)
        for worker in self.rng.sample(workers, len(workers) // 2):
            worker.fail()

    # -- controllers

    def all_end(self) -> None:
        end_all(self.world, lambda _name: self.rng.uniform(0.05, 1.0))

    def all_end_one_is_back(self) -> None:
        first = self.rng.choice(self.world.names)
        end_all(self.world, lambda name: self.rng.uniform(0.05, 1.0) if name == first else self.span)

    def all_end_for_leases(self) -> None:
        end_all(self.world, lambda _name: self.rng.uniform(1.0, 2.5) * self.lease_s)

    def leaders_change(self) -> None:
        """Maybe with an outage among it."""
        world, rng = self.world, self.rng
        change_leaders(world, self.which, rng.randint(2, 10), 12.0)
        if rng.random() < 0.4:
            world.at(rng.uniform(0.0, 20.0), lambda: world.state.outage(True))
            world.at(20.0 + self.span, lambda: world.state.outage(False))

    # The order decides what a seed draws.
    ALL = (
        late_writes,
        lost_answers,
        late_reports,
        reports_for_next_owner,
        reports_held_back,
        mute_some,
        late_commands,
        one_refused_then_outage,
        slow_state,
        cut_owner,
        rentals_answered_late,
        all_end,
        all_end_one_is_back,
        leaders_change,
        all_end_for_leases,
        cut_zone,
    )


def net_trouble(world: World) -> None:
    """One random trouble, and its end some time later."""
    rng = world.rng
    cause = rng.choice(_NetTrouble.ALL)
    cause(_NetTrouble(world, rng.uniform(2.0, 25.0), rng.choice(sorted(KINDS))))


def all_calm(world: World) -> None:
    calm(world)
    world.network.calm()
    world.cloud.quick_boots, world.cloud.answer_s = False, 0.0


def until_done(world: World, seconds: float) -> None:
    """Run until every job has ended and a little longer, but no longer than that."""
    until = world.now + seconds
    while world.unfinished() and world.now < until:
        world.run(5.0)
    world.run(15.0)


def mixed_run(seed: int, seconds: float = 150.0, jobs: int = 30, new: float = 0.6, **over) -> World:
    """Jobs and troubles of both kinds at random times; then calm, in which everything accepted must end."""
    world = World(seed, **over)
    for _ in range(jobs):
        world.at(world.rng.uniform(0.0, seconds * 0.7), world.submit)
    for _ in range(int(seconds / 8)):
        world.at(
            world.rng.uniform(10.0, seconds), lambda: net_trouble(world) if world.rng.random() < new else trouble(world)
        )
    world.run(seconds + 30.0)
    all_calm(world)
    until_done(world, 150.0)
    return world
