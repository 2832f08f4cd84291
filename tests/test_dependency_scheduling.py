"""Scheduling of jobs with dependencies, under one fault at a time: order, quota, guarantee and aging."""

from __future__ import annotations

import json

import pytest

from tealhook.wire.users import PRIORITY_RANK
from tests import dependency_graphs
from tests.dependency_steps import (
    LONG_JOB,
    SEEDS,
    SHORT_JOB,
    TEAMS,
    final_statuses,
    finish_in,
    run_until,
    run_until_all_finished,
    run_until_started,
    running_task_ids,
    settled_cluster,
    submit_accepted,
    submit_chain,
    team_of_other_owner,
    team_owner,
)
from tests.simulated_cluster import SimulatedCluster, make_request
from tests.user_requests import UNCONSTRAINED_JOB

# -- order


def _assert_ran_in_order(cluster: SimulatedCluster, jobs: list[str]) -> None:
    """Check that the jobs of a chain started in order and are done, in addition to the simulation's own checks."""
    start_times = [cluster.jobs[job_id].started_at for job_id in jobs]
    assert start_times == sorted(start_times)
    assert cluster.event_counts["dependent job started"] >= len(jobs) - 1
    assert set(final_statuses(cluster, jobs)) == {"done"}


@pytest.mark.parametrize("teams", [("team-0",), TEAMS], ids=["one team", "across teams"])
def test_chain_runs_in_order(teams):
    cluster = settled_cluster(1)
    jobs = submit_chain(cluster, 6, teams, plays=3)
    assert [dependency_graphs.is_blocked(cluster, cluster.jobs[job_id]) for job_id in jobs] == [False] + 5 * [True]
    run_until_all_finished(cluster)
    _assert_ran_in_order(cluster, jobs)


def test_job_waits_for_all_branches_of_diamond():
    cluster = settled_cluster(2)
    root = submit_accepted(cluster)
    branches = [submit_accepted(cluster, [root], crew=TEAMS[i % 3], expected_s=2.0 + 4.0 * i) for i in range(4)]
    last = submit_accepted(cluster, branches + branches[:2], crew="team-1", plays=4)  # some dependencies are repeated
    assert cluster.jobs[last].dependencies() == branches
    run_until_all_finished(cluster)
    assert set(final_statuses(cluster, [root, *branches, last])) == {"done"}
    assert cluster.event_counts["dependent job started"] == 5
    assert cluster.jobs[last].started_at > max(cluster.jobs[job_id].started_at for job_id in branches) + 2.0


def test_job_with_finished_dependencies_starts_immediately():
    cluster = settled_cluster(3)
    dependencies = [submit_accepted(cluster) for _ in range(2)]
    run_until_all_finished(cluster)
    dependents = [submit_accepted(cluster, dependencies, crew=team) for team in TEAMS]
    assert not any(dependency_graphs.is_blocked(cluster, cluster.jobs[job_id]) for job_id in dependents)
    run_until_all_finished(cluster)
    assert set(final_statuses(cluster, dependents)) == {"done"}
    for job_id in dependents:  # as soon as a job without dependencies
        assert cluster.jobs[job_id].started_at - cluster.jobs[job_id].accepted_at < 30.0


def _crash_team_owners(cluster: SimulatedCluster, jobs: list[str]) -> None:
    """Crash the owners of the teams one after the other while an early job of the chain runs."""
    for team in TEAMS:
        cluster.crash(team_owner(cluster, team), 25.0)
        cluster.event_counts["owner ended"] += 1
        cluster.run(12.0)


def _interrupt_state_store(cluster: SimulatedCluster, jobs: list[str]) -> None:
    cluster.state.set_down(True)
    cluster.run(25.0)
    assert cluster.jobs[jobs[1]].started_at is None or cluster.jobs[jobs[0]].final_status == "done"
    cluster.state.set_down(False)
    cluster.event_counts["outage"] += 1


def _delay_writes(cluster: SimulatedCluster, jobs: list[str]) -> None:
    cluster.network.late_write_share = 0.5
    cluster.run(60.0)
    cluster.network.late_write_share = 0.0


def _lose_write_replies(cluster: SimulatedCluster, jobs: list[str]) -> None:
    cluster.network.lost_answer_share = 0.5
    cluster.run(60.0)
    cluster.network.lost_answer_share = 0.0


FAULTS_BY_EVENT = {
    "owner ended": _crash_team_owners,
    "outage": _interrupt_state_store,
    "late write": _delay_writes,
    "answer to a write lost": _lose_write_replies,
}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", FAULTS_BY_EVENT)
def test_dependency_order_holds_during_fault(name, seed):
    cluster = settled_cluster(seed)
    jobs = submit_chain(cluster, 5, expected_s=6.0)
    run_until_started(cluster, jobs[0])
    FAULTS_BY_EVENT[name](cluster, jobs)
    run_until_all_finished(cluster, 250.0)
    _assert_ran_in_order(cluster, jobs)
    assert cluster.event_counts[name] + cluster.network.event_counts[name] > 0


@pytest.mark.parametrize("seed", SEEDS)
def test_new_owner_releases_job_whose_dependency_finished_during_failover(seed):
    """Guards against a job that stays blocked because its owner crashes just as its dependency is done."""
    cluster = settled_cluster(seed)
    dependency = submit_accepted(cluster, crew="team-0", **LONG_JOB | {"plays": 1})
    dependent = submit_accepted(cluster, [dependency], crew=team_of_other_owner(cluster, "team-0"))
    run_until_started(cluster, dependency)
    finish_in(cluster, dependency, 3.0)
    cluster.run(2.5)
    cluster.crash(team_owner(cluster, cluster.jobs[dependent].spec["crew"]), 40.0)
    run_until_all_finished(cluster)
    _assert_ran_in_order(cluster, [dependency, dependent])


# -- shares


def test_blocked_jobs_consume_no_quota():
    cluster = settled_cluster(4, cpu_limit=4.0)
    dependency = submit_accepted(cluster, crew="team-0", **LONG_JOB)
    blocked_jobs = [submit_accepted(cluster, [dependency], crew="team-1", plays=4, urgency="urgent") for _ in range(3)]
    cluster.run(20.0)
    unblocked_job = submit_accepted(cluster, crew="team-1", plays=4, expected_s=30.0, urgency="low")
    run_until(cluster, lambda: set(cluster.jobs[unblocked_job].task_ids()) <= running_task_ids(cluster), 40.0)
    finish_in(cluster, dependency, 1.0)
    run_until_all_finished(cluster)
    assert set(final_statuses(cluster, [dependency, *blocked_jobs, unblocked_job])) == {"done"}


def test_blocked_jobs_consume_no_guarantee():
    """A blocked job does not take up the guarantee of its team: the oldest job that is not blocked gets it."""
    cluster = settled_cluster(5, capacity_per_pool=1, cpu_guarantee=4.0, cpu_limit=200.0)
    filling_job = submit_accepted(cluster, crew="team-2", **LONG_JOB | {"plays": 120})
    cluster.run(90.0)
    running_task = min(cluster.jobs[filling_job].task_ids(), key=lambda name: name not in running_task_ids(cluster))
    # The cluster has no capacity for the rest of the job.
    assert running_task in running_task_ids(cluster) and len(running_task_ids(cluster)) < 120
    dependency = submit_accepted(cluster, crew="team-0", **LONG_JOB)
    blocked_jobs = [submit_accepted(cluster, [dependency], crew="team-1", plays=4) for _ in range(3)]
    unblocked_job = submit_accepted(cluster, crew="team-1", **LONG_JOB | {"plays": 4})
    run_until(cluster, lambda: set(cluster.jobs[unblocked_job].task_ids()) <= running_task_ids(cluster), 60.0)
    assert [cluster.jobs[job_id].started_at for job_id in blocked_jobs] == [None] * 3


def _cluster_with_blocked_job_at_team_limit() -> tuple[SimulatedCluster, str, str, str]:
    """Return a cluster with a dependency, a job that fills its team's limit, and a blocked job of the same team."""
    cluster = settled_cluster(6, cpu_limit=4.0)
    dependency = submit_accepted(cluster, crew="team-0", **LONG_JOB)
    limiting_job = submit_accepted(cluster, crew="team-1", **LONG_JOB | {"vcpus": 4.0})
    blocked_job = submit_accepted(cluster, [dependency], crew="team-1", vcpus=4.0, urgency="low", expected_s=8.0)
    run_until_started(cluster, dependency)
    run_until_started(cluster, limiting_job)
    return cluster, dependency, limiting_job, blocked_job


def _run_competitor_of_higher_priority(cluster: SimulatedCluster, limiting_job: str) -> str:
    """Submit a job of higher priority just before the limiting job ends; return its id once all jobs have finished."""
    competitor = submit_accepted(cluster, crew="team-1", vcpus=4.0, expected_s=8.0)
    cluster.run(5.0)
    finish_in(cluster, limiting_job, 0.5)
    run_until_all_finished(cluster)
    return competitor


def test_time_while_blocked_does_not_count_toward_aging():
    """A job's age counts from its release: after a long time blocked, it starts after a job of higher priority."""
    cluster, dependency, limiting_job, blocked_job = _cluster_with_blocked_job_at_team_limit()
    cluster.run(150.0)  # longer than `hold_age_s`, a third of four minutes: a job that waits so long goes first
    finish_in(cluster, dependency, 0.5)
    run_until(cluster, lambda: not dependency_graphs.is_blocked(cluster, cluster.jobs[blocked_job]))
    cluster.run(5.0)
    competitor = _run_competitor_of_higher_priority(cluster, limiting_job)
    assert cluster.jobs[competitor].started_at < cluster.jobs[blocked_job].started_at


def test_restarted_node_derives_same_priorities():
    """Guards against preemption by work of no higher priority after a restart.

    The job index was rebuilt in the order of ids, and a job that was read after its dependents got only its own
    priority instead of the highest one of its dependents.
    """
    cluster = settled_cluster(19)
    dependencies = [submit_accepted(cluster, **LONG_JOB)]
    for job_id, over in (
        ("req-900003", {"urgency": "low"}),
        ("req-900001", {"urgency": "standard"}),
        ("req-900002", {"urgency": "urgent", "due_s": 600.0}),
    ):
        spec = cluster.random_spec(job_id) | UNCONSTRAINED_JOB | SHORT_JOB | {"waits_on": dependencies} | over
        statuses: list[int] = []
        cluster.controllers["n0"].on_request(
            make_request("POST", "/work", json.dumps(spec).encode()),
            lambda status, _data=b"", _after=None, statuses=statuses: statuses.append(status),
        )
        run_until(cluster, lambda statuses=statuses: statuses == [201])
        dependencies = [job_id]

    def priorities_and_deadlines(name: str) -> dict[str, tuple[int, float]]:
        return {
            job_id: (entry.priority, entry.deadline_at)
            for job_id, entry in cluster.controllers[name].job_index.active.items()
        }

    run_until(cluster, lambda: len(priorities_and_deadlines("n1")) == 4)
    before = priorities_and_deadlines("n1")
    assert {priority for priority, _deadline_at in before.values()} == {PRIORITY_RANK["urgent"]}
    cluster.crash("n1", 5.0)
    cluster.run(20.0)
    assert priorities_and_deadlines("n1") == before


def test_aging_since_release_survives_failover():
    """The time since its release puts a job before one of higher priority, even after a failover of its team."""
    cluster, dependency, limiting_job, released_job = _cluster_with_blocked_job_at_team_limit()
    finish_in(cluster, dependency, 0.5)
    cluster.run(60.0)
    cluster.crash(team_owner(cluster, "team-1"), 30.0)
    cluster.run(60.0)
    competitor = _run_competitor_of_higher_priority(cluster, limiting_job)
    assert cluster.jobs[released_job].started_at < cluster.jobs[competitor].started_at
