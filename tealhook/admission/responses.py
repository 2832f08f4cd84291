"""Answers to users: job statuses, final refusals, and requests to retry after some time."""

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

MAX_QUEUE_WAIT_S = 1.0  # longest wait of a call for the state store's rate limit; users wait 5 s for an answer
NO_PROGRESS = JobProgress(0, 0)
DEFAULT_RETRY_AFTER_S = 1.0
RECENT_FAILURE_S = MAX_QUEUE_WAIT_S / 4  # the state store counts as unavailable for this long after a failed call


class Refusal(NamedTuple):
    """The answer to a request that can never succeed."""

    status: HTTPStatus
    reason: str


class Responder:
    """Sender of the answers that are common to submissions, polls and cancellations."""

    def __init__(self, context: NodeContext, store: StateClient, progress: Mapping[str, JobProgress]) -> None:
        """Initialize a responder that shows the `progress` of active jobs, which is received by gossip."""
        self._effects = context.effects
        self._store = store
        self._progress = progress

    def status_body(self, job_id: str, status: str) -> bytes:
        """Return the body with the status of a job and, if it is active, its progress."""
        if status != JobState.ACTIVE:
            return encode_json(JobStatus(job_id, status))
        done, running = self._progress.get(job_id, NO_PROGRESS)
        displayed = DisplayedStatus.RUNNING if running else DisplayedStatus.PENDING
        return encode_json(JobStatus(job_id, displayed, done, running))

    def reply_retry(
        self,
        reply: Reply,
        reason: str,
        retry_after_s: float = DEFAULT_RETRY_AFTER_S,
        status: HTTPStatus = HTTPStatus.SERVICE_UNAVAILABLE,
    ) -> None:
        """Ask the user to retry after `retry_after_s`, rounded up to whole seconds and at least one."""
        reply(status, error_body(reason), max(1, math.ceil(retry_after_s)))

    def refuse(self, reply: Reply, refusal: Refusal) -> None:
        """Answer a request that can never succeed."""
        reply(refusal.status, error_body(refusal.reason))

    def refuse_overload(self, priority: CallPriority, reply: Reply) -> bool:
        """Refuse a request if the state store is unavailable or overloaded; return whether it was refused."""
        if not self._store.is_served and self._effects.now() - self._store.last_failed_at < RECENT_FAILURE_S:
            self.reply_retry(reply, "state service unavailable")
            return True
        wait_s = self._store.estimate_queue_wait_s(priority)
        if wait_s > MAX_QUEUE_WAIT_S:
            self.reply_retry(reply, "overloaded", wait_s, HTTPStatus.TOO_MANY_REQUESTS)
            return True
        return False
