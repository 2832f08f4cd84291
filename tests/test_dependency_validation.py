"""Validation of `waits_on` through the HTTP interface: answers, and the effect on the job."""

from __future__ import annotations

import json

import pytest

from tests.api_client import MISSING, ApiClient, submission_body


@pytest.fixture(scope="module")
def client() -> ApiClient:
    client = ApiClient(52, nodes=1)
    client.cluster.run(20.0)
    return client


def _submit_accepted(client: ApiClient, **changes: str) -> str:
    job = client.new_id()
    assert client.submit(job, **changes)[0] == 201
    return job


@pytest.mark.parametrize("value", [MISSING, "null", "[]"])
def test_missing_null_and_empty_lists_mean_no_dependency(client, value):
    job = _submit_accepted(client, waits_on=value)
    assert not client.cluster.controllers["n0"].job_index.active[job].is_blocked
    assert client.cancel(job)[0] == 200


def test_duplicate_dependency_counts_once(client):
    first = _submit_accepted(client)
    job = _submit_accepted(client, waits_on=json.dumps([first] * 3))
    assert client.cluster.state.rows[f"job/{job}"][0]["s"]["waits_on"] == [first]
    assert client.request("GET", f"/work/{job}")[1]["status"] == "pending"
    assert client.cancel(job)[0] == client.cancel(first)[0] == 200


def test_job_with_cancelled_dependency_is_accepted_and_cancelled(client):
    first = _submit_accepted(client)
    assert client.cancel(first)[1]["status"] == "cancelled"
    job = client.new_id()
    status, answer, _after, _took = client.submit(job, waits_on=json.dumps([first]))
    assert (status, answer["status"]) == (201, "cancelled")
    assert client.request("GET", f"/work/{job}")[:2] == (200, {"name_id": job, "status": "cancelled"})


def test_job_depending_on_itself_is_rejected(client):
    job = client.new_id()
    status, answer, _after, _took = client.submit(job, waits_on=json.dumps([job]))
    assert (status, answer) == (422, {"error": "waits_on: a job can't wait for itself"})
    assert client.request("GET", f"/work/{job}")[0] == 404


@pytest.mark.parametrize("with_known", [True, False])
def test_one_unknown_dependency_rejects_the_job(client, with_known):
    job, first = client.new_id(), _submit_accepted(client)
    dependencies = [first, "req-never"] if with_known else ["req-never"]
    status, answer, _after, _took = client.submit(job, waits_on=json.dumps(dependencies))
    assert (status, answer) == (422, {"error": "waits_on: names a job that was never accepted"})
    assert client.cancel(first)[0] == 200


@pytest.mark.parametrize("value", ['["412"]', '["req-a b"]', f'["req-{"1" * 65}"]', '"req-1"', "[null]", "0", "false"])
def test_dependencies_that_are_not_job_ids_are_malformed(client, value):
    status, answer, _after, took = client.submit(client.new_id(), waits_on=value)
    assert (status, answer) == (400, {"error": "waits_on: must be a list of job ids, or null"})
    assert took < 0.5


def test_resubmission_is_answered_whatever_its_dependencies(client):
    job = _submit_accepted(client)
    oversized = json.dumps([f"req-{i:060d}" for i in range(900)])
    for value in (json.dumps([job]), '["req-never"]', '"nonsense"', "[7]", oversized):
        status, answer, _after, _took = client.submit(job, waits_on=value)
        assert (status, answer["name_id"]) == (200, job), value[:40]
    assert client.cancel(job)[0] == 200


def test_oversized_dependency_list_is_rejected_with_reason():
    client = ApiClient(53, nodes=1, next_limits={"value_kb": 1.0, "txn_ops": 2})
    client.cluster.run(20.0)
    status, answer, _after, took = client.submit("req-long", waits_on=json.dumps([f"req-{i:06d}" for i in range(400)]))
    assert (status, answer) == (400, {"error": "too large to be kept: waits_on names too many jobs"})
    assert took < 0.5
    status, answer, _after, _took = client.submit("req-wide", playbook=json.dumps("i" * 1100))
    assert (status, answer) == (400, {"error": "too large to be kept: at most 1 KiB without waits_on"})


def test_dependent_job_gets_retry_after_while_versions_are_mixed():
    client = ApiClient(54, nodes=1)
    client.cluster.run(20.0)
    client.cluster.controllers["n0"].version_agreement._agreed = False
    first = _submit_accepted(client)
    status, answer, after, _took = client.submit("req-later", waits_on=json.dumps([first]))
    assert status == 503 and type(after) is int and after >= 1 and answer["error"]
    assert (
        client.request("POST", "/work", submission_body({"name_id": f'"{first}"', "waits_on": '["req-never"]'}))[0]
        == 200
    )
