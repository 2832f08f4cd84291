"""Read index: the number of requests to the state store depends on time, not on the number of queries."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tealhook.state_store import ReadIndex
from tests.simulated_cluster import RuleViolationError, SimulatedCluster
from tests.simulation.requests import is_job_read, make_request
from tests.test_guards import SEEDS, lossy_run
from tests.user_requests import UNIFORM_JOB

BURST_S = 10.0


def _cluster_with_job(seed: int, nodes: int = 1) -> tuple[SimulatedCluster, str]:
    """Return a cluster with one long-running job, which is accepted, and its id."""
    cluster = SimulatedCluster(seed, nodes=nodes)
    cluster.run(20.0)
    job = cluster.submit(plays=2, expected_s=200.0, **UNIFORM_JOB)
    cluster.run(10.0)
    assert cluster.jobs[job].accepted
    return cluster, job


def _record_job_reads(
    cluster: SimulatedCluster, is_executed: Callable[[int], bool] = lambda _number: True
) -> list[float]:
    """Return a list that collects the times of reads of job records; those not executed get no answer."""
    sent_times: list[float] = []
    original_handle = cluster.state.handle

    def handle(node, method, target, body, answer):
        if is_job_read(target):
            sent_times.append(cluster.now)
            if not is_executed(len(sent_times)):
                return
        original_handle(node, method, target, body, answer)

    cluster.state.handle = handle
    return sent_times


def _query(cluster: SimulatedCluster, job: str, node: str = "n0") -> list[tuple[float, int]]:
    """Query a job at one node; return a list to which the time and status of the answer are added."""
    answers: list[tuple[float, int]] = []
    cluster.controllers[node].on_request(
        make_request("GET", f"/work/{job}", b""),
        lambda status, data=b"{}", after=None: answers.append((cluster.now, status)),
    )
    return answers


def _query_burst(cluster: SimulatedCluster, job: str, queries: int) -> list[list[tuple[float, int]]]:
    """Send `queries` queries within `BURST_S`, half of them for jobs that do not exist, and return their answers."""
    answers_by_query: list[list[tuple[float, int]]] = []
    for i in range(queries):
        name = job if i % 2 else f"req-none-{i}"
        cluster.call_later(i * BURST_S / queries, lambda name=name: answers_by_query.append(_query(cluster, name)))
    cluster.run(BURST_S + 2.0)
    return answers_by_query


@pytest.mark.parametrize("queries", [200, 2000])
def test_read_cost_is_independent_of_query_rate(queries):
    cluster, job = _cluster_with_job(71)
    reads = _record_job_reads(cluster)
    answers_by_query = _query_burst(cluster, job, queries)
    assert [answers[0][1] for answers in answers_by_query] == [404, 200] * (queries // 2)
    params = cluster.settings.params.state
    assert len(reads) <= 0.2 * params.rps * (BURST_S + 1.0)  # a fifth of one node's share of the rate limit


def test_unanswered_read_does_not_block_others():
    cluster, job = _cluster_with_job(72)
    reads = _record_job_reads(cluster, is_executed=lambda number: number != 1)
    lost_answers = _query(cluster, job)
    cluster.run(0.01)
    next_answers = _query(cluster, job)
    asked_at = cluster.now
    cluster.run(1.0)
    assert len(reads) == 2 and lost_answers == []
    assert next_answers[0][1] == 200 and next_answers[0][0] - asked_at < 0.6
    cluster.run(2.0)
    assert lost_answers[0][1] == 503  # after the timeout; the client may retry


@pytest.mark.parametrize("seed", range(73, 79))
def test_answer_buffered_during_suspension_is_discarded(seed):
    """A resumed node must not use an answer from before its suspension, whether it handles sockets or timers first."""
    cluster, job = _cluster_with_job(seed)
    original_handle = cluster.state.handle

    def handle(node, method, target, body, answer):
        if is_job_read(target):
            original_handle(
                node, method, target, body, lambda status, data: cluster.call_later(30.0, lambda: answer(status, data))
            )
        else:
            original_handle(node, method, target, body, answer)

    cluster.state.handle = handle
    answers = _query(cluster, job)
    cluster.run(0.2)
    cluster.state.handle = original_handle
    cluster.suspend("n0", 40.0)
    cluster.run(45.0)
    assert [status for _, status in answers] == [503]


def _disable_read_index(patch):
    patch.setattr(ReadIndex, "read", lambda self, on_done: on_done(True))


def test_answering_without_read_index_violates_consistency(monkeypatch):
    """Without the read index, a node whose view lags contradicts the earlier answer of another node."""
    _disable_read_index(monkeypatch)
    with pytest.raises(RuleViolationError, match="went_back|forgotten|invented"):
        for seed in SEEDS:
            lossy_run(seed)
