"""Seeded random runs of a rolling upgrade with pipelines, lowered limits and faults of all kinds.

The old controllers run the version in production, which is taken from the repository's history.
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
FAULTS_S = 150.0


def _count_record_splits(cluster: SimulatedCluster) -> None:
    """Count writes that copy part of a record that exceeds the coming limits, and writes that shorten such a record."""
    limit_bytes = 1024 * cluster.settings.params.state.strictest.value_kb
    original_txn = cluster.state._txn

    def record_size(key: str) -> int:
        row = cluster.state.rows.get(key)
        return len(json.dumps(row[0], separators=(",", ":"))) if row is not None else 0

    def txn(body: dict, node: str) -> tuple:
        keys = [op["write"] for op in body.get("apply", []) if op.get("write", "").startswith("live/")]
        large_keys = {key for key in keys if record_size("/".join(key.split("/")[:3])) > limit_bytes}
        status, answer = original_txn(body, node)
        if status == 200 and large_keys:
            first_chunks = {"/".join(key.split("/")[:3]) for key in large_keys}
            cluster.event_counts["part of a large record copied"] += any(key.count("/") == 3 for key in large_keys)
            cluster.event_counts["large record split"] += any(record_size(key) <= limit_bytes for key in first_chunks)
        return status, answer

    cluster.state._txn = txn


def _upgrade_all(cluster: SimulatedCluster) -> float:
    """Upgrade all nodes in random order, one of them at least 6 s before the next; return the last time."""
    rng = cluster.rng
    upgrade_at = rng.uniform(25.0, 40.0)
    times = [upgrade_at]
    for gap in rng.sample([rng.uniform(6.0, 25.0), rng.choice([0.0, 0.5, rng.uniform(1.0, 25.0)])], 2):
        upgrade_at += gap
        times.append(upgrade_at)
    for time, name in zip(times, rng.sample(cluster.node_names, len(cluster.node_names)), strict=True):
        cluster.call_later(time, lambda name=name: cluster.upgrade(name, rng.choice([0.2, 1.0, 5.0])))
    return upgrade_at


def _submit_cancelled_chain(cluster: SimulatedCluster) -> None:
    """Submit a chain of jobs whose middle one is cancelled while others wait for it."""
    dependency_graphs.Pipeline(cluster, dependency_graphs.chain(3), cancel_at="middle", expected_s=40.0)


def upgrade_run(seed: int) -> SimulatedCluster:
    """Run a rolling upgrade amid jobs, pipelines and faults, then end the faults and wait for all jobs to finish."""
    cluster = SimulatedCluster(
        seed, production_nodes=("n0", "n1", "n2"), cpu_limit=600.0, write_rps=40.0, next_limits=LIMITS[seed % 2]
    )
    cluster.cloud.capacity_per_pool = 24
    _count_record_splits(cluster)
    for i in range(2):  # their records exceed the coming limits and have to be split
        cluster.call_later(8.0 + i, lambda i=i: cluster.submit(
            **UNCONSTRAINED_JOB | {"crew": f"team-{i}", "plays": 75, "vcpus": 8.0, "memory_gb": 4.0, "expected_s": 70.0}
        ))  # fmt: skip
    cluster.call_at_random_times(8, 0.0, 0.7 * FAULTS_S, cluster.submit)
    last_upgrade = _upgrade_all(cluster)
    cluster.call_at_random_times(5, 5.0, 0.6 * FAULTS_S, lambda: dependency_graphs.submit_random_pipeline(cluster))
    cluster.call_at_random_times(2, 5.0, 0.6 * FAULTS_S, lambda: _submit_cancelled_chain(cluster))
    cluster.call_at_random_times(int(FAULTS_S / 8), 10.0, FAULTS_S, lambda: random_fault_of_any_kind(cluster, 0.5))
    cluster.call_later(max(last_upgrade + 20.0, cluster.rng.uniform(60.0, FAULTS_S)), cluster.state.lower_limits)
    cluster.run(FAULTS_S + 30.0)
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


def _without_feature_gate(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(VersionAgreement, "all_upgraded", property(lambda self: True))


def _without_blocked_check(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Job, "is_blocked", property(lambda self: False, lambda self, value: None), raising=False)


def _without_cancelled_dependents(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(JobIndex, "has_cancelled_dependency", lambda self, job: False)


@pytest.mark.parametrize(
    ("disable_guard", "rule"),
    [
        (_without_feature_gate, "too_early"),
        (_without_blocked_check, "too_early"),
        (_without_cancelled_dependents, "orphaned"),
    ],
)
def test_disabled_guard_is_detected(disable_guard, rule, monkeypatch):
    disable_guard(monkeypatch)
    assert_violation_found(upgrade_run, GUARD_SEEDS, rule)
