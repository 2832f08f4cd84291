"""The users' interface: submissions, polls and cancellations, each answered from what is durable.

Whatever can't be done at once is refused at once, with a time to come back; nothing is held up.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from functools import partial
from typing import Any

from tealhook.admission.submissions import Submission, lay_out, why_too_large
from tealhook.context import NodeContext
from tealhook.coordination import Versions
from tealhook.jobs.index import JobIndex, JobRecord, JobState, job_key
from tealhook.jobs.records import JobRecords, OnRecord
from tealhook.state_store import CallPriority, Outcome, ReadIndex, ReadOutcome, StateClient, TransactionResult
from tealhook.wire import state as state_wire
from tealhook.wire.cloud import MachineType
from tealhook.wire.common import dumps, error_body
from tealhook.wire.job_parser import InvalidJobError, parse_job
from tealhook.wire.users import DisplayedStatus, JobKind, JobSpec, JobStatus, valid_job_id

log = logging.getLogger("tealhook.jobs")

Reply = Callable[..., Any]
LONGEST_WAIT_S = 1.0  # for tokens; a user waits 5 s for an answer
OLD_VIEW_SHARE = 0.25  # of the time within which jobs go with one that they need: an older view tells nothing
MOST_READS = 32  # names looked up at once for a submission
READ_TIMEOUT_S = 1.5  # a user waits 2 s for a poll's answer


class Admission:
    """Any node admits, answers and cancels; the state service decides."""

    def __init__(
        self,
        context: NodeContext,
        store: StateClient,
        job_index: JobIndex,
        types: dict[str, MachineType],
        progress: dict[str, tuple[int, int]],
        versions: Versions,
    ) -> None:
        """Jobs are judged by the machine types, as far as these are known, and counted by `progress`."""
        self._effects = context.effects
        self._store = store
        self._job_index = job_index
        self._records = JobRecords(context, store, job_index)
        self._read_index = ReadIndex(context, job_index.watcher, READ_TIMEOUT_S)
        self._types = types
        self._progress = progress
        self._versions = versions
        self._old_view_s = context.workers.cancel_s * OLD_VIEW_SHARE
        self._teams = {team.name: team for team in context.settings.params.teams}

    # -- answers

    def _status_body(self, job: str, status: str) -> bytes:
        if status != JobState.ACTIVE:
            return dumps(JobStatus(job, status))
        done, running = self._progress.get(job, (0, 0))
        displayed = DisplayedStatus.RUNNING if running else DisplayedStatus.PENDING
        return dumps(JobStatus(job, displayed, done, running))

    def _reply_status(self, code: int, job: str, status: str, reply: Reply, *, read: bool = True) -> None:
        """Answer with a status that was read, or learned since.

        A job that waits for others may have been cancelled with one of them, which its own record does not say at
        once. Only our view of all records can tell; what it shows is made durable before it is told, since another
        node would else answer older, and a view that may lack a cancellation of long ago tells nothing.
        """
        known = self._job_index.active.get(job)
        if status != JobState.ACTIVE or known is None or not known.blocked:
            reply(code, self._status_body(job, status))
        elif self._job_index.has_cancelled_dependency(job):
            self.cancel(
                job, lambda status, body, after=None: reply(code if status == 200 else status, body, after), asked=False
            )
        elif read and (unknown := self._job_index.unknown_dependencies(job)[:MOST_READS]):
            # Over so long that they are not remembered, or not heard of yet.
            self._read_names(
                unknown,
                lambda _found: self._reply_status(code, job, self._job_index.status(job) or status, reply, read=False),
            )
        elif (
            known.missing_chunks
            or self._job_index.unknown_dependencies(job)
            or self._job_index.watcher.age() > self._old_view_s
        ):
            self._reply_retry(reply, "not known at present")
        else:
            reply(code, self._status_body(job, status))

    def _reply_retry(self, reply: Reply, why: str, after: float = 1.0, status: int = 503) -> None:
        reply(status, error_body(why), max(1, math.ceil(after)))

    def _refused_for_load(self, priority: CallPriority, reply: Reply) -> bool:
        """Refuse at once when tokens for the state service are too far off."""
        if not self._store.is_served and self._effects.now() - self._store.failed_at < LONGEST_WAIT_S / 4:
            self._reply_retry(reply, "state service unavailable")
            return True
        wait = self._store.backlog(priority)
        if wait > LONGEST_WAIT_S:
            self._reply_retry(reply, "overloaded", wait, 429)
            return True
        return False

    # -- submissions

    def submit(self, body: bytes, reply: Reply) -> None:
        """Accept a job, or say what became of it: repeats get 200 whatever else they hold, and however late."""
        spec: JobSpec | None = None
        refusal: tuple[int, str] | None = None
        try:
            spec = parse_job(body)
            job = spec.job_id
        except InvalidJobError as exc:
            if exc.job is None:
                reply(400, error_body(str(exc)))
                return
            job = exc.job
            refusal = 400, str(exc)
        ended = self._job_index.ended.get(job)
        if ended is not None:
            reply(200, self._status_body(job, ended[0]))
            return
        if self._refused_for_load(CallPriority.ADMIT, reply):
            return
        submission: Submission | None = None
        if spec is not None:
            why = self._why_never(spec)
            if why is not None:
                refusal = (422, why)
            else:
                submission = lay_out(spec, round(self._effects.wall(), 1), self._store)
                why = why_too_large(submission, self._store)
                refusal = (400, why) if why is not None else None
        undecided = not self._types or spec is not None and spec.depends_on and not self._versions.all_upgraded
        if submission is None or refusal is not None or undecided or job in self._job_index.active:
            # Whether it was accepted earlier comes first: what is known of teams and types may change.
            # An active job is read too: by now it may have ended.
            self._answer_known(job, reply, refusal)
            return
        self._accept_after_names(submission, reply, set())

    def _accept_after_names(self, submission: Submission, reply: Reply, read: set[str]) -> None:
        """Accept a job once each job that it names is known to have been accepted; those not known here are read."""
        names = submission.spec.depends_on
        unknown = [name for name in names if name not in read and self._job_index.status(name) is None][:MOST_READS]
        read.update(unknown)
        if not unknown:
            self._accept(submission, reply)
            return

        def looked_up(found: list[ReadOutcome]) -> None:
            if ReadOutcome.ABSENT in found:
                self._answer_known(submission.job, reply, (422, "waits_on: names a job that was never accepted"))
            elif ReadOutcome.UNKNOWN in found:
                self._reply_retry(reply, "not decided yet")
            else:
                self._accept_after_names(submission, reply, read)

        self._read_names(unknown, looked_up)

    def _read_names(self, names: list[str], then: Callable[[list[ReadOutcome]], None]) -> None:
        """Read the records of jobs that a job waits for; `then` is told of each."""
        found: list[ReadOutcome] = []

        def read(name: str, kind: ReadOutcome, record: JobRecord | None, _version: int) -> None:
            if self._newest(name, kind, record) is not None:
                found.append(ReadOutcome.FOUND)
            else:  # a record that can't be read decides nothing
                found.append(ReadOutcome.ABSENT if kind is ReadOutcome.ABSENT else ReadOutcome.UNKNOWN)
            if len(found) == len(names):
                then(found)

        for name in names:
            self._read(name, partial(read, name))

    def _accept(self, submission: Submission, reply: Reply) -> None:
        job = submission.job

        def done(result: TransactionResult) -> None:
            if result.outcome is Outcome.COMMITTED:
                self._job_index.apply_record(job, submission.record, result.revision)
                self._reply_status(201, job, JobState.ACTIVE, reply)
            elif result.outcome in (Outcome.REFUSED, Outcome.REJECTED):
                self._reply_retry(reply, "state service unavailable")
            else:
                # Known already, or nobody knows: read, never guess.
                self._answer_known(job, reply, None)

        self._store.transact(
            {job_key(job): 0},
            [state_wire.put(path, value) for path, value in submission.rows],
            CallPriority.ADMIT,
            done,
            LONGEST_WAIT_S,
            READ_TIMEOUT_S,
        )

    def _answer_known(self, job: str, reply: Reply, refusal: tuple[int, str] | None) -> None:
        """200 when the record exists; `refusal`, status and reason, when it surely does not; else come back later."""

        def read(kind: ReadOutcome, record: JobRecord | None, _version: int) -> None:
            status = self._newest(job, kind, record)
            if status is not None:
                self._reply_status(200, job, status, reply)
            elif kind is ReadOutcome.ABSENT and refusal is not None:
                reply(refusal[0], error_body(refusal[1]))
            else:
                self._reply_retry(reply, "not decided yet")

        self._read(job, read)

    def _read(self, job: str, done: OnRecord) -> None:
        """Learn what became of a job while its user waits for an answer.

        Questions that come at about the same time share one call, which brings the view of all records up to date. A
        record is read by itself only where that view may lack it.
        """

        def refreshed(fresh: bool) -> None:
            if not fresh:
                done(ReadOutcome.UNKNOWN, None, 0)
            elif self._job_index.status(job) is not None:
                done(ReadOutcome.FOUND, None, 0)
            elif self._job_index.is_complete:
                done(ReadOutcome.ABSENT, None, 0)
            else:
                self._read_alone(job, done)

        if self._job_index.synced:
            self._read_index.read(refreshed)
        else:
            self._read_alone(job, done)

    def _read_alone(self, job: str, done: OnRecord) -> None:
        self._records.read(job, done, CallPriority.ADMIT, LONGEST_WAIT_S, READ_TIMEOUT_S)

    def _why_never(self, spec: JobSpec) -> str | None:
        """Why a job can never run; None when it can, or when that is not known yet."""
        team = self._teams.get(spec.team)
        if team is None:
            return "unknown team"
        if spec.job_id in spec.depends_on:
            return "waits_on: a job can't wait for itself"
        at_once = 1 if spec.kind == JobKind.ARRAY else spec.task_count
        if 0 < team.cpus_max < at_once * spec.vcpus or 0 < team.gpus_max < at_once * spec.gpus:
            return "the job needs more than the team's limit"
        if not self._types:
            return None
        for machine_type in self._types.values():
            if spec.machine_types is not None and machine_type.name not in spec.machine_types:
                continue
            if spec.zone is not None and spec.zone not in machine_type.zones:
                continue
            if machine_type.fits(spec.resources):
                break
        else:
            return "a task fits no allowed machine type"
        return None

    # -- polls

    def answer_poll(self, job: str, reply: Reply) -> None:
        """Answer a poll by a read: what this node remembers of an active job may be older than its last answer."""
        if not valid_job_id(job):
            reply(404, error_body("no such job"))
            return
        ended = self._job_index.ended.get(job)
        if ended is not None:
            reply(200, self._status_body(job, ended[0]))
            return

        def read(kind: ReadOutcome, record: JobRecord | None, _version: int) -> None:
            status = self._newest(job, kind, record)
            if status is not None:
                self._reply_status(200, job, status, reply)
            elif kind is ReadOutcome.ABSENT:
                reply(404, error_body("no such job"))
            else:
                self._reply_retry(reply, "state service unavailable")

        self._read(job, read)

    def _newest(self, job: str, kind: ReadOutcome, record: JobRecord | None) -> str | None:
        """The status by a read, or by what has been learned while its answer was on the way: that is newer.

        A user who was told meanwhile by another node that the job is accepted or over must not hear otherwise here.
        Without a read nothing is known: what stands in memory may be old.
        """
        if kind is ReadOutcome.UNKNOWN:
            return None
        known = self._job_index.status(job)
        return known if known is not None else record.status if record is not None else None

    # -- cancellations

    def cancel(self, job: str, reply: Reply, tries: int = 3, *, asked: bool = True) -> None:
        """Cancel a job that its user has `asked` to cancel, or that needs a cancelled one."""
        if not valid_job_id(job):
            reply(404, error_body("no such job"))
            return
        ended = self._job_index.ended.get(job)
        if ended is not None:
            reply(200, dumps(JobStatus(job, ended[0])))
            return
        if asked and self._refused_for_load(CallPriority.ADMIT, reply):
            return

        def read(kind: ReadOutcome, record: JobRecord | None, version: int) -> None:
            if record is not None and record.status != JobState.ACTIVE:
                self._job_index.apply_record(job, record, version)
                reply(200, dumps(JobStatus(job, record.status)))
            elif record is not None:
                self._cancel(job, record.team, version, reply, tries)
            elif kind is ReadOutcome.ABSENT and self._job_index.status(job) is None:
                reply(404, error_body("no such job"))
            else:
                self._reply_retry(reply, "state service unavailable")

        self._records.fetch(job, read, CallPriority.ADMIT, LONGEST_WAIT_S, READ_TIMEOUT_S)

    def _cancel(self, job: str, team: str, version: int, reply: Reply, tries: int) -> None:
        def done(outcome: Outcome, _uncertain: list[str]) -> None:
            if outcome is Outcome.COMMITTED:
                reply(200, dumps(JobStatus(job, JobState.CANCELLED)))
            elif outcome in (Outcome.REFUSED, Outcome.REJECTED) or tries <= 0:
                self._reply_retry(reply, "state service unavailable")
            else:
                self.cancel(job, reply, tries - 1)  # done meanwhile, or nobody knows: read again

        self._records.end(
            {job: (self._records.ended(team, JobState.CANCELLED), version)}, done, LONGEST_WAIT_S, READ_TIMEOUT_S
        )
