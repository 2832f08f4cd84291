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
    query_everywhere,
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
    world = settled_cluster(seed)
    first, after = submit_graph(world)
    query_everywhere(world, after, 60.0)
    cancel_and_wait(world, first)
    world.run(world.settings.params.workers.cancel_s)
    assert set(final_statuses(world, after)) == {"cancelled"}
    assert_all_cancelled(world, after)


def test_cancellation_does_not_reach_ancestors_or_siblings():
    world = settled_cluster(7)
    first = submit_accepted(world, **LONG_JOB)
    middle = submit_accepted(world, [first], crew="team-1")
    beside = submit_accepted(world, [first], crew="team-2")
    last = submit_accepted(world, [middle, beside])
    run_until_started(world, first)
    cancel_and_wait(world, middle)
    finish_in(world, first, 5.0)
    run_until_all_finished(world)
    assert final_statuses(world, [first, middle, beside, last]) == ["done", "cancelled", "done", "cancelled"]


def test_wide_fan_out_is_cancelled_in_time_on_small_write_budget():
    world = settled_cluster(8, wps=30.0)
    first = submit_accepted(world, crew="team-0", **LONG_JOB)
    names = [
        world.submit(**UNCONSTRAINED_JOB | SHORT_JOB | {"waits_on": [first], "crew": TEAMS[i % 3]}) for i in range(60)
    ]
    run_until(world, lambda: all(world.jobs[job_id].accepted for job_id in names))
    run_until_started(world, first)
    query_everywhere(world, names, 60.0, 5.0)
    cancel_and_wait(world, first)
    assert_all_cancelled(world, names)
    assert len(names) == 60


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("down_s", [15.0, 70.0], ids=["shorter than cancel_s", "longer than cancel_s"])
def test_cancellation_propagates_across_state_service_outage(seed, down_s):
    world = settled_cluster(seed)
    other = team_of_other_owner(world, "team-0")
    first, after = submit_graph(world, (other,))
    world.cancel(first, team_owner(world, "team-0"))
    run_until(world, lambda: world.jobs[first].final is not None)
    world.state.outage(True)
    assert world.jobs[first].final == "cancelled" and dependency_graphs.status_on_record(world, after[0]) == "active"
    query_everywhere(world, after, down_s)
    world.run(down_s)
    world.state.outage(False)
    query_everywhere(world, after, 2.0, 0.02)  # nobody may be told otherwise from the first moment on
    query_everywhere(world, after, 30.0)
    assert_all_cancelled(world, after)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("back_s", [1.0, 45.0])
def test_cancellation_propagates_across_failover_of_dependents_owner(seed, back_s):
    world = settled_cluster(seed)
    other = team_of_other_owner(world, "team-0")
    first, after = submit_graph(world, (other,))
    world.cancel(first, next(name for name in world.names if name != team_owner(world, other)))
    run_until(world, lambda: world.jobs[first].final is not None)
    assert dependency_graphs.status_on_record(world, after[-1]) == "active"
    world.crash(team_owner(world, other), back_s)
    query_everywhere(world, after, 60.0)
    assert_all_cancelled(world, after)


@pytest.mark.parametrize("seed", SEEDS)
def test_cancellation_propagates_across_crash_of_all_nodes(seed):
    world = settled_cluster(seed)
    first, after = submit_graph(world)
    world.cancel(first)
    run_until(world, lambda: world.jobs[first].final is not None)
    for name in world.names:
        world.crash(name, 5.0)
    query_everywhere(world, after, 60.0)
    assert_all_cancelled(world, after)


@pytest.mark.parametrize("seed", SEEDS)
def test_cancellation_propagates_when_dependents_owner_is_refused(seed):
    """For longer than cancel_s; other nodes take over its teams, and no node may call the jobs pending."""
    world = settled_cluster(seed)
    other = team_of_other_owner(world, "team-0")
    first, after = submit_graph(world, (other,))
    owner = team_owner(world, other)
    world.state.refused_nodes = {owner}
    cancel_and_wait(world, first, next(name for name in world.names if name != owner))
    query_everywhere(world, after, 60.0)
    world.run(45.0)
    world.state.refused_nodes = set()
    assert_all_cancelled(world, after)


@pytest.mark.parametrize("seed", SEEDS)
def test_dependents_status_never_goes_back(seed):
    """Bursts of requests for all dependents during the cancellation: once one node has confirmed it, all do."""
    world = settled_cluster(seed)
    world.network.max_delay_s = 0.15 if seed % 2 else 0.01
    first, after = submit_graph(world)
    told, whole = [], world.record_answer
    world.record_answer = lambda job, status, asked: (
        told.append((job.spec["name_id"], status)),
        whole(job, status, asked),
    )
    world.cancel(first)
    for i in range(80):
        for job_id in after:
            world.at(0.05 * i, lambda job_id=job_id: user_requests.send_request_burst(world, job_id))
    world.run(5.0)
    assert_all_cancelled(world, after)
    assert {job_id for job_id, status in told if status == "cancelled"} >= set(after)
    assert {job_id for job_id, status in told if status == "pending"} & set(after)


def _met(seed: int) -> tuple[SimulatedCluster, list[tuple[str, list[str]]]]:
    """Jobs are cancelled about when their last task ends; some that need them are there, one comes just then."""
    world = settled_cluster(seed)
    rng, sets = world.rng, []
    for i in range(10):
        first = submit_accepted(world, expected_s=1000.0)
        after = [
            submit_accepted(world, [first], crew=TEAMS[i % 3]),
            submit_accepted(world, [first], crew=TEAMS[(i + 1) % 3]),
        ]
        after.append(submit_accepted(world, after[:1], crew=TEAMS[(i + 2) % 3]))
        sets.append((first, after))
    for first, _after in sets:
        run_until_started(world, first)
    for i, (first, after) in enumerate(sets):
        finish_in(world, first, 2.0 + i)
        world.at(1.8 + i + 0.3 * i + rng.uniform(0.0, 0.3), lambda first=first: world.cancel(first))

        def come(first: str = first, after: list[str] = after) -> None:
            after.append(world.submit(**UNCONSTRAINED_JOB | SHORT_JOB | {"waits_on": [first]}))

        world.at(2.0 + i + rng.uniform(-0.2, 3.0), come)
    return world, sets


@pytest.mark.parametrize("seed", SEEDS)
def test_cancellation_races_completion_of_dependency(seed):
    world, sets = _met(seed)
    for i in range(100):
        for job_id in sets[i % 10][1]:
            world.query(job_id)
        world.run(0.2)
    run_until_all_finished(world)
    assert all(len(after) == 4 for _, after in sets)
    ends = []
    for first, after in sets:
        ends.append(world.jobs[first].final)
        assert set(final_statuses(world, after)) == {ends[-1]}
    assert set(ends) == {"done", "cancelled"}


@pytest.mark.parametrize("seed", SEEDS)
def test_submission_races_cancellation_of_dependency(seed):
    world = settled_cluster(seed)
    after = []
    for i in range(12):
        first = submit_accepted(world, **LONG_JOB)
        world.at(world.rng.uniform(0.0, 0.05), lambda first=first: world.cancel(first))
        world.run(world.rng.uniform(0.0, 0.05))
        job_id = world.submit(**UNCONSTRAINED_JOB | SHORT_JOB | {"waits_on": [first], "crew": TEAMS[i % 3]})
        after.append(job_id)
    assert_all_cancelled(world, after)


def test_job_naming_cancelled_dependency_is_accepted_and_cancelled():
    world = settled_cluster(9)
    first = submit_accepted(world, **LONG_JOB)
    cancel_and_wait(world, first)
    world.run(40.0)
    after = [submit_accepted(world, [first], crew=team) for team in TEAMS]
    after.append(submit_accepted(world, after[-1:]))
    query_everywhere(world, after, 40.0)
    world.run(world.settings.params.workers.cancel_s)
    assert_all_cancelled(world, after)


def test_cancellation_answered_done_does_not_affect_dependents():
    world = settled_cluster(10)
    first = submit_accepted(world)
    after = submit_accepted(world, [first], crew="team-1", expected_s=20.0)
    run_until(world, lambda: world.jobs[first].final is not None)
    world.cancel(first)
    run_until_all_finished(world)
    assert final_statuses(world, [first, after]) == ["done", "done"]


# -- disabled guards


def _start_held(patch):
    patch.setattr(Job, "blocked", property(lambda self: False, lambda self, value: None), raising=False)


def _answer_what_was_read(patch):
    def reply_status(self, code, job, status, reply):
        reply(code, self._responder.status_body(job, status))

    patch.setattr(StatusReplier, "reply_status", reply_status)


def _old_views(seed: int) -> SimulatedCluster:
    """Every node learns of the cancellation long after cancel_s, also the owners of the dependents."""
    world = settled_cluster(seed)
    first, after = submit_graph(world)
    delay_job_updates(world, 60.0)
    cancel_and_wait(world, first)
    assert dependency_graphs.status_on_record(world, after[0]) == "active"
    query_everywhere(world, after, 50.0)
    world.run(50.0)
    return world


def _down_after_the_confirmation(seed: int) -> SimulatedCluster:
    """The views are new, but nobody could write for longer than cancel_s."""
    world = settled_cluster(seed)
    first, after = submit_graph(world)
    cancel_and_wait(world, first)
    world.state.outage(True)
    world.run(60.0)
    world.state.outage(False)
    query_everywhere(world, after, 5.0, 0.02)
    world.run(5.0)
    return world


@pytest.mark.parametrize("run", [_old_views, _down_after_the_confirmation])
@pytest.mark.parametrize("seed", [16, 17])
def test_overdue_dependents_are_never_reported_active(run, seed):
    world = run(seed)
    assert any(job.cancelled_at is not None for job in world.jobs.values())


def _read_one_record_alone(patch):
    """Two guards: a question brings the view of all records up to date, and an old view tells nothing."""
    _answer_what_was_read(patch)
    patch.setattr(JobReader, "read", JobReader.read_record)


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
    world = settled_cluster(1)
    with pytest.raises(RuleViolationError, match="too_early"):
        submit_chain(world, 3)
        run_until_all_finished(world)
