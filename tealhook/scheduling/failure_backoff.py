"""Retries with backoff: when the next tasks of a job may start after one failed or was refused by its worker."""

from __future__ import annotations

import logging

from tealhook.context import NodeContext
from tealhook.jobs.attempt import Attempt
from tealhook.jobs.job import Job
from tealhook.jobs.tasks import FAILING_JOB_MIN_FAILURES
from tealhook.wire.workers import ExitCause

log = logging.getLogger(__name__)

MAX_DOUBLINGS = 5  # of the pause between the retries of a failing job
REFUSALS = (ExitCause.FULL, ExitCause.BUSY, ExitCause.UNKNOWN)  # the worker did not take the task


class FailureBackoff:
    """Delays the next tasks of jobs whose attempts ended without success."""

    def __init__(self, context: NodeContext) -> None:
        """Pauses are multiples of the heartbeat period, with jitter."""
        self._effects = context.effects
        self._report_s = context.workers.report_s

    def on_failed_attempt(self, job: Job, attempt: Attempt, cause: str | None, now: float) -> None:
        """An attempt ended without success: set when the job's next tasks may start."""
        if cause == ExitCause.ERROR:
            self._delay_failing_job(job, attempt, now)
        elif cause in REFUSALS:
            log.info("%s/%d refused by %s: %s", job.id, attempt.index, attempt.machine, cause)
            job.placement_not_before = max(job.placement_not_before, now + self._report_s / 2)

    def _delay_failing_job(self, job: Job, attempt: Attempt, now: float) -> None:
        job.record_failure(attempt.machine)
        if job.is_failing:
            doublings = min(job.consecutive_failures - FAILING_JOB_MIN_FAILURES, MAX_DOUBLINGS)
            pause = self._report_s * 2**doublings
            job.placement_not_before = now + pause * (0.75 + 0.5 * self._effects.rng.random())
        log.debug("%s/%d failed on %s", job.id, attempt.index, attempt.machine)
        if job.consecutive_failures == FAILING_JOB_MIN_FAILURES:  # once, however often it fails from now on
            log.info("%s: %d tasks failed and none is done: retried one at a time", job.id, job.consecutive_failures)
