"""The cancellation of a job propagates to all of its dependents, under one fault at a time."""

from __future__ import annotations

import pytest

from tealhook.admission.job_reader import JobReader
from tealhook.admission.status_replies import StatusReplier
from tealhook.jobs.job import Job
from tests import dependency_graphs, user_requests
from tests.dependency_steps import (
    LONG_JOB,
    SEEDS,
    SHORT_JOB,
    TEAMS,
    assert_all_cancelled,
    cancel_and_wait,
    delay_job_updates,
    final_statuses,
    finish_in,
    query_all_nodes,
    run_until,
    run_until_all_finished,
    run_until_started,
    settled_cluster,
    submit_accepted,
    submit_chain,
    submit_graph,
    team_of_other_owner,
    team_owner,
)
from tests.simulated_cluster import RuleViolationError, SimulatedCluster
from tests.user_requests import UNCONSTRAINED_JOB

# -- cancellations


@pytest.mark.parametrize("seed", SEEDS)
def test_cancellation_propagates_to_all_dependents(seed):
    cluster = settled_cluster(seed)
    root, dependents = submit_graph(cluster)
    query_all_nodes(cluster, dependents, 60.0)
    cancel_and_wait(cluster, root)
    cluster.run(cluster.settings.params.workers.cancel_s)
    assert set(final_statuses(cluster, dependents)) == {"cancelled"}
    assert_all_cancelled(cluster, dependents)


def test_cancellation_does_not_reach_ancestors_or_siblings():
    cluster = settled_cluster(7)
    root = submit_accepted(cluster, **LONG_JOB)
    middle = submit_accepted(cluster, [root], crew="team-1")
    sibling = submit_accepted(cluster, [root], crew="team-2")
    last = submit_accepted(cluster, [middle, sibling])
    run_until_started(cluster, root)
    cancel_and_wait(cluster, middle)
    finish_in(cluster, root, 5.0)
    run_until_all_finished(cluster)
    assert final_statuses(cluster, [root, middle, sibling, last]) == ["done", "cancelled", "done", "cancelled"]


def test_wide_fan_out_is_cancelled_in_time_on_small_write_budget():
    cluster = settled_cluster(8, write_rps=30.0)
    root = submit_accepted(cluster, crew="team-0", **LONG_JOB)
    dependents = [
        cluster.submit(**UNCONSTRAINED_JOB | SHORT_JOB | {"waits_on": [root], "crew": TEAMS[i % 3]}) for i in range(60)
    ]
    run_until(cluster, lambda: all(cluster.jobs[job_id].accepted for job_id in dependents))
    run_until_started(cluster, root)
    query_all_nodes(cluster, dependents, 60.0, 5.0)
    cancel_and_wait(cluster, root)
    assert_all_cancelled(cluster, dependents)
    assert len(dependents) == 60


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("outage_s", [15.0, 70.0], ids=["shorter than cancel_s", "longer than cancel_s"])
def test_cancellation_propagates_across_state_store_outage(seed, outage_s):
    cluster = settled_cluster(seed)
    other = team_of_other_owner(cluster, "team-0")
    root, dependents = submit_graph(cluster, (other,))
    cluster.cancel(root, team_owner(cluster, "team-0"))
    run_until(cluster, lambda: cluster.jobs[root].final_status is not None)
    cluster.state.set_down(True)
    assert (
        cluster.jobs[root].final_status == "cancelled"
        and dependency_graphs.recorded_status(cluster, dependents[0]) == "active"
    )
    query_all_nodes(cluster, dependents, outage_s)
    cluster.run(outage_s)
    cluster.state.set_down(False)
    query_all_nodes(cluster, dependents, 2.0, 0.02)  # as soon as the store is back, no node may report another status
    query_all_nodes(cluster, dependents, 30.0)
    assert_all_cancelled(cluster, dependents)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("restart_delay_s", [1.0, 45.0])
def test_cancellation_propagates_across_failover_of_dependents_owner(seed, restart_delay_s):
    cluster = settled_cluster(seed)
    other = team_of_other_owner(cluster, "team-0")
    root, dependents = submit_graph(cluster, (other,))
    cluster.cancel(root, next(name for name in cluster.node_names if name != team_owner(cluster, other)))
    run_until(cluster, lambda: cluster.jobs[root].final_status is not None)
    assert dependency_graphs.recorded_status(cluster, dependents[-1]) == "active"
    cluster.crash(team_owner(cluster, other), restart_delay_s)
    query_all_nodes(cluster, dependents, 60.0)
    assert_all_cancelled(cluster, dependents)


@pytest.mark.parametrize("seed", SEEDS)
def test_cancellation_propagates_across_crash_of_all_nodes(seed):
    cluster = settled_cluster(seed)
    root, dependents = submit_graph(cluster)
    cluster.cancel(root)
    run_until(cluster, lambda: cluster.jobs[root].final_status is not None)
    for name in cluster.node_names:
        cluster.crash(name, 5.0)
    query_all_nodes(cluster, dependents, 60.0)
    assert_all_cancelled(cluster, dependents)


@pytest.mark.parametrize("seed", SEEDS)
def test_cancellation_propagates_when_dependents_owner_is_refused(seed):
    """The state store refuses the owner for longer than cancel_s: other nodes take over its teams.

    No node may report the dependents as pending then.
    """
    cluster = settled_cluster(seed)
    other = team_of_other_owner(cluster, "team-0")
    root, dependents = submit_graph(cluster, (other,))
    owner = team_owner(cluster, other)
    cluster.state.refused_nodes = {owner}
    cancel_and_wait(cluster, root, next(name for name in cluster.node_names if name != owner))
    query_all_nodes(cluster, dependents, 60.0)
    cluster.run(45.0)
    cluster.state.refused_nodes = set()
    assert_all_cancelled(cluster, dependents)


@pytest.mark.parametrize("seed", SEEDS)
def test_dependents_status_never_goes_back(seed):
    """Bursts of requests during the cancellation: once one node has reported a dependent cancelled, every node does."""
    cluster = settled_cluster(seed)
    cluster.network.max_delay_s = 0.15 if seed % 2 else 0.01
    root, dependents = submit_graph(cluster)
    reported, record_answer = [], cluster.record_answer
    cluster.record_answer = lambda job, status, asked: (
        reported.append((job.spec["name_id"], status)),
        record_answer(job, status, asked),
    )
    cluster.cancel(root)
    for i in range(80):
        for job_id in dependents:
            cluster.call_later(0.05 * i, lambda job_id=job_id: user_requests.send_request_burst(cluster, job_id))
    cluster.run(5.0)
    assert_all_cancelled(cluster, dependents)
    assert {job_id for job_id, status in reported if status == "cancelled"} >= set(dependents)
    assert {job_id for job_id, status in reported if status == "pending"} & set(dependents)


def _schedule_cancellations_around_completion(seed: int) -> tuple[SimulatedCluster, list[tuple[str, list[str]]]]:
    """Schedule cancellations of jobs around the end of their last task; return the jobs with their dependents.

    Three dependents of each job exist before, and a fourth is submitted around that time.
    """
    cluster = settled_cluster(seed)
    rng, jobs_with_dependents = cluster.rng, []
    for i in range(10):
        dependency = submit_accepted(cluster, expected_s=1000.0)
        dependents = [
            submit_accepted(cluster, [dependency], crew=TEAMS[i % 3]),
            submit_accepted(cluster, [dependency], crew=TEAMS[(i + 1) % 3]),
        ]
        dependents.append(submit_accepted(cluster, dependents[:1], crew=TEAMS[(i + 2) % 3]))
        jobs_with_dependents.append((dependency, dependents))
    for dependency, _dependents in jobs_with_dependents:
        run_until_started(cluster, dependency)
    for i, (dependency, dependents) in enumerate(jobs_with_dependents):
        finish_in(cluster, dependency, 2.0 + i)
        cluster.call_later(
            1.8 + i + 0.3 * i + rng.uniform(0.0, 0.3), lambda dependency=dependency: cluster.cancel(dependency)
        )

        def submit_late_dependent(dependency: str = dependency, dependents: list[str] = dependents) -> None:
            dependents.append(cluster.submit(**UNCONSTRAINED_JOB | SHORT_JOB | {"waits_on": [dependency]}))

        cluster.call_later(2.0 + i + rng.uniform(-0.2, 3.0), submit_late_dependent)
    return cluster, jobs_with_dependents


@pytest.mark.parametrize("seed", SEEDS)
def test_cancellation_races_completion_of_dependency(seed):
    cluster, jobs_with_dependents = _schedule_cancellations_around_completion(seed)
    for i in range(100):
        for job_id in jobs_with_dependents[i % 10][1]:
            cluster.query(job_id)
        cluster.run(0.2)
    run_until_all_finished(cluster)
    assert all(len(dependents) == 4 for _, dependents in jobs_with_dependents)
    outcomes = []
    for dependency, dependents in jobs_with_dependents:
        outcomes.append(cluster.jobs[dependency].final_status)
        assert set(final_statuses(cluster, dependents)) == {outcomes[-1]}
    assert set(outcomes) == {"done", "cancelled"}


@pytest.mark.parametrize("seed", SEEDS)
def test_submission_races_cancellation_of_dependency(seed):
    cluster = settled_cluster(seed)
    dependents = []
    for i in range(12):
        dependency = submit_accepted(cluster, **LONG_JOB)
        cluster.call_later(cluster.rng.uniform(0.0, 0.05), lambda dependency=dependency: cluster.cancel(dependency))
        cluster.run(cluster.rng.uniform(0.0, 0.05))
        job_id = cluster.submit(**UNCONSTRAINED_JOB | SHORT_JOB | {"waits_on": [dependency], "crew": TEAMS[i % 3]})
        dependents.append(job_id)
    assert_all_cancelled(cluster, dependents)


def test_job_naming_cancelled_dependency_is_accepted_and_cancelled():
    cluster = settled_cluster(9)
    dependency = submit_accepted(cluster, **LONG_JOB)
    cancel_and_wait(cluster, dependency)
    cluster.run(40.0)
    dependents = [submit_accepted(cluster, [dependency], crew=team) for team in TEAMS]
    dependents.append(submit_accepted(cluster, dependents[-1:]))
    query_all_nodes(cluster, dependents, 40.0)
    cluster.run(cluster.settings.params.workers.cancel_s)
    assert_all_cancelled(cluster, dependents)


def test_cancellation_answered_done_does_not_affect_dependents():
    cluster = settled_cluster(10)
    dependency = submit_accepted(cluster)
    dependent = submit_accepted(cluster, [dependency], crew="team-1", expected_s=20.0)
    run_until(cluster, lambda: cluster.jobs[dependency].final_status is not None)
    cluster.cancel(dependency)
    run_until_all_finished(cluster)
    assert final_statuses(cluster, [dependency, dependent]) == ["done", "done"]


# -- disabled guards


def _start_blocked_jobs(patch):
    patch.setattr(Job, "is_blocked", property(lambda self: False, lambda self, value: None), raising=False)


def _report_status_as_read(patch):
    def reply_status(self, code, job, status, reply):
        reply(code, self._responder.status_body(job, status))

    patch.setattr(StatusReplier, "reply_status", reply_status)


def _run_with_stale_job_indexes(seed: int) -> SimulatedCluster:
    """Let every node, including the owners of the dependents, see the cancellation only long past cancel_s."""
    cluster = settled_cluster(seed)
    root, dependents = submit_graph(cluster)
    delay_job_updates(cluster, 60.0)
    cancel_and_wait(cluster, root)
    assert dependency_graphs.recorded_status(cluster, dependents[0]) == "active"
    query_all_nodes(cluster, dependents, 50.0)
    cluster.run(50.0)
    return cluster


def _run_with_outage_after_confirmation(seed: int) -> SimulatedCluster:
    """Interrupt the state store for longer than cancel_s: job indexes are current, but no node can write."""
    cluster = settled_cluster(seed)
    root, dependents = submit_graph(cluster)
    cancel_and_wait(cluster, root)
    cluster.state.set_down(True)
    cluster.run(60.0)
    cluster.state.set_down(False)
    query_all_nodes(cluster, dependents, 5.0, 0.02)
    cluster.run(5.0)
    return cluster


@pytest.mark.parametrize("run", [_run_with_stale_job_indexes, _run_with_outage_after_confirmation])
@pytest.mark.parametrize("seed", [16, 17])
def test_overdue_dependents_are_never_reported_active(run, seed):
    cluster = run(seed)
    assert any(job.cancelled_at is not None for job in cluster.jobs.values())


def _read_single_record(patch):
    """Disable two guards: a query brings the job index up to date, and a stale job index is not used for replies."""
    _report_status_as_read(patch)
    patch.setattr(JobReader, "read", JobReader.read_record_into_index)


@pytest.mark.parametrize(
    ("run", "disable_guard"),
    [(_run_with_stale_job_indexes, _read_single_record), (_run_with_outage_after_confirmation, _report_status_as_read)],
)
def test_answering_single_record_reports_orphaned_jobs(run, disable_guard, monkeypatch):
    """Not every seed shows it: with late watches, some nodes consider the state store silent and let a peer answer."""
    disable_guard(monkeypatch)
    with pytest.raises(RuleViolationError, match="orphaned"):
        for seed in range(16, 22):
            run(seed)


def test_starting_blocked_jobs_violates_order(monkeypatch):
    _start_blocked_jobs(monkeypatch)
    cluster = settled_cluster(1)
    with pytest.raises(RuleViolationError, match="too_early"):
        submit_chain(cluster, 3)
        run_until_all_finished(cluster)
