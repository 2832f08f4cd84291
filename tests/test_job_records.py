"""Ends of jobs: conditional on the revision that was read, and read back where the outcome is uncertain."""

import json

import msgspec
import pytest

from tealhook.admission import submissions
from tealhook.jobs.job import Job
from tealhook.jobs.job_records import JobRecord, JobState
from tealhook.jobs.record_store import JobRecordStore, build_end_write
from tealhook.state_store import CallPriority, ReadOutcome, ReadResult, TransactionOutcome, TransactionResult
from tealhook.wire import state as state_wire
from tealhook.wire.common import encode_json
from tealhook.wire.state import KeyValue
from tests.simulated_cluster import SimulatedCluster
from tests.simulation.context import make_context
from tests.test_records import LIMIT, _job, _stage
from tests.user_requests import UNIFORM_JOB

ROW = {"t": "team", "st": "done", "at": 7.5}


class _Store:
    """Takes calls down; the test answers them."""

    def __init__(self) -> None:
        self.calls: list[tuple] = []

    def get(self, key, done, priority, wait, timeout) -> None:
        self.calls.append((key, priority, wait, timeout))
        self.answer = done

    def transact(self, when, apply, priority, done, wait, timeout) -> None:
        self.calls.append((when, apply, priority, wait, timeout))
        self.answer = done


class _Index:
    """Takes down what it learns."""

    def __init__(self) -> None:
        self.learned: list[tuple] = []

    def apply_record(self, job, record, version) -> None:
        self.learned.append((job, record, version))


class _Clock:
    """Always shows the same time."""

    def wall(self) -> float:
        return 1234.5678


def _records() -> tuple[JobRecordStore, _Store, _Index]:
    store, index = _Store(), _Index()
    return JobRecordStore(make_context(_Clock()), store, index), store, index


def test_job_end_is_conditional_on_read_revision():
    """Guards against two ends of one job: of its user, of its last task, of a job that it needs."""
    records, _store, _index = _records()
    condition, change = build_end_write("req-1", records.build_ended_record("team", JobState.DONE), 41)
    assert condition == {"job/req-1": 41}
    assert msgspec.to_builtins(change) == {"write": "job/req-1", "v": {"t": "team", "st": "done", "at": 1234.6}}
    assert list(change.value) == ["t", "st", "at"]  # as ever: what has been written stays alike


def _end() -> tuple[_Store, _Index, list]:
    records, store, index = _records()
    told: list[tuple] = []
    ends = {
        job: (records.build_ended_record("team", JobState.CANCELLED), version) for job, version in (("a", 3), ("b", 9))
    }
    records.end(ends, lambda outcome, uncertain: told.append((outcome, uncertain, len(index.learned))), 0.5, 1.5)
    return store, index, told


def test_job_ends_share_one_transaction_indexed_before_callbacks():
    store, index, told = _end()
    after = {"t": "team", "st": "cancelled", "at": 1234.6}
    assert store.calls == [
        (
            {"job/a": 3, "job/b": 9},
            [state_wire.Put("job/a", after), state_wire.Put("job/b", after)],
            CallPriority.ADMIT,
            0.5,
            1.5,
        )
    ]
    store.answer(TransactionResult(TransactionOutcome.COMMITTED, revision=12))
    assert told == [(TransactionOutcome.COMMITTED, [], 2)]
    assert [(job, record.status, version) for job, record, version in index.learned] == [
        ("a", JobState.CANCELLED, 12),
        ("b", JobState.CANCELLED, 12),
    ]


@pytest.mark.parametrize(
    ("outcome", "failed", "uncertain"),
    [
        (TransactionOutcome.UNKNOWN, [], ["a", "b"]),
        (TransactionOutcome.CONFLICTED, ["job/b"], ["b"]),
        (TransactionOutcome.REFUSED, [], []),
        (TransactionOutcome.REJECTED, [], []),
    ],
)
def test_uncertain_job_end_requires_read_back(outcome, failed, uncertain):
    """Guards against telling that a job is cancelled which is not, or the other way round."""
    store, index, told = _end()
    store.answer(TransactionResult(outcome, failed_keys=failed))
    assert told == [(outcome, uncertain, 0)] and index.learned == []


def test_read_updates_index_before_callback_and_fetch_does_not():
    records, store, index = _records()
    told: list[tuple] = []
    record = JobRecord("team", JobState.DONE, at=7.5)
    records.read("a", lambda *what: told.append((*what, len(index.learned))), CallPriority.ADMIT, 0.5, 1.5)
    assert store.calls == [("job/a", CallPriority.ADMIT, 0.5, 1.5)]
    store.answer(ReadResult(ReadOutcome.FOUND, KeyValue("job/a", ROW, 8)))
    assert told == [(ReadOutcome.FOUND, record, 8, 1)] and index.learned == [("a", record, 8)]
    records.fetch("a", lambda *what: told.append(what))
    store.answer(ReadResult(ReadOutcome.FOUND, KeyValue("job/a", ROW, 9)))
    assert told[1:] == [(ReadOutcome.FOUND, record, 9)] and len(index.learned) == 1


@pytest.mark.parametrize(
    ("outcome", "item"),
    [
        (ReadOutcome.ABSENT, None),
        (ReadOutcome.UNKNOWN, None),
        (ReadOutcome.FOUND, KeyValue("job/a", {"st": ["no", "record"]}, 8)),
    ],
)
def test_missing_record_does_not_update_index(outcome, item):
    records, store, index = _records()
    told: list[tuple] = []
    records.read("a", lambda found, record, _version: told.append((found, record)))
    store.answer(ReadResult(outcome, item))
    assert told == [(outcome, None)] and index.learned == []


def test_submission_is_serialized_once(monkeypatch):
    """What was judged to fit is what is written."""
    cluster = SimulatedCluster(1)
    cluster.run(20.0)
    laid_out: list = []
    whole = submissions.encode_submission
    monkeypatch.setattr(submissions, "encode_submission", lambda *args: laid_out.append(whole(*args)) or laid_out[-1])
    job = cluster.submit(plays=2, expected_s=100.0, **UNIFORM_JOB)
    cluster.run(2.0)
    assert cluster.jobs[job].accepted
    written = [write for submission in laid_out for write in submission.writes]
    assert [key for key, _value in written] == [f"job/{job}"]
    assert cluster.state.rows[f"job/{job}"][0] == json.loads(encode_json(written[0].value))


def test_first_chunk_is_encoded_once_when_nothing_is_staged(monkeypatch):
    job = _job(200)
    _stage(job, range(100), 0)
    job.attempts, job.staged = job.staged, {}
    for attempt in job.attempts.values():
        attempt.chunk = 0
    encoded: list[int] = []
    whole = Job.encode

    def encode(self, chunk, attempts, limit):
        encoded.append(chunk)
        return whole(self, chunk, attempts, limit)

    monkeypatch.setattr(Job, "encode", encode)
    written = job.lay_out(LIMIT, 7)
    assert encoded == [0]
    assert written == {0: whole(job, 0, job.attempts_by_chunk()[0], LIMIT)}
