"""Interfaces between the components of the team scheduler."""

from __future__ import annotations

from typing import Protocol

from tealhook.jobs.attempt import Attempt
from tealhook.jobs.job import Job
from tealhook.jobs.team import TeamState

JobAttempt = tuple[str, Attempt]  # a job's id, and one of its attempts


class SchedulerActions(Protocol):
    """Actions of the team scheduler that follow the outcome of a commit or a read-back."""

    def index_attempt(self, team_state: TeamState, job: Job, attempt: Attempt) -> None:
        """Index an attempt that is on record: from now on it may be on its machine."""

    def launch(self, team_state: TeamState, zone: str, attempts: list[JobAttempt]) -> None:
        """Launch recorded attempts of one zone."""

    def stop_all(self, team_state: TeamState, job: Job) -> None:
        """Stop all tasks of a job that may be on machines."""

    def forget_finished(self, team_state: TeamState, job: Job) -> None:
        """Have workers forget finished tasks whose outcome is on record."""

    def remove_if_unassigned(self, team_state: TeamState, job: Job) -> None:
        """Remove an ended job once none of its tasks may be on a machine."""

    def reconcile(self, team_state: TeamState) -> None:
        """Ask partition owners for the tasks on a team's machines."""

    def wake_scheduler(self) -> None:
        """Shorten the pauses between scheduling cycles, because tasks may be placeable now."""


class CommitQueue(Protocol):
    """Queue of job changes to commit."""

    @property
    def is_backlogged(self) -> bool:
        """True while staged assignments wait for write tokens."""

    def schedule_commit(self, delay_s: float | None = None) -> None:
        """Schedule a commit of the pending changes after `delay_s`, or after a short default delay."""
