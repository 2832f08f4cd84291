"""Jobs whose tasks always fail: retries with backoff that take no capacity from other jobs."""

from __future__ import annotations

import logging

import pytest

from tealhook.controller import Controller
from tests.dependency_steps import run_until
from tests.simulated_cluster import SimulatedCluster
from tests.user_requests import UNIFORM_JOB

FAILING_JOB = UNIFORM_JOB | {"crew": "team-0", "expected_s": 20.0, "plays": 30}
RUN_S = 150.0


def _submit_failing_jobs(cluster: SimulatedCluster, count: int) -> list[str]:
    """Submit jobs whose tasks all fail, and return their ids."""
    jobs = []
    for _ in range(count):
        jobs.append(cluster.submit(**FAILING_JOB))
        cluster.jobs[jobs[-1]].always_fails = True
    return jobs


def _run_with_failing_jobs(seed: int, failing_jobs: int, **overrides) -> tuple[SimulatedCluster, list[str]]:
    cluster = SimulatedCluster(seed, cpu_limit=64.0, **overrides)
    cluster.run(25.0)
    jobs = _submit_failing_jobs(cluster, failing_jobs)
    cluster.run(RUN_S)
    return cluster, jobs


@pytest.mark.parametrize("seed", range(3))
def test_failing_jobs_are_retried_with_backoff_and_stay_known(seed):
    cluster, jobs = _run_with_failing_jobs(seed, 3)
    # At first, each job starts as many tasks as the limit allows. Then it starts one task at a time: twice in a
    # heartbeat period, and after that less and less often.
    assert cluster.task_starts <= 3 * (64 / 2 + 16)
    cluster.run(60.0)
    assert cluster.task_starts <= 3 * (64 / 2 + 22)
    statuses: list[int | None] = []
    for job in jobs:
        for node in cluster.node_names:
            cluster.query(job, node, statuses.append)
    cluster.run(2.0)
    assert statuses == [200] * (3 * len(jobs))
    for job in jobs:
        cluster.cancel(job)
    cluster.run(10.0)
    assert [cluster.jobs[job].final_status for job in jobs] == ["cancelled"] * len(jobs)


def test_failing_job_is_logged_once(caplog):
    with caplog.at_level(logging.INFO, logger="tealhook"):
        _cluster, jobs = _run_with_failing_jobs(4, 2)
    for job in jobs:
        assert sum(job in record.getMessage() for record in caplog.records) == 1


def test_failing_job_demands_capacity_for_one_task():
    """A failing job still demands capacity for one task, since the machines that it was tried on may be faulty."""
    cluster, jobs = _run_with_failing_jobs(5, 4)
    assert (
        0
        < sum(item.count for node in cluster.controllers.values() for item in node.team_scheduler.demand())
        <= len(jobs)
    )


def test_failing_jobs_neither_age_nor_preempt():
    cluster, jobs = _run_with_failing_jobs(6, 2)
    selected_jobs: set[str] = set()
    for _ in range(60):
        cluster.run(1.0)
        for node in cluster.controllers.values():
            selector, now = node.team_scheduler.cycle.selector, node.context.effects.now() + 1000.0
            for candidate in selector.select(now):
                selected_jobs.add(candidate.job.id)
                assert not (candidate.overdue or selector.may_preempt(candidate, now))
                assert not selector.may_preempt_checkpointing(candidate)
    assert selected_jobs == set(jobs)


def test_recovered_job_regains_full_parallelism():
    """One successful task ends the backoff, whether the job was corrected or had only been on faulty machines."""
    cluster, jobs = _run_with_failing_jobs(7, 1)
    job = jobs[0]
    assert any(_is_failing(node, job) for node in cluster.controllers.values())
    cluster.jobs[job].always_fails = False
    run_until(cluster, lambda: any(name.startswith(job) for name in cluster.finished_tasks), 120.0)
    cluster.run(2.0)
    running = sum(len(worker.started_tasks()) for worker in cluster.cloud.machines.values())
    assert not any(_is_failing(node, job) for node in cluster.controllers.values()) and running >= 3
    cluster.run(200.0)
    assert cluster.jobs[job].final_status == "done"


def _is_failing(node: Controller, job: str) -> bool:
    return any(
        job in team_state.jobs and team_state.jobs[job].is_failing for team_state in node.team_scheduler.teams.values()
    )
