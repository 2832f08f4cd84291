"""Reads of job statuses for users who wait for an answer."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple

from tealhook.admission.responses import MAX_QUEUE_WAIT_S
from tealhook.context import NodeContext
from tealhook.jobs.index import JobIndex
from tealhook.jobs.job_records import JobRecord
from tealhook.jobs.record_store import JobRecordStore
from tealhook.state_store import CallPriority, ReadIndex, ReadOutcome

READ_TIMEOUT_S = 1.5  # users wait 2 s for the answer to a poll


class JobReadResult(NamedTuple):
    """The result of reading a job.

    `record` is None if the record is absent or malformed, and if the job index answered without reading the record.
    """

    outcome: ReadOutcome
    record: JobRecord | None = None
    mod_revision: int = 0


OnJobRead = Callable[[JobReadResult], Any]
OnJobsRead = Callable[[list[ReadOutcome]], Any]


def _as_record_callback(done: OnJobRead) -> Callable[[ReadOutcome, JobRecord | None, int], Any]:
    """Adapt `done` to `JobRecordStore`, which passes the parts of a result as separate arguments."""
    return lambda outcome, record, mod_revision: done(JobReadResult(outcome, record, mod_revision))


class JobReader:
    """Reader of jobs, from the job index or, if a job may be missing there, from its record."""

    def __init__(self, context: NodeContext, job_index: JobIndex, record_store: JobRecordStore) -> None:
        """Initialize a reader that refreshes `job_index` before it is used, and updates it with read records."""
        self._job_index = job_index
        self._record_store = record_store
        self._read_index = ReadIndex(context, job_index.watcher, READ_TIMEOUT_S)

    def read(self, job_id: str, done: OnJobRead) -> None:
        """Bring the job index up to date with a job, then call `done`.

        Reads at about the same time share one call that refreshes the view of all records. A single record is read
        only if that view may lack it.
        """

        def on_refreshed(is_fresh: bool) -> None:
            if not is_fresh:
                done(JobReadResult(ReadOutcome.UNKNOWN))
            elif self._job_index.status(job_id) is not None:
                done(JobReadResult(ReadOutcome.FOUND))
            elif self._job_index.knows_all_jobs():
                done(JobReadResult(ReadOutcome.ABSENT))
            else:
                self.read_record_into_index(job_id, done)

        if self._job_index.may_answer_from_view(job_id):
            self._read_index.read(on_refreshed)
        else:
            self.read_record_into_index(job_id, done)

    def read_record_into_index(self, job_id: str, done: OnJobRead) -> None:
        """Read the record of a single job, and update the job index with it."""
        self._record_store.read_into_index(
            job_id, _as_record_callback(done), CallPriority.ADMIT, MAX_QUEUE_WAIT_S, READ_TIMEOUT_S
        )

    def fetch_record(self, job_id: str, done: OnJobRead) -> None:
        """Read the record of a single job without updating the job index."""
        self._record_store.fetch(
            job_id, _as_record_callback(done), CallPriority.ADMIT, MAX_QUEUE_WAIT_S, READ_TIMEOUT_S
        )

    def read_all(self, job_ids: list[str], done: OnJobsRead) -> None:
        """Read several jobs; `done` is called once with all outcomes, in the order in which the reads ended."""
        outcomes: list[ReadOutcome] = []

        def on_job_read(job_id: str, result: JobReadResult) -> None:
            if self.newest_status(job_id, result) is not None:
                outcomes.append(ReadOutcome.FOUND)
            elif result.outcome is ReadOutcome.ABSENT:
                outcomes.append(ReadOutcome.ABSENT)
            else:
                outcomes.append(ReadOutcome.UNKNOWN)
            if len(outcomes) == len(job_ids):
                done(outcomes)

        for job_id in job_ids:
            self.read(job_id, partial(on_job_read, job_id))

    def newest_status(self, job_id: str, result: JobReadResult) -> str | None:
        """Return the status from the job index, which may be newer than the read, or else from the read.

        Another node may already have reported to the user that the job is accepted or has ended, and an answer must not
        contradict this. Return None if the read failed, since the job index may be stale then.
        """
        if result.outcome is ReadOutcome.UNKNOWN:
            return None
        status = self._job_index.status(job_id)
        if status is not None:
            return status
        return result.record.status if result.record is not None else None
