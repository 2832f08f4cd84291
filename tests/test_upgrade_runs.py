"""Seeded random runs of a rolling upgrade, with pipelines, lowered limits and all other faults together.

The old controllers are those of the version in production, taken from the repository's history.
"""

from __future__ import annotations

import json

import pytest

from tealhook.coordination import Versions
from tealhook.jobs import JobIndex
from tealhook.jobs.job import Job
from tests import dependency_graphs
from tests.fault_coverage import assert_violation_found
from tests.infrastructure_faults import end_all_faults, random_fault_of_any_kind, run_until_finished
from tests.simulated_cluster import SimulatedCluster
from tests.user_requests import UNCONSTRAINED_JOB

SEEDS = (0, 1, 2, 3, 6, 7)
GUARD_SEEDS = range(20)
LIMITS = ({"write_rps": 30.0, "value_kb": 1.0, "txn_ops": 5}, {"write_rps": 30.0, "value_kb": 0.7, "txn_ops": 2})
SECONDS = 150.0


def _count_splits(world: SimulatedCluster) -> None:
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
            world.event_counts["part of a large record copied"] += any(key.count("/") == 3 for key in large)
            world.event_counts["large record split"] += any(size(key) <= limit for key in first)
        return status, answer

    world.state._txn = txn


def _upgrade_all(world: SimulatedCluster) -> float:
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


def _submit_cancelled_chain(world: SimulatedCluster) -> None:
    """Jobs of which one is cancelled while others wait for it."""
    dependency_graphs.Pipeline(world, dependency_graphs.chain(3), cancel="middle", expected_s=40.0)


def upgrade_run(seed: int) -> SimulatedCluster:
    """A rolling upgrade amid jobs, pipelines and faults of all kinds; then recovery."""
    world = SimulatedCluster(seed, old=("n0", "n1", "n2"), limit=600.0, wps=40.0, next=LIMITS[seed % 2])
    world.cloud.capacity_per_kind = 24
    _count_splits(world)
    for i in range(2):  # so wide that their records have to be split
        world.at(8.0 + i, lambda i=i: world.submit(
            **UNCONSTRAINED_JOB | {"crew": f"team-{i}", "plays": 75, "vcpus": 8.0, "memory_gb": 4.0, "expected_s": 70.0}
        ))  # fmt: skip
    world.at_random_times(8, 0.0, 0.7 * SECONDS, world.submit)
    last_upgrade = _upgrade_all(world)
    world.at_random_times(5, 5.0, 0.6 * SECONDS, lambda: dependency_graphs.submit_random_pipeline(world))
    world.at_random_times(2, 5.0, 0.6 * SECONDS, lambda: _submit_cancelled_chain(world))
    world.at_random_times(int(SECONDS / 8), 10.0, SECONDS, lambda: random_fault_of_any_kind(world, 0.5))
    world.at(max(last_upgrade + 20.0, world.rng.uniform(60.0, SECONDS)), world.state.lower_limits)
    world.run(SECONDS + 30.0)
    end_all_faults(world)
    run_until_finished(world, 250.0)
    return world


@pytest.mark.parametrize("seed", SEEDS)
def test_rules_hold_during_rolling_upgrade(seed):
    world = upgrade_run(seed)
    assert world.unfinished() == []
    assert world.event_counts["both versions run"] > 0 and world.all_upgraded()
    assert world.event_counts["part of a large record copied"] + world.event_counts["large record split"] > 0
    assert world.event_counts["pipeline"] == 7 and world.event_counts["released"] > 0
    assert world.event_counts["cancelled with another"] > 0
    assert world.state.lowered_limits is not None


# -- disabled guards


def _without_gate(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Versions, "all_upgraded", property(lambda self: True))


def _without_check_at_start(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Job, "blocked", property(lambda self: False, lambda self, value: None), raising=False)


def _without_cancelled_dependents(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(JobIndex, "has_cancelled_dependency", lambda self, job: False)


@pytest.mark.parametrize(
    ("disable_guard", "rule"),
    [(_without_gate, "too_early"), (_without_check_at_start, "too_early"), (_without_cancelled_dependents, "orphaned")],
)
def test_disabled_guard_is_detected(disable_guard, rule, monkeypatch):
    disable_guard(monkeypatch)
    assert_violation_found(upgrade_run, GUARD_SEEDS, rule)
