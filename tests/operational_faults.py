"""Troubles that operators met and no list named: freezes, one-sided cuts, storms of questions, late boots, mistakes."""

from __future__ import annotations

from collections.abc import Callable
from itertools import combinations

from tests.infrastructure_faults import KINDS, all_calm, net_trouble, owner, until_done
from tests.simulated_cluster import World
from tests.simulation.faults import for_span, trouble
from tests.user_requests import ALIKE

SIDES = ("state", "peers", "workers", "users")
GUEST = "team-2"
CUTS = [*((side,) for side in SIDES), *combinations(SIDES, 2)]


def cut_sides(world: World, node: str, sides: tuple[str, ...]) -> None:
    """A controller loses some of those that it talks to."""
    others: list[str] = []
    if "state" in sides:
        others.append("state")
    if "users" in sides:
        others.append("users")
    if "peers" in sides:
        others.extend(name for name in world.names if name != node)
    if "workers" in sides:
        world.network.cut_from_workers.add(node)
    for other in others:
        world.network.cut(node, other)
    world.happened[f"cut from {'+'.join(sides)}"] += 1


def storm(world: World, seconds: float, questions: int) -> None:
    """Users ask again and again, about jobs of all states and about ids that nobody submitted, at all nodes."""

    def ask() -> None:
        known = [job_id for job_id, job in world.jobs.items() if job.accepted]
        if known and world.rng.random() < 0.8:
            world.question(world.rng.choice(known), world.rng.choice(world.names))
        else:
            world.ask("GET", f"/work/req-none-{world.rng.randrange(10**6)}", None, unknown)
        world.happened["question of a storm"] += 1

    def unknown(status: int | None, data: dict, _asked: float) -> None:
        if status == 200:
            raise world.broken(f"invented: {data}")

    for _ in range(questions):
        world.at(world.rng.uniform(0.0, seconds), ask)


class _Operations:
    """A trouble that lasts for some span, one of `ALL`; `which`: whose owner it may fall on."""

    def __init__(self, world: World, span: float, which: str) -> None:
        self.world, self.rng, self.net, self.span, self.which = world, world.rng, world.network, span, which
        self.lease_s = world.settings.params.workers.lease_s

    def freeze_owner(self) -> None:
        """For 0.5 s, for seconds, just under a lease of either kind, or well over them."""
        lengths = [0.5, self.rng.uniform(1.0, 8.0), 0.3 * self.lease_s, 0.95 * self.lease_s, 2.5 * self.lease_s]
        self.world.freeze(owner(self.world, self.which), self.rng.choice(lengths))
        self.world.happened["freeze"] += 1

    def freeze_in_turn(self) -> None:
        for position, name in enumerate(self.world.names):
            self.world.at(2.0 * position, lambda name=name: self.world.freeze(name, self.rng.uniform(0.5, self.span)))
        self.world.happened["freezes in turn"] += 1

    def cut_one_side(self) -> None:
        """The packets are held or lost; another cut may begin as this one ends."""
        self.net.hold = self.rng.random() < 0.5
        node = owner(self.world, self.which)
        cut_sides(self.world, node, self.rng.choice(CUTS))
        self.world.at(self.span, self.net.heal)
        if self.rng.random() < 0.4:
            self.world.at(
                self.span, lambda: cut_sides(self.world, owner(self.world, self.which), self.rng.choice(CUTS))
            )
            self.world.at(2 * self.span, self.net.heal)
            self.world.happened["a cut began as another ended"] += 1

    def _cut_another(self) -> None:
        cut_sides(self.world, owner(self.world, self.which), self.rng.choice(CUTS))

    def storm_and_freeze(self) -> None:
        storm(self.world, self.span, 300)
        self.world.at(self.span / 3, self.freeze_owner)

    def storm_of_questions(self) -> None:
        storm(self.world, self.span, 300)

    def late_boots(self) -> None:
        """New machines come up late or never, and half of those that are up are lost, so that some are rented."""
        for_span(self.world, 3 * self.span, self.world.cloud, "boots_fail", 0.4, 0.0)
        for_span(self.world, 3 * self.span, self.world.cloud, "boots_slower", 4.0, 1.0)
        workers = [worker for worker in self.world.cloud.machines.values() if worker.up]
        for worker in self.rng.sample(workers, len(workers) // 2):
            worker.fail()
        self.world.happened["late boots"] += 1

    def mistaken_jobs(self) -> None:
        """Also a gang; they are called off some time later."""
        for shape in ("array", "array", "group"):
            job_id = self.world.submit(**ALIKE | {"crew": "team-0", "shape": shape, "plays": 3, "expected_s": 5.0})
            self.world.jobs[job_id].wrong = True
            self.world.at(self.span + 20.0, lambda job_id=job_id: self.world.cancel(job_id))
            self.world.happened["mistaken job"] += 1

    def guest(self) -> None:
        """One vast array that saves its progress, and many single tasks."""
        long = {"crew": GUEST, "urgency": "low", "snapshot_every_s": 3.0, "snapshot_s": 0.5}
        self.world.submit(**ALIKE | long | {"plays": 60, "expected_s": 6.0})
        for i in range(20):
            single = {"crew": GUEST, "urgency": "low", "plays": 1, "vcpus": 1.0, "expected_s": 2.0}
            self.world.at(0.2 * i, lambda single=single: self.world.submit(**ALIKE | single))
        self.world.happened["guest"] += 1

    # The order decides what a seed draws.
    ALL = (
        freeze_owner,
        freeze_in_turn,
        cut_one_side,
        storm_and_freeze,
        storm_of_questions,
        late_boots,
        mistaken_jobs,
        guest,
    )


def operations_trouble(world: World) -> None:
    """One random trouble, and its end some time later."""
    rng = world.rng
    cause: Callable = rng.choice(_Operations.ALL)
    cause(_Operations(world, rng.uniform(2.0, 20.0), rng.choice(sorted(KINDS))))


def operations_run(seed: int, seconds: float = 120.0, jobs: int = 18) -> World:
    """Jobs, the new troubles and earlier ones at random times; then calm, in which everything accepted must end."""
    world = World(seed, limit=48.0)
    for _ in range(jobs):
        world.at(world.rng.uniform(0.0, seconds * 0.7), world.submit)
    for _ in range(int(seconds / 10)):
        cause = world.rng.choice([operations_trouble, operations_trouble, operations_trouble, net_trouble, trouble])
        world.at(world.rng.uniform(10.0, seconds), lambda cause=cause: cause(world))
    world.run(seconds + 45.0)
    all_calm(world)
    world.cloud.boots_fail, world.cloud.boots_slower = 0.0, 1.0
    for job_id, job in world.jobs.items():
        if job.wrong and not job.cancel_wanted:
            world.cancel(job_id)
    until_done(world, 240.0)
    return world
