"""What becomes of assignments on record: launched, seen on their machines, proved off them, stopped and cleared.

An attempt ends when a report shows its end, or when it is provably off its machine; never by a time-out alone.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial
from typing import Any

from tealhook.context import NodeContext
from tealhook.coordination import Ownership, partition_key
from tealhook.jobs.index import JobIndex
from tealhook.jobs.job import Attempt, Job, WriteState
from tealhook.jobs.tasks import PATIENT_FAILURES
from tealhook.jobs.team import TeamState
from tealhook.mesh import Mesh
from tealhook.placement import Feedback, PlacementEstimate
from tealhook.scheduling.commits import Commits
from tealhook.state_store import StateClient
from tealhook.wire import mesh as wire
from tealhook.wire.workers import ExitCause, TaskStatus

log = logging.getLogger("tealhook.jobs")

MOST_BACKOFF_STEPS = 5  # so often the pause between tries of a failing job doubles


class Attempts:
    """The attempts of all homes that this node owns, and when a job that is over may leave."""

    def __init__(
        self,
        context: NodeContext,
        ownership: Ownership,
        store: StateClient,
        job_index: JobIndex,
        mesh: Mesh,
        teams: dict[str, TeamState],
    ) -> None:
        """Attempts of the jobs in `homes`; what has to be on record goes by `commits`."""
        self._effects = context.effects
        self._policy = context.policy
        self._ownership = ownership
        self._mesh = mesh
        self._workers = context.workers
        self._teams = teams
        self.on_machine: dict[str, set[tuple[str, str, int]]] = {}  # machine -> (team, job, index)
        self.commits = Commits(context, store, job_index, teams, self)
        self.wake_scheduler: Callable[[], Any] = lambda: None  # there may be something to place
        self.reconcile: Callable[[TeamState], Any] = lambda _home: None  # ask what is on the machines of a home

    # -- the index of what may be on which machine

    def index_attempt(self, team_state: TeamState, job: Job, attempt: Attempt) -> None:
        """An attempt is on record: news of its machine that lack it are compared with what they prove."""
        self.on_machine.setdefault(attempt.machine, set()).add((team_state.name, job.id, attempt.index))

    def unindex_attempt(self, team_state: TeamState, job: Job, attempt: Attempt) -> None:
        """An attempt is off its machine, or its home is not ours any more."""
        placed = self.on_machine.get(attempt.machine)
        if placed is not None:
            placed.discard((team_state.name, job.id, attempt.index))
            if not placed:
                del self.on_machine[attempt.machine]

    # -- what happens to attempts

    def on_status_update(self, update: wire.StatusUpdate) -> None:
        """What a part's owner says of a machine. Older sayings that come late are passed over."""
        team_state = self._teams.get(update.team)
        if team_state is None or not team_state.ready:
            return
        order = (update.token, update.sequence)
        if order <= team_state.latest_updates.get(update.machine, (0, 0)):
            return
        team_state.latest_updates[update.machine] = order
        team_state.stray_machines.pop(update.machine, None)
        stops: list[tuple[str, str, int, int, float]] = []
        shown = self._match_observed(team_state, update, stops)
        for team, job_id, index in sorted(self.on_machine.get(update.machine, ())):
            if team != update.team:
                continue
            job = team_state.jobs.get(job_id)
            attempt = job.attempts.get(index) if job else None
            if job is None or attempt is None or attempt.machine != update.machine or (job_id, index) in shown:
                continue
            if self._proves_absence(attempt, update):
                log.debug("%s/%d attempt %d is off %s", job_id, index, attempt.number, attempt.machine)
                self._on_off_machine(team_state, job, attempt)
        self._send_stops(team_state, update.zone, stops)

    def _match_observed(self, team_state: TeamState, update: wire.StatusUpdate, stops: list) -> set[tuple[str, int]]:
        """Take what is on a machine; which of our tasks it is shown to have, and into `stops` what must go."""
        shown: set[tuple[str, int]] = set()
        for observed in update.tasks:
            job = team_state.jobs.get(observed.job)
            attempt = job.attempts.get(observed.index) if job else None
            if (
                job is not None
                and attempt is not None
                and attempt.number == observed.attempt
                and attempt.machine == update.machine
            ):
                shown.add((observed.job, observed.index))
                self._on_observed(team_state, job, attempt, observed, stops)
            elif observed.status == TaskStatus.EXITED:
                if job is not None and observed.cause == ExitCause.DONE and job.spec is not None:
                    # An attempt given up earlier did finish: its result is kept, so the task is done.
                    self._on_stray_done(job, observed, update, stops)
                else:
                    stops.append((update.machine, observed.job, observed.index, observed.attempt, -1.0))
            elif observed.status != wire.LAUNCHING:
                # The kill may be lost on its way: the machine is looked at until it is rid of the task.
                team_state.stray_machines[update.machine] = update.zone
                stops.append((update.machine, observed.job, observed.index, observed.attempt, 0.0))
        return shown

    @staticmethod
    def _proves_absence(attempt: Attempt, update: wire.StatusUpdate) -> bool:
        """Whether news that lack an attempt prove that it is not on the machine and can't come there.

        A later shift has killed it. A later owner's token shuts out every launch under the earlier one. The
        same owner must have spoken after it took (or can no longer take) our launch.
        """
        if update.session > attempt.session or update.token > attempt.partition_token:
            return True
        return (
            update.token == attempt.partition_token
            and attempt.acknowledged_sequence is not None
            and update.sequence > attempt.acknowledged_sequence
        )

    def _on_observed(
        self, team_state: TeamState, job: Job, attempt: Attempt, observed: wire.ObservedTask, stops: list
    ) -> None:
        """An attempt is on its machine, or has ended there."""
        if observed.status != TaskStatus.EXITED:
            if observed.status != wire.LAUNCHING:
                attempt.status = observed.status
            if job.spec is None and not attempt.stopping:
                attempt.stopping = True
                stops.append((attempt.machine, job.id, attempt.index, attempt.number, 0.0))
            return
        now = self._effects.now()
        self._remove(team_state, job, attempt)
        if observed.cause == ExitCause.DONE and job.spec is not None:
            if attempt.estimate is not None:
                self._learn_feedback(team_state, attempt.zone, attempt.estimate, now)
            job.mark_done(attempt.index)
            job.failures = 0
            # The outcome first, durably; then `clear`.
            job.to_forget.append((attempt.zone, attempt.machine, attempt.index, attempt.number))
            self.commits.mark_deferrable(job, now)
            if job.finished:
                self.commits.schedule_commit()
            self.wake_scheduler()
            return
        if job.spec is not None:
            self._on_failed_attempt(job, attempt, observed.cause, now)
            job.return_task(attempt.index, now)
            self._restart_gang(team_state, job)
            self.wake_scheduler()
        self.end_if_unassigned(team_state, job)
        stops.append((attempt.machine, job.id, attempt.index, attempt.number, -1.0))

    def _on_failed_attempt(self, job: Job, attempt: Attempt, cause: str | None, now: float) -> None:
        """A task failed, or its worker did not take it: when the job's next tasks may start."""
        if cause == ExitCause.ERROR:
            job.record_failure(attempt.machine)
            if job.failing:
                steps = min(job.failures - PATIENT_FAILURES, MOST_BACKOFF_STEPS)
                pause = self._workers.report_s * 2**steps
                job.not_before = now + pause * (0.75 + 0.5 * self._effects.rng.random())
            log.debug("%s/%d failed on %s", job.id, attempt.index, attempt.machine)
            if job.failures == PATIENT_FAILURES:  # once, however often it fails from now on
                log.info("%s: %d tasks failed and none is done: tried one at a time", job.id, job.failures)
        elif cause in (ExitCause.FULL, ExitCause.BUSY, ExitCause.UNKNOWN):
            log.info("%s/%d refused by %s: %s", job.id, attempt.index, attempt.machine, cause)
            job.not_before = max(job.not_before, now + self._workers.report_s / 2)

    def _on_stray_done(self, job: Job, observed: wire.ObservedTask, update: wire.StatusUpdate, stops: list) -> None:
        """A task was done by an attempt that had been given up: the one that took its place is stopped."""
        if observed.index < job.task_count and not job.done[observed.index]:
            job.mark_done(observed.index)
            current = job.attempts.get(observed.index)
            if current is not None:
                stops.append((current.machine, job.id, current.index, current.number, 0.0))
            self.commits.mark_deferrable(job, self._effects.now())
        job.to_forget.append((update.zone, update.machine, observed.index, observed.attempt))
        self.commits.schedule_commit()

    def _learn_feedback(self, team_state: TeamState, zone: str, placed: PlacementEstimate, now: float) -> None:
        factor = team_state.factors.setdefault(zone, Feedback(now))
        factor.record_finish(placed, now, self._policy.value("feedback"))

    def _remove(self, team_state: TeamState, job: Job, attempt: Attempt) -> None:
        """The attempt is certainly not on its machine any more."""
        del job.attempts[attempt.index]
        job.dirty_chunks.add(attempt.chunk)
        self.unindex_attempt(team_state, job, attempt)
        self.commits.proved_off.setdefault(job.id, set()).add((attempt.index, attempt.number))

    def _on_off_machine(self, team_state: TeamState, job: Job, attempt: Attempt) -> None:
        now = self._effects.now()
        self._remove(team_state, job, attempt)
        self.commits.mark_deferrable(job, now)
        if job.spec is not None:
            job.return_task(attempt.index, now)
            self._restart_gang(team_state, job)
            self.wake_scheduler()
        self.end_if_unassigned(team_state, job)

    def _restart_gang(self, team_state: TeamState, job: Job) -> None:
        """A gang that lost a task can't go on: the rest is stopped, and all of it is placed anew."""
        if job.gang and job.attempts:
            self.stop_all(team_state, job)

    def on_machines_released(self, machines: list[str]) -> None:
        """The cloud has taken these machines, with all that was on them."""
        for name in machines:
            for team_state in self._teams.values():
                team_state.latest_updates.pop(name, None)
                team_state.stray_machines.pop(name, None)
            for team, job_id, index in sorted(self.on_machine.get(name, ())):
                owned = self._teams.get(team)
                job = owned.jobs.get(job_id) if owned else None
                attempt = job.attempts.get(index) if job else None
                if owned is not None and job is not None and attempt is not None and attempt.machine == name:
                    self._on_off_machine(owned, job, attempt)

    def stop_all(self, team_state: TeamState, job: Job) -> None:
        """Kill whatever a terminal job may still have on machines."""
        zones: dict[str, list[tuple[str, str, int, int, float]]] = {}
        for attempt in job.attempts.values():
            zones.setdefault(attempt.zone, []).append((attempt.machine, job.id, attempt.index, attempt.number, 0.0))
        for zone, items in zones.items():
            self._send_stops(team_state, zone, items)

    def _send_stops(self, team_state: TeamState, zone: str, items: list) -> None:
        owner = self._ownership.owner(partition_key(zone))
        if owner is not None and items:
            self._mesh.send(owner, wire.StopRequest(zone, team_state.name, team_state.token, items))

    def forget_finished(self, team_state: TeamState, job: Job) -> None:
        """Have workers forget tasks whose outcome is on record: before, a repeat would start them anew."""
        zones: dict[str, list] = {}
        for zone, machine, index, number in job.to_forget:
            zones.setdefault(zone, []).append((machine, job.id, index, number, -1.0))
        job.to_forget.clear()
        for zone, items in zones.items():
            self._send_stops(team_state, zone, items)

    # -- launches

    def launch(self, team_state: TeamState, zone: str, attempts: list[tuple[str, Attempt]]) -> None:
        """Start attempts of a zone, by job, that are on record. A launch that is lost is settled by a look."""
        now = self._effects.now()
        by_token: dict[int, list[tuple[str, Attempt]]] = {}
        for job_id, attempt in attempts:
            job = team_state.jobs.get(job_id)
            if job is not None and job.attempts.get(attempt.index) is attempt:
                # Its reservation was made before now, so it has expired by then on any clock.
                attempt.launch_expires_at = now + 1.01 * self._workers.lease_s / 4 + 0.1
                by_token.setdefault(attempt.partition_token, []).append((job_id, attempt))
        owner = self._ownership.owner(partition_key(zone))
        if owner is None:
            return  # the next look settles it
        for token, items in by_token.items():
            starts = [wire.TaskStart(a.reservation_id, job_id, a.index, a.number) for job_id, a in items]
            self._mesh.call(
                owner,
                wire.LaunchRequest(zone, token, team_state.name, team_state.token, starts),
                self._workers.report_s,
                partial(self._launched, team_state, items),
            )

    def _launched(self, team_state: TeamState, items: list[tuple[str, Attempt]], reply: Any) -> None:
        if self._teams.get(team_state.name) is not team_state or not isinstance(reply, wire.LaunchReply):
            return
        refused = set(reply.refused)
        for job_id, attempt in items:
            job = team_state.jobs.get(job_id)
            if job is None or job.attempts.get(attempt.index) is not attempt:
                continue
            if attempt.reservation_id in refused:
                log.debug("%s/%d: launch refused", job_id, attempt.index)
                self._on_off_machine(team_state, job, attempt)
            else:
                attempt.acknowledged_sequence = reply.sequence

    # -- ends

    def end_if_unassigned(self, team_state: TeamState, job: Job) -> None:
        """A terminal job leaves once none of its tasks may be on a machine."""
        if job.spec is None and not job.attempts and job.write_state is WriteState.SETTLED:
            if job.chunk_revisions:
                self.commits.schedule_commit()
            else:
                self._end_job(team_state, job)

    def _end_job(self, team_state: TeamState, job: Job) -> None:
        for attempt in list(job.attempts.values()):
            self.unindex_attempt(team_state, job, attempt)
        self.forget_finished(team_state, job)
        team_state.jobs.pop(job.id, None)
        self.commits.proved_off.pop(job.id, None)
