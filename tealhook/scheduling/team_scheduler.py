"""Scheduler of the teams that a node owns: the owner of a team schedules all jobs of that team.

A task is placed in this order: ask the partitions for capacity, choose by min-min, reserve at the partition, make the
assignment durable on condition of the team's ownership, the partition's ownership and the job's revision, and only then
launch. An attempt ends when a report shows its end, or when it is proved to be no longer on its machine; never because
of a timeout alone.
"""

from __future__ import annotations

import logging

from tealhook.context import NodeContext
from tealhook.coordination import Ownership
from tealhook.jobs.attempt import Attempt
from tealhook.jobs.index import JobIndex
from tealhook.jobs.job import Job
from tealhook.jobs.job_entry import JobEntry
from tealhook.jobs.team import TeamState
from tealhook.loop.effects import every
from tealhook.mesh import Mesh
from tealhook.scheduling.attempt_index import AttemptIndex
from tealhook.scheduling.attempts import AttemptTracker
from tealhook.scheduling.cycle import SchedulingCycle
from tealhook.scheduling.demand import TeamDemand
from tealhook.scheduling.dependencies import DependencyTracker
from tealhook.scheduling.job_building import JobBuilder
from tealhook.scheduling.job_cleanup import JobCleanup
from tealhook.scheduling.job_committer import JobCommitter
from tealhook.scheduling.launches import AttemptLauncher
from tealhook.scheduling.reconciliation import Reconciliation
from tealhook.scheduling.stop_commands import StopCommandSender
from tealhook.scheduling.team_recovery import TeamRecovery
from tealhook.state_store import StateClient
from tealhook.wire import mesh as wire

log = logging.getLogger(__name__)

RECONCILIATIONS_PER_LEASE = 6


class TeamScheduler:
    """Scheduler of all teams that this node owns.

    It builds and connects the components that schedule the teams. As the `SchedulerActions` of `JobCommitter`, it
    passes the outcomes of commits on to these components.
    """

    def __init__(
        self, context: NodeContext, ownership: Ownership, store: StateClient, job_index: JobIndex, mesh: Mesh
    ) -> None:
        """Initialize the scheduler without teams; `on_ownership_change` adds and removes them."""
        self._effects = context.effects
        self._job_index = job_index
        self._workers = context.workers
        self._team_settings = {team.name: team for team in context.settings.params.teams}
        self.teams: dict[str, TeamState] = {}
        # `JobCommitter` and `AttemptTracker` depend on each other, which is safe because `JobCommitter` calls this
        # object only from timers and replies, never before this constructor returns.
        self.committer = JobCommitter(context, store, job_index, self.teams, self)
        self.cycle = SchedulingCycle(
            context,
            ownership,
            store,
            mesh,
            self.teams,
            job_index,
            self.committer,
        )
        self._attempt_index = AttemptIndex()
        self._stop_command_sender = StopCommandSender(ownership, mesh)
        self._job_cleanup = JobCleanup(self._attempt_index, self._stop_command_sender, self.committer)
        self._attempt_tracker = AttemptTracker(
            context,
            self.teams,
            self._attempt_index,
            self._stop_command_sender,
            self.committer,
            self._job_cleanup,
            self.cycle.wake,
        )
        self._attempt_launcher = AttemptLauncher(context, ownership, mesh, self.teams, self._attempt_tracker.on_absent)
        self._reconciliation = Reconciliation(context, ownership, mesh, self.teams, self._attempt_index)
        self._dependency_tracker = DependencyTracker(context, store, job_index, self.teams)
        self._job_builder = JobBuilder(context, job_index, self._dependency_tracker.schedule_check)
        self._recovery = TeamRecovery(context, store, job_index, self.teams, self._job_builder, self._on_team_recovered)
        self._demand = TeamDemand(context, job_index, self.teams)
        every(context.effects, self._workers.lease_s / RECONCILIATIONS_PER_LEASE, self._reconcile_all)
        every(context.effects, self._workers.report_s, self._decay_feedback_and_commit)

    # -- ownership

    def on_ownership_change(self, team: str, token: int | None) -> None:
        """Drop a team that this node has lost (`token` is None), or recover one that it has gained under `token`.

        A team that is gained again under a new token is dropped first, and recovered from its durable records.
        """
        team_state = self.teams.pop(team, None)
        if team_state is not None:
            for job in team_state.jobs.values():
                for attempt in job.attempts.values():
                    self._attempt_index.remove(team_state, job, attempt)
        settings = self._team_settings.get(team)
        if token is not None and settings is not None:
            team_state = self.teams[team] = TeamState(team, token)
            team_state.cpu_guarantee = settings.cpus
            team_state.cpu_limit = settings.cpus_max
            team_state.gpu_limit = settings.gpus_max
            self._recovery.recover(team_state)

    def _on_team_recovered(self, team_state: TeamState) -> None:
        """Start scheduling a team whose jobs have all been rebuilt as its former owner left them."""
        now = self._effects.now()
        for job in team_state.jobs.values():
            for attempt in job.attempts.values():
                self._attempt_index.add(team_state, job, attempt)
        team_state.is_ready = True
        log.info("team %s: recovered %d jobs", team_state.name, len(team_state.jobs))
        for job in team_state.jobs.values():
            if job.spec is None:
                job.stopping_since = now - self._job_index.seconds_since_cancelled(job.id)
                self._stop_command_sender.stop_all(team_state, job)
        self._reconciliation.reconcile(team_state)
        self.cycle.wake()

    # -- job changes

    def on_job_changed(self, job_id: str) -> None:
        """Apply a change of a job in the job index: it was submitted, released, cancelled or done."""
        team = self._job_index.team_of(job_id)
        team_state = self.teams.get(team) if team else None
        if team_state is None or not team_state.is_ready:
            return
        job = team_state.jobs.get(job_id)
        entry = self._job_index.active.get(job_id)
        if entry is not None:
            self._on_active_job_changed(team_state, job_id, job, entry)
        elif job is not None and job.spec is not None:
            self._on_job_ended(team_state, job)

    def _on_active_job_changed(self, team_state: TeamState, job_id: str, job: Job | None, entry: JobEntry) -> None:
        if entry.is_blocked:
            self._dependency_tracker.schedule_check(job_id)
        now = self._effects.now()
        if job is None:
            job = team_state.jobs[job_id] = self._job_builder.build(job_id, team_state.name, now)
            job.is_loaded = True
            self.cycle.wake()
        elif job.spec is None:
            log.error("job %s is active in the job index, but was considered ended here: recovering its team", job_id)
            self.on_ownership_change(team_state.name, team_state.token)
        else:
            self._job_builder.update_priority(job, entry, now)
            if job.is_blocked and not entry.is_blocked:
                job.is_blocked = False
                job.schedulable_since = job.waiting_since = self._job_builder.schedulable_since(entry, now)
                self.cycle.wake()

    def _on_job_ended(self, team_state: TeamState, job: Job) -> None:
        job.spec = None  # marks the job as ended: none of its tasks may start any more
        job.stopping_since = self._effects.now() - self._job_index.seconds_since_cancelled(job.id)
        self._stop_command_sender.stop_all(team_state, job)
        self._job_cleanup.remove_if_unassigned(team_state, job)

    # -- machines

    def on_status_update(self, update: wire.StatusUpdate) -> None:
        """Apply a partition owner's status update of a machine."""
        self._attempt_tracker.on_status_update(update)

    def on_machines_released(self, machines: list[str]) -> None:
        """Remove the attempts on machines that the cloud has released, as reported by the fleet's owner."""
        self._attempt_tracker.on_machines_released(machines)

    # -- outcomes of commits, as `SchedulerActions`

    def index_attempt(self, team_state: TeamState, job: Job, attempt: Attempt) -> None:
        """Index an attempt that has become durable: from now on it may be on its machine."""
        self._attempt_index.add(team_state, job, attempt)

    def launch(self, team_state: TeamState, zone: str, attempts: list[tuple[str, Attempt]]) -> None:
        """Launch durable attempts in a zone; each of `attempts` is a pair of a job's id and its attempt."""
        self._attempt_launcher.launch(team_state, zone, attempts)

    def stop_all(self, team_state: TeamState, job: Job) -> None:
        """Stop every attempt of a job that may be on a machine."""
        self._stop_command_sender.stop_all(team_state, job)

    def forget_finished(self, team_state: TeamState, job: Job) -> None:
        """Have workers forget tasks whose outcome is durable."""
        self._stop_command_sender.forget_finished(team_state, job)

    def remove_if_unassigned(self, team_state: TeamState, job: Job) -> None:
        """Remove an ended job once none of its tasks may be on a machine."""
        self._job_cleanup.remove_if_unassigned(team_state, job)

    def reconcile(self, team_state: TeamState) -> None:
        """Ask the partitions' owners for the status of a team's machines."""
        self._reconciliation.reconcile(team_state)

    def wake_scheduler(self) -> None:
        """Shorten the pauses between scheduling cycles, because tasks may be placeable now."""
        self.cycle.wake()

    # -- periodic work

    def _reconcile_all(self) -> None:
        """Reconcile all teams, repeat stop commands for ended jobs, and recheck the dependencies of blocked jobs."""
        for team_state in list(self.teams.values()):
            if team_state.is_ready:
                for job in team_state.jobs.values():
                    if job.spec is None:
                        # An earlier stop command may have been lost.
                        self._stop_command_sender.stop_all(team_state, job)
                    elif job.is_blocked:
                        self._dependency_tracker.schedule_check(job.id)
                self._reconciliation.reconcile(team_state)

    def _decay_feedback_and_commit(self) -> None:
        """Decay the feedback of teams without waiting tasks, and commit changes that could be deferred until now."""
        now = self._effects.now()
        for team_state in self.teams.values():
            has_waiting_tasks = any(job.count_waiting() > 0 for job in team_state.jobs.values())
            if not has_waiting_tasks:
                for feedback in team_state.estimate_feedback.values():
                    feedback.decay(now, self._workers.lease_s)
        self.committer.schedule_commit()

    # -- summaries for gossip

    def progress(self) -> dict[str, wire.JobProgress]:
        """Return the numbers of done and running tasks of each active job."""
        return self._demand.progress()

    def usage(self) -> list[wire.TeamUsage]:
        """Return each team's CPU usage: the total, for jobs above standard priority, and beyond its guarantee."""
        return self._demand.usage()

    def demand(self) -> list[wire.Demand]:
        """Return the waiting tasks by their requirements, no more than each team's limit allows to run."""
        return self._demand.waiting()

    def non_spot_demand(self) -> tuple[list[wire.Demand], list[wire.Demand]]:
        """Return the tasks of jobs that may not use spot machines: those soon to be released, and those placed."""
        return self._demand.non_spot()


__all__ = ["TeamScheduler", "TeamState"]
