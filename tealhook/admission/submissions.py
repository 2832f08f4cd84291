"""Submissions: a job is accepted once its record is durable, and repeats of it are answered with its status."""

from __future__ import annotations

from http import HTTPStatus
from typing import NamedTuple

from tealhook.admission.job_reader import READ_TIMEOUT_S, JobRead, JobReader
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


class _Request(NamedTuple):
    """A decoded submission: malformed ones have a refusal in place of a spec."""

    job: str
    spec: JobSpec | None
    refusal: Refusal | None


class SubmissionHandler:
    """Accepts jobs, or refuses them."""

    def __init__(
        self,
        context: NodeContext,
        store: StateClient,
        job_index: JobIndex,
        reader: JobReader,
        responder: Responder,
        statuses: StatusReplier,
        validator: JobValidator,
    ) -> None:
        """Records of accepted jobs are written to `store`; `validator` says which jobs can never run."""
        self._effects = context.effects
        self._store = store
        self._job_index = job_index
        self._reader = reader
        self._responder = responder
        self._statuses = statuses
        self._validator = validator

    def submit(self, body: bytes, reply: Reply) -> None:
        """Accept a job, or answer with its status: repeats get 200 whatever else they hold, and however late."""
        try:
            spec = parse_job(body)
            request = _Request(spec.job_id, spec, None)
        except InvalidJobError as exc:
            if exc.job_id is None:
                reply(HTTPStatus.BAD_REQUEST, error_body(str(exc)))
                return
            request = _Request(exc.job_id, None, Refusal(HTTPStatus.BAD_REQUEST, str(exc)))
        job = request.job
        ended = self._job_index.ended.get(job)
        if ended is not None:
            reply(HTTPStatus.OK, self._responder.status_body(job, ended[0]))
            return
        if self._responder.refuse_overload(CallPriority.ADMIT, reply):
            return
        submission, refusal = self._prepare(request)
        if (
            submission is None
            or refusal is not None
            or not self._validator.is_decidable(request.spec)
            or job in self._job_index.active
        ):
            # Whether it was accepted earlier comes first: teams and machine types may have changed since.
            # An active job is read too: by now it may have ended.
            self._answer_accepted(job, reply, refusal)
            return
        self._accept_after_dependencies(submission, reply, set())

    def _prepare(self, request: _Request) -> tuple[Submission | None, Refusal | None]:
        """The records of a job to write, or why it is to be refused unless it was accepted earlier."""
        if request.spec is None:
            return None, request.refusal
        obstacle = self._validator.find_obstacle(request.spec)
        if obstacle is not None:
            return None, Refusal(HTTPStatus.UNPROCESSABLE_ENTITY, obstacle)
        submission = encode_submission(request.spec, round(self._effects.wall(), 1), self._store)
        excess = find_excess_size(submission, self._store)
        return submission, Refusal(HTTPStatus.BAD_REQUEST, excess) if excess is not None else None

    def _accept_after_dependencies(self, submission: Submission, reply: Reply, already_read: set[str]) -> None:
        """Accept a job once each of its dependencies is known to have been accepted; unknown ones are read."""
        unknown = [
            job for job in submission.spec.depends_on if job not in already_read and self._job_index.status(job) is None
        ][:MAX_DEPENDENCY_READS]
        already_read.update(unknown)
        if not unknown:
            self._accept(submission, reply)
            return

        def dependencies_read(outcomes: list[ReadOutcome]) -> None:
            if ReadOutcome.ABSENT in outcomes:
                self._answer_accepted(submission.job, reply, UNKNOWN_DEPENDENCY)
            elif ReadOutcome.UNKNOWN in outcomes:
                self._responder.reply_retry(reply, "not decided yet")
            else:
                self._accept_after_dependencies(submission, reply, already_read)

        self._reader.read_all(unknown, dependencies_read)

    def _accept(self, submission: Submission, reply: Reply) -> None:
        """Write the records of a job, unless there is one under its id."""
        job = submission.job

        def written(result: TransactionResult) -> None:
            if result.outcome is TransactionOutcome.COMMITTED:
                self._job_index.apply_record(job, submission.record, result.revision)
                self._statuses.reply_status(HTTPStatus.CREATED, job, JobState.ACTIVE, reply)
            elif result.outcome in (TransactionOutcome.REFUSED, TransactionOutcome.REJECTED):
                self._responder.reply_retry(reply, "state service unavailable")
            else:
                # Accepted earlier, or nobody knows whether now: read, never guess.
                self._answer_accepted(job, reply, None)

        self._store.transact(
            {job_key(job): 0},
            [state_wire.put(write.key, write.value) for write in submission.writes],
            CallPriority.ADMIT,
            written,
            MAX_QUEUE_WAIT_S,
            READ_TIMEOUT_S,
        )

    def _answer_accepted(self, job: str, reply: Reply, refusal: Refusal | None) -> None:
        """Answer 200 when the job was accepted; with `refusal` when it surely was not; else ask to retry."""

        def answer_read(read: JobRead) -> None:
            status = self._reader.newest_status(job, read)
            if status is not None:
                self._statuses.reply_status(HTTPStatus.OK, job, status, reply)
            elif read.outcome is ReadOutcome.ABSENT and refusal is not None:
                self._responder.refuse(reply, refusal)
            else:
                self._responder.reply_retry(reply, "not decided yet")

        self._reader.read(job, answer_read)
