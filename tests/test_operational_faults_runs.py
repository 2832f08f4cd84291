"""Seeded runs with the troubles that were on no list, mixed with the earlier ones; all rules checked at each step."""

from collections import Counter

import pytest

from tests.operational_faults import operational_faults_run

MUST = [
    "process suspended",
    "processes suspended in turn",
    "query of a storm",
    "slow provisioning",
    "failing job",
    "team without guarantee",
    "a cut began as another ended",
]
event_counts: Counter[str] = Counter()


@pytest.mark.parametrize("seed", range(16))
def test_rules_hold_in_operational_faults(seed):
    world = operational_faults_run(seed)
    event_counts.update(world.event_counts)
    assert world.unfinished() == []
    assert world.task_starts > 0


def test_every_operational_fault_occurred():
    """Of the runs above; alone it makes some itself."""
    seeds = iter(range(16))
    while [name for name in MUST if not event_counts[name]]:
        event_counts.update(operational_faults_run(next(seeds)).event_counts)
    assert any(name.startswith("cut from") for name in event_counts)
