"""Cancelled tasks stop in time, also on machines that hang across failovers."""

import pytest

from tealhook.coordination import partition_key
from tealhook.scheduling.reconciliation import Reconciliation
from tests.simulated_cluster import RuleViolationError, SimulatedCluster
from tests.user_requests import UNIFORM_JOB


def _hung_while_owners_change(seed: int) -> tuple[SimulatedCluster, int]:
    """Machines with cancelled tasks hang while the owners of their partitions crash repeatedly; how often."""
    cluster = SimulatedCluster(seed, cpu_limit=64.0)
    jobs = [cluster.submit(plays=4, expected_s=300.0, **UNIFORM_JOB) for _ in range(4)]
    cluster.run(40.0)
    hung = [worker for worker in cluster.cloud.machines.values() if worker.started_tasks()]
    assert hung
    for worker in hung:
        worker.hung = True
    for job in jobs:
        cluster.cancel(job)
    ends = 0
    for _ in range(5):
        cluster.run(9.5)
        owners = {
            cluster.state.rows[partition_key(w.zone)][0]["n"]
            for w in hung
            if partition_key(w.zone) in cluster.state.rows
        }
        for owner in sorted(owners):
            cluster.crash(owner, 2.0)
            ends += 1
    cluster.run(10.0)
    assert all(cluster.jobs[job].cancelled_at is not None for job in jobs)
    return cluster, ends


@pytest.mark.parametrize("seed", range(3))
def test_hung_machines_with_cancelled_tasks_are_released_across_failovers(seed):
    cluster, ends = _hung_while_owners_change(seed)
    assert ends >= 4


def test_restarting_silence_timer_on_failover_violates_cancellation_deadline(monkeypatch):
    monkeypatch.setattr(
        Reconciliation, "_time_before_fencing", lambda self, cancelled_s, default_s, single_s: default_s
    )
    with pytest.raises(RuleViolationError, match="ran_cancelled"):
        for seed in range(3):
            _hung_while_owners_change(seed)
