"""Backoff before the next tasks of a job start, after an attempt failed or was refused by its worker."""

from __future__ import annotations

import logging

from tealhook.context import NodeContext
from tealhook.jobs.attempt import Attempt
from tealhook.jobs.job import Job
from tealhook.jobs.tasks import FAILING_JOB_MIN_FAILURES
from tealhook.wire.workers import ExitCause

log = logging.getLogger(__name__)

MAX_BACKOFF_DOUBLINGS = 5
REFUSAL_CAUSES = (ExitCause.FULL, ExitCause.BUSY, ExitCause.UNKNOWN)  # the worker did not accept the task


class FailureBackoff:
    """Delays the next tasks of jobs whose attempts ended without success."""

    def __init__(self, context: NodeContext) -> None:
        """Initialize with pauses in multiples of the heartbeat period of `context`."""
        self._effects = context.effects
        self._report_s = context.workers.report_s

    def on_failed_attempt(self, job: Job, attempt: Attempt, cause: str | None, now: float) -> None:
        """Set the time from which a job's next tasks may start, after an attempt ended without success."""
        if cause == ExitCause.ERROR:
            self._delay_failing_job(job, attempt, now)
        elif cause in REFUSAL_CAUSES:
            log.info("task %s/%d: refused by machine %s: %s", job.id, attempt.index, attempt.machine, cause)
            job.placement_not_before = max(job.placement_not_before, now + self._report_s / 2)

    def _delay_failing_job(self, job: Job, attempt: Attempt, now: float) -> None:
        job.record_failure(attempt.machine)
        if job.is_failing:
            doublings = min(job.consecutive_failures - FAILING_JOB_MIN_FAILURES, MAX_BACKOFF_DOUBLINGS)
            pause_s = self._report_s * 2**doublings
            job.placement_not_before = now + pause_s * (0.75 + 0.5 * self._effects.rng.random())
        log.debug("task %s/%d: failed on machine %s", job.id, attempt.index, attempt.machine)
        if job.consecutive_failures == FAILING_JOB_MIN_FAILURES:
            # Logged once, however often the job's tasks fail after that.
            log.info("job %s: %d tasks failed in a row, retrying one task at a time", job.id, job.consecutive_failures)
