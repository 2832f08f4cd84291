"""The scheduler of the teams that a node owns: the owner of a team runs all of that team's jobs.

Order of a placement: inquire at the partitions, choose by min-min, reserve at the partition, make the assignment
durable under the team's and the partition's ownership and the job's revision, then launch. Order of an end: a report
shows it, or the attempt is provably off its machine; never a timeout alone.
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
from tealhook.scheduling.stop_commands import StopCommands
from tealhook.scheduling.team_recovery import TeamRecovery
from tealhook.state_store import StateClient
from tealhook.wire import mesh as wire

log = logging.getLogger(__name__)

RECONCILIATIONS_PER_LEASE = 6


class TeamScheduler:
    """All teams that this node owns.

    It builds the components that schedule them and connects them. For `JobCommitter` it is the `SchedulerActions`: it
    passes on to them what became durable.
    """

    def __init__(
        self, context: NodeContext, ownership: Ownership, store: StateClient, job_index: JobIndex, mesh: Mesh
    ) -> None:
        """No team yet: `on_ownership_change` tells of each that this node gains or loses."""
        self._effects = context.effects
        self._job_index = job_index
        self._workers = context.workers
        self._team_settings = {team.name: team for team in context.settings.params.teams}
        self.teams: dict[str, TeamState] = {}
        # `JobCommitter` and `Attempts` need each other: `JobCommitter` calls its actions from timers and replies alone,
        # hence never before all that follows is built.
        self.commits = JobCommitter(context, store, job_index, self.teams, self)
        self.cycle = SchedulingCycle(
            context,
            ownership,
            store,
            mesh,
            self.teams,
            job_index,
            self.commits,
        )
        self._attempt_index = AttemptIndex()
        self._stop_commands = StopCommands(ownership, mesh)
        self._job_cleanup = JobCleanup(self._attempt_index, self._stop_commands, self.commits)
        self._attempts = AttemptTracker(
            context,
            self.teams,
            self._attempt_index,
            self._stop_commands,
            self.commits,
            self._job_cleanup,
            self.cycle.wake,
        )
        self._launches = AttemptLauncher(context, ownership, mesh, self.teams, self._attempts.on_absent)
        self._reconciliation = Reconciliation(context, ownership, mesh, self.teams, self._attempt_index)
        self._dependencies = DependencyTracker(context, store, job_index, self.teams)
        self._job_builder = JobBuilder(context, job_index, self._dependencies.schedule_check)
        self._recovery = TeamRecovery(context, store, job_index, self.teams, self._job_builder, self._on_team_recovered)
        self._demand = TeamDemand(context, job_index, self.teams)
        every(context.effects, self._workers.lease_s / RECONCILIATIONS_PER_LEASE, self._reconcile_all)
        every(context.effects, self._workers.report_s, self._periodic_cleanup)

    # -- ownership

    def on_ownership_change(self, team: str, token: int | None) -> None:
        """This node gained a team under a fencing token, or lost it; gained anew, it is read from its records."""
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
        """All jobs of a team are rebuilt: go on where its former owner stopped."""
        now = self._effects.now()
        for job in team_state.jobs.values():
            for attempt in job.attempts.values():
                self._attempt_index.add(team_state, job, attempt)
        team_state.is_ready = True
        log.info("team %s: recovered %d jobs", team_state.name, len(team_state.jobs))
        for job in team_state.jobs.values():
            if job.spec is None:
                job.stopping_since = now - self._job_index.seconds_since_cancelled(job.id)
                self._stop_commands.stop_all(team_state, job)
        self._reconciliation.reconcile(team_state)
        self.cycle.wake()

    # -- job changes

    def on_job_changed(self, job_id: str) -> None:
        """The job index has a change of a job: submitted, released, cancelled or done."""
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
            self._dependencies.schedule_check(job_id)
        now = self._effects.now()
        if job is None:
            job = team_state.jobs[job_id] = self._job_builder.build(job_id, team_state.name, now)
            job.is_loaded = True
            self.cycle.wake()
        elif job.spec is None:
            log.error("%s is active, but was taken for ended: its team is recovered again", job_id)
            self.on_ownership_change(team_state.name, team_state.token)
        else:
            self._job_builder.update_priority(job, entry, now)
            if job.is_blocked and not entry.is_blocked:
                job.is_blocked = False
                job.schedulable_since = job.waiting_since = self._job_builder.schedulable_since(entry, now)
                self.cycle.wake()

    def _on_job_ended(self, team_state: TeamState, job: Job) -> None:
        job.spec = None  # terminal: nothing of it starts any more
        job.stopping_since = self._effects.now() - self._job_index.seconds_since_cancelled(job.id)
        self._stop_commands.stop_all(team_state, job)
        self._job_cleanup.remove_if_unassigned(team_state, job)

    # -- machines

    def on_status_update(self, update: wire.StatusUpdate) -> None:
        """Take what a partition's owner reports of a machine."""
        self._attempts.on_status_update(update)

    def on_machines_released(self, machines: list[str]) -> None:
        """The fleet's owner reports that the cloud has taken these machines, with all that was on them."""
        self._attempts.on_machines_released(machines)

    # -- outcomes of commits, as `SchedulerActions`

    def index_attempt(self, team_state: TeamState, job: Job, attempt: Attempt) -> None:
        """An attempt is on record: from now on it may be on its machine."""
        self._attempt_index.add(team_state, job, attempt)

    def launch(self, team_state: TeamState, zone: str, attempts: list[tuple[str, Attempt]]) -> None:
        """Start attempts of a zone, by job, that are on record."""
        self._launches.launch(team_state, zone, attempts)

    def stop_all(self, team_state: TeamState, job: Job) -> None:
        """Stop whatever a job may have on machines."""
        self._stop_commands.stop_all(team_state, job)

    def forget_finished(self, team_state: TeamState, job: Job) -> None:
        """Have workers forget tasks whose outcome is on record."""
        self._stop_commands.forget_finished(team_state, job)

    def remove_if_unassigned(self, team_state: TeamState, job: Job) -> None:
        """Remove a job that is over once none of its tasks may be on a machine."""
        self._job_cleanup.remove_if_unassigned(team_state, job)

    def reconcile(self, team_state: TeamState) -> None:
        """Ask the partitions' owners for what is on a team's machines."""
        self._reconciliation.reconcile(team_state)

    def wake_scheduler(self) -> None:
        """Tasks may be placeable now."""
        self.cycle.wake()

    # -- periodic work

    def _reconcile_all(self) -> None:
        for team_state in list(self.teams.values()):
            if team_state.is_ready:
                for job in team_state.jobs.values():
                    if job.spec is None:
                        self._stop_commands.stop_all(team_state, job)  # a stop may have been lost on its way
                    elif job.is_blocked:
                        self._dependencies.schedule_check(job.id)
                self._reconciliation.reconcile(team_state)

    def _periodic_cleanup(self) -> None:
        """Let feedback of teams without waiting tasks fade, and write what need not be durable at once."""
        now = self._effects.now()
        for team_state in self.teams.values():
            waiting = any(job.count_waiting() > 0 for job in team_state.jobs.values())
            if not waiting:
                for factor in team_state.estimate_feedback.values():
                    factor.decay(now, self._workers.lease_s)
        self.commits.schedule_commit()

    # -- sums for gossip

    def progress(self) -> dict[str, wire.JobProgress]:
        """Tasks done and tasks running, by job."""
        return self._demand.progress()

    def usage(self) -> list[wire.TeamUsage]:
        """CPUs that teams use: in all, for jobs above standard priority, and beyond their guarantees."""
        return self._demand.usage()

    def demand(self) -> list[wire.Demand]:
        """Waiting tasks by their requirements, no more than the team's limit lets run."""
        return self._demand.waiting()

    def non_spot_demand(self) -> tuple[list[wire.Demand], list[wire.Demand]]:
        """Of jobs that may not use spot machines: tasks soon to be released, and tasks that have a machine."""
        return self._demand.non_spot()


__all__ = ["TeamScheduler", "TeamState"]
