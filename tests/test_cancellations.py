"""Cancelled tasks stop in time, even on machines that hang across failovers."""

import pytest

from tealhook.coordination import partition_key
from tealhook.scheduling.reconciliation import Reconciliation
from tests.simulated_cluster import RuleViolationError, SimulatedCluster
from tests.user_requests import UNIFORM_JOB


def _run_hung_machines_across_failovers(seed: int) -> tuple[SimulatedCluster, int]:
    """Hang machines with cancelled tasks while the owners of their partitions crash; return the number of crashes."""
    cluster = SimulatedCluster(seed, cpu_limit=64.0)
    jobs = [cluster.submit(plays=4, expected_s=300.0, **UNIFORM_JOB) for _ in range(4)]
    cluster.run(40.0)
    hung_workers = [worker for worker in cluster.cloud.machines.values() if worker.started_tasks()]
    assert hung_workers
    for worker in hung_workers:
        worker.hung = True
    for job in jobs:
        cluster.cancel(job)
    crash_count = 0
    for _ in range(5):
        cluster.run(9.5)
        owners = {
            cluster.state.rows[partition_key(worker.zone)][0]["n"]
            for worker in hung_workers
            if partition_key(worker.zone) in cluster.state.rows
        }
        for owner in sorted(owners):
            cluster.crash(owner, 2.0)
            crash_count += 1
    cluster.run(10.0)
    assert all(cluster.jobs[job].cancelled_at is not None for job in jobs)
    return cluster, crash_count


@pytest.mark.parametrize("seed", range(3))
def test_hung_machines_with_cancelled_tasks_are_released_across_failovers(seed):
    _cluster, crash_count = _run_hung_machines_across_failovers(seed)
    assert crash_count >= 4


def test_constant_time_before_fencing_violates_cancellation_deadline_across_failovers(monkeypatch):
    monkeypatch.setattr(
        Reconciliation, "_time_before_fencing", lambda self, since_cancelled_s, default_s, single_machine_s: default_s
    )
    with pytest.raises(RuleViolationError, match="ran_cancelled"):
        for seed in range(3):
            _run_hung_machines_across_failovers(seed)
