"""Tracking of recorded attempts: observed on their machines, ended there, or proved absent.

An attempt ends when a report shows its end, or when it is proved to be no longer on its machine; never because of a
timeout alone.
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
from tealhook.scheduling.stop_commands import NO_GRACE_PERIOD_S, StopCommandSender
from tealhook.wire import mesh as wire
from tealhook.wire.workers import ExitCause, TaskStatus

log = logging.getLogger(__name__)

NO_UPDATE = (0, 0)  # sorts before the (token, sequence) of every status update


class AttemptTracker:
    """Tracker of the recorded attempts of all teams that this node owns."""

    def __init__(
        self,
        context: NodeContext,
        teams: dict[str, TeamState],
        index: AttemptIndex,
        stop_command_sender: StopCommandSender,
        committer: JobCommitter,
        job_cleanup: JobCleanup,
        wake_scheduler: Callable[[], Any],
    ) -> None:
        """Initialize the tracker; `wake_scheduler` is called when a task is waiting again or capacity is freed."""
        self._effects = context.effects
        self._policy = context.policy
        self._teams = teams
        self._index = index
        self._stop_command_sender = stop_command_sender
        self._committer = committer
        self._job_cleanup = job_cleanup
        self._wake_scheduler = wake_scheduler
        self._backoff = FailureBackoff(context)

    # -- status updates

    def on_status_update(self, update: wire.StatusUpdate) -> None:
        """Apply a partition owner's status update of a machine, unless it has arrived out of order."""
        team_state = self._teams.get(update.team)
        if team_state is None or not team_state.is_ready:
            return
        order = (update.token, update.sequence)
        if order <= team_state.latest_updates.get(update.machine, NO_UPDATE):
            return
        team_state.latest_updates[update.machine] = order
        team_state.machines_with_orphans.pop(update.machine, None)
        stops: list[wire.TaskStop] = []
        matched = self._apply_observed_tasks(team_state, update, stops)
        for job, attempt in self._index.find(update.machine, team_state, matched):
            if self._proves_absence(attempt, update):
                log.debug(
                    "task %s/%d: attempt %d is proved absent from machine %s",
                    job.id,
                    attempt.index,
                    attempt.number,
                    attempt.machine,
                )
                self.on_absent(team_state, job, attempt)
        self._stop_command_sender.send(team_state, update.zone, stops)

    def _apply_observed_tasks(
        self, team_state: TeamState, update: wire.StatusUpdate, stops: list[wire.TaskStop]
    ) -> set[TaskKey]:
        """Apply each task of a status update; return the keys of the tasks whose recorded attempt was observed.

        Commands for attempts that the machine must stop or may forget are appended to `stops`.
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
        """Check whether an update without an attempt proves that it is not on the machine and can't start there later.

        A later session of the machine implies that its earlier tasks were stopped. A later token of the partition's
        owner excludes every launch under the earlier token. An update by the same owner is proof only if it was sent
        after the owner answered the launch, or after the launch could no longer reach it (see `Reconciliation`);
        before that, the launch may still be in flight.
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
        """Apply the observed status of a recorded attempt; stop the attempt if its job has ended."""
        if observed.status == TaskStatus.EXITED:
            self._on_exited(team_state, job, attempt, observed.cause, stops)
            return
        if observed.status != wire.LAUNCHING:
            attempt.state = AttemptState.from_task_status(observed.status)
        if job.spec is None and not attempt.is_stopping:
            attempt.is_stopping = True
            stops.append(wire.TaskStop(attempt.machine, job.id, attempt.index, attempt.number, NO_GRACE_PERIOD_S))

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
        stops.append(wire.TaskStop(attempt.machine, job.id, attempt.index, attempt.number, wire.FORGET_GRACE_PERIOD_S))

    def _on_completed(self, team_state: TeamState, job: Job, attempt: Attempt, now: float) -> None:
        """Mark the task of a successful attempt done; its worker may forget it only once that is durable."""
        if attempt.estimate is not None:
            self._record_feedback(team_state, attempt.zone, attempt.estimate, now)
        job.mark_done(attempt.index)
        job.consecutive_failures = 0
        job.tasks_to_forget.append(FinishedTask(attempt.zone, attempt.machine, attempt.index, attempt.number))
        self._committer.mark_deferrable_change(job, now)
        if job.is_finished:
            self._committer.schedule_commit()
        self._wake_scheduler()

    def _record_feedback(self, team_state: TeamState, zone: str, estimate: PlacementEstimate, now: float) -> None:
        feedback = team_state.estimate_feedback.setdefault(zone, Feedback(now))
        feedback.record_finish(estimate, now, self._policy.value("feedback"))

    # -- observed tasks that match no recorded attempt

    def _on_orphan(
        self,
        team_state: TeamState,
        job: Job | None,
        observed: wire.ObservedTask,
        update: wire.StatusUpdate,
        stops: list[wire.TaskStop],
    ) -> None:
        """Stop an observed attempt that is not recorded, or have its worker forget it if it has exited."""
        if observed.status == TaskStatus.EXITED:
            if job is not None and observed.cause == ExitCause.DONE and job.spec is not None:
                self._on_late_completion(job, observed, update, stops)
            else:
                stops.append(
                    wire.TaskStop(
                        update.machine, observed.job, observed.index, observed.attempt, wire.FORGET_GRACE_PERIOD_S
                    )
                )
        elif observed.status != wire.LAUNCHING:
            # The stop command may be lost, so the machine is reconciled until it no longer reports the attempt.
            team_state.machines_with_orphans[update.machine] = update.zone
            stops.append(
                wire.TaskStop(update.machine, observed.job, observed.index, observed.attempt, NO_GRACE_PERIOD_S)
            )

    def _on_late_completion(
        self, job: Job, observed: wire.ObservedTask, update: wire.StatusUpdate, stops: list[wire.TaskStop]
    ) -> None:
        """Mark a task done whose abandoned attempt has succeeded, and stop the attempt that replaced it."""
        if observed.index < job.task_count and not job.done[observed.index]:
            job.mark_done(observed.index)
            current = job.attempts.get(observed.index)
            if current is not None:
                stops.append(wire.TaskStop(current.machine, job.id, current.index, current.number, NO_GRACE_PERIOD_S))
            self._committer.mark_deferrable_change(job, self._effects.now())
        job.tasks_to_forget.append(FinishedTask(update.zone, update.machine, observed.index, observed.attempt))
        self._committer.schedule_commit()

    # -- attempts that are no longer on their machines

    def on_absent(self, team_state: TeamState, job: Job, attempt: Attempt) -> None:
        """Remove an attempt that is proved absent from its machine with an unknown outcome, and reschedule its task."""
        now = self._effects.now()
        self._remove(team_state, job, attempt)
        self._committer.mark_deferrable_change(job, now)
        if job.spec is not None:
            self._reschedule(team_state, job, attempt, now)
        self._job_cleanup.remove_if_unassigned(team_state, job)

    def on_machines_released(self, machines: list[str]) -> None:
        """Remove the attempts on machines that the cloud has released."""
        for machine in machines:
            for team_state in self._teams.values():
                team_state.latest_updates.pop(machine, None)
                team_state.machines_with_orphans.pop(machine, None)
            for team_state, job, attempt in self._index.find_all(machine, self._teams):
                self.on_absent(team_state, job, attempt)

    def _remove(self, team_state: TeamState, job: Job, attempt: Attempt) -> None:
        """Remove an attempt that is proved to be no longer on its machine."""
        del job.attempts[attempt.index]
        job.dirty_chunks.add(attempt.chunk)
        self._index.remove(team_state, job, attempt)
        self._committer.proved_absent.setdefault(job.id, set()).add((attempt.index, attempt.number))

    def _reschedule(self, team_state: TeamState, job: Job, attempt: Attempt, now: float) -> None:
        """Return the task of an ended attempt to the waiting tasks of its job.

        A gang can't continue without one of its tasks: the others are stopped, and the whole gang is placed again.
        """
        job.return_task(attempt.index, now)
        if job.is_gang and job.attempts:
            self._stop_command_sender.stop_all(team_state, job)
        self._wake_scheduler()
