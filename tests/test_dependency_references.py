"""References to dependencies: evicted jobs, validation of the list, and mixed versions."""

from __future__ import annotations

import json
from collections.abc import Callable

import pytest

from tealhook.jobs import index
from tests import dependency_graphs
from tests.api_client import SUBMISSION_FIELDS, ApiClient, assert_submission_status, submission_body
from tests.dependency_steps import (
    LONG_JOB,
    SHORT_JOB,
    TEAMS,
    cancel_and_wait,
    delay_job_updates,
    final_statuses,
    finish_in,
    run_until,
    run_until_all_finished,
    run_until_started,
    settled_cluster,
    submit_accepted,
    team_owner,
)
from tests.simulated_cluster import SimulatedCluster, make_request
from tests.simulation.requests import is_job_read
from tests.user_requests import UNCONSTRAINED_JOB

# -- dependencies evicted from the job index


def _run_until_evicted(cluster: SimulatedCluster, job_ids: list[str]) -> None:
    """Submit jobs that end soon until the given ended jobs are evicted from every node's index."""
    for _ in range(10):
        for team in TEAMS:
            submit_accepted(cluster, crew=team)
        cluster.run(10.0)
        if not any(set(node.job_index.ended) & set(job_ids) for node in cluster.controllers.values()):
            return
    raise AssertionError("the ended jobs were not evicted")


def test_evicted_job_ends_are_read_back(monkeypatch):
    """The index of ended jobs is bounded, and dependencies that were evicted from it still count."""
    monkeypatch.setattr(index, "MIN_ENDED_JOBS", 2)
    monkeypatch.setattr(index, "ENDED_JOBS_MEMORY_SHARE", 0.0)
    cluster = settled_cluster(11)
    done = [submit_accepted(cluster, crew=team) for team in TEAMS]
    cancelled = submit_accepted(cluster, **LONG_JOB)
    cancel_and_wait(cluster, cancelled)
    blocker = submit_accepted(cluster, crew="team-0", **LONG_JOB)
    blocked = [submit_accepted(cluster, [*done, blocker], crew=team) for team in TEAMS]
    run_until(cluster, lambda: all(cluster.jobs[job_id].final_status == "done" for job_id in done))
    _run_until_evicted(cluster, [*done, cancelled])
    assert all(len(node.job_index.ended) == 2 for node in cluster.controllers.values())
    after = [submit_accepted(cluster, [dependency], crew="team-1") for dependency in done]
    dependent_on_cancelled = submit_accepted(cluster, [cancelled, done[0]], crew="team-2")
    finish_in(cluster, blocker, 1.0)
    run_until_all_finished(cluster)
    assert set(final_statuses(cluster, [*blocked, *after])) == {"done"}
    assert final_statuses(cluster, [dependent_on_cancelled]) == ["cancelled"]


def test_every_node_answers_about_evicted_dependencies(monkeypatch):
    """Guards against nodes that never answer because their index of ended jobs is too small."""
    monkeypatch.setattr(index, "MIN_ENDED_JOBS", 2)
    monkeypatch.setattr(index, "ENDED_JOBS_MEMORY_SHARE", 0.0)
    cluster = settled_cluster(18)
    done = submit_accepted(cluster)
    run_until(cluster, lambda: cluster.jobs[done].final_status == "done")
    _run_until_evicted(cluster, [done])
    blocker = submit_accepted(cluster, **LONG_JOB)
    blocked = submit_accepted(cluster, [done, blocker], crew="team-1")
    cluster.run(20.0)
    unanswered = set(cluster.node_names)

    def query(node: str) -> None:
        cluster.query(blocked, node, lambda status: unanswered.discard(node) if status == 200 else None)

    for i in range(20):
        for node in cluster.node_names:
            cluster.call_later(i * 1.0, lambda node=node: query(node))
    cluster.run(25.0)
    assert unanswered == set()


@pytest.mark.parametrize("value_kb", [8.0, 2.0])
def test_job_with_hundreds_of_dependencies(value_kb):
    """All dependencies count, also after a failover, and the job is cancelled with any of them."""
    cluster = settled_cluster(12, capacity_per_pool=6, cpu_limit=96.0, write_rps=80.0, value_kb=value_kb)
    running = [submit_accepted(cluster, **LONG_JOB) for _ in range(2)]
    dependencies = []
    for i in range(298):
        cluster.call_later(
            0.1 * i,
            lambda i=i: dependencies.append(cluster.submit(**UNCONSTRAINED_JOB | SHORT_JOB | {"crew": TEAMS[i % 3]})),
        )
    cluster.run(60.0)
    last = submit_accepted(cluster, [running[0], *dependencies, running[1]], crew="team-1")
    other = submit_accepted(cluster, [running[0], *dependencies], crew="team-2")
    assert len(cluster.jobs[last].dependencies()) == 300
    sizes = [len(json.dumps(row[0])) for key, row in cluster.state.rows.items() if key.startswith("job/")]
    assert max(sizes) < 1.2 * 1024 * value_kb
    for team in ("team-1", "team-2"):
        cluster.crash(team_owner(cluster, team), 5.0)
        cluster.run(15.0)
    run_until(cluster, lambda: set(final_statuses(cluster, dependencies)) == {"done"}, 200.0)
    cluster.run(20.0)
    assert cluster.jobs[last].started_at is None and cluster.jobs[other].started_at is None
    cancel_and_wait(cluster, running[1])
    finish_in(cluster, running[0], 1.0)
    run_until_all_finished(cluster)
    assert final_statuses(cluster, [last, other]) == ["cancelled", "done"]


# -- validation of the submitted list

UNKNOWN_JOB = '"req-none-such"'
# (the submitted JSON of the field, expected status)
LIST_CASES = [
    (None, 201),
    ("null", 201),
    ("[]", 201),
    ('["KNOWN"]', 201),
    ('["KNOWN","KNOWN"]', 201),
    *(
        (value, 400)
        for value in (
            '"KNOWN"',
            "7",
            "true",
            "false",
            "{}",
            '{"0":"KNOWN"}',
            "[7]",
            "[null]",
            '["KNOWN",null]',
            '[["KNOWN"]]',
            '["KNOWN",7]',
            '[""]',
            '["412"]',
            '["req-"]',
            '["REQ-1"]',
            '[" KNOWN"]',
            '["KNOWN "]',
            '["KNOWN/0"]',
            '["req-a b"]',
            '["req-1\\n"]',
            '["req-\\u00e9"]',
            '["req-\\ud800"]',
            '["KNOWN"],"waits_on":["KNOWN"]',
            f'["KNOWN","req-{"1" * 65}"]',
        )
    ),
    (f"[{UNKNOWN_JOB}]", 422),
    (f'["KNOWN",{UNKNOWN_JOB}]', 422),
    ('["ITSELF"]', 422),
    ('["KNOWN","ITSELF"]', 422),
    # a malformed list takes precedence over a job that can never run
    (f"[{UNKNOWN_JOB},7]", 400),
    ('["ITSELF",null]', 400),
]


@pytest.fixture(scope="module")
def client():
    client = ApiClient(61, nodes=1)
    client.cluster.run(20.0)
    assert client.submit("req-known", expected_s="1e6")[0] == 201
    return client


def _list_changes(value: str | None, job: str) -> dict:
    return {"waits_on": value.replace("KNOWN", "req-known").replace("ITSELF", job) if value is not None else None}


@pytest.mark.parametrize(("value", "status"), LIST_CASES, ids=lambda value: str(value)[:40])
def test_dependency_list_validation(client, value, status):
    job = client.new_id()
    actual, answer, _after, _took = client.submit(job, **_list_changes(value, job))
    assert_submission_status(client, job, actual, answer, status)


def test_oversized_dependency_list_is_rejected_at_once(client):
    """Any list that fits into a body of 64 KiB is accepted or refused, never deferred."""
    job = client.new_id()
    oversized = json.dumps([f"req-{i:06d}" + "x" * 50 for i in range(950)])
    assert len(oversized) < 63_000
    actual, answer, _after, _took = client.submit(job, waits_on=oversized)
    assert actual in (400, 422) and answer["error"]  # 422 is allowed, since none of the listed jobs was accepted
    assert client.request("GET", f"/work/{job}")[0] == 404


def test_unresolvable_dependencies_are_deferred():
    client = ApiClient(62, nodes=1)
    client.cluster.run(20.0)
    original = client.cluster.state.handle

    def handle(node, method, target, body, answer):
        if is_job_read(target):
            answer(503, b"{}")
        else:
            original(node, method, target, body, answer)

    client.cluster.state.handle = handle
    status, _answer, after, took = client.submit("req-1", waits_on=f"[{UNKNOWN_JOB}]")
    assert status == 503 and after >= 1 and took < 5.0
    client.cluster.state.handle = original
    client.cluster.run(5.0)
    assert client.submit("req-1", waits_on=f"[{UNKNOWN_JOB}]")[0] == 422


def test_dependency_just_accepted_by_another_node_is_known():
    """A node whose index lacks the dependency reads its record.

    Watches are delayed, but not so long that a node considers the state store unavailable and asks a peer instead.
    """
    client = ApiClient(63, nodes=3)
    client.cluster.run(25.0)
    delay_job_updates(client.cluster, 1.0)
    assert all(node.state_client.is_served for node in client.cluster.controllers.values())
    assert client.submit("req-1", "n1", expected_s="1e6")[0] == 201
    assert "req-1" not in client.cluster.controllers["n0"].job_index.active
    assert client.submit("req-2", "n0", waits_on='["req-1"]')[0] == 201


def test_resubmission_returns_status_whatever_its_dependencies():
    """The dependencies of the first submission stay in force."""
    client = ApiClient(64, nodes=3)
    cluster = client.cluster
    cluster.run(25.0)
    first = submit_accepted(cluster, **LONG_JOB)
    blocked = submit_accepted(cluster, [first], crew="team-1")
    spec = cluster.jobs[blocked].spec
    for node in cluster.node_names:
        for dependencies in ([], [first], [blocked], [first, "req-none-such"], ["x"], [7], "x", None, [first] * 900):
            body = json.dumps(spec | {"waits_on": dependencies}).encode()
            status, answer, _after, _took = client.request("POST", "/work", body, node)
            assert (status, answer["name_id"], answer["status"]) == (200, blocked, "pending"), dependencies
    cluster.run(20.0)
    assert dependency_graphs.is_blocked(cluster, cluster.jobs[blocked]) and cluster.jobs[blocked].started_at is None
    finish_in(cluster, first, 1.0)
    run_until_all_finished(cluster)
    status, answer, _after, _took = client.request("POST", "/work", json.dumps(spec | {"waits_on": ["req-x"]}).encode())
    assert (status, answer["status"]) == (200, "done")


# -- mixed versions


def _submitters(cluster: SimulatedCluster) -> tuple[Callable, Callable]:
    """Return a function that submits a job at a node and returns its answer, and one that builds a job's fields."""

    def post(spec: dict, node: str) -> tuple[int, int | None]:
        answers: list[tuple[int, int | None]] = []
        cluster.controllers[node].on_request(
            make_request("POST", "/work", json.dumps(spec).encode()),
            lambda status, data=b"{}", after=None: answers.append((status, after)),
        )
        run_until(cluster, lambda: bool(answers), 6.0)
        return answers[0]

    def fields(job_id: str) -> dict:
        return json.loads(submission_body({"name_id": f'"{job_id}"'} | SUBMISSION_FIELDS))

    return post, fields


def test_dependent_jobs_are_deferred_while_a_node_may_be_old():
    """An old node would start a dependent job at once; a node that has not written its version may be old."""
    cluster = SimulatedCluster(13)
    cluster.crash("n2", 60.0)
    cluster.run(30.0)
    assert "version/n0" in cluster.state.rows and "version/n1" in cluster.state.rows
    assert "version/n2" not in cluster.state.rows
    post, fields = _submitters(cluster)
    first = submit_accepted(cluster, **LONG_JOB)
    for node in ("n0", "n1"):
        status, after = post(fields("req-held") | {"waits_on": [first]}, node)
        assert status == 503 and after >= 1
        for no_dependencies in ([], None):
            job_id = f"req-free-{node}-{no_dependencies is None}"
            assert post(fields(job_id) | {"waits_on": no_dependencies}, node)[0] == 201
        assert post(cluster.jobs[first].spec | {"waits_on": ["req-other"]}, node)[0] == 200  # a resubmission
    assert "job/req-held" not in cluster.state.rows


def test_dependent_jobs_are_accepted_once_all_nodes_are_upgraded():
    cluster = SimulatedCluster(14)
    cluster.crash("n2", 60.0)
    cluster.run(25.0)
    first = submit_accepted(cluster, **LONG_JOB)
    blocked = cluster.submit(**UNCONSTRAINED_JOB | SHORT_JOB | {"waits_on": [first], "crew": "team-1"})
    cluster.run(30.0)
    assert not cluster.jobs[blocked].accepted
    cluster.run(25.0)
    assert "version/n2" in cluster.state.rows and cluster.jobs[blocked].accepted
    cluster.crash("n1", 20.0)  # the version record outlives the process
    again = submit_accepted(cluster, [first])
    assert "version/n1" in cluster.state.rows
    run_until_started(cluster, first)
    finish_in(cluster, first, 1.0)
    run_until_all_finished(cluster)
    assert set(final_statuses(cluster, [first, blocked, again])) == {"done"}


def test_version_records_are_not_bound_to_a_lease():
    """An outage or the end of a process does not delete its version record."""
    cluster = settled_cluster(15)
    for name in cluster.node_names:
        value, _stamp, hold = cluster.state.rows[f"version/{name}"]
        assert value["v"] >= 1 and hold is None
