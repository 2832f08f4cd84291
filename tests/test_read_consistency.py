"""Linearizable reads: no answer is older than what the node has learned meanwhile."""

import json

import pytest

from tests.simulated_cluster import SimulatedCluster, make_request
from tests.simulation.requests import is_job_read
from tests.user_requests import UNIFORM_JOB


def _slow_reads(cluster: SimulatedCluster, node: str, seconds: float) -> None:
    """Reads of one node are carried out at once, and their answers come late."""
    whole = cluster.state.handle

    def handle(who, method, target, body, answer):
        if who == node and is_job_read(target):
            whole(
                who,
                method,
                target,
                body,
                lambda status, data: cluster.call_later(seconds, lambda: answer(status, data)),
            )
        else:
            whole(who, method, target, body, answer)

    cluster.state.handle = handle


def _ask(cluster: SimulatedCluster, node: str, method: str, target: str, body: bytes = b"") -> list[tuple[int, dict]]:
    answers: list[tuple[int, dict]] = []
    cluster.controllers[node].on_request(
        make_request(method, target, body),
        lambda status, data=b"{}", after=None: answers.append((status, json.loads(data))),
    )
    return answers


@pytest.mark.parametrize("seed", range(2))
def test_read_overtaken_by_cancellation_returns_cancelled(seed):
    cluster = SimulatedCluster(seed)
    cluster.run(20.0)
    job = cluster.submit(plays=2, expected_s=100.0, **UNIFORM_JOB)
    cluster.run(10.0)
    _slow_reads(cluster, "n0", 0.8)
    late = _ask(cluster, "n0", "GET", f"/work/{job}")
    cluster.run(0.05)
    cluster.jobs[job].cancel_requested = True
    told = _ask(cluster, "n1", "POST", f"/work/{job}/abort")
    cluster.run(0.6)
    assert [status for status, _ in told] == [200] and told[0][1]["status"] == "cancelled"
    assert late == []
    cluster.run(1.0)
    assert late[0][0] == 200 and late[0][1]["status"] == "cancelled"


@pytest.mark.parametrize("request_", ["show", "abort"])
def test_read_overtaken_by_admission_is_not_404(request_):
    cluster = SimulatedCluster(3)
    cluster.run(20.0)
    _slow_reads(cluster, "n0", 0.8)
    job = f"req-{len(cluster.jobs):06d}"
    late = _ask(
        cluster,
        "n0",
        "GET" if request_ == "show" else "POST",
        f"/work/{job}" + ("" if request_ == "show" else "/abort"),
    )
    cluster.run(0.05)
    assert cluster.submit(plays=2, expected_s=100.0, **UNIFORM_JOB) == job
    cluster.run(0.6)
    assert cluster.jobs[job].accepted and late == []
    cluster.run(1.0)
    assert late and late[0][0] in ((200,) if request_ == "show" else (200, 503))


def test_query_without_completed_read_is_refused():
    cluster = SimulatedCluster(4)
    cluster.run(20.0)
    job = cluster.submit(plays=2, expected_s=100.0, **UNIFORM_JOB)
    cluster.run(5.0)
    cluster.state.set_down(True)
    late = _ask(cluster, "n0", "GET", f"/work/{job}")
    cluster.run(3.0)
    assert late[0][0] == 503
