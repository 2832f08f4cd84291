"""Seeded random runs that combine faults of network, state store, machines, controllers and users."""

import pytest

from tests.fault_coverage import FaultCoverage
from tests.infrastructure_faults import combined_faults_run

# Events that must occur in at least one run; other tests provoke and assert each of them.
REQUIRED_EVENTS = (
    "packet cut off",
    "heartbeat lost",
    "lease expired",
    "late write after newer ones",
    "unanswered write read by another",
    "late heartbeat: after newer ones",
    "heartbeat copy for the next owner: at its owner",
    "slow answer of the state store",
    "machine up before its rental was answered",
)
COVERAGE = FaultCoverage(REQUIRED_EVENTS, lambda seed: combined_faults_run(seed).network.event_counts)


@pytest.mark.parametrize("seed", range(10))
def test_rules_hold_during_combined_faults(seed):
    cluster = combined_faults_run(seed)
    COVERAGE.record(cluster.network.event_counts)
    assert cluster.network.event_counts["lease expired"] + cluster.network.event_counts["packet cut off"] > 0
    assert cluster.unfinished_jobs() == []
    assert cluster.task_starts > 0


@pytest.mark.parametrize("seed", [10, 11])
def test_rules_hold_during_combined_faults_with_guarantees(seed):
    cluster = combined_faults_run(seed, cpu_guarantee=8.0, infrastructure_share=0.8)
    COVERAGE.record(cluster.network.event_counts)
    assert cluster.unfinished_jobs() == []
    assert cluster.task_starts > 0


def test_every_required_event_occurs():
    """Guards against runs without the faults they are meant to have; runs further seeds while an event is missing."""
    COVERAGE.assert_complete(range(12))
