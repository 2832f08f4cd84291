"""Submissions of jobs.

A job is accepted once its record is durable. Resubmissions are answered with the status of the accepted job.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import NamedTuple

from tealhook.admission.job_reader import READ_TIMEOUT_S, JobReader, JobReadResult
from tealhook.admission.responses import MAX_QUEUE_WAIT_S, Refusal, Responder
from tealhook.admission.status_replies import MAX_DEPENDENCY_READS, StatusReplier
from tealhook.admission.submission_records import Submission, encode_submission, find_excess_size
from tealhook.admission.validation import JobValidator
from tealhook.context import NodeContext
from tealhook.http import Reply
from tealhook.jobs.index import JobIndex
from tealhook.jobs.job_records import JobState, job_key
from tealhook.state_store import CallPriority, ReadOutcome, StateClient, TransactionOutcome, TransactionResult
from tealhook.wire import state as state_wire
from tealhook.wire.common import error_body
from tealhook.wire.job_parser import InvalidJobError, parse_job
from tealhook.wire.users import JobSpec

UNKNOWN_DEPENDENCY = Refusal(HTTPStatus.UNPROCESSABLE_ENTITY, "waits_on: names a job that was never accepted")


class _ParsedSubmission(NamedTuple):
    """A submission with a valid job id; a malformed one has a refusal instead of a spec."""

    job_id: str
    spec: JobSpec | None
    refusal: Refusal | None


class SubmissionHandler:
    """Handler of submissions, which accepts or refuses jobs."""

    def __init__(
        self,
        context: NodeContext,
        store: StateClient,
        job_index: JobIndex,
        reader: JobReader,
        responder: Responder,
        status_replier: StatusReplier,
        validator: JobValidator,
    ) -> None:
        """Initialize the handler; it writes accepted jobs to `store`, and asks `validator` which jobs can run."""
        self._effects = context.effects
        self._store = store
        self._job_index = job_index
        self._reader = reader
        self._responder = responder
        self._status_replier = status_replier
        self._validator = validator

    def submit(self, body: bytes, reply: Reply) -> None:
        """Accept a job, or answer with its status if it was accepted earlier.

        A resubmission is answered with 200 at any time, whatever its other fields are.
        """
        try:
            spec = parse_job(body)
            parsed = _ParsedSubmission(spec.job_id, spec, None)
        except InvalidJobError as exc:
            if exc.job_id is None:
                reply(HTTPStatus.BAD_REQUEST, error_body(str(exc)))
                return
            parsed = _ParsedSubmission(exc.job_id, None, Refusal(HTTPStatus.BAD_REQUEST, str(exc)))
        job_id = parsed.job_id
        ended = self._job_index.ended.get(job_id)
        if ended is not None:
            reply(HTTPStatus.OK, self._responder.status_body(job_id, ended[0]))
            return
        if self._responder.refuse_overload(CallPriority.ADMIT, reply):
            return
        submission, refusal = self._encode_or_refuse(parsed)
        if (
            submission is None
            or refusal is not None
            or not self._validator.may_accept(parsed.spec)
            or job_id in self._job_index.active
        ):
            # A job that was accepted earlier is never refused, although teams and machine types may have changed since.
            # An active job is read too, because it may have ended in the meantime.
            self._answer_if_accepted(job_id, reply, refusal)
            return
        self._accept_after_dependencies(submission, reply, set())

    def _encode_or_refuse(self, parsed: _ParsedSubmission) -> tuple[Submission | None, Refusal | None]:
        """Return the submission to write, or the refusal to send unless the job was accepted earlier.

        An oversized submission is returned along with its refusal.
        """
        if parsed.spec is None:
            return None, parsed.refusal
        reason = self._validator.find_infeasibility_reason(parsed.spec)
        if reason is not None:
            return None, Refusal(HTTPStatus.UNPROCESSABLE_ENTITY, reason)
        submission = encode_submission(parsed.spec, round(self._effects.wall(), 1), self._store)
        excess = find_excess_size(submission, self._store)
        return submission, Refusal(HTTPStatus.BAD_REQUEST, excess) if excess is not None else None

    def _accept_after_dependencies(self, submission: Submission, reply: Reply, already_read: set[str]) -> None:
        """Accept a job if all its dependencies were accepted; those that are not in the index are read first."""
        unknown = [
            dependency
            for dependency in submission.spec.depends_on
            if dependency not in already_read and self._job_index.status(dependency) is None
        ][:MAX_DEPENDENCY_READS]
        already_read.update(unknown)
        if not unknown:
            self._accept(submission, reply)
            return

        def on_dependencies_read(outcomes: list[ReadOutcome]) -> None:
            if ReadOutcome.ABSENT in outcomes:
                self._answer_if_accepted(submission.job_id, reply, UNKNOWN_DEPENDENCY)
            elif ReadOutcome.UNKNOWN in outcomes:
                self._responder.reply_retry(reply, "not decided yet")
            else:
                self._accept_after_dependencies(submission, reply, already_read)

        self._reader.read_all(unknown, on_dependencies_read)

    def _accept(self, submission: Submission, reply: Reply) -> None:
        """Write the records of a job, unless a record with its id exists."""
        job_id = submission.job_id
        view_number = self._job_index.view_number

        def on_written(result: TransactionResult) -> None:
            is_committed = result.outcome is TransactionOutcome.COMMITTED
            if is_committed and view_number == self._job_index.view_number:
                self._job_index.apply_record(job_id, submission.record, result.revision)
                self._status_replier.reply_status(HTTPStatus.CREATED, job_id, JobState.ACTIVE, reply)
            elif result.outcome in (TransactionOutcome.REFUSED, TransactionOutcome.REJECTED):
                self._responder.reply_retry(reply, "state service unavailable")
            else:
                # The record is read: the job was accepted earlier, or the outcome of this write is unknown, or the job
                # index may have missed the end of the job since.
                self._answer_if_accepted(job_id, reply, None)

        self._store.transact(
            {job_key(job_id): 0},
            [state_wire.put(write.key, write.value) for write in submission.writes],
            CallPriority.ADMIT,
            on_written,
            MAX_QUEUE_WAIT_S,
            READ_TIMEOUT_S,
        )

    def _answer_if_accepted(self, job_id: str, reply: Reply, refusal: Refusal | None) -> None:
        """Answer with the status of the job if it was accepted earlier.

        Otherwise answer with `refusal` if the job is known not to exist, or else ask the user to retry.
        """

        def on_read(result: JobReadResult) -> None:
            status = self._reader.newest_status(job_id, result)
            if status is not None:
                self._status_replier.reply_status(HTTPStatus.OK, job_id, status, reply)
            elif result.outcome is ReadOutcome.ABSENT and refusal is not None:
                self._responder.refuse(reply, refusal)
            else:
                self._responder.reply_retry(reply, "not decided yet")

        self._reader.read(job_id, on_read)
