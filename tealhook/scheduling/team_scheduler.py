"""Homes: the owner of a team's home runs all of that team's jobs.

Order of a placement: inquire at the parts, choose by min-min, reserve at the part, make the assignment
durable under the home's and the part's ownership and the job's stamp, then launch. Order of an end: a report
shows it, or the attempt is provably off its machine; never a time-out alone.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial

from tealhook.context import NodeContext
from tealhook.coordination import Ownership
from tealhook.jobs.index import JobEntry, JobIndex, JobRecord
from tealhook.jobs.job import Job, assignment_key, parse_assignment_key
from tealhook.jobs.records import JobRecords
from tealhook.jobs.team import TeamState
from tealhook.loop.effects import every
from tealhook.mesh import Mesh
from tealhook.scheduling import demand
from tealhook.scheduling.attempts import Attempts
from tealhook.scheduling.cycle import SchedulingCycle
from tealhook.scheduling.dependencies import DependencyTracker
from tealhook.scheduling.reconciliation import Reconciliation
from tealhook.state_store import StateClient
from tealhook.wire import mesh as wire
from tealhook.wire import state as state_wire

log = logging.getLogger("tealhook.jobs")

AHEAD_BOOTS = 2.0  # so long before its release a job's demand for ordinary machines counts: some boots take longer
OVERDUE_BOOTS = 4.0  # so long it goes on to count when the release does not come


class TeamScheduler:
    """All homes that this node owns."""

    def __init__(
        self, context: NodeContext, ownership: Ownership, store: StateClient, job_index: JobIndex, mesh: Mesh
    ) -> None:
        """No home yet: `owned` tells of each that comes or goes."""
        self._effects = context.effects
        self._store = store
        self._job_index = job_index
        self._records = JobRecords(context, store, job_index)
        self._workers = context.workers
        self._policy = context.policy
        self._team_settings = {team.name: team for team in context.settings.params.teams}
        self.teams: dict[str, TeamState] = {}
        self.attempts = Attempts(context, ownership, store, job_index, mesh, self.teams)
        self.commits = self.attempts.commits
        self.cycle = SchedulingCycle(
            context,
            ownership,
            store,
            mesh,
            self.teams,
            job_index,
            self.commits,
        )
        self.pipelines = DependencyTracker(context, store, job_index, self.teams)
        self._reconciliation = Reconciliation(context, ownership, mesh, self.teams, self.attempts)
        self.attempts.wake_scheduler = self.cycle.wake
        self.attempts.reconcile = self._reconciliation.reconcile
        # What the owners of the parts and of the fleet say of machines.
        self.on_status_update = self.attempts.on_status_update
        self.on_machines_released = self.attempts.on_machines_released
        every(context.effects, self._workers.lease_s / 6, self._reconcile_all)
        every(context.effects, self._workers.report_s, self._periodic_cleanup)

    # -- ownership

    def on_ownership_change(self, team: str, token: int | None) -> None:
        """Ownership of a home came or went."""
        team_state = self.teams.pop(team, None)
        if team_state is not None:
            for job in team_state.jobs.values():
                for attempt in job.attempts.values():
                    self.attempts.unindex_attempt(team_state, job, attempt)
        if token is not None and team in self._team_settings:
            team_state = self.teams[team] = TeamState(team, token)
            settings = self._team_settings[team]
            team_state.guarantee, team_state.limit, team_state.gpus_limit = (
                settings.cpus,
                settings.cpus_max,
                settings.gpus_max,
            )
            self._load(team_state)

    def _load(self, team_state: TeamState) -> None:
        """Read the durable records of the team, all of them, before anything is decided."""
        if self.teams.get(team_state.name) is not team_state:
            return
        if not self._job_index.synced:
            self._effects.later(0.05, lambda: self._load(team_state))
            return

        def done(rows: list[state_wire.KeyValue] | None, _epoch: int) -> None:
            if self.teams.get(team_state.name) is not team_state:
                return
            if rows is None:
                self._effects.later(0.2 + 0.2 * self._effects.rng.random(), lambda: self._load(team_state))
                return
            self._read_unknown(
                team_state, {parse_assignment_key(row.key, team_state.name)[0] for row in rows}, lambda: take(rows)
            )

        def take(rows: list[state_wire.KeyValue]) -> None:
            if self.teams.get(team_state.name) is team_state:
                self._take_over(team_state, rows)

        self._store.list(assignment_key(team_state.name, ""), done)

    def _take_over(self, team_state: TeamState, rows: list[state_wire.KeyValue]) -> None:
        """All records of a home are read: go on with its jobs where its former owner stopped."""
        now = self._effects.now()
        self._load_jobs(team_state, rows, now)
        for job in team_state.jobs.values():
            for attempt in job.attempts.values():
                self.attempts.index_attempt(team_state, job, attempt)
        for job_id, known in self._job_index.active.items():
            if known.team == team_state.name and job_id not in team_state.jobs:
                team_state.jobs[job_id] = self._job(team_state, job_id, now)
                team_state.jobs[job_id].loaded = True
        team_state.ready = True
        log.info("home %s: %d jobs", team_state.name, len(team_state.jobs))
        for job in team_state.jobs.values():
            if job.spec is None:
                job.ended_since = now - self._job_index.seconds_since_cancelled(job.id)
                self.attempts.stop_all(team_state, job)
        self._reconciliation.reconcile(team_state)
        self.cycle.wake()

    def _load_jobs(self, team_state: TeamState, rows: list[state_wire.KeyValue], now: float) -> None:
        """Jobs as their records say; a record that can't be read is passed over."""
        for row in rows:
            job_id, chunk = parse_assignment_key(row.key, team_state.name)
            job = team_state.jobs.get(job_id) or self._job(team_state, job_id, now)
            try:
                job.load(chunk, row.value, row.mod_revision, now)
            except ValueError as exc:
                log.error("%s", exc)
                continue
            team_state.jobs[job_id] = job

    def _read_unknown(self, team_state: TeamState, jobs: set[str], then: Callable[[], None]) -> None:
        """Read the records of jobs that our view lacks: it may be older than our claim.

        A job that is not known was once taken for ended: its tasks were stopped, and its record was dropped with what
        was done of it and the attempts given out.
        """
        unknown = sorted(job for job in jobs if self._job_index.status(job) is None)
        if not unknown:
            then()
            return
        waited = set(unknown)

        def read(job: str, kind: str, record: JobRecord | None, version: int) -> None:
            if self.teams.get(team_state.name) is not team_state:
                return
            if record is not None:
                self._job_index.apply_record(job, record, version)
            elif kind == "unknown":
                self._effects.later(0.2 + 0.2 * self._effects.rng.random(), lambda: ask(job))
                return
            waited.discard(job)
            if not waited:
                then()

        def ask(job: str) -> None:
            if self.teams.get(team_state.name) is team_state:
                self._records.fetch(job, partial(read, job))

        for job in unknown:
            ask(job)

    def _job(self, team_state: TeamState, job_id: str, now: float) -> Job:
        """A job as the book knows it. Its age outlasts the processes that look after it."""
        known = self._job_index.active.get(job_id)
        job = Job(job_id, team_state.name, known, now)
        if known is not None:
            self._update_priority(job, known, now)
            job.schedulable_since = job.waiting_since = self._released(known, now)
            if known.blocked:
                self.pipelines.schedule_check(job_id)
        return job

    def _released(self, known: JobEntry, now: float) -> float:
        """When a job was accepted, or else when the last of those that it waited for was done."""
        at = max(known.accepted_at, known.released_at)
        return now - max(0.0, self._effects.wall() - at) if at > 0 else now

    def _update_priority(self, job: Job, known: JobEntry, now: float) -> None:
        job.priority = known.priority
        job.deadline_at = now + known.deadline_at - self._effects.wall()

    def on_job_changed(self, job_id: str) -> None:
        """The book has news of a job: submitted, cancelled or done."""
        team = self._job_index.team_of(job_id)
        team_state = self.teams.get(team) if team else None
        if team is None or team_state is None or not team_state.ready:
            return
        job = team_state.jobs.get(job_id)
        known = self._job_index.active.get(job_id)
        if known is not None:
            if known.blocked:
                self.pipelines.schedule_check(job_id)
            if job is not None and job.spec is not None:
                now = self._effects.now()
                self._update_priority(job, known, now)
                if job.blocked and not known.blocked:
                    job.blocked = False
                    job.schedulable_since = job.waiting_since = self._released(known, now)
                    self.cycle.wake()
            if job is None:
                job = team_state.jobs[job_id] = self._job(team_state, job_id, self._effects.now())
                job.loaded = True
                self.cycle.wake()
            elif job.spec is None:
                log.error("%s is active, but was taken for ended: its home is read anew", job_id)
                self.on_ownership_change(team, team_state.token)
            return
        if job is not None and job.spec is not None:
            job.spec = None  # terminal: nothing of it starts any more
            job.ended_since = self._effects.now() - self._job_index.seconds_since_cancelled(job_id)
            self.attempts.stop_all(team_state, job)
            self.attempts.end_if_unassigned(team_state, job)

    # -- looking after machines

    def _reconcile_all(self) -> None:
        for team_state in list(self.teams.values()):
            if team_state.ready:
                for job in team_state.jobs.values():
                    if job.spec is None:
                        self.attempts.stop_all(team_state, job)  # a kill may have been lost on its way
                    elif job.blocked:
                        self.pipelines.schedule_check(job.id)
                self._reconciliation.reconcile(team_state)

    def _periodic_cleanup(self) -> None:
        now = self._effects.now()
        for team_state in self.teams.values():
            waiting = any(job.waiting_count() > 0 for job in team_state.jobs.values())
            if not waiting:
                for factor in team_state.factors.values():
                    factor.decay(now, self._workers.lease_s)
        self.commits.schedule_commit()

    # -- what others want to know

    def progress(self) -> dict[str, tuple[int, int]]:
        """Tasks done and tasks running, by job."""
        return demand.progress(self.teams)

    def usage(self) -> list[wire.TeamUsage]:
        """CPUs that teams take, in all, for urgent jobs, and beyond their guarantees."""
        return demand.usage(self.teams)

    def demand(self) -> list[wire.Demand]:
        """Waiting tasks by shape, no more than the team's limit lets run."""
        return demand.demand(self.teams)

    def ordinary_demand(self) -> tuple[list[wire.Demand], list[wire.Demand]]:
        """Of jobs that may not use spot machines: tasks soon to be released, and tasks that have a machine."""
        return demand.ordinary_demand(self.teams, self._released_soon)

    def _released_soon(self, job: Job) -> bool:
        """Whether a blocked job should be released so soon that a machine for it would have to be rented now.

        Not one whose others take far longer than estimated: nobody knows how long yet, and idle machines are paid for.
        """
        left_s = self._job_index.expected_release_at(job.id) - self._effects.wall()
        boot_s = self._policy.boot_s
        return -OVERDUE_BOOTS * boot_s <= left_s <= AHEAD_BOOTS * boot_s


__all__ = ["TeamScheduler", "TeamState"]
