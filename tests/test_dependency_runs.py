"""Seeded random runs of jobs with dependencies: order and cancellations hold under all faults."""

from __future__ import annotations

import functools
from collections import Counter

import pytest

from tests import dependency_graphs
from tests.infrastructure_faults import end_all_faults, random_fault_of_any_kind, run_until_finished
from tests.simulated_cluster import SimulatedCluster

SEEDS = range(8)


def dependency_run(
    seed: int, seconds: float = 150.0, pipelines: int = 8, jobs: int = 8, infrastructure_share: float = 0.5, **over
) -> SimulatedCluster:
    """Pipelines, other jobs and faults of all kinds at random times; then recovery, in which all must end."""
    world = SimulatedCluster(seed, **over)
    world.at_random_times(jobs, 0.0, 0.7 * seconds, world.submit)
    world.at_random_times(pipelines, 5.0, 0.6 * seconds, lambda: dependency_graphs.submit_random_pipeline(world))
    world.at_random_times(
        int(seconds / 8), 10.0, seconds, lambda: random_fault_of_any_kind(world, infrastructure_share)
    )
    world.run(seconds + 30.0)
    end_all_faults(world)
    run_until_finished(world, 200.0)
    return world


def quiet_run(seed: int) -> SimulatedCluster:
    """Pipelines without any fault."""
    world = SimulatedCluster(seed, limit=48.0)
    world.cloud.capacity_per_kind = 4
    for i in range(12):
        world.at(15.0 + 6.0 * i, lambda: dependency_graphs.submit_random_pipeline(world))
    world.run(100.0)
    run_until_finished(world, 200.0)
    return world


def counts(runs: list[SimulatedCluster]) -> Counter[str]:
    return sum((world.event_counts for world in runs), Counter())


@pytest.mark.parametrize("seed", range(2))
def test_pipelines_finish_without_faults(seed):
    world = quiet_run(seed)
    assert world.unfinished() == []
    assert world.event_counts["pipeline"] == 12
    assert world.event_counts["released"] > 12


@functools.cache
def _run(seed: int) -> SimulatedCluster:
    return dependency_run(seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_order_and_cancellations_hold_in_random_faults(seed):
    world = _run(seed)
    assert world.unfinished() == []
    assert world.event_counts["pipeline"] == 8
    assert world.event_counts["released"] > 0


def test_runs_covered_dependency_events():
    event_counts = counts([_run(seed) for seed in SEEDS])
    assert event_counts["released"] > 40
    assert event_counts["cancelled with another"] > 5
    for name in (
        "names a job that is active",
        "names a job that is done",
        "names a job that is cancelled",
        "last of a pipeline when the others are over",
        "cancellation in a pipeline: middle",
        "cancellation in a pipeline: end",
        "cancellation in a pipeline: submission",
    ):
        assert event_counts[name] > 0, name
