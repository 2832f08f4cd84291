"""Follows recorded attempts from status updates: observed on their machines, ended there, or proved absent.

An attempt ends when a report shows its end, or when it is provably off its machine; never by a timeout alone.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from tealhook.context import NodeContext
from tealhook.jobs.attempt import Attempt, AttemptState
from tealhook.jobs.job import FinishedTask, Job
from tealhook.jobs.team import TeamState
from tealhook.placement import Feedback, PlacementEstimate
from tealhook.scheduling.attempt_index import AttemptIndex, TaskKey
from tealhook.scheduling.failure_backoff import FailureBackoff
from tealhook.scheduling.job_cleanup import JobCleanup
from tealhook.scheduling.job_committer import JobCommitter
from tealhook.scheduling.stop_commands import AT_ONCE, StopCommands
from tealhook.wire import mesh as wire
from tealhook.wire.workers import ExitCause, TaskStatus

log = logging.getLogger(__name__)

NO_UPDATE = (0, 0)  # comes before every (token, sequence) of a status update


class AttemptTracker:
    """The attempts of all teams that this node owns, as status updates and released machines change them."""

    def __init__(
        self,
        context: NodeContext,
        teams: dict[str, TeamState],
        index: AttemptIndex,
        stop_commands: StopCommands,
        commits: JobCommitter,
        job_cleanup: JobCleanup,
        wake_scheduler: Callable[[], Any],
    ) -> None:
        """Attempts of the jobs in `teams`; `wake_scheduler` is called when tasks wait again or capacity is free."""
        self._effects = context.effects
        self._policy = context.policy
        self._teams = teams
        self._index = index
        self._stop_commands = stop_commands
        self._commits = commits
        self._job_cleanup = job_cleanup
        self._wake_scheduler = wake_scheduler
        self._backoff = FailureBackoff(context)

    # -- status updates

    def on_status_update(self, update: wire.StatusUpdate) -> None:
        """Take what a partition's owner reports of a machine. Updates that arrive out of order are ignored."""
        team_state = self._teams.get(update.team)
        if team_state is None or not team_state.is_ready:
            return
        order = (update.token, update.sequence)
        if order <= team_state.latest_updates.get(update.machine, NO_UPDATE):
            return
        team_state.latest_updates[update.machine] = order
        team_state.machines_with_orphans.pop(update.machine, None)
        stops: list[wire.TaskStop] = []
        observed = self._match_observed(team_state, update, stops)
        for job, attempt in self._index.find(update.machine, team_state, observed):
            if self._proves_absence(attempt, update):
                log.debug("%s/%d attempt %d is off %s", job.id, attempt.index, attempt.number, attempt.machine)
                self.on_absent(team_state, job, attempt)
        self._stop_commands.send(team_state, update.zone, stops)

    def _match_observed(
        self, team_state: TeamState, update: wire.StatusUpdate, stops: list[wire.TaskStop]
    ) -> set[TaskKey]:
        """Take each task observed on a machine, and add to `stops` what must go.

        Gives the tasks whose recorded attempts were among them.
        """
        matched: set[TaskKey] = set()
        for observed in update.tasks:
            job = team_state.jobs.get(observed.job)
            attempt = job.attempts.get(observed.index) if job else None
            if (
                job is not None
                and attempt is not None
                and attempt.number == observed.attempt
                and attempt.machine == update.machine
            ):
                matched.add(TaskKey(update.team, observed.job, observed.index))
                self._on_observed(team_state, job, attempt, observed, stops)
            else:
                self._on_orphan(team_state, job, observed, update, stops)
        return matched

    @staticmethod
    def _proves_absence(attempt: Attempt, update: wire.StatusUpdate) -> bool:
        """Whether an update that lacks an attempt proves that it is not on the machine and can't come there.

        A later session of the machine has stopped it. A later owner's token shuts out every launch under the earlier
        one. The same owner must have sent the update after it answered our launch, or after the launch could no
        longer reach it (see `Reconciliation`): before that, the launch may still be on its way.
        """
        if update.session > attempt.session or update.token > attempt.partition_token:
            return True
        return (
            update.token == attempt.partition_token
            and attempt.acknowledged_sequence is not None
            and update.sequence > attempt.acknowledged_sequence
        )

    def _on_observed(
        self,
        team_state: TeamState,
        job: Job,
        attempt: Attempt,
        observed: wire.ObservedTask,
        stops: list[wire.TaskStop],
    ) -> None:
        """A recorded attempt is on its machine, or has ended there."""
        if observed.status == TaskStatus.EXITED:
            self._on_exited(team_state, job, attempt, observed.cause, stops)
            return
        if observed.status != wire.LAUNCHING:
            attempt.state = AttemptState.from_task_status(observed.status)
        if job.spec is None and not attempt.is_stopping:
            attempt.is_stopping = True
            stops.append(wire.TaskStop(attempt.machine, job.id, attempt.index, attempt.number, AT_ONCE))

    def _on_exited(
        self, team_state: TeamState, job: Job, attempt: Attempt, cause: str | None, stops: list[wire.TaskStop]
    ) -> None:
        now = self._effects.now()
        self._remove(team_state, job, attempt)
        if cause == ExitCause.DONE and job.spec is not None:
            self._on_completed(team_state, job, attempt, now)
            return
        if job.spec is not None:
            self._backoff.on_failed_attempt(job, attempt, cause, now)
            self._reschedule(team_state, job, attempt, now)
        self._job_cleanup.remove_if_unassigned(team_state, job)
        stops.append(wire.TaskStop(attempt.machine, job.id, attempt.index, attempt.number, wire.FORGET))

    def _on_completed(self, team_state: TeamState, job: Job, attempt: Attempt, now: float) -> None:
        """An attempt did its task: the outcome is made durable first, and only then may the worker forget it."""
        if attempt.estimate is not None:
            self._learn_feedback(team_state, attempt.zone, attempt.estimate, now)
        job.mark_done(attempt.index)
        job.consecutive_failures = 0
        job.tasks_to_forget.append(FinishedTask(attempt.zone, attempt.machine, attempt.index, attempt.number))
        self._commits.mark_deferrable_change(job, now)
        if job.is_finished:
            self._commits.schedule_commit()
        self._wake_scheduler()

    def _learn_feedback(self, team_state: TeamState, zone: str, estimate: PlacementEstimate, now: float) -> None:
        factor = team_state.estimate_feedback.setdefault(zone, Feedback(now))
        factor.record_finish(estimate, now, self._policy.value("feedback"))

    # -- observed tasks that no recorded attempt matches

    def _on_orphan(
        self,
        team_state: TeamState,
        job: Job | None,
        observed: wire.ObservedTask,
        update: wire.StatusUpdate,
        stops: list[wire.TaskStop],
    ) -> None:
        """A machine has an attempt that is no longer on record: it is stopped, or forgotten when it has ended."""
        if observed.status == TaskStatus.EXITED:
            if job is not None and observed.cause == ExitCause.DONE and job.spec is not None:
                self._on_late_completion(job, observed, update, stops)
            else:
                stops.append(wire.TaskStop(update.machine, observed.job, observed.index, observed.attempt, wire.FORGET))
        elif observed.status != wire.LAUNCHING:
            # The stop may be lost on its way: the machine is reconciled until it is rid of the task.
            team_state.machines_with_orphans[update.machine] = update.zone
            stops.append(wire.TaskStop(update.machine, observed.job, observed.index, observed.attempt, AT_ONCE))

    def _on_late_completion(
        self, job: Job, observed: wire.ObservedTask, update: wire.StatusUpdate, stops: list[wire.TaskStop]
    ) -> None:
        """An attempt that had been given up did its task: the result counts, the attempt in its place is stopped."""
        if observed.index < job.task_count and not job.done[observed.index]:
            job.mark_done(observed.index)
            current = job.attempts.get(observed.index)
            if current is not None:
                stops.append(wire.TaskStop(current.machine, job.id, current.index, current.number, AT_ONCE))
            self._commits.mark_deferrable_change(job, self._effects.now())
        job.tasks_to_forget.append(FinishedTask(update.zone, update.machine, observed.index, observed.attempt))
        self._commits.schedule_commit()

    # -- attempts that are off their machines

    def on_absent(self, team_state: TeamState, job: Job, attempt: Attempt) -> None:
        """An attempt is certainly not on its machine, and how it ended is not known: its task waits again."""
        now = self._effects.now()
        self._remove(team_state, job, attempt)
        self._commits.mark_deferrable_change(job, now)
        if job.spec is not None:
            self._reschedule(team_state, job, attempt, now)
        self._job_cleanup.remove_if_unassigned(team_state, job)

    def on_machines_released(self, machines: list[str]) -> None:
        """The cloud has taken these machines, with all that was on them."""
        for machine in machines:
            for team_state in self._teams.values():
                team_state.latest_updates.pop(machine, None)
                team_state.machines_with_orphans.pop(machine, None)
            for team_state, job, attempt in self._index.find_all(machine, self._teams):
                self.on_absent(team_state, job, attempt)

    def _remove(self, team_state: TeamState, job: Job, attempt: Attempt) -> None:
        """Drop an attempt that is certainly not on its machine any more."""
        del job.attempts[attempt.index]
        job.dirty_chunks.add(attempt.chunk)
        self._index.remove(team_state, job, attempt)
        self._commits.proved_absent.setdefault(job.id, set()).add((attempt.index, attempt.number))

    def _reschedule(self, team_state: TeamState, job: Job, attempt: Attempt, now: float) -> None:
        """The task of an ended attempt waits again.

        A gang that lost a task can't go on: the rest is stopped, and all of it is placed anew.
        """
        job.return_task(attempt.index, now)
        if job.is_gang and job.attempts:
            self._stop_commands.stop_all(team_state, job)
        self._wake_scheduler()
