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
def test_rules_hold_in_operational_faults(seed):
    cluster = operational_faults_run(seed)
    COVERAGE.record(cluster.event_counts)
    assert cluster.unfinished_jobs() == []
    assert cluster.task_starts > 0


def test_every_operational_fault_occurred():
    """Guards against runs that prove nothing; run alone, or by another process, it makes some runs itself."""
    COVERAGE.assert_complete(SEEDS)
    assert any(name.startswith("cut from") for name in COVERAGE.event_counts)
