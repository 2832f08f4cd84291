"""Linearizable reads: no answer is older than what its node knows when it answers."""

import json

import pytest

from tests.simulated_cluster import SimulatedCluster, make_request
from tests.simulation.requests import is_job_read
from tests.user_requests import UNIFORM_JOB


def _delay_read_answers(cluster: SimulatedCluster, node: str, seconds: float) -> None:
    """Delay the answers to the reads of one node; the reads themselves are executed at once."""
    original = cluster.state.handle

    def handle(sender, method, target, body, answer):
        if sender == node and is_job_read(target):
            original(
                sender,
                method,
                target,
                body,
                lambda status, data: cluster.call_later(seconds, lambda: answer(status, data)),
            )
        else:
            original(sender, method, target, body, answer)

    cluster.state.handle = handle


def _send_request(
    cluster: SimulatedCluster, node: str, method: str, target: str, body: bytes = b""
) -> list[tuple[int, dict]]:
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
    _delay_read_answers(cluster, "n0", 0.8)
    delayed = _send_request(cluster, "n0", "GET", f"/work/{job}")
    cluster.run(0.05)
    cluster.jobs[job].cancel_requested = True
    cancellation = _send_request(cluster, "n1", "POST", f"/work/{job}/abort")
    cluster.run(0.6)
    assert [status for status, _ in cancellation] == [200] and cancellation[0][1]["status"] == "cancelled"
    assert delayed == []
    cluster.run(1.0)
    assert delayed[0][0] == 200 and delayed[0][1]["status"] == "cancelled"


@pytest.mark.parametrize("request_", ["show", "abort"])
def test_read_overtaken_by_admission_is_not_404(request_):
    cluster = SimulatedCluster(3)
    cluster.run(20.0)
    _delay_read_answers(cluster, "n0", 0.8)
    job = f"req-{len(cluster.jobs):06d}"
    delayed = _send_request(
        cluster,
        "n0",
        "GET" if request_ == "show" else "POST",
        f"/work/{job}" + ("" if request_ == "show" else "/abort"),
    )
    cluster.run(0.05)
    assert cluster.submit(plays=2, expected_s=100.0, **UNIFORM_JOB) == job
    cluster.run(0.6)
    assert cluster.jobs[job].accepted and delayed == []
    cluster.run(1.0)
    assert delayed and delayed[0][0] in ((200,) if request_ == "show" else (200, 503))


def test_query_without_completed_read_is_refused():
    cluster = SimulatedCluster(4)
    cluster.run(20.0)
    job = cluster.submit(plays=2, expected_s=100.0, **UNIFORM_JOB)
    cluster.run(5.0)
    cluster.state.set_down(True)
    delayed = _send_request(cluster, "n0", "GET", f"/work/{job}")
    cluster.run(3.0)
    assert delayed[0][0] == 503
