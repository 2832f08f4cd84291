"""Every node's view of the job records, kept by a watch on `job/`."""

from __future__ import annotations

import logging
import math
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec

from tealhook.loop.effects import Effects
from tealhook.settings import Settings
from tealhook.store.client import StateClient
from tealhook.store.watcher import Watcher
from tealhook.wire import state as state_wire
from tealhook.wire.users import URGENCY_RANK, JobSpec

log = logging.getLogger("tealhook.jobs")

JOBS = "job/"
ACTIVE, DONE, CANCELLED = "active", "done", "cancelled"
LEAST_ENDED = 20_000  # terminal states kept in memory to save a read; the store keeps them all
ENDED_BYTES = 400  # about what one takes
ENDED_SHARE = 1 / 8  # of the memory


def job_key(job: str) -> str:
    """The key of a job's record."""
    return JOBS + job


class JobRecord(msgspec.Struct, omit_defaults=True):
    """The value of `job/<id>`: team, status, when it was accepted (or ended), and the submission while active.

    `more`: so many records `job/<id>/<n>`, from 1, go on with the names of the jobs that it waits for.
    """

    t: str
    st: str
    s: JobSpec | None = None
    at: float = 0.0
    more: int = 0


class MoreNames(msgspec.Struct):
    """The value of `job/<id>/<n>`."""

    w: list[str]


class JobEntry:
    """An active job as its record stands."""

    __slots__ = ("spec", "team", "stamp", "at", "missing", "pending", "released_at", "urgency", "due_at")

    def __init__(self, spec: JobSpec, team: str, stamp: int, at: float, more: int = 0) -> None:
        """A job by its record of version `stamp`; `more` further records go on with the names it waits for."""
        self.spec = spec
        self.at = at  # when it was accepted, by the time of day
        self.team = team
        self.stamp = stamp
        self.missing = set(range(1, more + 1))  # records of further names that are not known yet
        self.pending = dict.fromkeys(spec.waits_on)  # jobs that it waits for and that are not known to be done
        self.released_at = at  # when the last of the others was done
        self.urgency = URGENCY_RANK[spec.urgency]  # the highest of any job that needs it
        self.due_at = self.own_due  # when it should be done so that those that need it can be in time

    @property
    def own_due(self) -> float:
        """When it should be done by its own deadline, by the time of day; infinite without one."""
        return self.at + self.spec.due_s if self.spec.due_s is not None else math.inf

    @property
    def blocked(self) -> bool:
        """Whether it waits for others, as far as known: none of its tasks may start."""
        return bool(self.pending or self.missing)


def piece_of_names(path: str) -> tuple[str, int]:
    """The job, and which record of its names a key is for; 0: the job's own."""
    job, _, piece = path[len(JOBS) :].partition("/")
    return job, int(piece) if piece.isdigit() else 0


def parse_record(value: Any) -> JobRecord | None:
    """A job record, or None when it is not one."""
    try:
        return msgspec.convert(value, JobRecord)
    except msgspec.ValidationError as exc:
        log.error("bad job record: %s", exc)
        return None


class JobIndex:
    """Active jobs with their specs, and the last so many that have ended."""

    def __init__(self, effects: Effects, settings: Settings, store: StateClient) -> None:
        """An empty view; `start` fills it and keeps it up to date."""
        self._fx = effects
        memory_bytes = settings.params.limits.mem_mb * 2**20
        self._max_ended = max(LEAST_ENDED, int(memory_bytes * ENDED_SHARE / ENDED_BYTES))
        self.complete = True  # no job has been forgotten, and no record was unreadable: what is lacking does not exist
        self.active: dict[str, JobEntry] = {}
        self.ended: OrderedDict[str, tuple[str, str, float]] = OrderedDict()  # id -> (status, team, time of day)
        self._saving: Counter[int] = Counter()  # active jobs whose tasks save their progress, by their own urgency
        self._needed_by: dict[str, dict[str, None]] = {}  # job -> active jobs that wait for it, in order
        self._names: dict[str, dict[int, list[str]]] = {}  # records of names that came before their job's
        self.listener: Callable[[str], Any] = lambda _job: None
        self.on_synced: Callable[[], Any] = lambda: None
        self.watcher = Watcher(
            effects, store, JOBS, settings.params.workers.lease_s / 10, self._on_rows, self._on_events
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
            return ACTIVE
        ended = self.ended.get(job)
        return ended[0] if ended else None

    def team(self, job: str) -> str | None:
        """The team of a job that is active or ended lately; None: not known here."""
        known = self.active.get(job)
        if known is not None:
            return known.team
        ended = self.ended.get(job)
        return ended[1] if ended else None

    def cancelled_for(self, job: str) -> float:
        """Seconds since an ended job was cancelled, whoever cancelled it; 0 where that is not on record."""
        at = self.ended[job][2] if job in self.ended else 0.0
        return max(0.0, self._fx.wall() - at) if at > 0 else 0.0

    @property
    def lowest_saving_urgency(self) -> float:
        """The least urgency among the active jobs whose tasks save their progress; infinite without any."""
        return min((urgency for urgency, count in self._saving.items() if count), default=math.inf)

    def _count_saving(self, known: JobEntry, change: int) -> None:
        if known.spec.snapshot_every_s > 0:
            self._saving[URGENCY_RANK[known.spec.urgency]] += change

    def learn(self, job: str, record: JobRecord, stamp: int) -> None:
        """Take over a record read or written by this node."""
        if job in self.ended:
            return
        if record.st != ACTIVE:
            self._end(job, record)
            return
        known = self.active.get(job)
        if record.s is not None and (known is None or known.stamp < stamp):
            if known is not None:
                self._count_saving(known, -1)
            known = self.active[job] = JobEntry(record.s, record.t, stamp, record.at, record.more)
            self._count_saving(known, 1)
            self._wait(job, known, known.spec.waits_on)
            for piece, names in self._names.pop(job, {}).items():
                self._add_names(job, known, piece, names)
            self.listener(job)

    def _end(self, job: str, record: JobRecord) -> None:
        known = self.active.pop(job, None)
        self.ended[job] = (record.st, record.t, record.at)
        while len(self.ended) > self._max_ended:
            self.ended.popitem(last=False)
            self.complete = False
        self._names.pop(job, None)
        if known is not None:
            self._count_saving(known, -1)
            for name in known.spec.waits_on:
                waiting = self._needed_by.get(name, {})
                waiting.pop(job, None)
                if not waiting:
                    self._needed_by.pop(name, None)
        self.listener(job)
        if record.st == DONE:
            for other in self._needed_by.pop(job, {}):
                self._done(other, job, record.at)
        else:
            for other in self.dependents(job):
                self.listener(other)
        if known is not None:
            self._weigh(known.spec.waits_on)

    # -- jobs that wait for others

    def _wait(self, job: str, known: JobEntry, names: list[str]) -> None:
        for name in names:
            ended = self.ended.get(name)
            if ended is not None and ended[0] == DONE:
                known.pending.pop(name, None)
                known.released_at = max(known.released_at, ended[2])
            else:
                self._needed_by.setdefault(name, {})[job] = None
        self._weigh([job, *names])  # a view read anew has its records by id: those that need the job may be known

    def _done(self, job: str, name: str, at: float) -> None:
        """A job that another one waited for is done."""
        known = self.active.get(job)
        if known is not None and name in known.pending:
            del known.pending[name]
            known.released_at = max(known.released_at, at)
            if not known.blocked:
                self.listener(job)

    def _add_names(self, job: str, known: JobEntry, piece: int, names: list[str]) -> None:
        if piece not in known.missing:
            return
        known.missing.discard(piece)
        fresh = [name for name in names if name not in known.pending]
        known.spec.waits_on = [*known.spec.waits_on, *fresh]
        known.pending |= dict.fromkeys(fresh)
        self._wait(job, known, fresh)
        self.listener(job)

    def blocked(self, job: str) -> bool:
        """Whether a job waits for others, as far as known here."""
        known = self.active.get(job)
        return known is not None and known.blocked

    def _needed(self, job: str) -> Iterator[str]:
        """Jobs that a job needs, directly or through others, as far as they are not known to be done."""
        look, seen = [job], {job}
        while look:
            known = self.active.get(look.pop())
            for name in known.pending if known is not None else ():
                if name not in seen:
                    seen.add(name)
                    look.append(name)
                    yield name

    def expected_release(self, job: str) -> float:
        """When a blocked job should be released, by the time of day and the estimates of those that it waits for."""
        at: dict[str, float] = {}
        look = [job]
        while look:
            known = self.active.get(look[-1])
            names = [name for name in known.pending if name in self.active] if known is not None else []
            missing = [name for name in names if name not in at]
            if missing:
                look.extend(missing)
                continue
            name = look.pop()
            if known is not None:
                at[name] = max(
                    [known.released_at, *(at[other] + self.active[other].spec.expected_s for other in names)]
                )
        return at.get(job, 0.0)

    def unknown(self, job: str) -> list[str]:
        """Jobs that a job needs and of which nothing is known here: they may be over, and have to be read."""
        return [name for name in self._needed(job) if self.status(name) is None]

    def needs_cancelled(self, job: str) -> bool:
        """Whether some job that a job needs is known to be cancelled."""
        return any(self.status(name) == CANCELLED for name in self._needed(job))

    def dependents(self, job: str) -> list[str]:
        """Active jobs that need a job, directly or through others."""
        found: dict[str, None] = {}
        look = [job]
        while look:
            for other in self._needed_by.get(look.pop(), {}):
                if other not in found and other in self.active:
                    found[other] = None
                    look.append(other)
        return list(found)

    def _weigh(self, names: Iterable[str]) -> None:
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
            after = [self.active[job] for job in self._needed_by.get(name, {}) if job in self.active]
            urgency = max([URGENCY_RANK[known.spec.urgency], *(other.urgency for other in after)])
            due_at = min([known.own_due, *(other.due_at - other.spec.expected_s for other in after)])
            if (urgency, due_at) != (known.urgency, known.due_at):
                known.urgency, known.due_at = urgency, due_at
                self.listener(name)
                look.extend(known.pending)

    def _take(self, path: str, value: Any, stamp: int) -> None:
        job, piece = piece_of_names(path)
        if not piece:
            record = parse_record(value)
            if record is not None:
                self.learn(job, record, stamp)
            else:
                self.complete = False
            return
        try:
            names = msgspec.convert(value, MoreNames).w
        except msgspec.ValidationError as exc:
            log.error("bad names of %s: %s", job, exc)
            return
        if job in self.active:
            self._add_names(job, self.active[job], piece, names)
        elif job not in self.ended:
            self._names.setdefault(job, {})[piece] = names

    def _on_rows(self, rows: list[state_wire.Row]) -> None:
        for row in rows:
            self._take(row.path, row.v, row.stamp)
        self._names.clear()  # of jobs that ended so long ago that they are not remembered
        self.on_synced()

    def _on_events(self, events: list[state_wire.Event]) -> None:
        for event in events:
            if event.write:
                self._take(event.write, event.v, event.stamp)
