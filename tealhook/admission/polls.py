"""Polls: users ask for the status of a job."""

from __future__ import annotations

from http import HTTPStatus

from tealhook.admission.job_reader import JobRead, JobReader
from tealhook.admission.responses import Refusal, Responder
from tealhook.admission.status_replies import StatusReplier
from tealhook.http import Reply
from tealhook.jobs.index import JobIndex
from tealhook.state_store import ReadOutcome
from tealhook.wire.users import is_valid_job_id

NO_SUCH_JOB = Refusal(HTTPStatus.NOT_FOUND, "no such job")


class PollHandler:
    """Answers polls."""

    def __init__(self, job_index: JobIndex, reader: JobReader, responder: Responder, statuses: StatusReplier) -> None:
        """Jobs that have ended are answered from `job_index`, all others by a read."""
        self._job_index = job_index
        self._reader = reader
        self._responder = responder
        self._statuses = statuses

    def answer(self, job: str, reply: Reply) -> None:
        """Answer a poll by a read: what this node remembers of an active job may be older than its last answer."""
        if not is_valid_job_id(job):
            self._responder.refuse(reply, NO_SUCH_JOB)
            return
        ended = self._job_index.ended.get(job)
        if ended is not None:
            reply(HTTPStatus.OK, self._responder.status_body(job, ended[0]))
            return

        def answer_read(read: JobRead) -> None:
            status = self._reader.newest_status(job, read)
            if status is not None:
                self._statuses.reply_status(HTTPStatus.OK, job, status, reply)
            elif read.outcome is ReadOutcome.ABSENT:
                self._responder.refuse(reply, NO_SUCH_JOB)
            else:
                self._responder.reply_retry(reply, "state service unavailable")

        self._reader.read(job, answer_read)
