"""The users' interface to jobs: submissions, polls and cancellations.

Any node admits, answers and cancels; the state service decides. What can't be done at once is refused at once, with
a time after which to retry: no request is queued.
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
    """Submits, polls and cancels jobs for users."""

    def __init__(
        self,
        context: NodeContext,
        store: StateClient,
        job_index: JobIndex,
        machine_types: Mapping[str, MachineType],
        progress: Mapping[str, JobProgress],
        versions: VersionAgreement,
    ) -> None:
        """Jobs are validated against `machine_types`, as far as these are known; `progress` is shown to users."""
        records = JobRecordStore(context, store, job_index)
        reader = JobReader(context, job_index, records)
        responder = Responder(context, store, progress)
        self._cancellations = CancellationHandler(job_index, records, reader, responder)
        statuses = StatusReplier(context, job_index, reader, responder, self._cancellations)
        self._polls = PollHandler(job_index, reader, responder, statuses)
        validator = JobValidator(context, machine_types, versions)
        self._submissions = SubmissionHandler(context, store, job_index, reader, responder, statuses, validator)

    def submit(self, body: bytes, reply: Reply) -> None:
        """Accept a job, or answer with the status of the job that was accepted under its id."""
        self._submissions.submit(body, reply)

    def answer_poll(self, job: str, reply: Reply) -> None:
        """Answer with a job's status."""
        self._polls.answer(job, reply)

    def cancel(self, job: str, reply: Reply) -> None:
        """Cancel a job at its user's request."""
        self._cancellations.cancel(job, reply)
