"""Recovery of a team after a failover, which rebuilds its jobs from durable records before they are scheduled."""

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

INDEX_POLL_S = 0.05  # interval at which a recovery checks whether the job index is ready for it
# A failed read is retried after the minimum delay plus a random part of the jitter.
MIN_RETRY_DELAY_S = 0.2
MAX_RETRY_JITTER_S = 0.2


@dataclass(slots=True)
class _Recovery:
    """Records of a team that is being recovered, while job records that the job index lacks are being read."""

    team_state: TeamState
    assignment_rows: list[state_wire.KeyValue]
    unread_jobs: set[str]  # jobs that the job index lacks and whose records have not been read yet


class TeamRecovery:
    """Recovery of teams that this node has gained: it reads their records and rebuilds their jobs."""

    def __init__(
        self,
        context: NodeContext,
        store: StateClient,
        job_index: JobIndex,
        teams: dict[str, TeamState],
        job_builder: JobBuilder,
        on_recovered: Callable[[TeamState], Any],
    ) -> None:
        """Initialize the recovery; `on_recovered` is called with a team once all of its jobs are rebuilt."""
        self._effects = context.effects
        self._store = store
        self._job_index = job_index
        self._records = JobRecordStore(context, store, job_index)
        self._teams = teams
        self._job_builder = job_builder
        self._on_recovered = on_recovered

    def recover(self, team_state: TeamState) -> None:
        """Read all durable records of a team, and rebuild its jobs from them.

        The recovery is abandoned as soon as this node no longer owns the team under the same token.
        """
        if not self._is_current(team_state):
            return
        if not self._job_index.can_recover_teams:
            self._effects.later(INDEX_POLL_S, partial(self.recover, team_state))
            return
        self._store.list(assignment_key(team_state.name, ""), partial(self._on_assignments_read, team_state))

    def _is_current(self, team_state: TeamState) -> bool:
        return self._teams.get(team_state.name) is team_state

    def _retry_delay_s(self) -> float:
        return MIN_RETRY_DELAY_S + MAX_RETRY_JITTER_S * self._effects.rng.random()

    def _on_assignments_read(
        self, team_state: TeamState, rows: list[state_wire.KeyValue] | None, _revision: int
    ) -> None:
        """Read the records of jobs with assignments that the job index lacks, before the team's jobs are rebuilt.

        The job index may be older than this node's claim of the team, and lack a job that was accepted since. Taking
        such a job for ended would stop its tasks and delete its assignment records, and with them its completed tasks
        and the last attempt number.
        """
        if not self._is_current(team_state):
            return
        if rows is None:
            self._effects.later(self._retry_delay_s(), partial(self.recover, team_state))
            return
        assigned_jobs = {parse_assignment_key(row.key, team_state.name)[0] for row in rows}
        unknown_jobs = sorted(job_id for job_id in assigned_jobs if self._job_index.status(job_id) is None)
        recovery = _Recovery(team_state, rows, set(unknown_jobs))
        if not unknown_jobs:
            self._rebuild(recovery)
        for job_id in unknown_jobs:
            self._read_job_record(recovery, job_id)

    def _read_job_record(self, recovery: _Recovery, job_id: str) -> None:
        if self._is_current(recovery.team_state):
            self._records.fetch(job_id, partial(self._on_job_record_read, recovery, job_id))

    def _on_job_record_read(
        self, recovery: _Recovery, job_id: str, outcome: ReadOutcome, record: JobRecord | None, revision: int
    ) -> None:
        if not self._is_current(recovery.team_state):
            return
        if record is not None:
            self._job_index.apply_record(job_id, record, revision)
        elif outcome is ReadOutcome.UNKNOWN:
            self._effects.later(self._retry_delay_s(), partial(self._read_job_record, recovery, job_id))
            return
        recovery.unread_jobs.discard(job_id)
        if not recovery.unread_jobs:
            self._rebuild(recovery)

    def _rebuild(self, recovery: _Recovery) -> None:
        """Rebuild a team's jobs as its former owner left them, once all records have been read."""
        team_state = recovery.team_state
        if not self._is_current(team_state):
            return
        now = self._effects.now()
        self._load_assignments(team_state, recovery.assignment_rows, now)
        for job_id, entry in self._job_index.active.items():
            if entry.team == team_state.name and job_id not in team_state.jobs:
                team_state.jobs[job_id] = self._job_builder.build(job_id, team_state.name, now)
                team_state.jobs[job_id].is_loaded = True
        self._on_recovered(team_state)

    def _load_assignments(self, team_state: TeamState, rows: list[state_wire.KeyValue], now: float) -> None:
        """Build the jobs that have assignment records; a corrupt record is logged and skipped."""
        for row in rows:
            job_id, chunk = parse_assignment_key(row.key, team_state.name)
            job = team_state.jobs.get(job_id) or self._job_builder.build(job_id, team_state.name, now)
            try:
                job.load(chunk, row.value, row.mod_revision, now)
            except CorruptRecordError as exc:
                log.error("assignment record skipped in team recovery: %s", exc)
                continue
            team_state.jobs[job_id] = job
