"""Calls on the records of jobs: read one, and end some on the revisions that were read.

A job ends once: by its user, with a job that it depends on, or with its last task, and these may meet on three nodes.
So an end is written only on the revision of the record that its writer has read, and where that fails, or nobody
knows whether it was written, the record is read again instead of guessed.
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
from tealhook.state_store.client import CALL_TIMEOUT_S
from tealhook.wire import state as state_wire

MAX_QUEUED_S = 1.0  # a call that has waited so long for request tokens is given up

# Called with the outcome of a read, the record (None also where it is malformed), and its revision.
OnRecord = Callable[[ReadOutcome, JobRecord | None, int], Any]


def build_end_write(job: str, record: JobRecord, mod_revision: int) -> tuple[dict[str, int], state_wire.Put]:
    """Return the condition and the operation that end a job's record, if it still is of the revision that was read."""
    key = job_key(job)
    return {key: mod_revision}, state_wire.put(key, msgspec.to_builtins(record))


class JobRecordStore:
    """Reads and ends job records in the state service; the job index takes over the results."""

    def __init__(self, context: NodeContext, store: StateClient, job_index: JobIndex) -> None:
        """Records of `store`; `job_index` takes over what is read and written."""
        self._effects = context.effects
        self._store = store
        self._job_index = job_index

    def build_ended_record(self, team: str, state: JobState) -> JobRecord:
        """Return the record of a job that ends now; its time of day says when the job's dependents are released."""
        return JobRecord(team, state, at=round(self._effects.wall(), 1))

    def fetch(
        self,
        job: str,
        done: OnRecord,
        priority: CallPriority = CallPriority.ASSIGN,
        wait: float = MAX_QUEUED_S,
        timeout: float = CALL_TIMEOUT_S,
    ) -> None:
        """Read a job's record, and leave the job index as it is."""

        def on_read(result: ReadResult) -> None:
            if result.item is None:
                done(result.outcome, None, 0)
            else:
                done(result.outcome, parse_record(result.item.value), result.item.mod_revision)

        self._store.get(job_key(job), on_read, priority, wait, timeout)

    def read(
        self,
        job: str,
        done: OnRecord,
        priority: CallPriority = CallPriority.ASSIGN,
        wait: float = MAX_QUEUED_S,
        timeout: float = CALL_TIMEOUT_S,
    ) -> None:
        """Read a job's record into the job index, then call `done` with it."""

        def on_record(outcome: ReadOutcome, record: JobRecord | None, mod_revision: int) -> None:
            if record is not None:
                self._job_index.apply_record(job, record, mod_revision)
            done(outcome, record, mod_revision)

        self.fetch(job, on_record, priority, wait, timeout)

    def end(
        self,
        ends: dict[str, tuple[JobRecord, int]],
        done: Callable[[TransactionOutcome, list[str]], Any],
        wait: float = MAX_QUEUED_S,
        timeout: float = CALL_TIMEOUT_S,
    ) -> None:
        """End several jobs at once, all or none, each on the revision of its record that was read.

        `done` is called with the outcome and the jobs whose records have to be read before anything is answered or
        done about them: another end came first, or nobody knows whether ours was written. When it is called after a
        success, the job index has taken the ends over.
        """
        conditions: dict[str, int] = {}
        operations: list[state_wire.Operation] = []
        for job, (record, mod_revision) in ends.items():
            condition, operation = build_end_write(job, record, mod_revision)
            conditions |= condition
            operations.append(operation)

        def on_result(result: TransactionResult) -> None:
            if result.outcome is TransactionOutcome.COMMITTED:
                for job, (record, _mod_revision) in ends.items():
                    self._job_index.apply_record(job, record, result.revision)
                done(result.outcome, [])
            elif result.outcome is TransactionOutcome.UNKNOWN:
                done(result.outcome, list(ends))
            else:
                done(result.outcome, [job for job in ends if job_key(job) in result.failed_keys])

        self._store.transact(conditions, operations, CallPriority.ADMIT, on_result, wait, timeout)
