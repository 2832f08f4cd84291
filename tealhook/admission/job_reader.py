"""Reads of jobs while their users wait for an answer."""

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

READ_TIMEOUT_S = 1.5  # a user waits 2 s for a poll's answer


class JobRead(NamedTuple):
    """A read that has ended.

    There is no record also where the job index answers in its place, and where the record can't be decoded.
    """

    outcome: ReadOutcome
    record: JobRecord | None = None
    mod_revision: int = 0


OnRead = Callable[[JobRead], Any]
OnReads = Callable[[list[ReadOutcome]], Any]


def _to_on_record(done: OnRead) -> Callable[[ReadOutcome, JobRecord | None, int], Any]:
    """Wrap `done` for `JobRecordStore`, which gives the parts of a read one by one."""
    return lambda outcome, record, mod_revision: done(JobRead(outcome, record, mod_revision))


class JobReader:
    """Reads jobs through the job index where that is complete, and by their records otherwise."""

    def __init__(self, context: NodeContext, job_index: JobIndex, records: JobRecordStore) -> None:
        """`job_index` is brought up to date before it answers, and learns what is read by `records`."""
        self._job_index = job_index
        self._records = records
        self._read_index = ReadIndex(context, job_index.watcher, READ_TIMEOUT_S)

    def read(self, job: str, done: OnRead) -> None:
        """Learn what became of a job while its user waits for an answer.

        Reads that come at about the same time share one call, which brings the view of all records up to date. A
        record is read by itself only where that view may lack it.
        """

        def refreshed(fresh: bool) -> None:
            if not fresh:
                done(JobRead(ReadOutcome.UNKNOWN))
            elif self._job_index.status(job) is not None:
                done(JobRead(ReadOutcome.FOUND))
            elif self._job_index.is_complete:
                done(JobRead(ReadOutcome.ABSENT))
            else:
                self.read_record_into_index(job, done)

        if self._job_index.is_synced:
            self._read_index.read(refreshed)
        else:
            self.read_record_into_index(job, done)

    def read_record_into_index(self, job: str, done: OnRead) -> None:
        """Read a job's record by itself; the job index learns it."""
        self._records.read_into_index(job, _to_on_record(done), CallPriority.ADMIT, MAX_QUEUE_WAIT_S, READ_TIMEOUT_S)

    def fetch_record(self, job: str, done: OnRead) -> None:
        """Read a job's record by itself, and leave the job index as it is."""
        self._records.fetch(job, _to_on_record(done), CallPriority.ADMIT, MAX_QUEUE_WAIT_S, READ_TIMEOUT_S)

    def read_all(self, jobs: list[str], done: OnReads) -> None:
        """Read several jobs; `done` is called once, with the outcome for each, when all reads have ended."""
        outcomes: list[ReadOutcome] = []

        def job_read(job: str, read: JobRead) -> None:
            if self.newest_status(job, read) is not None:
                outcomes.append(ReadOutcome.FOUND)
            elif read.outcome is ReadOutcome.ABSENT:
                outcomes.append(ReadOutcome.ABSENT)
            else:
                outcomes.append(ReadOutcome.UNKNOWN)
            if len(outcomes) == len(jobs):
                done(outcomes)

        for job in jobs:
            self.read(job, partial(job_read, job))

    def newest_status(self, job: str, read: JobRead) -> str | None:
        """The status by a read, or by what the job index has learned during the read: that is newer.

        A user who was told meanwhile by another node that the job is accepted or over must not hear otherwise here.
        Without a read nothing is certain: what stands in memory may be old.
        """
        if read.outcome is ReadOutcome.UNKNOWN:
            return None
        status = self._job_index.status(job)
        if status is not None:
            return status
        return read.record.status if read.record is not None else None
