"""Seeded random runs of a rolling upgrade, with pipelines, lowered limits and all other faults together.

The old controllers are those of the version in production, taken from the repository's history.
"""

from __future__ import annotations

import json

import pytest

from tealhook.coordination import VersionAgreement
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


def _count_splits(cluster: SimulatedCluster) -> None:
    """Note each write that copies a part of a record too large for the coming limits, and each that shortens one."""
    limit = 1024 * cluster.settings.params.state.strictest.value_kb
    commit = cluster.state._txn

    def size(key: str) -> int:
        row = cluster.state.rows.get(key)
        return len(json.dumps(row[0], separators=(",", ":"))) if row is not None else 0

    def txn(body: dict, node: str) -> tuple:
        keys = [op["write"] for op in body.get("apply", []) if op.get("write", "").startswith("live/")]
        large = {key for key in keys if size("/".join(key.split("/")[:3])) > limit}
        status, answer = commit(body, node)
        if status == 200 and large:
            first = {"/".join(key.split("/")[:3]) for key in large}
            cluster.event_counts["part of a large record copied"] += any(key.count("/") == 3 for key in large)
            cluster.event_counts["large record split"] += any(size(key) <= limit for key in first)
        return status, answer

    cluster.state._txn = txn


def _upgrade_all(cluster: SimulatedCluster) -> float:
    """Upgrade every node at a random time, in random order, one of them well before the next; the time of the last."""
    rng = cluster.rng
    at = rng.uniform(25.0, 40.0)
    times = [at]
    for gap in rng.sample([rng.uniform(6.0, 25.0), rng.choice([0.0, 0.5, rng.uniform(1.0, 25.0)])], 2):
        at += gap
        times.append(at)
    for when, name in zip(times, rng.sample(cluster.node_names, len(cluster.node_names)), strict=True):
        cluster.call_later(when, lambda name=name: cluster.upgrade(name, rng.choice([0.2, 1.0, 5.0])))
    return at


def _submit_cancelled_chain(cluster: SimulatedCluster) -> None:
    """Jobs of which one is cancelled while others wait for it."""
    dependency_graphs.Pipeline(cluster, dependency_graphs.chain(3), cancel_at="middle", expected_s=40.0)


def upgrade_run(seed: int) -> SimulatedCluster:
    """A rolling upgrade amid jobs, pipelines and faults of all kinds; then recovery."""
    cluster = SimulatedCluster(
        seed, production_nodes=("n0", "n1", "n2"), cpu_limit=600.0, write_rps=40.0, next_limits=LIMITS[seed % 2]
    )
    cluster.cloud.capacity_per_pool = 24
    _count_splits(cluster)
    for i in range(2):  # so wide that their records have to be split
        cluster.call_later(8.0 + i, lambda i=i: cluster.submit(
            **UNCONSTRAINED_JOB | {"crew": f"team-{i}", "plays": 75, "vcpus": 8.0, "memory_gb": 4.0, "expected_s": 70.0}
        ))  # fmt: skip
    cluster.call_at_random_times(8, 0.0, 0.7 * SECONDS, cluster.submit)
    last_upgrade = _upgrade_all(cluster)
    cluster.call_at_random_times(5, 5.0, 0.6 * SECONDS, lambda: dependency_graphs.submit_random_pipeline(cluster))
    cluster.call_at_random_times(2, 5.0, 0.6 * SECONDS, lambda: _submit_cancelled_chain(cluster))
    cluster.call_at_random_times(int(SECONDS / 8), 10.0, SECONDS, lambda: random_fault_of_any_kind(cluster, 0.5))
    cluster.call_later(max(last_upgrade + 20.0, cluster.rng.uniform(60.0, SECONDS)), cluster.state.lower_limits)
    cluster.run(SECONDS + 30.0)
    end_all_faults(cluster)
    run_until_finished(cluster, 250.0)
    return cluster


@pytest.mark.parametrize("seed", SEEDS)
def test_rules_hold_during_rolling_upgrade(seed):
    cluster = upgrade_run(seed)
    assert cluster.unfinished_jobs() == []
    assert cluster.event_counts["both versions run"] > 0 and cluster.all_upgraded()
    assert cluster.event_counts["part of a large record copied"] + cluster.event_counts["large record split"] > 0
    assert cluster.event_counts["pipeline"] == 7 and cluster.event_counts["dependent job started"] > 0
    assert cluster.event_counts["cancelled with a dependency"] > 0
    assert cluster.state.lowered_limits is not None


# -- disabled guards


def _without_gate(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(VersionAgreement, "all_upgraded", property(lambda self: True))


def _without_check_at_start(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Job, "is_blocked", property(lambda self: False, lambda self, value: None), raising=False)


def _without_cancelled_dependents(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(JobIndex, "has_cancelled_dependency", lambda self, job: False)


@pytest.mark.parametrize(
    ("disable_guard", "rule"),
    [(_without_gate, "too_early"), (_without_check_at_start, "too_early"), (_without_cancelled_dependents, "orphaned")],
)
def test_disabled_guard_is_detected(disable_guard, rule, monkeypatch):
    disable_guard(monkeypatch)
    assert_violation_found(upgrade_run, GUARD_SEEDS, rule)
