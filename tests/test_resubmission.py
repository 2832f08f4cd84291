"""Resubmissions and cancellations: a resubmission of an accepted job is never refused, and every answer is correct."""

import pytest

from tests.api_client import ApiClient, bodies_with_job_id, delay_job_watches


def _assert_resubmission_status(client: ApiClient, job: str, statuses: set[str]) -> None:
    """Assert that every node answers every resubmission with the job's id and one of the given statuses."""
    for node in client.cluster.node_names:
        for body in bodies_with_job_id(job):
            status, answer, _after, _took = client.request("POST", "/work", body, node)
            assert (status, answer["name_id"]) == (200, job) and answer["status"] in statuses, body[:200]


def test_resubmission_of_active_job_returns_its_status_on_every_node():
    client = ApiClient(42, nodes=3)
    client.cluster.run(25.0)
    delay_job_watches(client.cluster)
    first = "req-first"
    assert client.submit(first)[0] == 201
    assert [first in node.job_index.active for node in client.cluster.controllers.values()] == [True, False, False]
    status, answer, _after, _took = client.request("POST", "/work", bodies_with_job_id(first)[0], "n1")
    assert (status, answer["status"]) == (200, "pending")
    _assert_resubmission_status(client, first, {"pending", "running"})
    assert all(first in node.job_index.active for node in client.cluster.controllers.values())
    assert client.cancel(first, "n2")[1]["status"] == "cancelled"


def test_resubmission_of_finished_job_returns_final_status():
    client = ApiClient(43, nodes=3)
    cluster = client.cluster
    cluster.run(20.0)
    short_job = {"expected_s": 1.0, "plays": 1, "loaners": True, "yard": None, "rigs": None, "spread": False}
    done, cancelled = (cluster.submit(undisturbed=True, **short_job) for _ in range(2))
    cluster.run(1.0)
    cluster.cancel(cancelled)
    cluster.run(40.0)
    assert [cluster.jobs[name].final_status for name in (done, cancelled)] == ["done", "cancelled"]
    for _repeat in range(2):  # answered from the index, then from the records
        _assert_resubmission_status(client, done, {"done"})
        _assert_resubmission_status(client, cancelled, {"cancelled"})
        for node in cluster.controllers.values():
            node.job_index.ended.clear()
            node.job_index.is_complete = False


def test_resubmission_is_not_answered_from_stale_view():
    """A node that receives a cancellation late answers a resubmission from the durable record."""
    client = ApiClient(44, nodes=3)
    cluster = client.cluster
    cluster.run(25.0)
    assert client.submit("req-1")[0] == 201
    cluster.run(2.0)
    delay_job_watches(cluster)
    for node, body in zip(("n1", "n2"), (bodies_with_job_id("req-1")[0], bodies_with_job_id("req-1")[-1]), strict=True):
        if node == "n1":
            assert client.cancel("req-1")[1]["status"] == "cancelled"
        assert "req-1" in cluster.controllers[node].job_index.active
        assert client.request("POST", "/work", body, node)[:2] == (200, {"name_id": "req-1", "status": "cancelled"})


def test_resubmission_of_active_job_writes_nothing():
    client = ApiClient(45, nodes=1)
    client.cluster.run(20.0)
    assert client.submit("req-1")[0] == 201
    condition_keys = []
    store = client.cluster.controllers["n0"].state_client
    original = store.transact
    store.transact = lambda conditions, *args, **kwargs: (
        condition_keys.extend(conditions),
        original(conditions, *args, **kwargs),
    )
    assert client.submit("req-1")[0] == 200
    assert "job/req-1" not in condition_keys


def test_unknown_machine_types_defer_only_submissions_that_need_them():
    client = ApiClient(46, nodes=1)
    client.cluster.cloud.down = True
    client.cluster.run(20.0)
    assert not client.cluster.controllers["n0"].machine_types
    for changes in ({}, {"yard": '"zc"'}, {"rigs": '["none"]'}, {"vcpus": "20"}):
        status, _answer, after, _took = client.submit("req-1", **changes)
        assert status == 503 and after >= 1
    assert client.submit("req-1", plays="0")[0] == 400
    assert client.submit("req-1", crew='"nobody"')[0] == client.submit("req-1", vcpus="25")[0] == 422
    client.cluster.cloud.down = False
    client.cluster.run(30.0)
    assert client.submit("req-1")[0] == 201
    client.cluster.controllers["n0"].machine_types.clear()
    _assert_resubmission_status(client, "req-1", {"pending", "running"})


def test_state_store_outage_rejects_only_bodies_without_id():
    client = ApiClient(47, nodes=1)
    client.cluster.run(20.0)
    assert client.submit("req-1")[0] == 201
    client.cluster.state.set_down(True)
    for pause in (0.0, 2.0):  # before the node has noticed the outage, and after
        client.cluster.run(pause)
        for job in ("req-1", "req-unknown"):
            for body in bodies_with_job_id(job):
                status, _answer, after, took = client.request("POST", "/work", body)
                assert status in (429, 503) and after >= 1 and took < 2.0
            status, _answer, after, took = client.cancel(job)
            assert status in (429, 503) and after >= 1 and took < 2.0
        assert client.request("POST", "/work", b"{}")[0] == 400
    client.cluster.state.set_down(False)
    client.cluster.run(5.0)
    _assert_resubmission_status(client, "req-1", {"pending", "running"})
    answers = [client.request("POST", "/work", body)[0] for body in bodies_with_job_id("req-unknown")]
    assert answers == [400, 400, 400, 400, 400, 400, 400, 400, 422, 422, 422, 422, 400, 201]


def test_overloaded_node_rejects_malformed_bodies_before_a_read():
    """Under overload, malformed bodies are refused like all others, without a read."""
    client = ApiClient(48, nodes=1)
    client.cluster.run(20.0)
    store = client.cluster.controllers["n0"].state_client
    store.estimate_queue_wait_s = lambda priority: 7.5
    store.get = lambda *args: pytest.fail("read")
    for body in bodies_with_job_id("req-1"):
        status, _answer, after, _took = client.request("POST", "/work", body)
        assert (status, after) == (429, 8)


def test_cancellation_returns_final_status_of_the_job():
    client = ApiClient(49, nodes=3)
    cluster = client.cluster
    cluster.run(20.0)
    done = cluster.submit(undisturbed=True, expected_s=1.0, plays=1, loaners=True, yard=None, rigs=None, spread=False)
    cluster.run(40.0)
    assert cluster.jobs[done].final_status == "done"
    assert client.submit("req-1", "n1")[0] == 201
    for node in cluster.node_names:
        for _repeat in range(2):
            assert client.cancel(done, node)[:2] == (200, {"name_id": done, "status": "done"})
            assert client.cancel("req-1", node)[:2] == (200, {"name_id": "req-1", "status": "cancelled"})
            assert client.cancel("req-unknown", node)[0] == 404
            cluster.controllers[node].job_index.ended.clear()  # the second answer comes from the state store
    cluster.state.set_down(True)
    status, _answer, after, _took = client.cancel("req-unknown")
    assert status == 503 and after >= 1  # not 404, since the record could not be read
