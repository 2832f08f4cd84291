"""Requests of users at critical moments: bursts, races with completions, streams, invalid requests."""

from __future__ import annotations

import json

import pytest

from tests import user_requests
from tests.infrastructure_faults import assert_all_finished
from tests.simulated_cluster import RuleViolationError, SimulatedCluster
from tests.test_guards import _answer_polls_from_index
from tests.user_requests import UNCONSTRAINED_JOB

SEEDS = range(3)


# -- bursts of requests


def _request_bursts(seed: int) -> SimulatedCluster:
    cluster = SimulatedCluster(seed, cpu_limit=48.0)
    cluster.request_burst_share = 1.0
    cluster.network.max_delay_s = 0.01 if seed % 2 else 0.15
    cluster.run(15.0)
    for i in range(14):
        cluster.call_later(2.0 * i, lambda: cluster.submit(plays=2, vcpus=1.0, expected_s=3.0, **UNCONSTRAINED_JOB))
    cluster.call_later(3.0, lambda: [cluster.cancel(job_id) for job_id in list(cluster.jobs)[:1]])
    cluster.run(110.0)
    return cluster


@pytest.mark.parametrize("seed", SEEDS)
def test_concurrent_requests_never_get_older_answers(seed):
    cluster = _request_bursts(seed)
    assert_all_finished(cluster)
    for occasion in ("accepted", "ended", "done", "cancelled", "with a cancellation"):
        event = "request burst with a cancellation" if occasion.startswith("with") else f"request burst: {occasion}"
        assert cluster.event_counts[event] > 0, event
    assert cluster.event_counts["request burst: accepted"] == 14


def test_answering_polls_from_index_violates_status_order(monkeypatch):
    _answer_polls_from_index(monkeypatch)
    with pytest.raises(RuleViolationError, match="went_back"):
        for seed in SEEDS:
            _request_bursts(seed)


# -- requests that race the completion of a job's last task


def _completion_races(seed: int, kind: str) -> SimulatedCluster:
    cluster = SimulatedCluster(seed, cpu_limit=48.0)
    cluster.run(15.0)
    cluster.completion_race_share, cluster.racing_requests = 1.0, (kind,)
    for i in range(30):
        cluster.call_later(
            0.7 * i, lambda: cluster.submit(plays=1 + seed % 2, vcpus=1.0, expected_s=2.0, **UNCONSTRAINED_JOB)
        )
    cluster.run(70.0)
    return cluster


@pytest.mark.parametrize("kind", ["cancel", "query", "resubmit"])
@pytest.mark.parametrize("seed", SEEDS)
def test_requests_racing_completion_of_last_task_get_consistent_answers(seed, kind):
    cluster = _completion_races(seed, kind)
    assert_all_finished(cluster)
    assert cluster.event_counts[f"{kind} at the end"] >= 25
    final_statuses = [job.final_status for job in cluster.jobs.values()]
    if kind == "cancel":
        assert "cancelled" in final_statuses and "done" in final_statuses
    else:
        assert set(final_statuses) == {"done"}
    assert cluster.late_starts == []


# -- a stream of four single-task jobs per second


@pytest.mark.parametrize("seed", [0, 1])
def test_stream_of_single_task_jobs_finishes_on_small_write_budget(seed):
    cluster = SimulatedCluster(seed, write_rps=30.0, cpu_limit=48.0)
    cluster.cloud.capacity_per_pool = 4
    cluster.run(20.0)
    job_ids = user_requests.submit_stream(cluster, 120.0)
    cluster.run(150.0)
    assert_all_finished(cluster)
    assert len(job_ids) == cluster.event_counts["job of a stream"] == 480
    assert 80 < cluster.event_counts["cancelled job of a stream"] < 160
    assert set(cluster.controllers) == set(cluster.node_names) and max(cluster.incarnations.values()) == len(
        cluster.node_names
    )
    answer_times_s = sorted(cluster.jobs[job_id].answered_at - cluster.jobs[job_id].submitted_at for job_id in job_ids)
    assert answer_times_s[len(answer_times_s) * 9 // 10] < 1.0 and answer_times_s[-1] < 10.0
    assert max(cluster.jobs[job_id].longest_unanswered_s for job_id in job_ids) < 20.0


# -- invalid and other unusual requests


def test_edge_case_requests_are_answered_as_specified():
    cluster = SimulatedCluster(6, cpu_limit=48.0)
    cluster.run(15.0)
    for i in range(8):
        cluster.call_later(2.0 * i, lambda: cluster.submit(plays=2, vcpus=1.0, expected_s=6.0, **UNCONSTRAINED_JOB))
    cluster.call_later(5.0, lambda: user_requests.send_edge_case_requests(cluster, 150, 40.0))
    cluster.run(80.0)
    assert_all_finished(cluster)
    for event in (
        "refused as 400",
        "refused as 422",
        "unknown id",
        "unfinished job resubmitted",
        "cancellation of a done job",
    ):
        assert cluster.event_counts[event] >= 10, event
    assert {job.final_status for job in cluster.jobs.values()} == {"done"}


NULLABLE_FIELDS = {"rigs", "yard", "due_s"}


@pytest.mark.parametrize("field", sorted(SimulatedCluster(0).random_spec("req-000000").keys() - NULLABLE_FIELDS))
@pytest.mark.parametrize("is_null", [False, True], ids=["absent", "null"])
def test_submission_with_missing_field_is_rejected(field, is_null):
    """By the protocol only fields that may be null may be omitted."""
    cluster = SimulatedCluster(7, nodes=1)
    cluster.run(10.0)
    spec = cluster.random_spec("req-lacking")
    assert field in spec
    if is_null:
        spec[field] = None
    else:
        del spec[field]
    statuses = []
    cluster.send_request(
        "POST", "/work", json.dumps(spec).encode(), lambda status, data, _sent_at: statuses.append(status)
    )
    cluster.run(5.0)
    assert statuses == [400]
