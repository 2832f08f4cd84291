"""Recovery of a team after a failover: its jobs are rebuilt from the durable records, before any decision."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from tealhook.context import NodeContext
from tealhook.errors import CorruptRecordError
from tealhook.jobs.assignment_record import assignment_key, parse_assignment_key
from tealhook.jobs.index import JobIndex
from tealhook.jobs.job_records import JobRecord
from tealhook.jobs.record_store import JobRecordStore
from tealhook.jobs.team import TeamState
from tealhook.scheduling.job_building import JobBuilder
from tealhook.state_store import ReadOutcome, StateClient
from tealhook.wire import state as state_wire

log = logging.getLogger(__name__)

INDEX_POLL_S = 0.05  # between looks at whether the job index has been read
MIN_RETRY_S = 0.2  # before a failed read is repeated, with jitter of the same length
RETRY_JITTER_S = 0.2


@dataclass(slots=True)
class _Recovery:
    """One team's records while job records that the index lacks are being read."""

    team_state: TeamState
    rows: list[state_wire.KeyValue]  # its assignment records
    unread: set[str]  # jobs whose records have not been read yet


class TeamRecovery:
    """Reads the records of teams and rebuilds their jobs."""

    def __init__(
        self,
        context: NodeContext,
        store: StateClient,
        job_index: JobIndex,
        teams: dict[str, TeamState],
        job_builder: JobBuilder,
        on_recovered: Callable[[TeamState], Any],
    ) -> None:
        """For the teams in `teams`; `on_recovered` is called once all jobs of one are rebuilt."""
        self._effects = context.effects
        self._store = store
        self._job_index = job_index
        self._records = JobRecordStore(context, store, job_index)
        self._teams = teams
        self._job_builder = job_builder
        self._on_recovered = on_recovered

    def recover(self, team_state: TeamState) -> None:
        """Read all durable records of a team. Given up as soon as this node no longer owns it under the same token."""
        if not self._is_current(team_state):
            return
        if not self._job_index.is_synced:
            self._effects.later(INDEX_POLL_S, partial(self.recover, team_state))
            return
        self._store.list(assignment_key(team_state.name, ""), partial(self._on_assignments_read, team_state))

    def _is_current(self, team_state: TeamState) -> bool:
        return self._teams.get(team_state.name) is team_state

    def _retry_pause_s(self) -> float:
        return MIN_RETRY_S + RETRY_JITTER_S * self._effects.rng.random()

    def _on_assignments_read(
        self, team_state: TeamState, rows: list[state_wire.KeyValue] | None, _revision: int
    ) -> None:
        """Read the records of jobs that the job index lacks: our view of the store may be older than our claim.

        Such a job was once taken for ended: its tasks were stopped, and its assignment record was deleted, and with it
        what had been done and the attempt numbers given out.
        """
        if not self._is_current(team_state):
            return
        if rows is None:
            self._effects.later(self._retry_pause_s(), partial(self.recover, team_state))
            return
        jobs = {parse_assignment_key(row.key, team_state.name)[0] for row in rows}
        unknown = sorted(job for job in jobs if self._job_index.status(job) is None)
        recovery = _Recovery(team_state, rows, set(unknown))
        if not unknown:
            self._rebuild(recovery)
        for job in unknown:
            self._read_job(recovery, job)

    def _read_job(self, recovery: _Recovery, job: str) -> None:
        if self._is_current(recovery.team_state):
            self._records.fetch(job, partial(self._on_job_read, recovery, job))

    def _on_job_read(
        self, recovery: _Recovery, job: str, outcome: ReadOutcome, record: JobRecord | None, revision: int
    ) -> None:
        if not self._is_current(recovery.team_state):
            return
        if record is not None:
            self._job_index.apply_record(job, record, revision)
        elif outcome is ReadOutcome.UNKNOWN:
            self._effects.later(self._retry_pause_s(), partial(self._read_job, recovery, job))
            return
        recovery.unread.discard(job)
        if not recovery.unread:
            self._rebuild(recovery)

    def _rebuild(self, recovery: _Recovery) -> None:
        """All records are read: build the team's jobs as the former owner left them."""
        team_state = recovery.team_state
        if not self._is_current(team_state):
            return
        now = self._effects.now()
        self._load_assignments(team_state, recovery.rows, now)
        for job_id, entry in self._job_index.active.items():
            if entry.team == team_state.name and job_id not in team_state.jobs:
                team_state.jobs[job_id] = self._job_builder.build(job_id, team_state.name, now)
                team_state.jobs[job_id].is_loaded = True
        self._on_recovered(team_state)

    def _load_assignments(self, team_state: TeamState, rows: list[state_wire.KeyValue], now: float) -> None:
        """Build the jobs that have assignment records; a record that can't be read is skipped."""
        for row in rows:
            job_id, chunk = parse_assignment_key(row.key, team_state.name)
            job = team_state.jobs.get(job_id) or self._job_builder.build(job_id, team_state.name, now)
            try:
                job.load(chunk, row.value, row.mod_revision, now)
            except CorruptRecordError as exc:
                log.error("%s", exc)
                continue
            team_state.jobs[job_id] = job
