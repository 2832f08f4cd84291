"""Every node's view of the job records, kept by a watch on `job/`."""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import msgspec

from tealhook.loop.effects import Effects
from tealhook.settings import Settings
from tealhook.store.client import StateClient
from tealhook.store.watcher import Watcher
from tealhook.wire import state as state_wire
from tealhook.wire.users import JobSpec

log = logging.getLogger("tealhook.jobs")

JOBS = "job/"
ACTIVE, DONE, CANCELLED = "active", "done", "cancelled"
MAX_ENDED = 20_000  # terminal states kept in memory to save a read; the store keeps them all


def job_key(job: str) -> str:
    return JOBS + job


class JobRecord(msgspec.Struct, omit_defaults=True):
    """The value of `job/<id>`: team, status, when it was accepted (or cancelled), and the submission while active."""

    t: str
    st: str
    s: JobSpec | None = None
    at: float = 0.0


class Known:
    """An active job as its record stands."""

    __slots__ = ("spec", "team", "stamp", "at")

    def __init__(self, spec: JobSpec, team: str, stamp: int, at: float) -> None:
        self.spec = spec
        self.at = at  # when it was accepted, by the time of day
        self.team = team
        self.stamp = stamp


def parse_record(value: Any) -> JobRecord | None:
    """A job record, or None when it is not one."""
    try:
        return msgspec.convert(value, JobRecord)
    except msgspec.ValidationError as exc:
        log.error("bad job record: %s", exc)
        return None


class Book:
    """Active jobs with their specs, and the last so many that have ended."""

    def __init__(self, effects: Effects, settings: Settings, store: StateClient) -> None:
        self._fx = effects
        self.active: dict[str, Known] = {}
        self.ended: OrderedDict[str, tuple[str, str, float]] = OrderedDict()  # id -> (status, team, time of day)
        self.listener: Callable[[str], Any] = lambda job: None
        self.on_synced: Callable[[], Any] = lambda: None
        self.watcher = Watcher(
            effects, store, JOBS, settings.params.workers.lease_s / 10, self._on_rows, self._on_events
        )

    def start(self) -> None:
        self.watcher.start()

    @property
    def synced(self) -> bool:
        return self.watcher.synced

    def status(self, job: str) -> str | None:
        """The status as known here; terminal ones are final, others may be old."""
        if job in self.active:
            return ACTIVE
        ended = self.ended.get(job)
        return ended[0] if ended else None

    def team(self, job: str) -> str | None:
        known = self.active.get(job)
        if known is not None:
            return known.team
        ended = self.ended.get(job)
        return ended[1] if ended else None

    def cancelled_for(self, job: str) -> float:
        """Seconds since an ended job was cancelled, whoever cancelled it; 0 where that is not on record."""
        at = self.ended[job][2] if job in self.ended else 0.0
        return max(0.0, self._fx.wall() - at) if at > 0 else 0.0

    def learn(self, job: str, record: JobRecord, stamp: int) -> None:
        """Take over a record read or written by this node."""
        if job in self.ended:
            return
        if record.st != ACTIVE:
            self.active.pop(job, None)
            self.ended[job] = (record.st, record.t, record.at)
            while len(self.ended) > MAX_ENDED:
                self.ended.popitem(last=False)
            self.listener(job)
            return
        known = self.active.get(job)
        if record.s is not None and (known is None or known.stamp < stamp):
            self.active[job] = Known(record.s, record.t, stamp, record.at)
            self.listener(job)

    def _take(self, path: str, value: Any, stamp: int) -> None:
        record = parse_record(value)
        if record is not None:
            self.learn(path[len(JOBS):], record, stamp)

    def _on_rows(self, rows: list[state_wire.Row]) -> None:
        for row in rows:
            self._take(row.path, row.v, row.stamp)
        self.on_synced()

    def _on_events(self, events: list[state_wire.Event]) -> None:
        for event in events:
            if event.write:
                self._take(event.write, event.v, event.stamp)
