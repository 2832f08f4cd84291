"""Removal of ended jobs that no longer have attempts or assignment records."""

from __future__ import annotations

from tealhook.jobs.job import Job, WriteState
from tealhook.jobs.team import TeamState
from tealhook.scheduling.attempt_index import AttemptIndex
from tealhook.scheduling.job_committer import JobCommitter
from tealhook.scheduling.stop_commands import StopCommandSender


class JobCleanup:
    """Removal of ended jobs from the teams that this node owns."""

    def __init__(self, index: AttemptIndex, stop_command_sender: StopCommandSender, committer: JobCommitter) -> None:
        """Initialize the cleanup; `committer` deletes a job's assignment records before the job itself is removed."""
        self._index = index
        self._stop_command_sender = stop_command_sender
        self._committer = committer

    def remove_if_unassigned(self, team_state: TeamState, job: Job) -> None:
        """Remove an ended job that has no attempts, once its assignment records are deleted."""
        if job.spec is None and not job.attempts and job.write_state is WriteState.SETTLED:
            if job.chunk_revisions:
                self._committer.schedule_commit()
            else:
                self._remove(team_state, job)

    def _remove(self, team_state: TeamState, job: Job) -> None:
        for attempt in list(job.attempts.values()):
            self._index.remove(team_state, job, attempt)
        self._stop_command_sender.forget_finished(team_state, job)
        team_state.jobs.pop(job.id, None)
        self._committer.proved_absent.pop(job.id, None)
