"""A cancellation propagates to all dependents of the job, under one fault at a time."""

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
    first, after = submit_graph(cluster)
    query_all_nodes(cluster, after, 60.0)
    cancel_and_wait(cluster, first)
    cluster.run(cluster.settings.params.workers.cancel_s)
    assert set(final_statuses(cluster, after)) == {"cancelled"}
    assert_all_cancelled(cluster, after)


def test_cancellation_does_not_reach_ancestors_or_siblings():
    cluster = settled_cluster(7)
    first = submit_accepted(cluster, **LONG_JOB)
    middle = submit_accepted(cluster, [first], crew="team-1")
    beside = submit_accepted(cluster, [first], crew="team-2")
    last = submit_accepted(cluster, [middle, beside])
    run_until_started(cluster, first)
    cancel_and_wait(cluster, middle)
    finish_in(cluster, first, 5.0)
    run_until_all_finished(cluster)
    assert final_statuses(cluster, [first, middle, beside, last]) == ["done", "cancelled", "done", "cancelled"]


def test_wide_fan_out_is_cancelled_in_time_on_small_write_budget():
    cluster = settled_cluster(8, write_rps=30.0)
    first = submit_accepted(cluster, crew="team-0", **LONG_JOB)
    names = [
        cluster.submit(**UNCONSTRAINED_JOB | SHORT_JOB | {"waits_on": [first], "crew": TEAMS[i % 3]}) for i in range(60)
    ]
    run_until(cluster, lambda: all(cluster.jobs[job_id].accepted for job_id in names))
    run_until_started(cluster, first)
    query_all_nodes(cluster, names, 60.0, 5.0)
    cancel_and_wait(cluster, first)
    assert_all_cancelled(cluster, names)
    assert len(names) == 60


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("down_s", [15.0, 70.0], ids=["shorter than cancel_s", "longer than cancel_s"])
def test_cancellation_propagates_across_state_service_outage(seed, down_s):
    cluster = settled_cluster(seed)
    other = team_of_other_owner(cluster, "team-0")
    first, after = submit_graph(cluster, (other,))
    cluster.cancel(first, team_owner(cluster, "team-0"))
    run_until(cluster, lambda: cluster.jobs[first].final_status is not None)
    cluster.state.set_down(True)
    assert (
        cluster.jobs[first].final_status == "cancelled"
        and dependency_graphs.recorded_status(cluster, after[0]) == "active"
    )
    query_all_nodes(cluster, after, down_s)
    cluster.run(down_s)
    cluster.state.set_down(False)
    query_all_nodes(cluster, after, 2.0, 0.02)  # nobody may be told otherwise from the first moment on
    query_all_nodes(cluster, after, 30.0)
    assert_all_cancelled(cluster, after)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("back_s", [1.0, 45.0])
def test_cancellation_propagates_across_failover_of_dependents_owner(seed, back_s):
    cluster = settled_cluster(seed)
    other = team_of_other_owner(cluster, "team-0")
    first, after = submit_graph(cluster, (other,))
    cluster.cancel(first, next(name for name in cluster.node_names if name != team_owner(cluster, other)))
    run_until(cluster, lambda: cluster.jobs[first].final_status is not None)
    assert dependency_graphs.recorded_status(cluster, after[-1]) == "active"
    cluster.crash(team_owner(cluster, other), back_s)
    query_all_nodes(cluster, after, 60.0)
    assert_all_cancelled(cluster, after)


@pytest.mark.parametrize("seed", SEEDS)
def test_cancellation_propagates_across_crash_of_all_nodes(seed):
    cluster = settled_cluster(seed)
    first, after = submit_graph(cluster)
    cluster.cancel(first)
    run_until(cluster, lambda: cluster.jobs[first].final_status is not None)
    for name in cluster.node_names:
        cluster.crash(name, 5.0)
    query_all_nodes(cluster, after, 60.0)
    assert_all_cancelled(cluster, after)


@pytest.mark.parametrize("seed", SEEDS)
def test_cancellation_propagates_when_dependents_owner_is_refused(seed):
    """For longer than cancel_s; other nodes take over its teams, and no node may call the jobs pending."""
    cluster = settled_cluster(seed)
    other = team_of_other_owner(cluster, "team-0")
    first, after = submit_graph(cluster, (other,))
    owner = team_owner(cluster, other)
    cluster.state.refused_nodes = {owner}
    cancel_and_wait(cluster, first, next(name for name in cluster.node_names if name != owner))
    query_all_nodes(cluster, after, 60.0)
    cluster.run(45.0)
    cluster.state.refused_nodes = set()
    assert_all_cancelled(cluster, after)


@pytest.mark.parametrize("seed", SEEDS)
def test_dependents_status_never_goes_back(seed):
    """Bursts of requests for all dependents during the cancellation: once one node has confirmed it, all do."""
    cluster = settled_cluster(seed)
    cluster.network.max_delay_s = 0.15 if seed % 2 else 0.01
    first, after = submit_graph(cluster)
    told, whole = [], cluster.record_answer
    cluster.record_answer = lambda job, status, asked: (
        told.append((job.spec["name_id"], status)),
        whole(job, status, asked),
    )
    cluster.cancel(first)
    for i in range(80):
        for job_id in after:
            cluster.call_later(0.05 * i, lambda job_id=job_id: user_requests.send_request_burst(cluster, job_id))
    cluster.run(5.0)
    assert_all_cancelled(cluster, after)
    assert {job_id for job_id, status in told if status == "cancelled"} >= set(after)
    assert {job_id for job_id, status in told if status == "pending"} & set(after)


def _met(seed: int) -> tuple[SimulatedCluster, list[tuple[str, list[str]]]]:
    """Jobs are cancelled about when their last task ends; some that need them are there, one comes just then."""
    cluster = settled_cluster(seed)
    rng, sets = cluster.rng, []
    for i in range(10):
        first = submit_accepted(cluster, expected_s=1000.0)
        after = [
            submit_accepted(cluster, [first], crew=TEAMS[i % 3]),
            submit_accepted(cluster, [first], crew=TEAMS[(i + 1) % 3]),
        ]
        after.append(submit_accepted(cluster, after[:1], crew=TEAMS[(i + 2) % 3]))
        sets.append((first, after))
    for first, _after in sets:
        run_until_started(cluster, first)
    for i, (first, after) in enumerate(sets):
        finish_in(cluster, first, 2.0 + i)
        cluster.call_later(1.8 + i + 0.3 * i + rng.uniform(0.0, 0.3), lambda first=first: cluster.cancel(first))

        def come(first: str = first, after: list[str] = after) -> None:
            after.append(cluster.submit(**UNCONSTRAINED_JOB | SHORT_JOB | {"waits_on": [first]}))

        cluster.call_later(2.0 + i + rng.uniform(-0.2, 3.0), come)
    return cluster, sets


@pytest.mark.parametrize("seed", SEEDS)
def test_cancellation_races_completion_of_dependency(seed):
    cluster, sets = _met(seed)
    for i in range(100):
        for job_id in sets[i % 10][1]:
            cluster.query(job_id)
        cluster.run(0.2)
    run_until_all_finished(cluster)
    assert all(len(after) == 4 for _, after in sets)
    ends = []
    for first, after in sets:
        ends.append(cluster.jobs[first].final_status)
        assert set(final_statuses(cluster, after)) == {ends[-1]}
    assert set(ends) == {"done", "cancelled"}


@pytest.mark.parametrize("seed", SEEDS)
def test_submission_races_cancellation_of_dependency(seed):
    cluster = settled_cluster(seed)
    after = []
    for i in range(12):
        first = submit_accepted(cluster, **LONG_JOB)
        cluster.call_later(cluster.rng.uniform(0.0, 0.05), lambda first=first: cluster.cancel(first))
        cluster.run(cluster.rng.uniform(0.0, 0.05))
        job_id = cluster.submit(**UNCONSTRAINED_JOB | SHORT_JOB | {"waits_on": [first], "crew": TEAMS[i % 3]})
        after.append(job_id)
    assert_all_cancelled(cluster, after)


def test_job_naming_cancelled_dependency_is_accepted_and_cancelled():
    cluster = settled_cluster(9)
    first = submit_accepted(cluster, **LONG_JOB)
    cancel_and_wait(cluster, first)
    cluster.run(40.0)
    after = [submit_accepted(cluster, [first], crew=team) for team in TEAMS]
    after.append(submit_accepted(cluster, after[-1:]))
    query_all_nodes(cluster, after, 40.0)
    cluster.run(cluster.settings.params.workers.cancel_s)
    assert_all_cancelled(cluster, after)


def test_cancellation_answered_done_does_not_affect_dependents():
    cluster = settled_cluster(10)
    first = submit_accepted(cluster)
    after = submit_accepted(cluster, [first], crew="team-1", expected_s=20.0)
    run_until(cluster, lambda: cluster.jobs[first].final_status is not None)
    cluster.cancel(first)
    run_until_all_finished(cluster)
    assert final_statuses(cluster, [first, after]) == ["done", "done"]


# -- disabled guards


def _start_held(patch):
    patch.setattr(Job, "is_blocked", property(lambda self: False, lambda self, value: None), raising=False)


def _answer_what_was_read(patch):
    def reply_status(self, code, job, status, reply):
        reply(code, self._responder.status_body(job, status))

    patch.setattr(StatusReplier, "reply_status", reply_status)


def _old_views(seed: int) -> SimulatedCluster:
    """Every node learns of the cancellation long after cancel_s, also the owners of the dependents."""
    cluster = settled_cluster(seed)
    first, after = submit_graph(cluster)
    delay_job_updates(cluster, 60.0)
    cancel_and_wait(cluster, first)
    assert dependency_graphs.recorded_status(cluster, after[0]) == "active"
    query_all_nodes(cluster, after, 50.0)
    cluster.run(50.0)
    return cluster


def _down_after_the_confirmation(seed: int) -> SimulatedCluster:
    """The views are new, but nobody could write for longer than cancel_s."""
    cluster = settled_cluster(seed)
    first, after = submit_graph(cluster)
    cancel_and_wait(cluster, first)
    cluster.state.set_down(True)
    cluster.run(60.0)
    cluster.state.set_down(False)
    query_all_nodes(cluster, after, 5.0, 0.02)
    cluster.run(5.0)
    return cluster


@pytest.mark.parametrize("run", [_old_views, _down_after_the_confirmation])
@pytest.mark.parametrize("seed", [16, 17])
def test_overdue_dependents_are_never_reported_active(run, seed):
    cluster = run(seed)
    assert any(job.cancelled_at is not None for job in cluster.jobs.values())


def _read_one_record_alone(patch):
    """Two guards: a question brings the view of all records up to date, and an old view tells nothing."""
    _answer_what_was_read(patch)
    patch.setattr(JobReader, "read", JobReader.read_record_into_index)


@pytest.mark.parametrize(
    ("run", "disable_guard"),
    [(_old_views, _read_one_record_alone), (_down_after_the_confirmation, _answer_what_was_read)],
)
def test_answering_single_record_reports_orphaned_jobs(run, disable_guard, monkeypatch):
    """Not in each run: watches that are late let some nodes take the state service for silent, and others decide."""
    disable_guard(monkeypatch)
    with pytest.raises(RuleViolationError, match="orphaned"):
        for seed in range(16, 22):
            run(seed)


def test_starting_blocked_jobs_violates_order(monkeypatch):
    _start_held(monkeypatch)
    cluster = settled_cluster(1)
    with pytest.raises(RuleViolationError, match="too_early"):
        submit_chain(cluster, 3)
        run_until_all_finished(cluster)
