"""Seeded random runs of jobs with dependencies: order and cancellations hold under all faults."""

from __future__ import annotations

import functools
from collections import Counter

import pytest

from tests import dependency_graphs
from tests.infrastructure_faults import end_all_faults, random_fault_of_any_kind, run_until_finished
from tests.simulated_cluster import SimulatedCluster

SEEDS = range(8)


def random_dependency_run(
    seed: int, seconds: float = 150.0, pipelines: int = 8, jobs: int = 8, infrastructure_share: float = 0.5, **overrides
) -> SimulatedCluster:
    """Run pipelines, other jobs and all kinds of faults at random times, then end the faults and let jobs finish."""
    cluster = SimulatedCluster(seed, **overrides)
    cluster.call_at_random_times(jobs, 0.0, 0.7 * seconds, cluster.submit)
    cluster.call_at_random_times(
        pipelines, 5.0, 0.6 * seconds, lambda: dependency_graphs.submit_random_pipeline(cluster)
    )
    cluster.call_at_random_times(
        int(seconds / 8), 10.0, seconds, lambda: random_fault_of_any_kind(cluster, infrastructure_share)
    )
    cluster.run(seconds + 30.0)
    end_all_faults(cluster)
    run_until_finished(cluster, 200.0)
    return cluster


def faultless_run(seed: int) -> SimulatedCluster:
    """Run pipelines without faults."""
    cluster = SimulatedCluster(seed, cpu_limit=48.0)
    cluster.cloud.capacity_per_pool = 4
    for i in range(12):
        cluster.call_later(15.0 + 6.0 * i, lambda: dependency_graphs.submit_random_pipeline(cluster))
    cluster.run(100.0)
    run_until_finished(cluster, 200.0)
    return cluster


def total_event_counts(runs: list[SimulatedCluster]) -> Counter[str]:
    return sum((cluster.event_counts for cluster in runs), Counter())


@pytest.mark.parametrize("seed", range(2))
def test_pipelines_finish_without_faults(seed):
    cluster = faultless_run(seed)
    assert cluster.unfinished_jobs() == []
    assert cluster.event_counts["pipeline"] == 12
    assert cluster.event_counts["dependent job started"] > 12


@functools.cache
def _cached_run(seed: int) -> SimulatedCluster:
    return random_dependency_run(seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_order_and_cancellations_hold_during_random_faults(seed):
    cluster = _cached_run(seed)
    assert cluster.unfinished_jobs() == []
    assert cluster.event_counts["pipeline"] == 8
    assert cluster.event_counts["dependent job started"] > 0


def test_every_dependency_event_occurs():
    event_counts = total_event_counts([_cached_run(seed) for seed in SEEDS])
    assert event_counts["dependent job started"] > 40
    assert event_counts["cancelled with a dependency"] > 5
    for name in (
        "dependency on a job that is active",
        "dependency on a job that is done",
        "dependency on a job that is cancelled",
        "last job of a pipeline submitted after the others ended",
        "cancellation in a pipeline: middle",
        "cancellation in a pipeline: end",
        "cancellation in a pipeline: submission",
    ):
        assert event_counts[name] > 0, name
