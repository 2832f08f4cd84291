"""Interfaces between the components of the team scheduler."""

from __future__ import annotations

from typing import Protocol

from tealhook.jobs.attempt import Attempt
from tealhook.jobs.job import Job
from tealhook.jobs.team import TeamState

JobAttempt = tuple[str, Attempt]  # the job's id and an attempt of it


class SchedulerActions(Protocol):
    """What becomes of jobs once something of them is durable, or certainly is not."""

    def index_attempt(self, team_state: TeamState, job: Job, attempt: Attempt) -> None:
        """An attempt is on record: from now on it may be on its machine."""

    def launch(self, team_state: TeamState, zone: str, attempts: list[JobAttempt]) -> None:
        """Start attempts in a zone that are on record."""

    def stop_all(self, team_state: TeamState, job: Job) -> None:
        """Stop whatever a job may have on machines."""

    def forget_finished(self, team_state: TeamState, job: Job) -> None:
        """Have workers forget tasks whose outcome is on record."""

    def remove_if_unassigned(self, team_state: TeamState, job: Job) -> None:
        """Drop a terminal job once none of its tasks may be on a machine."""

    def reconcile(self, team_state: TeamState) -> None:
        """Ask the partitions what is on the machines of a team."""

    def wake_scheduler(self) -> None:
        """Start the next scheduling cycle soon: there may be something to place."""


class CommitQueue(Protocol):
    """Whatever makes pending changes of jobs durable."""

    @property
    def is_backlogged(self) -> bool:
        """Whether staged assignments wait for write tokens."""

    def schedule_commit(self, delay: float | None = None) -> None:
        """Commit what is pending after `delay` seconds, or after a short default delay."""
