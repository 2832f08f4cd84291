"""Seeded random runs of a rolling upgrade, with pipelines, lowered limits and all other troubles together.

The old controllers are those of the version in production, taken from the repository's history.
"""

from __future__ import annotations

import json

import pytest

from tealhook.coordination import Versions
from tealhook.jobs import JobIndex
from tealhook.jobs.job import Job
from tests import dependency_graphs
from tests.infrastructure_faults import all_calm, net_trouble, until_done
from tests.simulated_cluster import World, trouble
from tests.test_dependency_runs import not_found_out
from tests.user_requests import PLAIN

SEEDS = (0, 1, 2, 3, 6, 7)
GUARD_SEEDS = range(20)
LIMITS = ({"write_rps": 30.0, "value_kb": 1.0, "txn_ops": 5}, {"write_rps": 30.0, "value_kb": 0.7, "txn_ops": 2})
SECONDS = 150.0


def _count_splits(world: World) -> None:
    """Note each write that copies a part of a record too large for the coming limits, and each that shortens one."""
    limit = 1024 * world.settings.params.state.least.value_kb
    commit = world.state._txn

    def size(key: str) -> int:
        row = world.state.rows.get(key)
        return len(json.dumps(row[0], separators=(",", ":"))) if row is not None else 0

    def txn(body: dict, node: str) -> tuple:
        keys = [op["write"] for op in body.get("apply", []) if op.get("write", "").startswith("live/")]
        large = {key for key in keys if size("/".join(key.split("/")[:3])) > limit}
        status, answer = commit(body, node)
        if status == 200 and large:
            first = {"/".join(key.split("/")[:3]) for key in large}
            world.happened["part of a large record copied"] += any(key.count("/") == 3 for key in large)
            world.happened["large record split"] += any(size(key) <= limit for key in first)
        return status, answer

    world.state._txn = txn


def _upgrade_all(world: World) -> float:
    """Upgrade every node at a random time, in random order, one of them well before the next; the time of the last."""
    rng = world.rng
    at = rng.uniform(25.0, 40.0)
    times = [at]
    for gap in rng.sample([rng.uniform(6.0, 25.0), rng.choice([0.0, 0.5, rng.uniform(1.0, 25.0)])], 2):
        at += gap
        times.append(at)
    for when, name in zip(times, rng.sample(world.names, len(world.names)), strict=True):
        world.at(when, lambda name=name: world.upgrade(name, rng.choice([0.2, 1.0, 5.0])))
    return at


def upgrade_run(seed: int) -> World:
    """Old controllers are replaced while jobs, pipelines and troubles of all kinds come; then calm."""
    world = World(seed, old=("n0", "n1", "n2"), limit=600.0, wps=40.0, next=LIMITS[seed % 2])
    world.cloud.room = 24
    rng = world.rng
    _count_splits(world)
    for i in range(2):  # so wide that their records have to be split
        world.at(8.0 + i, lambda i=i: world.submit(
            **PLAIN | {"crew": f"team-{i}", "plays": 75, "vcpus": 8.0, "memory_gb": 4.0, "expected_s": 70.0}
        ))  # fmt: skip
    for _ in range(8):
        world.at(rng.uniform(0.0, 0.7 * SECONDS), world.submit)
    last_upgrade = _upgrade_all(world)
    for _ in range(5):
        world.at(rng.uniform(5.0, 0.6 * SECONDS), lambda: dependency_graphs.draw(world))
    for _ in range(2):  # of which a job is cancelled while others wait for it
        world.at(rng.uniform(5.0, 0.6 * SECONDS), lambda: dependency_graphs.Pipeline(
            world, dependency_graphs.chain(3), cancel="middle", expected_s=40.0
        ))  # fmt: skip
    for _ in range(int(SECONDS / 8)):
        world.at(rng.uniform(10.0, SECONDS), lambda: net_trouble(world) if rng.random() < 0.5 else trouble(world))
    world.at(max(last_upgrade + 20.0, rng.uniform(60.0, SECONDS)), world.state.lower)
    world.run(SECONDS + 30.0)
    all_calm(world)
    until_done(world, 250.0)
    return world


@pytest.mark.parametrize("seed", SEEDS)
def test_rules_hold_while_production_is_upgraded(seed):
    world = upgrade_run(seed)
    assert world.unfinished() == []
    assert world.happened["both versions run"] > 0 and world.all_present()
    assert world.happened["part of a large record copied"] + world.happened["large record split"] > 0
    assert world.happened["pipeline"] == 7 and world.happened["released"] > 0
    assert world.happened["cancelled with another"] > 0
    assert world.state.lowered is not None


# -- guards, broken on purpose


def _without_gate(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Versions, "all_upgraded", property(lambda self: True))


def _without_check_at_start(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Job, "blocked", property(lambda self: False, lambda self, value: None), raising=False)


def _without_cancelled_dependents(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(JobIndex, "has_cancelled_dependency", lambda self, job: False)


@pytest.mark.parametrize(
    ("break_guard", "rule"),
    [(_without_gate, "too_early"), (_without_check_at_start, "too_early"), (_without_cancelled_dependents, "orphaned")],
)
def test_a_broken_guard_is_found_out(break_guard, rule, monkeypatch):
    break_guard(monkeypatch)
    not_found_out(upgrade_run, GUARD_SEEDS, rule)
