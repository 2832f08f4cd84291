"""Removal of jobs that have ended, once nothing of them may be on a machine or on record."""

from __future__ import annotations

from tealhook.jobs.job import Job, WriteState
from tealhook.jobs.team import TeamState
from tealhook.scheduling.attempt_index import AttemptIndex
from tealhook.scheduling.job_committer import JobCommitter
from tealhook.scheduling.stop_commands import StopCommands


class JobCleanup:
    """Removes jobs that have ended from the teams that this node owns."""

    def __init__(self, index: AttemptIndex, stop_commands: StopCommands, commits: JobCommitter) -> None:
        """`commits` deletes the assignment records of a job before the job itself is removed."""
        self._index = index
        self._stop_commands = stop_commands
        self._commits = commits

    def remove_if_unassigned(self, team_state: TeamState, job: Job) -> None:
        """Remove a terminal job once none of its tasks may be on a machine and its assignment records are deleted."""
        if job.spec is None and not job.attempts and job.write_state is WriteState.SETTLED:
            if job.chunk_revisions:
                self._commits.schedule_commit()
            else:
                self._remove(team_state, job)

    def _remove(self, team_state: TeamState, job: Job) -> None:
        for attempt in list(job.attempts.values()):
            self._index.remove(team_state, job, attempt)
        self._stop_commands.forget_finished(team_state, job)
        team_state.jobs.pop(job.id, None)
        self._commits.proved_absent.pop(job.id, None)
