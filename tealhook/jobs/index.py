"""Every node's view of the job records, kept up to date by a watch on `job/`."""

from __future__ import annotations

import math
from collections import Counter, OrderedDict
from typing import Any, Protocol

from tealhook.context import NodeContext
from tealhook.jobs.dependency_graph import DependencyGraph
from tealhook.jobs.job_entry import EndedJob, JobEntry
from tealhook.jobs.job_records import (
    JOBS_PREFIX,
    JobRecord,
    JobState,
    parse_dependency_chunk,
    parse_job_key,
    parse_record,
)
from tealhook.state_store.client import StateClient
from tealhook.state_store.watcher import Watcher
from tealhook.wire import state as state_wire
from tealhook.wire.users import PRIORITY_RANK

MIN_ENDED_JOBS = 20_000  # ended jobs kept in memory to save reads; the state service keeps them all
ENDED_JOB_BYTES = 400  # about what one takes
ENDED_JOBS_MEMORY_SHARE = 1 / 8  # of this process's memory
WATCHES_PER_LEASE = 10  # the state service may hold a watch open for a worker's lease divided by this


class JobObserver(Protocol):
    """What reacts to changes of the job index."""

    def on_job_changed(self, job_id: str) -> None:
        """A job was accepted, has ended, was released, or has another priority, deadline or dependency."""


class JobIndex:
    """Active jobs with their specs, and as many ended ones as memory allows."""

    def __init__(self, context: NodeContext, store: StateClient) -> None:
        """An empty index; `start` fills it and keeps it up to date."""
        self._effects = context.effects
        limits = context.settings.params.limits
        self._max_ended = max(MIN_ENDED_JOBS, int(limits.memory_bytes(ENDED_JOBS_MEMORY_SHARE) / ENDED_JOB_BYTES))
        # No job has been forgotten, and no record was malformed: a job that the index lacks does not exist.
        self.is_complete = True
        self.active: dict[str, JobEntry] = {}
        self.ended: OrderedDict[str, EndedJob] = OrderedDict()
        self._checkpointing_jobs: Counter[int] = Counter()  # active jobs that save checkpoints, by their own priority
        self._early_chunks: dict[str, dict[int, list[str]]] = {}  # dependency chunks read before their job's record
        self._dependencies = DependencyGraph(self.active, self.ended, self._notify)
        self._observer: JobObserver | None = None
        self.watcher = Watcher(
            context.effects,
            store,
            JOBS_PREFIX,
            context.workers.lease_s / WATCHES_PER_LEASE,
            self._on_rows,
            self._on_events,
        )

    def start(self, observer: JobObserver) -> None:
        """Read all job records and follow them from there; `observer` is called for each job that changes."""
        self._observer = observer
        self.watcher.start()

    @property
    def synced(self) -> bool:
        """Whether all records have been read once: before, a job that is lacking may well be active."""
        return self.watcher.is_synced

    # -- the status of jobs

    def status(self, job: str) -> str | None:
        """The `JobState` as known here, or None; final ones stay, an active job may have ended since."""
        if job in self.active:
            return JobState.ACTIVE
        ended = self.ended.get(job)
        return ended.status if ended else None

    def team_of(self, job: str) -> str | None:
        """The team of a job that is active or ended lately; None: not known here."""
        entry = self.active.get(job)
        if entry is not None:
            return entry.team
        ended = self.ended.get(job)
        return ended.team if ended else None

    def seconds_since_cancelled(self, job: str) -> float:
        """Seconds since an ended job was cancelled, whoever cancelled it; 0 where that is not on record."""
        ended_at = self.ended[job].ended_at if job in self.ended else 0.0
        return max(0.0, self._effects.wall() - ended_at) if ended_at > 0 else 0.0

    @property
    def lowest_checkpointing_priority(self) -> float:
        """The lowest priority among the active jobs whose tasks save checkpoints; infinite without any."""
        return min((priority for priority, count in self._checkpointing_jobs.items() if count), default=math.inf)

    # -- jobs with dependencies

    def is_blocked(self, job: str) -> bool:
        """Whether a job waits for its dependencies, as far as known here."""
        entry = self.active.get(job)
        return entry is not None and entry.blocked

    def expected_release_at(self, job: str) -> float:
        """When a blocked job should be released, by the time of day and its dependencies' estimated run times."""
        return self._dependencies.expected_release_at(job)

    def unknown_dependencies(self, job: str) -> list[str]:
        """Dependencies of a job, direct or not, that are not known here: they may have ended, and have to be read."""
        return self._dependencies.unknown_dependencies(job)

    def has_cancelled_dependency(self, job: str) -> bool:
        """Whether some dependency of a job, direct or not, is known to be cancelled."""
        return self._dependencies.has_cancelled_dependency(job)

    # -- changes

    def apply_record(self, job: str, record: JobRecord, mod_revision: int) -> None:
        """Take over a record that this node has read or written."""
        if job in self.ended:
            return
        if record.status != JobState.ACTIVE:
            self._end(job, record)
            return
        previous = self.active.get(job)
        if record.spec is not None and (previous is None or previous.mod_revision < mod_revision):
            if previous is not None:
                self._count_checkpointing(previous, -1)
            entry = JobEntry(record.spec, record.team, mod_revision, record.at, record.extra_chunks)
            self.active[job] = entry
            self._count_checkpointing(entry, 1)
            self._dependencies.register(job, entry, entry.spec.depends_on)
            for chunk, names in self._early_chunks.pop(job, {}).items():
                self._add_chunk(job, entry, chunk, names)
            self._notify(job)

    def _end(self, job: str, record: JobRecord) -> None:
        entry = self.active.pop(job, None)
        self.ended[job] = EndedJob(record.status, record.team, record.at)
        while len(self.ended) > self._max_ended:
            self.ended.popitem(last=False)
            self.is_complete = False
        self._early_chunks.pop(job, None)
        if entry is not None:
            self._count_checkpointing(entry, -1)
            self._dependencies.unregister(job, entry)
        self._notify(job)
        if record.status == JobState.DONE:
            self._dependencies.release_dependents(job, record.at)
        else:
            for dependent in self._dependencies.dependents(job):
                self._notify(dependent)
        if entry is not None:
            self._dependencies.propagate_priorities(entry.spec.depends_on)

    def _add_chunk(self, job: str, entry: JobEntry, chunk: int, names: list[str]) -> None:
        """Add the dependencies of a chunk; one that was added before, or that the record does not name, is ignored."""
        if chunk not in entry.missing_chunks:
            return
        self._dependencies.register(job, entry, entry.add_chunk(chunk, names))
        self._notify(job)

    def _count_checkpointing(self, entry: JobEntry, change: int) -> None:
        if entry.spec.checkpoint_interval_s > 0:
            self._checkpointing_jobs[PRIORITY_RANK[entry.spec.priority]] += change

    def _notify(self, job: str) -> None:
        if self._observer is not None:
            self._observer.on_job_changed(job)

    # -- what the watch delivers

    def _on_rows(self, rows: list[state_wire.KeyValue]) -> None:
        for row in rows:
            self._apply_value(row.key, row.value, row.mod_revision)
        self._early_chunks.clear()  # of jobs that ended so long ago that they are not remembered

    def _on_events(self, events: list[state_wire.WatchEvent]) -> None:
        for event in events:
            if event.put_key:
                self._apply_value(event.put_key, event.value, event.mod_revision)

    def _apply_value(self, key: str, value: Any, mod_revision: int) -> None:
        job, chunk = parse_job_key(key)
        if chunk:
            self._apply_chunk(job, chunk, value)
            return
        record = parse_record(value)
        if record is not None:
            self.apply_record(job, record, mod_revision)
        else:
            self.is_complete = False

    def _apply_chunk(self, job: str, chunk: int, value: Any) -> None:
        names = parse_dependency_chunk(job, value)
        if names is None:
            return
        if job in self.active:
            self._add_chunk(job, self.active[job], chunk, names)
        elif job not in self.ended:
            self._early_chunks.setdefault(job, {})[chunk] = names
