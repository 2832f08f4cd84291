"""Seeded random runs that combine operational faults with all others; all rules are checked at each step."""

import pytest

from tests.fault_coverage import FaultCoverage
from tests.operational_faults import operational_faults_run

SEEDS = range(16)
REQUIRED_EVENTS = (
    "process suspended",
    "processes suspended in turn",
    "query of a storm",
    "slow provisioning",
    "failing job",
    "team without guarantee",
    "cut began as another ended",
)
COVERAGE = FaultCoverage(REQUIRED_EVENTS, lambda seed: operational_faults_run(seed).event_counts)


@pytest.mark.parametrize("seed", SEEDS)
def test_rules_hold_during_operational_faults(seed):
    cluster = operational_faults_run(seed)
    COVERAGE.record(cluster.event_counts)
    assert cluster.unfinished_jobs() == []
    assert cluster.task_starts > 0


def test_every_required_event_occurs():
    """Guards against runs without the faults they are meant to have; runs further seeds while an event is missing."""
    COVERAGE.assert_complete(SEEDS)
    assert any(name.startswith("cut from") for name in COVERAGE.event_counts)
