"""What becomes of each job of a transaction once its outcome is known."""

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
from tealhook.scheduling.job_writes import MAX_HALVINGS, JobWrite, WriteKind
from tealhook.scheduling.read_back import RecordReadBack

log = logging.getLogger(__name__)

REJECTION_MEMORY_S = 60.0  # so long after a rejection the writes of a job stay small
MAX_BACKOFF_S = 60.0  # between tries of a write that is rejected however small it is


class PendingLaunches:
    """Attempts to be launched once all jobs of a transaction have been looked at, by team and zone."""

    def __init__(self) -> None:
        """Nothing to launch yet."""
        self._by_place: dict[tuple[str, str], list[JobAttempt]] = {}

    def add(self, team: str, job: str, attempt: Attempt) -> None:
        """An attempt is on record."""
        self._by_place.setdefault((team, attempt.zone), []).append((job, attempt))

    def launch_all(self, teams: dict[str, TeamState], observer: SchedulerActions) -> None:
        """Launch them, one call for each team and zone."""
        for (team, zone), attempts in self._by_place.items():
            observer.launch(teams[team], zone, attempts)


class CommitOutcomes:
    """Applies the outcomes of transactions to the jobs that were in them."""

    def __init__(
        self,
        context: NodeContext,
        job_index: JobIndex,
        records: JobRecordStore,
        proved_absent: dict[str, set[tuple[int, int]]],
        observer: SchedulerActions,
        read_back: RecordReadBack,
    ) -> None:
        """`proved_absent`: of each job the attempts that are gone, until that is durable."""
        self._effects = context.effects
        self._workers = context.workers
        self._job_index = job_index
        self._records = records
        self._proved_absent = proved_absent
        self._observer = observer
        self._read_back = read_back

    # -- executed

    def apply_executed(self, write: JobWrite, revision: int, launches: PendingLaunches) -> None:
        """A write is durable, as of `revision`."""
        job = write.job
        self._forget_rejections(job)
        for chunk in write.written_chunks:
            job.chunk_revisions.pop(chunk, None)
        job.chunk_revisions.update(dict.fromkeys(write.kept_chunks, revision))
        if write.kind is WriteKind.FINISH:
            self._apply_finish(write.team_state, job, revision)
        elif write.kind is WriteKind.DELETE:
            self._observer.remove_if_unassigned(write.team_state, job)
        else:
            self._apply_assignment(write, launches)

    def _forget_rejections(self, job: Job) -> None:
        """A write of the job was taken: back-off ends at once, but writes stay small for a while."""
        if self._effects.now() - job.last_rejected_at > REJECTION_MEMORY_S:
            job.rejections = 0
        elif job.rejections:
            job.rejections = min(job.rejections, MAX_HALVINGS)

    def _apply_finish(self, team_state: TeamState, job: Job, revision: int) -> None:
        """A job's end is durable."""
        if job.spec is not None and log.isEnabledFor(logging.DEBUG):
            log.debug(
                "job %s done after %.1f s: class %s, %d tasks of %g CPUs, estimated run %.1f s, deadline %s",
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
            self._observer.stop_all(team_state, job)
        else:
            self._observer.remove_if_unassigned(team_state, job)

    def _apply_assignment(self, write: JobWrite, launches: PendingLaunches) -> None:
        """A job's assignments are durable: what was staged may be launched."""
        team_state, job = write.team_state, write.job
        job.move_attempts(write.moved_attempts, write.written_chunks)
        if 0 in write.written_chunks:
            job.uncertain_chunks.clear()  # a copy of unknown outcome fails on the first chunk's revision from now on
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
            self._observer.index_attempt(team_state, job, attempt)
            if job.spec is not None:
                launches.add(team_state.name, job.id, attempt)
        if job.spec is None:
            self._observer.stop_all(team_state, job)
        self._observer.forget_finished(team_state, job)

    # -- not executed, or nobody knows

    def apply_unknown(self, write: JobWrite) -> None:
        """A write may have been executed, or may yet be: the job waits until its records have been read."""
        job = write.job
        job.dirty_chunks |= write.written_chunks
        if 0 not in write.written_chunks:
            job.uncertain_chunks |= write.written_chunks
        self._start_read_back(write)

    def apply_not_executed(self, write: JobWrite, failed_keys: list[str]) -> None:
        """A write is certainly not executed. A conflict of one job must not delay the others for ever."""
        team_state, job = write.team_state, write.job
        now = self._effects.now()
        job.dirty_chunks |= write.written_chunks
        if any(assignment_key(team_state.name, job.id, chunk) in failed_keys for chunk in write.condition_chunks):
            self._start_read_back(write)
            return
        job_ended = job_key(job.id) in failed_keys
        lost_zones = {attempt.zone for attempt in write.staged if partition_key(attempt.zone) in failed_keys}
        for attempt in write.staged:
            expired = now - attempt.assigned_at > self._workers.lease_s / 4  # its reservation
            obsolete = attempt.zone in lost_zones or job_ended or expired
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
        """A job's write was rejected though it was alone in its transaction: by limits that we don't know.

        It is written smaller, and then less and less often: it must not delay others.
        """
        now = self._effects.now()
        job.rejections += 1
        job.last_rejected_at = now
        if job.rejections > MAX_HALVINGS:
            backoff_s = self._workers.report_s * 2 ** (job.rejections - MAX_HALVINGS)
            job.write_not_before = now + min(backoff_s, MAX_BACKOFF_S)
            log.error(
                "job %s: its record is rejected by the state service, next try in %.0f s",
                job.id,
                job.write_not_before - now,
            )
            job.unstage(list(job.staged.values()), self._effects.now())
