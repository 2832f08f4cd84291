"""Calls on the records of jobs: read one, and end some on the versions that were read.

A job ends once: by its user, with a job that it needs, or with its last task, and these may meet on three nodes. So
an end is written only on the version of the record that its writer has seen, and where that fails, or nobody knows
whether it was written, the record is read again instead of guessed.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from tealhook.context import NodeContext
from tealhook.jobs.index import JobIndex, JobRecord, job_key, parse_record
from tealhook.state_store import CallPriority, Outcome, ReadOutcome, ReadResult, StateClient, TransactionResult
from tealhook.state_store.client import CALL_TIMEOUT_S
from tealhook.wire import state as state_wire

MOST_WAIT_S = 1.0  # for tokens

# Told of a read: its outcome, the record (None also where it is malformed), and its revision.
OnRecord = Callable[[ReadOutcome, JobRecord | None, int], Any]


def ending(job: str, record: JobRecord, version: int) -> tuple[dict[str, int], state_wire.Put]:
    """The condition and the change that end a job's record, if it still is of the version that was read."""
    key = job_key(job)
    return {key: version}, state_wire.put(key, msgspec.to_builtins(record))


class JobRecords:
    """Reads and ends job records; the index of jobs learns what comes of it."""

    def __init__(self, context: NodeContext, store: StateClient, job_index: JobIndex) -> None:
        """Records of `store`, of which `book` is told."""
        self._effects = context.effects
        self._store = store
        self._job_index = job_index

    def ended(self, team: str, status: str) -> JobRecord:
        """The record of a job that ends now: when is told to whoever looks after the jobs that waited for it."""
        return JobRecord(team, status, at=round(self._effects.wall(), 1))

    def fetch(
        self,
        job: str,
        done: OnRecord,
        priority: CallPriority = CallPriority.ASSIGN,
        wait: float = MOST_WAIT_S,
        timeout: float = CALL_TIMEOUT_S,
    ) -> None:
        """Read a job's record, and leave the index of jobs as it is."""

        def answered(result: ReadResult) -> None:
            if result.item is None:
                done(result.outcome, None, 0)
            else:
                done(result.outcome, parse_record(result.item.value), result.item.mod_revision)

        self._store.get(job_key(job), answered, priority, wait, timeout)

    def read(
        self,
        job: str,
        done: OnRecord,
        priority: CallPriority = CallPriority.ASSIGN,
        wait: float = MOST_WAIT_S,
        timeout: float = CALL_TIMEOUT_S,
    ) -> None:
        """Read a job's record into the index of jobs, then tell `done` of it."""

        def fetched(kind: ReadOutcome, record: JobRecord | None, version: int) -> None:
            if record is not None:
                self._job_index.apply_record(job, record, version)
            done(kind, record, version)

        self.fetch(job, fetched, priority, wait, timeout)

    def end(
        self,
        ends: dict[str, tuple[JobRecord, int]],
        done: Callable[[Outcome, list[str]], Any],
        wait: float = MOST_WAIT_S,
        timeout: float = CALL_TIMEOUT_S,
    ) -> None:
        """End several jobs at once, all or none, each on the version of its record that was read.

        `done` is told of the outcome and of the jobs whose records have to be read before anything is said or done
        about them: another end came first, or nobody knows whether ours was written. Once it is, the index has it.
        """
        conditions: dict[str, int] = {}
        changes: list[state_wire.Operation] = []
        for job, (record, version) in ends.items():
            condition, change = ending(job, record, version)
            conditions |= condition
            changes.append(change)

        def written(result: TransactionResult) -> None:
            outcome = result.outcome
            if outcome is Outcome.COMMITTED:
                for job, (record, _version) in ends.items():
                    self._job_index.apply_record(job, record, result.revision)
                done(outcome, [])
            elif outcome is Outcome.UNKNOWN:
                done(outcome, list(ends))
            else:
                done(outcome, [job for job in ends if job_key(job) in result.failed_keys])

        self._store.transact(conditions, changes, CallPriority.ADMIT, written, wait, timeout)
