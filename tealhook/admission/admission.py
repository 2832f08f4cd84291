"""The interface of users to jobs: submissions, polls and cancellations.

Every node handles all requests, and the state store decides between concurrent ones. Requests are not queued: one that
can't be handled at once is refused with a time after which to retry.
"""

from __future__ import annotations

from collections.abc import Mapping

from tealhook.admission.cancellations import CancellationHandler
from tealhook.admission.job_reader import JobReader
from tealhook.admission.polls import PollHandler
from tealhook.admission.responses import Responder
from tealhook.admission.status_replies import StatusReplier
from tealhook.admission.submissions import SubmissionHandler
from tealhook.admission.validation import JobValidator
from tealhook.context import NodeContext
from tealhook.coordination import VersionAgreement
from tealhook.http import Reply
from tealhook.jobs.index import JobIndex
from tealhook.jobs.record_store import JobRecordStore
from tealhook.state_store import StateClient
from tealhook.wire.cloud import MachineType
from tealhook.wire.mesh import JobProgress


class Admission:
    """Handler of the submissions, polls and cancellations of users."""

    def __init__(
        self,
        context: NodeContext,
        store: StateClient,
        job_index: JobIndex,
        machine_types: Mapping[str, MachineType],
        progress: Mapping[str, JobProgress],
        version_agreement: VersionAgreement,
    ) -> None:
        """Initialize admission.

        Jobs are validated against `machine_types`, which is empty until they are known. `progress` of active jobs is
        shown to users.
        """
        record_store = JobRecordStore(context, store, job_index)
        reader = JobReader(context, job_index, record_store)
        responder = Responder(context, store, progress)
        self._cancellations = CancellationHandler(job_index, record_store, reader, responder)
        status_replier = StatusReplier(context, job_index, reader, responder, self._cancellations)
        self._polls = PollHandler(job_index, reader, responder, status_replier)
        validator = JobValidator(context, machine_types, version_agreement)
        self._submissions = SubmissionHandler(context, store, job_index, reader, responder, status_replier, validator)

    def submit(self, body: bytes, reply: Reply) -> None:
        """Accept a job, or answer with the status of the job that was accepted earlier under its id."""
        self._submissions.submit(body, reply)

    def answer_poll(self, job_id: str, reply: Reply) -> None:
        """Answer a poll with a job's status."""
        self._polls.answer(job_id, reply)

    def cancel(self, job_id: str, reply: Reply) -> None:
        """Cancel a job at its user's request."""
        self._cancellations.cancel(job_id, reply)
