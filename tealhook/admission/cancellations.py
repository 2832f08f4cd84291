"""Cancellations of jobs, by their users or because a dependency was cancelled."""

from __future__ import annotations

from http import HTTPStatus

from tealhook.admission.job_reader import READ_TIMEOUT_S, JobRead, JobReader
from tealhook.admission.responses import MAX_QUEUE_WAIT_S, Responder
from tealhook.http import Reply
from tealhook.jobs.index import JobIndex
from tealhook.jobs.job_records import JobState
from tealhook.jobs.record_store import JobRecordStore
from tealhook.state_store import CallPriority, ReadOutcome, TransactionOutcome
from tealhook.wire.common import encode_json, error_body
from tealhook.wire.users import JobStatus, valid_job_id

MAX_RETRIES = 3  # of a write that met another one, or whose outcome is unknown


class CancellationHandler:
    """Writes the end of cancelled jobs."""

    def __init__(self, job_index: JobIndex, records: JobRecordStore, reader: JobReader, responder: Responder) -> None:
        """A cancellation is written on the revision of the record that was read just before."""
        self._job_index = job_index
        self._records = records
        self._reader = reader
        self._responder = responder

    def cancel(self, job: str, reply: Reply, retries: int = MAX_RETRIES, *, may_refuse: bool = True) -> None:
        """Cancel a job; `may_refuse`: not while calls to the state service are refused for overload."""
        if not valid_job_id(job):
            reply(HTTPStatus.NOT_FOUND, error_body("no such job"))
            return
        ended = self._job_index.ended.get(job)
        if ended is not None:
            reply(HTTPStatus.OK, encode_json(JobStatus(job, ended[0])))
            return
        if may_refuse and self._responder.refuse_overload(CallPriority.ADMIT, reply):
            return

        def cancel_read(read: JobRead) -> None:
            record = read.record
            if record is not None and record.status != JobState.ACTIVE:
                self._job_index.apply_record(job, record, read.mod_revision)
                reply(HTTPStatus.OK, encode_json(JobStatus(job, record.status)))
            elif record is not None:
                self._write_cancellation(job, record.team, read.mod_revision, reply, retries)
            elif read.outcome is ReadOutcome.ABSENT and self._job_index.status(job) is None:
                reply(HTTPStatus.NOT_FOUND, error_body("no such job"))
            else:
                self._responder.reply_retry(reply, "state service unavailable")

        self._reader.fetch_record(job, cancel_read)

    def _write_cancellation(self, job: str, team: str, mod_revision: int, reply: Reply, retries: int) -> None:
        def written(outcome: TransactionOutcome, _uncertain: list[str]) -> None:
            if outcome is TransactionOutcome.COMMITTED:
                reply(HTTPStatus.OK, encode_json(JobStatus(job, JobState.CANCELLED)))
            elif outcome in (TransactionOutcome.REFUSED, TransactionOutcome.REJECTED) or retries <= 0:
                self._responder.reply_retry(reply, "state service unavailable")
            else:
                # The job has ended meanwhile, or nobody knows whether this end was written: read again.
                self.cancel(job, reply, retries - 1)

        self._records.end(
            {job: (self._records.build_ended_record(team, JobState.CANCELLED), mod_revision)},
            written,
            MAX_QUEUE_WAIT_S,
            READ_TIMEOUT_S,
        )
