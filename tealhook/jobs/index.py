"""Every node's view of the job records, kept by a watch on `job/`."""

from __future__ import annotations

import enum
import logging
import math
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec

from tealhook.context import NodeContext
from tealhook.state_store.client import StateClient
from tealhook.state_store.watcher import Watcher
from tealhook.wire import state as state_wire
from tealhook.wire.users import PRIORITY_RANK, JobSpec

log = logging.getLogger("tealhook.jobs")

JOBS_PREFIX = "job/"
LEAST_ENDED = 20_000  # terminal states kept in memory to save a read; the store keeps them all
ENDED_BYTES = 400  # about what one takes
ENDED_SHARE = 1 / 8  # of the memory


def job_key(job: str) -> str:
    """The key of a job's record."""
    return JOBS_PREFIX + job


class JobState(enum.StrEnum):
    """The status on a job's record; all but the first are final."""

    ACTIVE = "active"
    DONE = "done"
    CANCELLED = "cancelled"


class JobRecord(msgspec.Struct, omit_defaults=True):
    """The value of `job/<id>`: team, status, when it was accepted (or ended), and the submission while active.

    `more`: so many records `job/<id>/<n>`, from 1, go on with the names of the jobs that it waits for.
    """

    team: str = msgspec.field(name="t")
    status: str = msgspec.field(name="st")
    spec: JobSpec | None = msgspec.field(default=None, name="s")
    at: float = 0.0
    extra_chunks: int = msgspec.field(default=0, name="more")


class DependencyChunk(msgspec.Struct):
    """The value of `job/<id>/<n>`."""

    depends_on: list[str] = msgspec.field(name="w")


class JobEntry:
    """An active job as its record stands."""

    __slots__ = (
        "spec",
        "team",
        "mod_revision",
        "accepted_at",
        "missing_chunks",
        "pending_dependencies",
        "released_at",
        "priority",
        "deadline_at",
    )

    def __init__(self, spec: JobSpec, team: str, revision: int, at: float, more: int = 0) -> None:
        """A job by its record of version `stamp`; `more` further records go on with the names it waits for."""
        self.spec = spec
        self.accepted_at = at  # when it was accepted, by the time of day
        self.team = team
        self.mod_revision = revision
        self.missing_chunks = set(range(1, more + 1))  # records of further names that are not known yet
        self.pending_dependencies = dict.fromkeys(
            spec.depends_on
        )  # jobs that it waits for and that are not known to be done
        self.released_at = at  # when the last of the others was done
        self.priority = PRIORITY_RANK[spec.priority]  # the highest of any job that needs it
        self.deadline_at = self.own_deadline_at  # when it should be done so that those that need it can be in time

    @property
    def own_deadline_at(self) -> float:
        """When it should be done by its own deadline, by the time of day; infinite without one."""
        return self.accepted_at + self.spec.deadline_s if self.spec.deadline_s is not None else math.inf

    @property
    def blocked(self) -> bool:
        """Whether it waits for others, as far as known: none of its tasks may start."""
        return bool(self.pending_dependencies or self.missing_chunks)


def parse_job_key(path: str) -> tuple[str, int]:
    """The job, and which record of its names a key is for; 0: the job's own."""
    job, _, chunk = path[len(JOBS_PREFIX) :].partition("/")
    return job, int(chunk) if chunk.isdigit() else 0


def parse_record(value: Any) -> JobRecord | None:
    """A job record, or None when it is not one."""
    try:
        return msgspec.convert(value, JobRecord)
    except msgspec.ValidationError as exc:
        log.error("bad job record: %s", exc)
        return None


class JobIndex:
    """Active jobs with their specs, and the last so many that have ended."""

    def __init__(self, context: NodeContext, store: StateClient) -> None:
        """An empty view; `start` fills it and keeps it up to date."""
        self._effects = context.effects
        self._max_ended = max(LEAST_ENDED, int(context.settings.params.limits.memory_bytes(ENDED_SHARE) / ENDED_BYTES))
        self.is_complete = (
            True  # no job has been forgotten, and no record was unreadable: what is lacking does not exist
        )
        self.active: dict[str, JobEntry] = {}
        self.ended: OrderedDict[str, tuple[str, str, float]] = OrderedDict()  # id -> (status, team, time of day)
        self._checkpointing_jobs: Counter[int] = (
            Counter()
        )  # active jobs whose tasks save their progress, by their own urgency
        self._dependents: dict[str, dict[str, None]] = {}  # job -> active jobs that wait for it, in order
        self._early_chunks: dict[str, dict[int, list[str]]] = {}  # records of names that came before their job's
        self.listener: Callable[[str], Any] = lambda _job: None
        self.on_synced: Callable[[], Any] = lambda: None
        self.watcher = Watcher(
            context.effects,
            store,
            JOBS_PREFIX,
            context.workers.lease_s / 10,
            self._on_rows,
            self._on_events,
        )

    def start(self) -> None:
        """Read all job records, and follow them from there."""
        self.watcher.start()

    @property
    def synced(self) -> bool:
        """Whether all records have been read once: before, a job that is lacking may well be active."""
        return self.watcher.synced

    def status(self, job: str) -> str | None:
        """The status as known here; terminal ones are final, others may be old."""
        if job in self.active:
            return JobState.ACTIVE
        ended = self.ended.get(job)
        return ended[0] if ended else None

    def team_of(self, job: str) -> str | None:
        """The team of a job that is active or ended lately; None: not known here."""
        known = self.active.get(job)
        if known is not None:
            return known.team
        ended = self.ended.get(job)
        return ended[1] if ended else None

    def seconds_since_cancelled(self, job: str) -> float:
        """Seconds since an ended job was cancelled, whoever cancelled it; 0 where that is not on record."""
        at = self.ended[job][2] if job in self.ended else 0.0
        return max(0.0, self._effects.wall() - at) if at > 0 else 0.0

    @property
    def lowest_checkpointing_priority(self) -> float:
        """The least urgency among the active jobs whose tasks save their progress; infinite without any."""
        return min((priority for priority, count in self._checkpointing_jobs.items() if count), default=math.inf)

    def _count_checkpointing(self, known: JobEntry, change: int) -> None:
        if known.spec.checkpoint_interval_s > 0:
            self._checkpointing_jobs[PRIORITY_RANK[known.spec.priority]] += change

    def apply_record(self, job: str, record: JobRecord, revision: int) -> None:
        """Take over a record read or written by this node."""
        if job in self.ended:
            return
        if record.status != JobState.ACTIVE:
            self._end(job, record)
            return
        known = self.active.get(job)
        if record.spec is not None and (known is None or known.mod_revision < revision):
            if known is not None:
                self._count_checkpointing(known, -1)
            known = self.active[job] = JobEntry(record.spec, record.team, revision, record.at, record.extra_chunks)
            self._count_checkpointing(known, 1)
            self._register_dependencies(job, known, known.spec.depends_on)
            for chunk, names in self._early_chunks.pop(job, {}).items():
                self._add_dependencies(job, known, chunk, names)
            self.listener(job)

    def _end(self, job: str, record: JobRecord) -> None:
        known = self.active.pop(job, None)
        self.ended[job] = (record.status, record.team, record.at)
        while len(self.ended) > self._max_ended:
            self.ended.popitem(last=False)
            self.is_complete = False
        self._early_chunks.pop(job, None)
        if known is not None:
            self._count_checkpointing(known, -1)
            for name in known.spec.depends_on:
                waiting = self._dependents.get(name, {})
                waiting.pop(job, None)
                if not waiting:
                    self._dependents.pop(name, None)
        self.listener(job)
        if record.status == JobState.DONE:
            for other in self._dependents.pop(job, {}):
                self._dependency_done(other, job, record.at)
        else:
            for other in self.dependents(job):
                self.listener(other)
        if known is not None:
            self._propagate_priorities(known.spec.depends_on)

    # -- jobs that wait for others

    def _register_dependencies(self, job: str, known: JobEntry, names: list[str]) -> None:
        for name in names:
            ended = self.ended.get(name)
            if ended is not None and ended[0] == JobState.DONE:
                known.pending_dependencies.pop(name, None)
                known.released_at = max(known.released_at, ended[2])
            else:
                self._dependents.setdefault(name, {})[job] = None
        self._propagate_priorities(
            [job, *names]
        )  # a view read anew has its records by id: those that need the job may be known

    def _dependency_done(self, job: str, name: str, at: float) -> None:
        """A job that another one waited for is done."""
        known = self.active.get(job)
        if known is not None and name in known.pending_dependencies:
            del known.pending_dependencies[name]
            known.released_at = max(known.released_at, at)
            if not known.blocked:
                self.listener(job)

    def _add_dependencies(self, job: str, known: JobEntry, chunk: int, names: list[str]) -> None:
        if chunk not in known.missing_chunks:
            return
        known.missing_chunks.discard(chunk)
        fresh = [name for name in names if name not in known.pending_dependencies]
        known.spec.depends_on = [*known.spec.depends_on, *fresh]
        known.pending_dependencies |= dict.fromkeys(fresh)
        self._register_dependencies(job, known, fresh)
        self.listener(job)

    def is_blocked(self, job: str) -> bool:
        """Whether a job waits for others, as far as known here."""
        known = self.active.get(job)
        return known is not None and known.blocked

    def _unfinished_dependencies(self, job: str) -> Iterator[str]:
        """Jobs that a job needs, directly or through others, as far as they are not known to be done."""
        look, seen = [job], {job}
        while look:
            known = self.active.get(look.pop())
            for name in known.pending_dependencies if known is not None else ():
                if name not in seen:
                    seen.add(name)
                    look.append(name)
                    yield name

    def expected_release_at(self, job: str) -> float:
        """When a blocked job should be released, by the time of day and the estimates of those that it waits for."""
        at: dict[str, float] = {}
        look = [job]
        while look:
            known = self.active.get(look[-1])
            names = [name for name in known.pending_dependencies if name in self.active] if known is not None else []
            missing = [name for name in names if name not in at]
            if missing:
                look.extend(missing)
                continue
            name = look.pop()
            if known is not None:
                at[name] = max(
                    [known.released_at, *(at[other] + self.active[other].spec.estimated_run_s for other in names)]
                )
        return at.get(job, 0.0)

    def unknown_dependencies(self, job: str) -> list[str]:
        """Jobs that a job needs and of which nothing is known here: they may be over, and have to be read."""
        return [name for name in self._unfinished_dependencies(job) if self.status(name) is None]

    def has_cancelled_dependency(self, job: str) -> bool:
        """Whether some job that a job needs is known to be cancelled."""
        return any(self.status(name) == JobState.CANCELLED for name in self._unfinished_dependencies(job))

    def dependents(self, job: str) -> list[str]:
        """Active jobs that need a job, directly or through others."""
        found: dict[str, None] = {}
        look = [job]
        while look:
            for other in self._dependents.get(look.pop(), {}):
                if other not in found and other in self.active:
                    found[other] = None
                    look.append(other)
        return list(found)

    def _propagate_priorities(self, names: Iterable[str]) -> None:
        """Carry urgency and deadlines back along pipelines, after a change behind these jobs.

        A job is as urgent as any that needs it, and has to be done so early that they can be in time: their
        deadline less what they should take themselves.
        """
        look = list(names)
        while look:
            name = look.pop()
            known = self.active.get(name)
            if known is None:
                continue
            after = [self.active[job] for job in self._dependents.get(name, {}) if job in self.active]
            priority = max([PRIORITY_RANK[known.spec.priority], *(other.priority for other in after)])
            due_at = min([known.own_deadline_at, *(other.deadline_at - other.spec.estimated_run_s for other in after)])
            if (priority, due_at) != (known.priority, known.deadline_at):
                known.priority, known.deadline_at = priority, due_at
                self.listener(name)
                look.extend(known.pending_dependencies)

    def _apply_row(self, path: str, value: Any, revision: int) -> None:
        job, chunk = parse_job_key(path)
        if not chunk:
            record = parse_record(value)
            if record is not None:
                self.apply_record(job, record, revision)
            else:
                self.is_complete = False
            return
        try:
            names = msgspec.convert(value, DependencyChunk).depends_on
        except msgspec.ValidationError as exc:
            log.error("bad names of %s: %s", job, exc)
            return
        if job in self.active:
            self._add_dependencies(job, self.active[job], chunk, names)
        elif job not in self.ended:
            self._early_chunks.setdefault(job, {})[chunk] = names

    def _on_rows(self, rows: list[state_wire.KeyValue]) -> None:
        for row in rows:
            self._apply_row(row.key, row.value, row.mod_revision)
        self._early_chunks.clear()  # of jobs that ended so long ago that they are not remembered
        self.on_synced()

    def _on_events(self, events: list[state_wire.WatchEvent]) -> None:
        for event in events:
            if event.put_key:
                self._apply_row(event.put_key, event.value, event.mod_revision)
