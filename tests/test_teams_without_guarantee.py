"""A team without guarantee fills all free capacity with long tasks of low priority: others lose nothing."""

from __future__ import annotations

import pytest

from tealhook.partitions.preemption import PreemptionPlanner, PreemptionScope
from tealhook.scheduling.candidates import CandidateSelector
from tests.simulated_cluster import SimulatedCluster
from tests.user_requests import UNIFORM_JOB

WITHOUT_GUARANTEE = UNIFORM_JOB | {
    "crew": "team-2",
    "urgency": "low",
    "expected_s": 300.0,
    "snapshot_every_s": 5.0,
    "snapshot_s": 1.0,
}
WITH_QUOTA = UNIFORM_JOB | {"crew": "team-0", "urgency": "standard", "expected_s": 4.0, "plays": 4}


def _waits_beside_long_work(seed: int, checkpoints: bool = True) -> list[float]:
    """How long jobs of a few seconds wait for their first task while long tasks fill every machine."""
    cluster = SimulatedCluster(seed, cpu_limit=1000.0)
    cluster.cloud.capacity_per_pool = 2
    cluster.run(20.0)
    cluster.submit(plays=300, **(WITHOUT_GUARANTEE if checkpoints else WITHOUT_GUARANTEE | {"snapshot_every_s": 0.0}))
    cluster.run(90.0)
    workers = [worker for worker in cluster.cloud.machines.values() if worker.up]
    running = sum(len(worker.started_tasks()) for worker in workers)
    assert 2.0 * running >= 0.7 * sum(worker.machine_type["vcpus"] for worker in workers) > 0.0
    jobs = []
    for i in range(10):
        cluster.call_later(4.0 * i, lambda: jobs.append(cluster.submit(**WITH_QUOTA)))
    cluster.run(80.0)
    begun = [cluster.jobs[job].started_at for job in jobs]
    return [
        float("inf") if at is None else at - cluster.jobs[job].submitted_at for job, at in zip(jobs, begun, strict=True)
    ]


@pytest.mark.parametrize("seed", range(3))
def test_checkpointing_tasks_are_preempted_at_once(seed):
    """Guards against long tasks that are never preempted because they have run for longer than others take."""
    assert max(_waits_beside_long_work(seed)) < 8.0


def test_without_checkpoint_preemption_others_wait(monkeypatch):
    monkeypatch.setattr(PreemptionPlanner, "_has_checkpoints", lambda self, task: False)
    waits = [max(_waits_beside_long_work(seed)) for seed in range(3)]
    assert max(waits) > 20.0


def test_delayed_checkpoint_preemption_makes_others_wait(monkeypatch):
    monkeypatch.setattr(CandidateSelector, "may_preempt_checkpointing", lambda self, candidate: False)
    monkeypatch.setattr(
        PreemptionPlanner,
        "allowed_scope",
        lambda self, request: PreemptionScope.ANY if request.may_preempt else PreemptionScope.NONE,
    )
    waits = [max(_waits_beside_long_work(seed)) for seed in range(3)]
    assert max(waits) > 8.0
