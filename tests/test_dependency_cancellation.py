"""Jobs that wait for others: a cancellation goes on to all that need the job, under one trouble at a time."""

from __future__ import annotations

import pytest

from tealhook.admission.admission import Admission
from tealhook.jobs.job import Job
from tests import dependency_graphs, user_requests
from tests.dependency_steps import (
    LONG,
    QUICK,
    SEEDS,
    TEAMS,
    all_cancelled,
    all_over,
    ask_all,
    cancelled,
    chain,
    delay_job_updates,
    end_in,
    finals,
    graph,
    home_of,
    run_until,
    running,
    settled,
    submit,
    team_elsewhere,
)
from tests.simulated_cluster import RuleViolationError, SimulatedCluster
from tests.user_requests import UNCONSTRAINED_JOB

# -- cancellations


@pytest.mark.parametrize("seed", SEEDS)
def test_all_that_need_a_cancelled_job_are_cancelled_with_it(seed):
    world = settled(seed)
    first, after = graph(world)
    ask_all(world, after, 60.0)
    cancelled(world, first)
    world.run(world.settings.params.workers.cancel_s)
    assert set(finals(world, after)) == {"cancelled"}
    all_cancelled(world, after)


def test_only_those_after_the_cancelled_job_are_cancelled():
    world = settled(7)
    first = submit(world, **LONG)
    middle = submit(world, [first], crew="team-1")
    beside = submit(world, [first], crew="team-2")
    last = submit(world, [middle, beside])
    running(world, first)
    cancelled(world, middle)
    end_in(world, first, 5.0)
    all_over(world)
    assert finals(world, [first, middle, beside, last]) == ["done", "cancelled", "done", "cancelled"]


def test_a_wide_fan_is_cancelled_in_time_on_a_small_budget():
    world = settled(8, wps=30.0)
    first = submit(world, crew="team-0", **LONG)
    names = [world.submit(**UNCONSTRAINED_JOB | QUICK | {"waits_on": [first], "crew": TEAMS[i % 3]}) for i in range(60)]
    run_until(world, lambda: all(world.jobs[job_id].accepted for job_id in names))
    running(world, first)
    ask_all(world, names, 60.0, 5.0)
    cancelled(world, first)
    all_cancelled(world, names)
    assert len(names) == 60


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("down_s", [15.0, 70.0], ids=["shorter than cancel_s", "longer than cancel_s"])
def test_the_state_service_is_down_right_after_the_confirmation(seed, down_s):
    world = settled(seed)
    other = team_elsewhere(world, "team-0")
    first, after = graph(world, (other,))
    world.cancel(first, home_of(world, "team-0"))
    run_until(world, lambda: world.jobs[first].final is not None)
    world.state.outage(True)
    assert world.jobs[first].final == "cancelled" and dependency_graphs.status_on_record(world, after[0]) == "active"
    ask_all(world, after, down_s)
    world.run(down_s)
    world.state.outage(False)
    ask_all(world, after, 2.0, 0.02)  # nobody may be told otherwise from the first moment on
    ask_all(world, after, 30.0)
    all_cancelled(world, after)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("back_s", [1.0, 45.0])
def test_the_home_of_those_after_changes_hands_right_after_the_confirmation(seed, back_s):
    world = settled(seed)
    other = team_elsewhere(world, "team-0")
    first, after = graph(world, (other,))
    world.cancel(first, next(name for name in world.names if name != home_of(world, other)))
    run_until(world, lambda: world.jobs[first].final is not None)
    assert dependency_graphs.status_on_record(world, after[-1]) == "active"
    world.crash(home_of(world, other), back_s)
    ask_all(world, after, 60.0)
    all_cancelled(world, after)


@pytest.mark.parametrize("seed", SEEDS)
def test_every_node_ends_right_after_the_confirmation(seed):
    world = settled(seed)
    first, after = graph(world)
    world.cancel(first)
    run_until(world, lambda: world.jobs[first].final is not None)
    for name in world.names:
        world.crash(name, 5.0)
    ask_all(world, after, 60.0)
    all_cancelled(world, after)


@pytest.mark.parametrize("seed", SEEDS)
def test_the_owner_of_those_after_lacks_the_state_service(seed):
    """For longer than cancel_s; others take its homes over, and no node may call the jobs pending."""
    world = settled(seed)
    other = team_elsewhere(world, "team-0")
    first, after = graph(world, (other,))
    owner = home_of(world, other)
    world.state.refused_nodes = {owner}
    cancelled(world, first, next(name for name in world.names if name != owner))
    ask_all(world, after, 60.0)
    world.run(45.0)
    world.state.refused_nodes = set()
    all_cancelled(world, after)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_node_answers_older_about_those_after(seed):
    """Close looks at all that need a job while it is cancelled: once one node has said so, all do."""
    world = settled(seed)
    world.network.max_delay_s = 0.15 if seed % 2 else 0.01
    first, after = graph(world)
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
    all_cancelled(world, after)
    assert {job_id for job_id, status in told if status == "cancelled"} >= set(after)
    assert {job_id for job_id, status in told if status == "pending"} & set(after)


def _met(seed: int) -> tuple[SimulatedCluster, list[tuple[str, list[str]]]]:
    """Jobs are cancelled about when their last task ends; some that need them are there, one comes just then."""
    world = settled(seed)
    rng, sets = world.rng, []
    for i in range(10):
        first = submit(world, expected_s=1000.0)
        after = [submit(world, [first], crew=TEAMS[i % 3]), submit(world, [first], crew=TEAMS[(i + 1) % 3])]
        after.append(submit(world, after[:1], crew=TEAMS[(i + 2) % 3]))
        sets.append((first, after))
    for first, _after in sets:
        running(world, first)
    for i, (first, after) in enumerate(sets):
        end_in(world, first, 2.0 + i)
        world.at(1.8 + i + 0.3 * i + rng.uniform(0.0, 0.3), lambda first=first: world.cancel(first))

        def come(first: str = first, after: list[str] = after) -> None:
            after.append(world.submit(**UNCONSTRAINED_JOB | QUICK | {"waits_on": [first]}))

        world.at(2.0 + i + rng.uniform(-0.2, 3.0), come)
    return world, sets


@pytest.mark.parametrize("seed", SEEDS)
def test_a_cancellation_meets_the_end_of_a_job_that_others_need(seed):
    world, sets = _met(seed)
    for i in range(100):
        for job_id in sets[i % 10][1]:
            world.query(job_id)
        world.run(0.2)
    all_over(world)
    assert all(len(after) == 4 for _, after in sets)
    ends = []
    for first, after in sets:
        ends.append(world.jobs[first].final)
        assert set(finals(world, after)) == {ends[-1]}
    assert set(ends) == {"done", "cancelled"}


@pytest.mark.parametrize("seed", SEEDS)
def test_a_job_is_submitted_as_one_that_it_names_is_cancelled(seed):
    world = settled(seed)
    after = []
    for i in range(12):
        first = submit(world, **LONG)
        world.at(world.rng.uniform(0.0, 0.05), lambda first=first: world.cancel(first))
        world.run(world.rng.uniform(0.0, 0.05))
        job_id = world.submit(**UNCONSTRAINED_JOB | QUICK | {"waits_on": [first], "crew": TEAMS[i % 3]})
        after.append(job_id)
    all_cancelled(world, after)


def test_a_job_that_names_a_cancelled_one_is_accepted_and_cancelled():
    world = settled(9)
    first = submit(world, **LONG)
    cancelled(world, first)
    world.run(40.0)
    after = [submit(world, [first], crew=team) for team in TEAMS]
    after.append(submit(world, after[-1:]))
    ask_all(world, after, 40.0)
    world.run(world.settings.params.workers.cancel_s)
    all_cancelled(world, after)


def test_a_cancellation_that_is_answered_done_lets_the_jobs_after_go_on():
    world = settled(10)
    first = submit(world)
    after = submit(world, [first], crew="team-1", expected_s=20.0)
    run_until(world, lambda: world.jobs[first].final is not None)
    world.cancel(first)
    all_over(world)
    assert finals(world, [first, after]) == ["done", "done"]


# -- guards, broken on purpose


def _start_held(patch):
    patch.setattr(Job, "blocked", property(lambda self: False, lambda self, value: None), raising=False)


def _answer_what_was_read(patch):
    def reply_status(self, code, job, status, reply):
        reply(code, self._status_body(job, status))

    patch.setattr(Admission, "_reply_status", reply_status)


def _old_views(seed: int) -> SimulatedCluster:
    """Every node hears of the cancellation long after cancel_s, also the owners of the homes of those after."""
    world = settled(seed)
    first, after = graph(world)
    delay_job_updates(world, 60.0)
    cancelled(world, first)
    assert dependency_graphs.status_on_record(world, after[0]) == "active"
    ask_all(world, after, 50.0)
    world.run(50.0)
    return world


def _down_after_the_confirmation(seed: int) -> SimulatedCluster:
    """The views are new, but nobody could write for longer than cancel_s."""
    world = settled(seed)
    first, after = graph(world)
    cancelled(world, first)
    world.state.outage(True)
    world.run(60.0)
    world.state.outage(False)
    ask_all(world, after, 5.0, 0.02)
    world.run(5.0)
    return world


@pytest.mark.parametrize("run", [_old_views, _down_after_the_confirmation])
@pytest.mark.parametrize("seed", [16, 17])
def test_nobody_calls_jobs_active_that_should_be_cancelled(run, seed):
    world = run(seed)
    assert any(job.cancelled_at is not None for job in world.jobs.values())


def _read_one_record_alone(patch):
    """Two guards: a question brings the view of all records up to date, and an old view tells nothing."""
    _answer_what_was_read(patch)
    patch.setattr(Admission, "_read", Admission._read_alone)


@pytest.mark.parametrize(
    ("run", "break_it"),
    [(_old_views, _read_one_record_alone), (_down_after_the_confirmation, _answer_what_was_read)],
)
def test_to_answer_what_was_read_is_found_out(run, break_it, monkeypatch):
    """Not in each run: watches that are late let some nodes take the state service for silent, and others decide."""
    break_it(monkeypatch)
    with pytest.raises(RuleViolationError, match="orphaned"):
        for seed in range(16, 22):
            run(seed)


def test_to_start_jobs_that_wait_for_others_is_found_out(monkeypatch):
    _start_held(monkeypatch)
    world = settled(1)
    with pytest.raises(RuleViolationError, match="too_early"):
        chain(world, 3)
        all_over(world)
