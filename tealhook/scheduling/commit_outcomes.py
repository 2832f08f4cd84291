"""Handling of transaction outcomes for each job of a transaction."""

from __future__ import annotations

import logging

from tealhook.context import NodeContext
from tealhook.coordination import partition_key
from tealhook.jobs.assignment_record import assignment_key
from tealhook.jobs.attempt import Attempt
from tealhook.jobs.index import JobIndex
from tealhook.jobs.job import Job, WriteState
from tealhook.jobs.job_records import JobState, job_key
from tealhook.jobs.record_store import JobRecordStore
from tealhook.jobs.team import TeamState
from tealhook.scheduling.interfaces import JobAttempt, SchedulerActions
from tealhook.scheduling.job_writes import MAX_LIMIT_HALVINGS, JobWrite, WriteKind
from tealhook.scheduling.read_back import RecordReadBack

log = logging.getLogger(__name__)

REJECTION_MEMORY_S = 60.0  # a job's writes stay small for this long after a rejection
MAX_BACKOFF_S = 60.0  # longest pause before a job is written again whose smallest write is rejected


class PendingLaunches:
    """Attempts that are launched once the outcome has been applied to all jobs of a transaction, by team and zone."""

    def __init__(self) -> None:
        """Initialize without attempts."""
        self._by_team_and_zone: dict[tuple[str, str], list[JobAttempt]] = {}

    def add(self, team: str, job: str, attempt: Attempt) -> None:
        """Add an attempt whose assignment is durable."""
        self._by_team_and_zone.setdefault((team, attempt.zone), []).append((job, attempt))

    def launch_all(self, teams: dict[str, TeamState], actions: SchedulerActions) -> None:
        """Launch the attempts, with one call for each team and zone."""
        for (team, zone), attempts in self._by_team_and_zone.items():
            actions.launch(teams[team], zone, attempts)


class CommitOutcomeHandler:
    """Applies the outcome of a transaction to the jobs in it."""

    def __init__(
        self,
        context: NodeContext,
        job_index: JobIndex,
        records: JobRecordStore,
        proved_absent: dict[str, set[tuple[int, int]]],
        actions: SchedulerActions,
        read_back: RecordReadBack,
    ) -> None:
        """Initialize the handler.

        `proved_absent` holds each job's attempts that are proved absent from their machines, until that is durable.
        """
        self._effects = context.effects
        self._workers = context.workers
        self._job_index = job_index
        self._records = records
        self._proved_absent = proved_absent
        self._actions = actions
        self._read_back = read_back

    # -- committed

    def apply_committed(self, write: JobWrite, revision: int, launches: PendingLaunches) -> None:
        """Apply a write that is durable as of `revision`."""
        job = write.job
        self._end_backoff(job)
        for chunk in write.written_chunks:
            job.chunk_revisions.pop(chunk, None)
        job.chunk_revisions.update(dict.fromkeys(write.kept_chunks, revision))
        if write.kind is WriteKind.FINISH:
            self._apply_finish(write.team_state, job, revision)
        elif write.kind is WriteKind.DELETE:
            self._actions.remove_if_unassigned(write.team_state, job)
        else:
            self._apply_assignment(write, launches)

    def _end_backoff(self, job: Job) -> None:
        """End the backoff of a job after a successful write; its writes stay small for `REJECTION_MEMORY_S`."""
        if self._effects.now() - job.last_rejected_at > REJECTION_MEMORY_S:
            job.rejections = 0
        elif job.rejections:
            job.rejections = min(job.rejections, MAX_LIMIT_HALVINGS)

    def _apply_finish(self, team_state: TeamState, job: Job, revision: int) -> None:
        """Mark a job as done, after its end became durable, and clean up after it."""
        if job.spec is not None and log.isEnabledFor(logging.DEBUG):
            log.debug(
                "job %s: done after %.1f s, class %s, %d tasks of %g CPUs, estimated run time %.1f s, deadline %s",
                job.id,
                self._effects.now() - job.schedulable_since,
                job.spec.job_class,
                job.task_count,
                job.spec.vcpus,
                job.spec.estimated_run_s,
                job.spec.deadline_s,
            )
        self._job_index.apply_record(job.id, self._records.build_ended_record(job.team, JobState.DONE), revision)
        job.spec = None
        if job.attempts:
            self._actions.stop_all(team_state, job)
        else:
            self._actions.remove_if_unassigned(team_state, job)

    def _apply_assignment(self, write: JobWrite, launches: PendingLaunches) -> None:
        """Turn the staged tasks of a durable write into attempts, to be launched."""
        team_state, job = write.team_state, write.job
        job.move_attempts(write.moved_attempts, write.written_chunks)
        if 0 in write.written_chunks:
            # An earlier write of unknown outcome that is executed late now fails on the first chunk's revision.
            job.uncertain_chunks.clear()
        written = {attempt.index for attempt in write.staged}
        job.has_deferrable_change = bool(job.dirty_chunks or job.staged.keys() - written)
        if not job.dirty_chunks:
            self._proved_absent.pop(job.id, None)
        for attempt in write.staged:
            if job.staged.get(attempt.index) is not attempt:
                continue
            del job.staged[attempt.index]
            job.attempts[attempt.index] = attempt
            job.last_assigned_at = self._effects.now()
            self._actions.index_attempt(team_state, job, attempt)
            if job.spec is not None:
                launches.add(team_state.name, job.id, attempt)
        if job.spec is None:
            self._actions.stop_all(team_state, job)
        self._actions.forget_finished(team_state, job)

    # -- not executed, or of unknown outcome

    def apply_unknown(self, write: JobWrite) -> None:
        """Read a job's records again: the write may have been executed, or may still be."""
        job = write.job
        job.dirty_chunks |= write.written_chunks
        if 0 not in write.written_chunks:
            job.uncertain_chunks |= write.written_chunks
        self._start_read_back(write)

    def apply_not_executed(self, write: JobWrite, failed_keys: list[str]) -> None:
        """Unstage obsolete tasks of a job whose write was certainly not executed, or read the job's records again.

        If the cause of a conflict remained, later transactions that the job shares with others would fail as well.
        """
        team_state, job = write.team_state, write.job
        now = self._effects.now()
        job.dirty_chunks |= write.written_chunks
        if any(assignment_key(team_state.name, job.id, chunk) in failed_keys for chunk in write.condition_chunks):
            self._start_read_back(write)
            return
        job_ended = job_key(job.id) in failed_keys
        lost_zones = {attempt.zone for attempt in write.staged if partition_key(attempt.zone) in failed_keys}
        for attempt in write.staged:
            reservation_expired = now - attempt.assigned_at > self._workers.lease_s / 4
            obsolete = attempt.zone in lost_zones or job_ended or reservation_expired
            if obsolete and job.staged.get(attempt.index) is attempt:
                del job.staged[attempt.index]
                job.return_task(attempt.index, now)
        if job_ended:
            job.placement_not_before = max(job.placement_not_before, now + self._workers.report_s)
            self._read_back.read_job_record(job)

    def _start_read_back(self, write: JobWrite) -> None:
        write.job.write_state = WriteState.UNCERTAIN
        self._read_back.read_assignments(write.team_state, write.job)

    def back_off(self, job: Job) -> None:
        """Reduce and delay the writes of a job after one was rejected that had a transaction to itself.

        The state store's limits are then lower than the settings say. The job's writes become smaller, and after that
        less and less frequent, so that they don't delay other jobs.
        """
        now = self._effects.now()
        job.rejections += 1
        job.last_rejected_at = now
        if job.rejections > MAX_LIMIT_HALVINGS:
            backoff_s = self._workers.report_s * 2 ** (job.rejections - MAX_LIMIT_HALVINGS)
            job.write_not_before = now + min(backoff_s, MAX_BACKOFF_S)
            log.error(
                "job %s: write of its assignment record rejected by the state store, retrying in %.0f s",
                job.id,
                job.write_not_before - now,
            )
            job.unstage(list(job.staged.values()), self._effects.now())
