"""Polls, with which users ask for the status of a job."""

from __future__ import annotations

from http import HTTPStatus

from tealhook.admission.job_reader import JobReader, JobReadResult
from tealhook.admission.responses import Refusal, Responder
from tealhook.admission.status_replies import StatusReplier
from tealhook.http import Reply
from tealhook.jobs.index import JobIndex
from tealhook.state_store import ReadOutcome
from tealhook.wire.users import is_valid_job_id

NO_SUCH_JOB = Refusal(HTTPStatus.NOT_FOUND, "no such job")


class PollHandler:
    """Handler of polls."""

    def __init__(
        self, job_index: JobIndex, reader: JobReader, responder: Responder, status_replier: StatusReplier
    ) -> None:
        """Initialize the handler; it answers from `job_index` for ended jobs, and by a read for all others."""
        self._job_index = job_index
        self._reader = reader
        self._responder = responder
        self._status_replier = status_replier

    def answer(self, job_id: str, reply: Reply) -> None:
        """Answer a poll with the status of a job.

        An active job is read even if it is in the index, which may be older than an answer of another node.
        """
        if not is_valid_job_id(job_id):
            self._responder.refuse(reply, NO_SUCH_JOB)
            return
        ended = self._job_index.ended.get(job_id)
        if ended is not None:
            reply(HTTPStatus.OK, self._responder.status_body(job_id, ended[0]))
            return

        def on_read(result: JobReadResult) -> None:
            status = self._reader.newest_status(job_id, result)
            if status is not None:
                self._status_replier.reply_status(HTTPStatus.OK, job_id, status, reply)
            elif result.outcome is ReadOutcome.ABSENT:
                self._responder.refuse(reply, NO_SUCH_JOB)
            else:
                self._responder.reply_retry(reply, "state service unavailable")

        self._reader.read(job_id, on_read)
