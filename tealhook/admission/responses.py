"""What users are answered: job statuses, and refusals that name the time after which to retry."""

from __future__ import annotations

import math
from collections.abc import Mapping
from http import HTTPStatus
from typing import NamedTuple

from tealhook.context import NodeContext
from tealhook.http import Reply
from tealhook.jobs.job_records import JobState
from tealhook.state_store import CallPriority, StateClient
from tealhook.wire.common import encode_json, error_body
from tealhook.wire.mesh import JobProgress
from tealhook.wire.users import DisplayedStatus, JobStatus

MAX_QUEUE_WAIT_S = 1.0  # of a call to the state service for its rate limit; a user waits 5 s for an answer
NO_PROGRESS = JobProgress(0, 0)
RETRY_AFTER_S = 1.0  # unless more is known
RECENT_FAILURE_S = MAX_QUEUE_WAIT_S / 4  # the state service is taken to be unavailable so long after a failed call


class Refusal(NamedTuple):
    """A final answer: the request will never succeed."""

    status: HTTPStatus
    reason: str


class Responder:
    """Builds and sends the answers that submissions, polls and cancellations have in common."""

    def __init__(self, context: NodeContext, store: StateClient, progress: Mapping[str, JobProgress]) -> None:
        """`progress`: of active jobs, as gossip tells it."""
        self._effects = context.effects
        self._store = store
        self._progress = progress

    def status_body(self, job: str, status: str) -> bytes:
        """The body that shows the status of a job, and the progress of an active one."""
        if status != JobState.ACTIVE:
            return encode_json(JobStatus(job, status))
        done, running = self._progress.get(job, NO_PROGRESS)
        displayed = DisplayedStatus.RUNNING if running else DisplayedStatus.PENDING
        return encode_json(JobStatus(job, displayed, done, running))

    def reply_retry(
        self,
        reply: Reply,
        reason: str,
        retry_after_s: float = RETRY_AFTER_S,
        status: HTTPStatus = HTTPStatus.SERVICE_UNAVAILABLE,
    ) -> None:
        """Ask the user to retry, after whole seconds and at least one."""
        reply(status, error_body(reason), max(1, math.ceil(retry_after_s)))

    def refuse(self, reply: Reply, refusal: Refusal) -> None:
        """Answer that the request will never succeed."""
        reply(refusal.status, error_body(refusal.reason))

    def refuse_overload(self, priority: CallPriority, reply: Reply) -> bool:
        """Refuse when the state service is unavailable, or its rate limit too far off; whether that was so."""
        if not self._store.is_served and self._effects.now() - self._store.last_failed_at < RECENT_FAILURE_S:
            self.reply_retry(reply, "state service unavailable")
            return True
        wait_s = self._store.estimate_queue_wait_s(priority)
        if wait_s > MAX_QUEUE_WAIT_S:
            self.reply_retry(reply, "overloaded", wait_s, HTTPStatus.TOO_MANY_REQUESTS)
            return True
        return False
