"""Answers that show the status of a job, also of one that may have been cancelled with a dependency."""

from __future__ import annotations

from http import HTTPStatus

from tealhook.admission.cancellations import CancellationHandler
from tealhook.admission.job_reader import JobReader
from tealhook.admission.responses import Responder
from tealhook.context import NodeContext
from tealhook.http import Reply
from tealhook.jobs.index import JobIndex
from tealhook.jobs.job_records import JobState

# Of the time within which a job is cancelled with its dependency: an older view can't tell whether it was.
STALE_VIEW_SHARE = 0.25
MAX_DEPENDENCY_READS = 32  # jobs that are read at once for one answer


class StatusReplier:
    """Answers with statuses that were read, or learned since."""

    def __init__(
        self,
        context: NodeContext,
        job_index: JobIndex,
        reader: JobReader,
        responder: Responder,
        cancellations: CancellationHandler,
    ) -> None:
        """`cancellations` writes the end of a job whose dependency was cancelled before that end is shown."""
        self._job_index = job_index
        self._reader = reader
        self._responder = responder
        self._cancellations = cancellations
        self._max_view_age_s = context.workers.cancel_s * STALE_VIEW_SHARE

    def reply_status(
        self, code: HTTPStatus, job: str, status: str, reply: Reply, *, may_read_dependencies: bool = True
    ) -> None:
        """Answer with a status that was read, or learned since.

        A job that waits for others may have been cancelled with one of them, which its own record does not say at
        once. Only our view of all records can tell; what it shows is made durable before it is shown, since another
        node would else answer older, and a view that may lack a cancellation of long ago tells nothing.
        """
        entry = self._job_index.active.get(job)
        if status != JobState.ACTIVE or entry is None or not entry.is_blocked:
            reply(code, self._responder.status_body(job, status))
        elif self._job_index.has_cancelled_dependency(job):
            self._cancel_with_dependency(code, job, reply)
        elif may_read_dependencies and (
            unknown := self._job_index.unknown_dependencies(job)[:MAX_DEPENDENCY_READS]
        ):  # they ended so long ago that they are not remembered, or are not in the index yet
            self._reader.read_all(
                unknown,
                lambda _outcomes: self.reply_status(
                    code, job, self._job_index.status(job) or status, reply, may_read_dependencies=False
                ),
            )
        elif (
            entry.missing_chunks
            or self._job_index.unknown_dependencies(job)
            or self._job_index.watcher.age() > self._max_view_age_s
        ):
            self._responder.reply_retry(reply, "not known at present")
        else:
            reply(code, self._responder.status_body(job, status))

    def _cancel_with_dependency(self, code: HTTPStatus, job: str, reply: Reply) -> None:
        def cancelled(status: int, body: bytes = b"{}", retry_after_s: int | None = None) -> None:
            reply(code if status == HTTPStatus.OK else status, body, retry_after_s)

        self._cancellations.cancel(job, cancelled, may_refuse=False)
