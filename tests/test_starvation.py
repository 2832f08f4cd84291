"""Starvation: jobs that wait although machines have free capacity and their team is within its limit."""

import json

import pytest

from tealhook.jobs.attempt import Attempt
from tealhook.jobs.job import Job
from tealhook.jobs.job_entry import JobEntry
from tealhook.scheduling.candidates import CandidateSelector
from tealhook.wire.job_parser import parse_job
from tests.simulated_cluster import RuleViolationError, SimulatedCluster, SimulatedJob
from tests.user_requests import submit_periodically

ONE_IMAGE_JOB = {
    "undisturbed": True,
    "yard": None,
    "spread": False,
    "together": False,
    "pull_gb": 0.6,
    "playbook": "img-0",
}
SMALL_JOB = ONE_IMAGE_JOB | {"rigs": None, "loaners": True, "vcpus": 3.0, "expected_s": 6.0}
LARGE_ON_DEMAND_JOB = ONE_IMAGE_JOB | {"rigs": ["large"], "loaners": False, "vcpus": 14.0, "urgency": "standard"}
LONGER_THAN_TEST_S = 600.0


def _reserve_limit_for_overdue_job(
    occupied_s: float, seed: int = 20
) -> tuple[SimulatedCluster, SimulatedJob, SimulatedJob]:
    """Reserve part of a team's limit for an overdue job without capacity, and fill the rest with urgent tasks.

    Another team occupies both large on-demand machines for `occupied_s`; small machines have free capacity throughout.
    Return the overdue job, and a job of low priority that started before the urgent ones were submitted.
    """
    cluster = SimulatedCluster(seed, cpu_limit=32.0, cpu_guarantee=32.0)
    cluster.run(40.0)
    cluster.submit(crew="team-1", plays=2, expected_s=occupied_s, **LARGE_ON_DEMAND_JOB)
    cluster.run(20.0)
    overdue = cluster.jobs[cluster.submit(crew="team-0", plays=2, expected_s=10.0, **LARGE_ON_DEMAND_JOB)]
    cluster.run(80.0)
    started_job = cluster.jobs[cluster.submit(crew="team-0", urgency="low", plays=40, **SMALL_JOB)]
    cluster.run(10.0)
    assert started_job.started_at is not None and overdue.started_at is None
    submit_periodically(cluster, 5.0, crew="team-0", urgency="urgent", plays=5, **SMALL_JOB)
    cluster.faults_ended_at = cluster.now
    return cluster, overdue, started_job


def _unfinished_tasks(cluster: SimulatedCluster, job: SimulatedJob) -> list[str]:
    return [name for name in job.task_ids() if name not in cluster.finished_tasks]


@pytest.mark.parametrize("seed", [11, 20, 25])
def test_started_job_borrows_limit_reserved_for_job_without_capacity(seed):
    """Guards against a low-ranked job that got nothing for minutes, although small machines had capacity for it."""
    cluster, overdue, _started_job = _reserve_limit_for_overdue_job(LONGER_THAN_TEST_S, seed)
    cluster.run(200.0)  # fails if the rule checker finds a job left waiting
    assert overdue.started_at is None


@pytest.mark.parametrize("seed", [19, 25])
def test_without_borrowing_started_job_starves(seed, monkeypatch):
    monkeypatch.setattr(CandidateSelector, "_may_borrow", staticmethod(lambda job, spec, now, starving_age_s: False))
    cluster, _overdue, _started_job = _reserve_limit_for_overdue_job(LONGER_THAN_TEST_S, seed)
    with pytest.raises(RuleViolationError, match="left_waiting"):
        cluster.run(200.0)


def test_overdue_job_starts_on_free_capacity_although_its_reservation_was_lent():
    cluster, overdue, started_job = _reserve_limit_for_overdue_job(occupied_s=400.0)
    occupying = cluster.jobs["req-000000"]
    observed_since, waiting_count = cluster.now, len(_unfinished_tasks(cluster, started_job))
    while len(_unfinished_tasks(cluster, occupying)) == 2:
        cluster.run(0.1)
    freed_at = cluster.now
    assert freed_at - observed_since > 90.0 and overdue.started_at is None
    assert len(_unfinished_tasks(cluster, started_job)) < waiting_count - 2  # it has borrowed
    cluster.run(60.0)
    assert overdue.started_at is not None and overdue.started_at - freed_at < 20.0


def test_reserved_limit_is_lent_to_short_tasks_of_long_waiting_jobs():
    cluster = SimulatedCluster(1, nodes=1)

    def may_borrow(
        now: float, expected_s: float = 20.0, assigned_at: float | None = None, staged: bool = False
    ) -> bool:
        spec = parse_job(
            json.dumps(cluster.random_spec("req-000001") | {"plays": 4, "expected_s": expected_s}).encode()
        )
        job = Job("req-000001", "team-0", JobEntry(spec, "team-0", 1, 0.0), 0.0)
        if assigned_at is not None:
            job.last_assigned_at = assigned_at
        if staged:
            job.staged[0] = Attempt(0, 1, "host-1", 1, "za", 1, now)
        return CandidateSelector._may_borrow(job, job.spec, now, 80.0)

    assert [may_borrow(now) for now in (79.0, 81.0)] == [False, True]
    assert [may_borrow(now, assigned_at=50.0) for now in (81.0, 129.0, 131.0)] == [False, False, True]
    assert [may_borrow(100.0, expected_s) for expected_s in (40.0, 41.0)] == [True, False]
    assert not may_borrow(100.0, staged=True)
