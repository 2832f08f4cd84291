"""What users may write as `waits_on`, through the HTTP interface: statuses, and what becomes of the job."""

from __future__ import annotations

import json

import pytest

from tests.test_submission_validation import MISSING, Desk, text


@pytest.fixture(scope="module")
def desk() -> Desk:
    desk = Desk(52, nodes=1)
    desk.world.run(20.0)
    return desk


def _accepted(desk: Desk, **changes: str) -> str:
    job = desk.new_id()
    assert desk.submit(job, **changes)[0] == 201
    return job


@pytest.mark.parametrize("names", [MISSING, "null", "[]"])
def test_no_list_a_null_and_an_empty_one_name_nothing(desk, names):
    job = _accepted(desk, waits_on=names)
    assert not desk.world.nodes["n0"].job_index.active[job].blocked
    assert desk.abort(job)[0] == 200


def test_a_job_named_twice_is_waited_for_once(desk):
    first = _accepted(desk)
    job = _accepted(desk, waits_on=json.dumps([first] * 3))
    assert desk.world.state.rows[f"job/{job}"][0]["s"]["waits_on"] == [first]
    assert desk.ask("GET", f"/work/{job}")[1]["status"] == "pending"
    assert desk.abort(job)[0] == desk.abort(first)[0] == 200


def test_a_job_that_names_a_cancelled_one_is_accepted_and_cancelled(desk):
    first = _accepted(desk)
    assert desk.abort(first)[1]["status"] == "cancelled"
    job = desk.new_id()
    status, answer, _after, _took = desk.submit(job, waits_on=json.dumps([first]))
    assert (status, answer["status"]) == (201, "cancelled")
    assert desk.ask("GET", f"/work/{job}")[:2] == (200, {"name_id": job, "status": "cancelled"})


def test_a_job_that_names_itself_can_never_run(desk):
    job = desk.new_id()
    status, answer, _after, _took = desk.submit(job, waits_on=json.dumps([job]))
    assert (status, answer) == (422, {"error": "waits_on: a job can't wait for itself"})
    assert desk.ask("GET", f"/work/{job}")[0] == 404


@pytest.mark.parametrize("known", [True, False])
def test_one_name_that_was_never_accepted_is_enough_to_refuse_a_job(desk, known):
    job, first = desk.new_id(), _accepted(desk)
    names = [first, "req-never"] if known else ["req-never"]
    status, answer, _after, _took = desk.submit(job, waits_on=json.dumps(names))
    assert (status, answer) == (422, {"error": "waits_on: names a job that was never accepted"})
    assert desk.abort(first)[0] == 200


@pytest.mark.parametrize("names", ['["412"]', '["req-a b"]', f'["req-{"1" * 65}"]', '"req-1"', "[null]", "0", "false"])
def test_what_is_no_list_of_job_ids_is_malformed(desk, names):
    status, answer, _after, took = desk.submit(desk.new_id(), waits_on=names)
    assert (status, answer) == (400, {"error": "waits_on: must be a list of job ids, or null"})
    assert took < 0.5


def test_repeats_of_an_accepted_job_are_answered_whatever_they_name(desk):
    job = _accepted(desk)
    long = json.dumps([f"req-{i:060d}" for i in range(900)])
    for names in (json.dumps([job]), '["req-never"]', '"nonsense"', "[7]", long):
        status, answer, _after, _took = desk.submit(job, waits_on=names)
        assert (status, answer["name_id"]) == (200, job), names[:40]
    assert desk.abort(job)[0] == 200


def test_a_list_too_long_to_be_kept_is_refused_at_once_and_says_why():
    desk = Desk(53, nodes=1, next={"value_kb": 1.0, "txn_ops": 2})
    desk.world.run(20.0)
    status, answer, _after, took = desk.submit("req-long", waits_on=json.dumps([f"req-{i:06d}" for i in range(400)]))
    assert (status, answer) == (400, {"error": "too large to be kept: waits_on names too many jobs"})
    assert took < 0.5
    status, answer, _after, _took = desk.submit("req-wide", playbook=json.dumps("i" * 1100))
    assert (status, answer) == (400, {"error": "too large to be kept: at most 1 KiB without waits_on"})


def test_while_a_controller_may_run_the_version_before_such_jobs_are_told_when_to_come_back():
    desk = Desk(54, nodes=1)
    desk.world.run(20.0)
    desk.world.nodes["n0"].versions._agreed = False
    first = _accepted(desk)
    status, answer, after, _took = desk.submit("req-later", waits_on=json.dumps([first]))
    assert status == 503 and type(after) is int and after >= 1 and answer["error"]
    assert desk.ask("POST", "/work", text({"name_id": f'"{first}"', "waits_on": '["req-never"]'}))[0] == 200
