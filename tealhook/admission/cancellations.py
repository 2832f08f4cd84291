"""Cancellation of jobs, by their users or because a dependency was cancelled."""

from __future__ import annotations

from http import HTTPStatus

from tealhook.admission.job_reader import READ_TIMEOUT_S, JobReader, JobReadResult
from tealhook.admission.responses import MAX_QUEUE_WAIT_S, Responder
from tealhook.http import Reply
from tealhook.jobs.index import JobIndex
from tealhook.jobs.job_records import JobState
from tealhook.jobs.record_store import JobRecordStore
from tealhook.state_store import CallPriority, ReadOutcome, TransactionOutcome
from tealhook.wire.common import encode_json, error_body
from tealhook.wire.users import JobStatus, is_valid_job_id

MAX_RETRIES = 3  # number of retries of a cancellation whose write conflicted with another or has an unknown outcome


class CancellationHandler:
    """Handler of cancellations, which writes the final records of cancelled jobs."""

    def __init__(
        self, job_index: JobIndex, record_store: JobRecordStore, reader: JobReader, responder: Responder
    ) -> None:
        """Initialize the handler.

        `reader` reads the revision of a record, and `record_store` writes the cancellation over that revision.
        """
        self._job_index = job_index
        self._record_store = record_store
        self._reader = reader
        self._responder = responder

    def cancel(self, job_id: str, reply: Reply, retries: int = MAX_RETRIES, *, may_refuse: bool = True) -> None:
        """Cancel a job, unless `may_refuse` is set and the state store is unavailable or overloaded."""
        if not is_valid_job_id(job_id):
            reply(HTTPStatus.NOT_FOUND, error_body("no such job"))
            return
        ended = self._job_index.ended.get(job_id)
        if ended is not None:
            reply(HTTPStatus.OK, encode_json(JobStatus(job_id, ended[0])))
            return
        if may_refuse and self._responder.refuse_overload(CallPriority.ADMIT, reply):
            return

        def on_read(result: JobReadResult) -> None:
            record = result.record
            if record is not None and record.status != JobState.ACTIVE:
                self._job_index.apply_record(job_id, record, result.mod_revision)
                reply(HTTPStatus.OK, encode_json(JobStatus(job_id, record.status)))
            elif record is not None:
                self._write_cancellation(job_id, record.team, result.mod_revision, reply, retries)
            elif result.outcome is ReadOutcome.ABSENT and self._job_index.status(job_id) is None:
                reply(HTTPStatus.NOT_FOUND, error_body("no such job"))
            else:
                self._responder.reply_retry(reply, "state service unavailable")

        self._reader.fetch_record(job_id, on_read)

    def _write_cancellation(self, job_id: str, team: str, mod_revision: int, reply: Reply, retries: int) -> None:
        def on_written(outcome: TransactionOutcome, _uncertain_jobs: list[str]) -> None:
            if outcome is TransactionOutcome.COMMITTED:
                reply(HTTPStatus.OK, encode_json(JobStatus(job_id, JobState.CANCELLED)))
            elif outcome in (TransactionOutcome.REFUSED, TransactionOutcome.REJECTED) or retries <= 0:
                self._responder.reply_retry(reply, "state service unavailable")
            else:
                # The job has ended in the meantime, or the outcome of this write is unknown: read the record again.
                self.cancel(job_id, reply, retries - 1)

        self._record_store.end_jobs(
            {job_id: (self._record_store.build_ended_record(team, JobState.CANCELLED), mod_revision)},
            on_written,
            MAX_QUEUE_WAIT_S,
            READ_TIMEOUT_S,
        )
