"""Homes: the owner of a team's home runs all of that team's jobs.

Order of a placement: inquire at the parts, choose by min-min, reserve at the part, make the assignment
durable under the home's and the part's ownership and the job's stamp, then launch. Order of an end: a report
shows it, or the attempt is provably off its machine; never a time-out alone.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial

from tealhook.jobs import totals
from tealhook.jobs.attempts import Attempts
from tealhook.jobs.cycle import SchedulingCycle
from tealhook.jobs.index import JobEntry, JobIndex, JobRecord
from tealhook.jobs.job import Job, live_key, piece_of
from tealhook.jobs.pipelines import Pipelines
from tealhook.jobs.records import JobRecords
from tealhook.jobs.silence import Silence
from tealhook.jobs.team import TeamState
from tealhook.loop.effects import Effects, every
from tealhook.mesh import Mesh
from tealhook.settings import Policy, Settings
from tealhook.store import Ownership, StateClient
from tealhook.wire import mesh as wire
from tealhook.wire import state as state_wire

log = logging.getLogger("tealhook.jobs")

AHEAD_BOOTS = 2.0  # so long before its release a job's demand for ordinary machines counts: some boots take longer
OVERDUE_BOOTS = 4.0  # so long it goes on to count when the release does not come


class TeamScheduler:
    """All homes that this node owns."""

    def __init__(
        self,
        effects: Effects,
        settings: Settings,
        policy: Policy,
        ownership: Ownership,
        store: StateClient,
        book: JobIndex,
        mesh: Mesh,
        variables: Callable[[], dict[str, float]],
    ) -> None:
        """No home yet: `owned` tells of each that comes or goes."""
        self._fx = effects
        self._store = store
        self._book = book
        self._records = JobRecords(effects, store, book)
        self._workers = settings.params.workers
        self._variables = variables
        self._teams = {team.name: team for team in settings.params.teams}
        self.homes: dict[str, TeamState] = {}
        self.attempts = Attempts(effects, settings, policy, ownership, store, book, mesh, variables, self.homes)
        self.commits = self.attempts.commits
        self.cycle = SchedulingCycle(
            effects,
            settings,
            policy,
            ownership,
            store,
            mesh,
            variables,
            self.homes,
            book,
            lambda: self.commits.behind,
            self.commits.soon,
        )
        self.pipelines = Pipelines(effects, settings, store, book, self.homes)
        self._silence = Silence(effects, settings, policy, ownership, mesh, variables, self.homes, self.attempts)
        self.attempts.wake = self.cycle.wake
        self.attempts.look = self._silence.look
        # What the owners of the parts and of the fleet say of machines.
        self.news = self.attempts.news
        self.gone = self.attempts.gone
        every(effects, self._workers.lease_s / 6, self._look_all)
        every(effects, self._workers.report_s, self._tidy)

    # -- ownership

    def owned(self, team: str, token: int | None) -> None:
        """Ownership of a home came or went."""
        home = self.homes.pop(team, None)
        if home is not None:
            for job in home.jobs.values():
                for attempt in job.attempts.values():
                    self.attempts.unplace(home, job, attempt)
        if token is not None and team in self._teams:
            home = self.homes[team] = TeamState(team, token)
            settings = self._teams[team]
            home.guarantee, home.limit, home.gpus_limit = settings.cpus, settings.cpus_max, settings.gpus_max
            self._load(home)

    def _load(self, home: TeamState) -> None:
        """Read the durable records of the team, all of them, before anything is decided."""
        if self.homes.get(home.team) is not home:
            return
        if not self._book.synced:
            self._fx.later(0.05, lambda: self._load(home))
            return

        def done(rows: list[state_wire.Row] | None, _epoch: int) -> None:
            if self.homes.get(home.team) is not home:
                return
            if rows is None:
                self._fx.later(0.2 + 0.2 * self._fx.rng.random(), lambda: self._load(home))
                return
            self._read_unknown(home, {piece_of(row.path, home.team)[0] for row in rows}, lambda: take(rows))

        def take(rows: list[state_wire.Row]) -> None:
            if self.homes.get(home.team) is home:
                self._take_over(home, rows)

        self._store.list(live_key(home.team, ""), done)

    def _take_over(self, home: TeamState, rows: list[state_wire.Row]) -> None:
        """All records of a home are read: go on with its jobs where its former owner stopped."""
        now = self._fx.now()
        self._load_jobs(home, rows, now)
        for job in home.jobs.values():
            for attempt in job.attempts.values():
                self.attempts.place(home, job, attempt)
        for job_id, known in self._book.active.items():
            if known.team == home.team and job_id not in home.jobs:
                home.jobs[job_id] = self._job(home, job_id, now)
                home.jobs[job_id].loaded = True
        home.ready = True
        log.info("home %s: %d jobs", home.team, len(home.jobs))
        for job in home.jobs.values():
            if job.spec is None:
                job.over_since = now - self._book.cancelled_for(job.id)
                self.attempts.stop_all(home, job)
        self._silence.look(home)
        self.cycle.wake()

    def _load_jobs(self, home: TeamState, rows: list[state_wire.Row], now: float) -> None:
        """Jobs as their records say; a record that can't be read is passed over."""
        for row in rows:
            job_id, piece = piece_of(row.path, home.team)
            job = home.jobs.get(job_id) or self._job(home, job_id, now)
            try:
                job.load(piece, row.v, row.stamp, now)
            except ValueError as exc:
                log.error("%s", exc)
                continue
            home.jobs[job_id] = job

    def _read_unknown(self, home: TeamState, jobs: set[str], then: Callable[[], None]) -> None:
        """Read the records of jobs that our view lacks: it may be older than our claim.

        A job that is not known was once taken for ended: its tasks were stopped, and its record was dropped with what
        was done of it and the attempts given out.
        """
        unknown = sorted(job for job in jobs if self._book.status(job) is None)
        if not unknown:
            then()
            return
        waited = set(unknown)

        def read(job: str, kind: str, record: JobRecord | None, version: int) -> None:
            if self.homes.get(home.team) is not home:
                return
            if record is not None:
                self._book.learn(job, record, version)
            elif kind == "unknown":
                self._fx.later(0.2 + 0.2 * self._fx.rng.random(), lambda: ask(job))
                return
            waited.discard(job)
            if not waited:
                then()

        def ask(job: str) -> None:
            if self.homes.get(home.team) is home:
                self._records.fetch(job, partial(read, job))

        for job in unknown:
            ask(job)

    def _job(self, home: TeamState, job_id: str, now: float) -> Job:
        """A job as the book knows it. Its age outlasts the processes that look after it."""
        known = self._book.active.get(job_id)
        job = Job(job_id, home.team, known, now)
        if known is not None:
            self._weigh(job, known, now)
            job.since = job.waiting_since = self._released(known, now)
            if known.blocked:
                self.pipelines.look_at(job_id)
        return job

    def _released(self, known: JobEntry, now: float) -> float:
        """When a job was accepted, or else when the last of those that it waited for was done."""
        at = max(known.at, known.released_at)
        return now - max(0.0, self._fx.wall() - at) if at > 0 else now

    def _weigh(self, job: Job, known: JobEntry, now: float) -> None:
        job.urgency = known.urgency
        job.due_at = now + known.due_at - self._fx.wall()

    def job_changed(self, job_id: str) -> None:
        """The book has news of a job: submitted, cancelled or done."""
        team = self._book.team(job_id)
        home = self.homes.get(team) if team else None
        if team is None or home is None or not home.ready:
            return
        job = home.jobs.get(job_id)
        known = self._book.active.get(job_id)
        if known is not None:
            if known.blocked:
                self.pipelines.look_at(job_id)
            if job is not None and job.spec is not None:
                now = self._fx.now()
                self._weigh(job, known, now)
                if job.blocked and not known.blocked:
                    job.blocked = False
                    job.since = job.waiting_since = self._released(known, now)
                    self.cycle.wake()
            if job is None:
                job = home.jobs[job_id] = self._job(home, job_id, self._fx.now())
                job.loaded = True
                self.cycle.wake()
            elif job.spec is None:
                log.error("%s is active, but was taken for ended: its home is read anew", job_id)
                self.owned(team, home.token)
            return
        if job is not None and job.spec is not None:
            job.spec = None  # terminal: nothing of it starts any more
            job.over_since = self._fx.now() - self._book.cancelled_for(job_id)
            self.attempts.stop_all(home, job)
            self.attempts.end_if_clear(home, job)

    # -- looking after machines

    def _look_all(self) -> None:
        for home in list(self.homes.values()):
            if home.ready:
                for job in home.jobs.values():
                    if job.spec is None:
                        self.attempts.stop_all(home, job)  # a kill may have been lost on its way
                    elif job.blocked:
                        self.pipelines.look_at(job.id)
                self._silence.look(home)

    def _tidy(self) -> None:
        now = self._fx.now()
        for home in self.homes.values():
            waiting = any(job.waiting() > 0 for job in home.jobs.values())
            if not waiting:
                for factor in home.factors.values():
                    factor.idle(now, self._workers.lease_s)
        self.commits.soon()

    # -- what others want to know

    def progress(self) -> dict[str, tuple[int, int]]:
        """Tasks done and tasks running, by job."""
        return totals.progress(self.homes)

    def usage(self) -> list[wire.Usage]:
        """CPUs that teams take, in all, for urgent jobs, and beyond their guarantees."""
        return totals.usage(self.homes)

    def demand(self) -> list[wire.Demand]:
        """Waiting tasks by shape, no more than the team's limit lets run."""
        return totals.demand(self.homes)

    def ordinary_demand(self) -> tuple[list[wire.Demand], list[wire.Demand]]:
        """Of jobs that may not use spot machines: tasks soon to be released, and tasks that have a machine."""
        return totals.ordinary_demand(self.homes, self._released_soon)

    def _released_soon(self, job: Job) -> bool:
        """Whether a blocked job should be released so soon that a machine for it would have to be rented now.

        Not one whose others take far longer than estimated: nobody knows how long yet, and idle machines are paid for.
        """
        left_s = self._book.expected_release(job.id) - self._fx.wall()
        boot_s = self._variables()["boot_s"]
        return -OVERDUE_BOOTS * boot_s <= left_s <= AHEAD_BOOTS * boot_s


__all__ = ["TeamScheduler", "TeamState"]
