"""What a transaction holds of one job: the pieces of its record, its end, and the conditions on which it stands."""

from __future__ import annotations

import enum
from collections.abc import Iterable

from tealhook.context import NodeContext
from tealhook.coordination import partition_key, team_key
from tealhook.jobs.assignment_record import assignment_key
from tealhook.jobs.attempt import Attempt
from tealhook.jobs.chunk_layout import MovedAttempt
from tealhook.jobs.job import Job
from tealhook.jobs.job_records import JobState, job_key
from tealhook.jobs.record_store import JobRecordStore, build_end_write
from tealhook.jobs.team import TeamState
from tealhook.state_store import StateClient
from tealhook.wire import state as state_wire

TXN_BYTES = 56 * 1024  # of the 64 KiB that a transaction may have
SMALLER = 2  # so often the write of a job is halved, once one was rejected


class Kind(enum.Enum):
    """What a write does to a job."""

    PUT = "put"  # makes its assignments durable
    DONE = "done"  # ends it, and drops its record
    DROP = "drop"  # drops the record of one that has ended


class JobWrite:
    """What a transaction holds of one job."""

    __slots__ = (
        "team_state",
        "job",
        "staged",
        "kind",
        "written_chunks",
        "kept_chunks",
        "moved_attempts",
        "condition_chunks",
    )

    def __init__(
        self,
        team_state: TeamState,
        job: Job,
        staged: list[Attempt],
        kind: Kind,
        written: Iterable[int],
        kept: set[int],
        moved: list[MovedAttempt],
        named: set[int],
    ) -> None:
        """The write of `job` with the tasks that were `staged` when it was laid out."""
        self.team_state = team_state
        self.job = job
        self.staged = staged
        self.kind = kind
        self.written_chunks = set(written)  # pieces of the record
        self.kept_chunks = kept  # those of them that are there afterwards
        self.moved_attempts = moved  # attempts that other pieces name afterwards
        self.condition_chunks = named  # pieces on whose stamps it depends


class Changes:
    """Lays out the writes of jobs, within the limits of the state service."""

    def __init__(self, context: NodeContext, store: StateClient, records: JobRecordStore) -> None:
        """Limits are those of `store`; ends are written as `records` has them."""
        self._effects = context.effects
        self._store = store
        self._records = records

    def lay_out(
        self, team_state: TeamState, job: Job
    ) -> tuple[dict[str, int], list[state_wire.Operation], JobWrite | None]:
        """Conditions and changes that make a job's present state durable."""
        # The first piece is in every condition, and written by every assignment: so a write that is executed late
        # can't slip in between, and attempts given out by any piece are counted.
        when = {
            team_key(team_state.name): team_state.token,
            assignment_key(team_state.name, job.id): job.chunk_revisions.get(0, 0),
        }
        # A copy that may be executed late must not come to pieces of which we would know nothing.
        named = {0, *sorted(job.uncertain_chunks)[: self._store.max_operations]}
        changes: list[state_wire.Operation] = []
        moved: list[MovedAttempt] = []
        kind, staged = Kind.PUT, []
        limit, most = self._bounds(job)
        if job.finished:
            kind = Kind.DONE
            ended = self._records.build_ended_record(job.team, JobState.DONE)
            condition, change = build_end_write(job.id, ended, job.mod_revision)
            when.update(condition)
            changes.append(change)
        elif job.spec is None:
            kind = Kind.DROP
        if kind is not Kind.PUT:
            # They stay until nothing is on a machine; the first goes last.
            chunks = [] if job.attempts else sorted(job.chunk_revisions, reverse=True)[: max(1, most - len(changes))]
            written: dict[int, dict | None] = dict.fromkeys(chunks)
            if kind is Kind.DROP and not written:
                job.has_deferrable_change = False
                return when, [], None
        else:
            written = self._pieces(job, limit, most)
            moved = job.moved_attempts
            named |= {attempt.chunk for attempt, _ in moved}
            staged = list(job.staged.values())
            if staged:
                when[job_key(job.id)] = job.mod_revision
                when.update({partition_key(attempt.zone): attempt.partition_token for attempt in staged})
        kept: set[int] = set()
        for chunk, value in written.items():
            key = assignment_key(team_state.name, job.id, chunk)
            named.add(chunk)
            if value is not None and (value["m"] or not chunk):
                kept.add(chunk)
                changes.append(state_wire.put(key, value))
            elif chunk in job.chunk_revisions:
                changes.append(state_wire.drop(key))
        for chunk in named:
            when[assignment_key(team_state.name, job.id, chunk)] = job.chunk_revisions.get(chunk, 0)
        return when, changes, JobWrite(team_state, job, staged, kind, written.keys(), kept, moved, named)

    def _bounds(self, job: Job) -> tuple[float, int]:
        """How large a piece of a job's record may be, and how many of them one write may have."""
        limit = min(self._store.record_bytes, TXN_BYTES / 2)
        most = min(self._store.max_operations, int(TXN_BYTES / limit))
        if job.rejections:
            limit, most = limit / 2 ** min(job.rejections, SMALLER), max(2, most >> min(job.rejections, SMALLER))
        return limit, most

    def _pieces(self, job: Job, limit: float, most: int) -> dict[int, dict | None]:
        """The pieces to be written with what is staged; what finds no room in this write waits again."""
        self._few_zones(job, 4 * self._store.max_operations - 3 - 2 * most - len(job.uncertain_chunks))
        written: dict[int, dict | None] = {**job.lay_out(int(limit), most)}
        job.unstage([a for a in job.staged.values() if a.chunk < 0], self._effects.now())
        return written

    def _few_zones(self, job: Job, most: int) -> None:
        """Conditions are limited: what is staged in more zones than a transaction can name waits for the next."""
        zones = sorted({attempt.zone for attempt in job.staged.values()})[max(1, most) :]
        job.unstage([attempt for attempt in job.staged.values() if attempt.zone in zones], self._effects.now())
