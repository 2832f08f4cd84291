"""Job records: ends are conditional on the revision that was read, and are read back if their outcome is unknown."""

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
from tests.test_records import MAX_CHUNK_BYTES, make_job, stage_tasks
from tests.user_requests import UNIFORM_JOB

DONE_RECORD = {"t": "team", "st": "done", "at": 7.5}


class _Store:
    """A state client that records calls, which the test answers."""

    def __init__(self) -> None:
        self.calls: list[tuple] = []

    def get(self, key, on_done, priority, queue_timeout_s, answer_timeout_s) -> None:
        self.calls.append((key, priority, queue_timeout_s, answer_timeout_s))
        self.answer = on_done

    def transact(self, conditions, operations, priority, on_done, queue_timeout_s, answer_timeout_s) -> None:
        self.calls.append((conditions, operations, priority, queue_timeout_s, answer_timeout_s))
        self.answer = on_done


class _Index:
    """A job index that records the updates it receives."""

    def __init__(self) -> None:
        self.updates: list[tuple] = []
        self.view_number = 1

    def apply_record(self, job, record, mod_revision) -> None:
        self.updates.append((job, record, mod_revision))


class _Clock:
    """A clock that always shows the same time."""

    def wall(self) -> float:
        return 1234.5678


def _record_store() -> tuple[JobRecordStore, _Store, _Index]:
    store, index = _Store(), _Index()
    return JobRecordStore(make_context(_Clock()), store, index), store, index


def test_job_end_is_conditional_on_read_revision():
    """Guards against a job that ends twice: by its user, with its last task, or with a cancelled dependency."""
    records, _store, _index = _record_store()
    condition, change = build_end_write("req-1", records.build_ended_record("team", JobState.DONE), 41)
    assert condition == {"job/req-1": 41}
    assert msgspec.to_builtins(change) == {"write": "job/req-1", "v": {"t": "team", "st": "done", "at": 1234.6}}
    assert list(change.value) == ["t", "st", "at"]  # the stored order of the fields does not change


def _end_jobs() -> tuple[_Store, _Index, list]:
    records, store, index = _record_store()
    results: list[tuple] = []
    ends = {
        job: (records.build_ended_record("team", JobState.CANCELLED), mod_revision)
        for job, mod_revision in (("a", 3), ("b", 9))
    }
    records.end_jobs(
        ends, lambda outcome, uncertain: results.append((outcome, uncertain, len(index.updates))), 0.5, 1.5
    )
    return store, index, results


def test_job_ends_share_one_transaction_indexed_before_callbacks():
    store, index, results = _end_jobs()
    ended_record = {"t": "team", "st": "cancelled", "at": 1234.6}
    assert store.calls == [
        (
            {"job/a": 3, "job/b": 9},
            [state_wire.Put("job/a", ended_record), state_wire.Put("job/b", ended_record)],
            CallPriority.ADMIT,
            0.5,
            1.5,
        )
    ]
    store.answer(TransactionResult(TransactionOutcome.COMMITTED, revision=12))
    assert results == [(TransactionOutcome.COMMITTED, [], 2)]
    assert [(job, record.status, mod_revision) for job, record, mod_revision in index.updates] == [
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
    """Guards against reporting a job as cancelled that is not, or the other way round."""
    store, index, results = _end_jobs()
    store.answer(TransactionResult(outcome, failed_keys=failed))
    assert results == [(outcome, uncertain, 0)] and index.updates == []


def test_read_updates_index_before_callback_and_fetch_does_not():
    records, store, index = _record_store()
    results: list[tuple] = []
    record = JobRecord("team", JobState.DONE, status_since=7.5)
    records.read_into_index(
        "a", lambda *result: results.append((*result, len(index.updates))), CallPriority.ADMIT, 0.5, 1.5
    )
    assert store.calls == [("job/a", CallPriority.ADMIT, 0.5, 1.5)]
    store.answer(ReadResult(ReadOutcome.FOUND, KeyValue("job/a", DONE_RECORD, 8)))
    assert results == [(ReadOutcome.FOUND, record, 8, 1)] and index.updates == [("a", record, 8)]
    records.fetch("a", lambda *result: results.append(result))
    store.answer(ReadResult(ReadOutcome.FOUND, KeyValue("job/a", DONE_RECORD, 9)))
    assert results[1:] == [(ReadOutcome.FOUND, record, 9)] and len(index.updates) == 1


@pytest.mark.parametrize(
    ("outcome", "item"),
    [
        (ReadOutcome.ABSENT, None),
        (ReadOutcome.UNKNOWN, None),
        (ReadOutcome.FOUND, KeyValue("job/a", {"st": ["no", "record"]}, 8)),
    ],
)
def test_missing_record_does_not_update_index(outcome, item):
    records, store, index = _record_store()
    results: list[tuple] = []
    records.read_into_index("a", lambda found, record, _mod_revision: results.append((found, record)))
    store.answer(ReadResult(outcome, item))
    assert results == [(outcome, None)] and index.updates == []


def test_submission_is_serialized_once(monkeypatch):
    """The encoded submission whose size was checked is the one that is written."""
    cluster = SimulatedCluster(1)
    cluster.run(20.0)
    encoded: list = []
    original = submissions.encode_submission
    monkeypatch.setattr(submissions, "encode_submission", lambda *args: encoded.append(original(*args)) or encoded[-1])
    job = cluster.submit(plays=2, expected_s=100.0, **UNIFORM_JOB)
    cluster.run(2.0)
    assert cluster.jobs[job].accepted
    written = [write for submission in encoded for write in submission.writes]
    assert [key for key, _value in written] == [f"job/{job}"]
    assert cluster.state.rows[f"job/{job}"][0] == json.loads(encode_json(written[0].value))


def test_first_chunk_is_encoded_once_when_nothing_is_staged(monkeypatch):
    job = make_job(200)
    stage_tasks(job, range(100), 0)
    job.attempts, job.staged = job.staged, {}
    for attempt in job.attempts.values():
        attempt.chunk = 0
    encoded_chunks: list[int] = []
    original = Job.encode

    def encode(self, chunk, attempts, max_bytes):
        encoded_chunks.append(chunk)
        return original(self, chunk, attempts, max_bytes)

    monkeypatch.setattr(Job, "encode", encode)
    written = job.lay_out_chunks(MAX_CHUNK_BYTES, 7)
    assert encoded_chunks == [0]
    assert written == {0: original(job, 0, job.attempts_by_chunk()[0], MAX_CHUNK_BYTES)}
