"""Answers with the status of a job, including jobs that may have been cancelled with a dependency."""

from __future__ import annotations

from http import HTTPStatus

from tealhook.admission.cancellations import CancellationHandler
from tealhook.admission.job_reader import JobReader
from tealhook.admission.responses import Responder
from tealhook.context import NodeContext
from tealhook.http import Reply
from tealhook.jobs.index import JobIndex
from tealhook.jobs.job_records import JobState

# Maximum age of a view of the job records that can tell whether a job was cancelled with its dependency, as a share of
# the time within which this happens.
MAX_VIEW_AGE_SHARE = 0.25
MAX_DEPENDENCY_READS = 32  # number of jobs that are read at the same time for one answer


class StatusReplier:
    """Sender of answers with the status of a job."""

    def __init__(
        self,
        context: NodeContext,
        job_index: JobIndex,
        reader: JobReader,
        responder: Responder,
        cancellations: CancellationHandler,
    ) -> None:
        """Initialize a replier; `cancellations` makes the end of a job durable before it is shown."""
        self._job_index = job_index
        self._reader = reader
        self._responder = responder
        self._cancellations = cancellations
        self._max_view_age_s = context.workers.cancel_s * MAX_VIEW_AGE_SHARE

    def reply_status(
        self, http_status: HTTPStatus, job_id: str, status: str, reply: Reply, *, may_read_dependencies: bool = True
    ) -> None:
        """Answer with a status that was read, or that the job index has received since.

        A blocked job may have been cancelled with one of its dependencies, which its own record shows only later. Only
        this node's view of all records can tell. Such a cancellation is made durable before it is shown, since other
        nodes could still answer with the older status. If the view is too old or lacks a dependency, the user is asked
        to retry.
        """
        entry = self._job_index.active.get(job_id)
        if status != JobState.ACTIVE or entry is None or not entry.is_blocked:
            reply(http_status, self._responder.status_body(job_id, status))
        elif self._job_index.has_cancelled_dependency(job_id):
            self._cancel_with_dependency(http_status, job_id, reply)
        elif may_read_dependencies and (
            unknown := self._job_index.unknown_dependencies(job_id)[:MAX_DEPENDENCY_READS]
        ):  # these ended long ago and were evicted from the index, or it has not received them yet
            self._reader.read_all(
                unknown,
                lambda _outcomes: self.reply_status(
                    http_status, job_id, self._job_index.status(job_id) or status, reply, may_read_dependencies=False
                ),
            )
        elif (
            entry.missing_chunks
            or self._job_index.unknown_dependencies(job_id)
            or self._job_index.watcher.age() > self._max_view_age_s
        ):
            self._responder.reply_retry(reply, "not known at present")
        else:
            reply(http_status, self._responder.status_body(job_id, status))

    def _cancel_with_dependency(self, http_status: HTTPStatus, job_id: str, reply: Reply) -> None:
        def on_cancelled(status: int, body: bytes = b"{}", retry_after_s: int | None = None) -> None:
            reply(http_status if status == HTTPStatus.OK else status, body, retry_after_s)

        self._cancellations.cancel(job_id, on_cancelled, may_refuse=False)
