"""Read index: calls to the state service grow with time, not with the number of queries."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tealhook.state_store import ReadIndex
from tests.simulated_cluster import RuleViolationError, SimulatedCluster
from tests.simulation.requests import is_job_read, make_request
from tests.test_guards import SEEDS, lossy_run
from tests.user_requests import UNIFORM_JOB

STORM_S = 10.0


def _settled(seed: int, nodes: int = 1) -> tuple[SimulatedCluster, str]:
    """A cluster with one long job that is accepted."""
    cluster = SimulatedCluster(seed, nodes=nodes)
    cluster.run(20.0)
    job = cluster.submit(plays=2, expected_s=200.0, **UNIFORM_JOB)
    cluster.run(10.0)
    assert cluster.jobs[job].accepted
    return cluster, job


def _count_reads(cluster: SimulatedCluster, carry_out: Callable[[int], bool] = lambda _number: True) -> list[float]:
    """When each read of job records was sent; those that are not carried out get no answer."""
    sent: list[float] = []
    whole = cluster.state.handle

    def handle(node, method, target, body, answer):
        if is_job_read(target):
            sent.append(cluster.now)
            if not carry_out(len(sent)):
                return
        whole(node, method, target, body, answer)

    cluster.state.handle = handle
    return sent


def _ask(cluster: SimulatedCluster, job: str, node: str = "n0") -> list[tuple[float, int]]:
    """Ask one node about a job; when it answered, and how, once it has."""
    answers: list[tuple[float, int]] = []
    cluster.controllers[node].on_request(
        make_request("GET", f"/work/{job}", b""),
        lambda status, data=b"{}", after=None: answers.append((cluster.now, status)),
    )
    return answers


def _query_storm(cluster: SimulatedCluster, job: str, queries: int) -> list[list[tuple[float, int]]]:
    """So many queries within `STORM_S`, half of them for a job that nobody submitted."""
    asked: list[list[tuple[float, int]]] = []
    for i in range(queries):
        name = job if i % 2 else f"req-none-{i}"
        cluster.call_later(i * STORM_S / queries, lambda name=name: asked.append(_ask(cluster, name)))
    cluster.run(STORM_S + 2.0)
    return asked


@pytest.mark.parametrize("queries", [200, 2000])
def test_read_cost_is_independent_of_query_rate(queries):
    cluster, job = _settled(71)
    reads = _count_reads(cluster)
    asked = _query_storm(cluster, job, queries)
    assert [answers[0][1] for answers in asked] == [404, 200] * (queries // 2)
    params = cluster.settings.params.state
    assert len(reads) <= 0.2 * params.rps * (STORM_S + 1.0)  # a fifth of one node's share of the budget


def test_unanswered_read_does_not_block_others():
    cluster, job = _settled(72)
    reads = _count_reads(cluster, carry_out=lambda number: number != 1)
    lost = _ask(cluster, job)
    cluster.run(0.01)
    next_ = _ask(cluster, job)
    asked_at = cluster.now
    cluster.run(1.0)
    assert len(reads) == 2 and lost == []
    assert next_[0][1] == 200 and next_[0][0] - asked_at < 0.6
    cluster.run(2.0)
    assert lost[0][1] == 503  # at last, and then the user asks again


@pytest.mark.parametrize("seed", range(73, 79))
def test_answer_buffered_during_suspension_is_discarded(seed):
    """Whether its sockets or its timers come first when it goes on."""
    cluster, job = _settled(seed)
    whole = cluster.state.handle

    def handle(node, method, target, body, answer):
        if is_job_read(target):
            whole(
                node, method, target, body, lambda status, data: cluster.call_later(30.0, lambda: answer(status, data))
            )
        else:
            whole(node, method, target, body, answer)

    cluster.state.handle = handle
    answers = _ask(cluster, job)
    cluster.run(0.2)
    cluster.state.handle = whole
    cluster.suspend("n0", 40.0)
    cluster.run(45.0)
    assert [status for _, status in answers] == [503]


def _answer_from_stale_view(patch):
    patch.setattr(ReadIndex, "read", lambda self, on_done: on_done(True))


def test_answering_without_read_index_violates_consistency(monkeypatch):
    """Guards against a node that answers older than another one has: its view of all records lags."""
    _answer_from_stale_view(monkeypatch)
    with pytest.raises(RuleViolationError, match="went_back|forgotten|invented"):
        for seed in SEEDS:
            lossy_run(seed)
