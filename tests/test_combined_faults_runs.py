"""Seeded random runs with troubles of network, state service, machines and controllers, mixed with the others."""

from collections import Counter

import pytest

from tests.infrastructure_faults import combined_faults_run

# Troubles of which each must have happened in some run; the directed tests assert them one by one.
MUST = [
    "cut",
    "heartbeat lost",
    "lease expired",
    "late write after newer ones",
    "unanswered write read by another",
    "late heartbeat: after newer ones",
    "copy for the next owner: at its owner",
    "slow answer of the state service",
    "up before the rental's answer",
]
event_counts: Counter[str] = Counter()


@pytest.mark.parametrize("seed", range(10))
def test_rules_hold_in_combined_faults(seed):
    world = combined_faults_run(seed)
    event_counts.update(world.network.event_counts)
    assert world.network.event_counts["lease expired"] + world.network.event_counts["cut"] > 0
    assert world.unfinished() == []
    assert world.task_starts > 0


@pytest.mark.parametrize("seed", [10, 11])
def test_rules_hold_in_combined_faults_with_guarantees(seed):
    world = combined_faults_run(seed, guarantee=8.0, infrastructure_share=0.8)
    event_counts.update(world.network.event_counts)
    assert world.unfinished() == []
    assert world.task_starts > 0


def test_every_fault_occurred():
    """Of the runs above; alone it makes some itself."""
    seeds = iter(range(12))
    while [name for name in MUST if not event_counts[name]]:
        event_counts.update(combined_faults_run(next(seeds)).network.event_counts)
