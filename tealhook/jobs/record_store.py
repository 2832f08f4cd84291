"""Reads of job records, and conditional writes that end jobs.

A job ends exactly once: when its user cancels it, when a job it depends on is cancelled, or with its last task. Three
nodes may attempt these at the same time. So an end is written on the condition that the record still has the revision
that the writer has read. If the condition fails or the outcome is unknown, the record is read again.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from tealhook.context import NodeContext
from tealhook.jobs.index import JobIndex
from tealhook.jobs.job_records import JobRecord, JobState, job_key, parse_record
from tealhook.state_store import (
    CallPriority,
    ReadOutcome,
    ReadResult,
    StateClient,
    TransactionOutcome,
    TransactionResult,
)
from tealhook.state_store.client import STATE_CALL_TIMEOUT_S
from tealhook.wire import state as state_wire

QUEUE_TIMEOUT_S = 1.0  # a call gives up after waiting this long for the rate limit

# Called with the outcome of a read, the record (None if it is absent or malformed), and its revision.
OnRecord = Callable[[ReadOutcome, JobRecord | None, int], Any]


def build_end_write(job_id: str, record: JobRecord, mod_revision: int) -> tuple[dict[str, int], state_wire.Put]:
    """Return the condition and the operation that write the end of a job over revision `mod_revision` of its record."""
    key = job_key(job_id)
    return {key: mod_revision}, state_wire.put(key, msgspec.to_builtins(record))


class JobRecordStore:
    """Access to the job records in the state store, to read and to end jobs."""

    def __init__(self, context: NodeContext, store: StateClient, job_index: JobIndex) -> None:
        """Initialize access to the records in `store`; `job_index` is updated with what is read and written."""
        self._effects = context.effects
        self._store = store
        self._job_index = job_index

    def build_ended_record(self, team: str, state: JobState) -> JobRecord:
        """Return the final record of a job that ends now; if it is done, its dependents are released at this time."""
        return JobRecord(team, state, status_since=round(self._effects.wall(), 1))

    def fetch(
        self,
        job_id: str,
        done: OnRecord,
        priority: CallPriority = CallPriority.ASSIGN,
        queue_timeout_s: float = QUEUE_TIMEOUT_S,
        answer_timeout_s: float = STATE_CALL_TIMEOUT_S,
    ) -> None:
        """Read a job's record without updating the job index.

        An active job is read again if the job index began to read the records anew meanwhile: the index may have missed
        the end of the job.
        """
        view_number = self._job_index.view_number

        def on_read(result: ReadResult) -> None:
            if result.item is None:
                done(result.outcome, None, 0)
                return
            record = parse_record(result.item.value)
            is_active = record is not None and record.status == JobState.ACTIVE
            if is_active and view_number != self._job_index.view_number:
                self.fetch(job_id, done, priority, queue_timeout_s, answer_timeout_s)
            else:
                done(result.outcome, record, result.item.mod_revision)

        self._store.get(job_key(job_id), on_read, priority, queue_timeout_s, answer_timeout_s)

    def read_into_index(
        self,
        job_id: str,
        done: OnRecord,
        priority: CallPriority = CallPriority.ASSIGN,
        queue_timeout_s: float = QUEUE_TIMEOUT_S,
        answer_timeout_s: float = STATE_CALL_TIMEOUT_S,
    ) -> None:
        """Read a job's record, update the job index with it, then call `done`."""

        def on_record(outcome: ReadOutcome, record: JobRecord | None, mod_revision: int) -> None:
            if record is not None:
                self._job_index.apply_record(job_id, record, mod_revision)
            done(outcome, record, mod_revision)

        self.fetch(job_id, on_record, priority, queue_timeout_s, answer_timeout_s)

    def end_jobs(
        self,
        ends: dict[str, tuple[JobRecord, int]],
        done: Callable[[TransactionOutcome, list[str]], Any],
        queue_timeout_s: float = QUEUE_TIMEOUT_S,
        answer_timeout_s: float = STATE_CALL_TIMEOUT_S,
    ) -> None:
        """End several jobs in one transaction, provided that each record still has the revision that was read.

        `ends` has the final record and the revision that was read for each job id. `done` is called with the outcome
        and the ids of the jobs whose records have to be read again before anything is decided about them: another end
        came first, or it is unknown whether this one was written. After a success, the job index has been updated
        before the call.
        """
        conditions: dict[str, int] = {}
        operations: list[state_wire.Operation] = []
        for job_id, (record, mod_revision) in ends.items():
            condition, operation = build_end_write(job_id, record, mod_revision)
            conditions |= condition
            operations.append(operation)

        def on_result(result: TransactionResult) -> None:
            if result.outcome is TransactionOutcome.COMMITTED:
                for job_id, (record, _mod_revision) in ends.items():
                    self._job_index.apply_record(job_id, record, result.revision)
                done(result.outcome, [])
            elif result.outcome is TransactionOutcome.UNKNOWN:
                done(result.outcome, list(ends))
            else:
                done(result.outcome, [job_id for job_id in ends if job_key(job_id) in result.failed_keys])

        self._store.transact(conditions, operations, CallPriority.ADMIT, on_result, queue_timeout_s, answer_timeout_s)
