"""Index of the job records, which every node keeps up to date by a watch on `job/`."""

from __future__ import annotations

import math
import sys
from collections import Counter, OrderedDict
from typing import Any, Protocol

from tealhook.context import NodeContext
from tealhook.jobs.dependency_graph import DependencyGraph
from tealhook.jobs.job_entry import EndedJob, JobEntry
from tealhook.jobs.job_records import (
    JOBS_PREFIX,
    JobRecord,
    JobState,
    chunk_key,
    job_key,
    parse_dependency_chunk,
    parse_job_key,
    parse_record,
)
from tealhook.state_store.client import StateClient
from tealhook.state_store.key_checkpoint import KeyCheckpoint
from tealhook.state_store.scanning_watcher import ScanningWatcher
from tealhook.wire import state as state_wire
from tealhook.wire.users import PRIORITY_RANK

MIN_ENDED_JOBS = 20_000  # kept in the index to save reads; the state store keeps the records of all ended jobs
ENDED_JOB_BYTES = 400  # approximate memory that an ended job takes in the index
ENDED_JOBS_MEMORY_SHARE = 1 / 8  # share of this process's memory that ended jobs may take
WATCHES_PER_LEASE = 10  # number of watch requests during a worker's lease if the state store sends no changes
MAX_SYNC_WAIT_SHARE = 0.25  # share of a worker's lease after which teams are recovered before all records are read


class JobObserver(Protocol):
    """The receiver of changes of the job index."""

    def on_job_changed(self, job_id: str) -> None:
        """Handle a job that was accepted or released, has ended, or has a new priority, deadline or dependency."""


class JobIndex:
    """All active jobs with their specs, and as many ended jobs as memory allows."""

    def __init__(self, context: NodeContext, store: StateClient) -> None:
        """Initialize an empty index; `start` fills it and keeps it up to date."""
        self._effects = context.effects
        limits = context.settings.params.limits
        self._max_sync_wait_s = context.workers.lease_s * MAX_SYNC_WAIT_SHARE
        self._max_ended = max(MIN_ENDED_JOBS, int(limits.memory_bytes(ENDED_JOBS_MEMORY_SHARE) / ENDED_JOB_BYTES))
        # No ended job has been evicted and no record was malformed, so a job that is not in the index does not exist.
        self.is_complete = True
        self.active: dict[str, JobEntry] = {}
        self.ended: OrderedDict[str, EndedJob] = OrderedDict()
        # Jobs whose records this version can't read, as an ordered set; for a later version they may be active.
        self._unreadable_jobs: dict[str, None] = {}
        self._checkpointing_jobs: Counter[int] = (
            Counter()
        )  # own priority rank -> number of active jobs with checkpoints
        self._early_chunks: dict[str, dict[int, list[str]]] = {}  # chunks that were read before their job's record
        self._dependencies = DependencyGraph(self.active, self.ended, self._notify)
        self._observer: JobObserver | None = None
        self.watcher = ScanningWatcher(
            context.effects,
            store,
            JOBS_PREFIX,
            context.workers.lease_s / WATCHES_PER_LEASE,
            self,
            KeyCheckpoint(context, store, JOBS_PREFIX),
        )

    def start(self, observer: JobObserver) -> None:
        """Read all job records and watch them from then on; `observer` is called for each job that changes."""
        self._observer = observer
        self.watcher.start()

    @property
    def is_synced(self) -> bool:
        """True once all records have been read; until then, an active job may be missing from the index."""
        return self.watcher.is_synced

    @property
    def view_number(self) -> int:
        """Number that changes when the records begin to be read anew.

        A record that was requested under an earlier number can't be applied while it is active: it may have ended
        before the changes that are followed now.
        """
        return self.watcher.view_number

    @property
    def can_answer(self) -> bool:
        """True once requests can be answered: from the jobs in the index, and for others by reading their records."""
        return self.watcher.is_synced or self.watcher.is_tracking

    @property
    def can_recover_teams(self) -> bool:
        """True once teams can be recovered.

        Their owner waits for the active jobs that may be missing, but not for as long as reading the records of a
        deployment of many years takes. Jobs that are found later are added to their teams then.
        """
        return self.watcher.is_synced or self.watcher.tracking_s() > self._max_sync_wait_s

    def knows_all_jobs(self) -> bool:
        """Check whether a job that is not in the index does not exist."""
        return self.is_complete and self.watcher.has_all_keys

    def may_answer_from_view(self, job_id: str) -> bool:
        """Check whether an up-to-date view of the records is enough to tell the status of a job.

        Otherwise its record has to be read: the index has missed changes, or has not received this job's record yet.
        """
        return self.watcher.is_tracking and (self.watcher.has_all_keys or self.status(job_id) is not None)

    # -- job status

    def status(self, job_id: str) -> str | None:
        """Return the last known `JobState` of a job, or None.

        A final state does not change any more, but a job that is active here may have ended since.
        """
        if job_id in self.active:
            return JobState.ACTIVE
        ended = self.ended.get(job_id)
        return ended.status if ended else None

    def team_of(self, job_id: str) -> str | None:
        """Return the team of a job that is active or recently ended, or None if the job is not in the index."""
        entry = self.active.get(job_id)
        if entry is not None:
            return entry.team
        ended = self.ended.get(job_id)
        return ended.team if ended else None

    def seconds_since_cancelled(self, job_id: str) -> float:
        """Return the seconds since a job was cancelled, or 0 if its record does not hold the time."""
        ended_at = self.ended[job_id].ended_at if job_id in self.ended else 0.0
        return max(0.0, self._effects.wall() - ended_at) if ended_at > 0 else 0.0

    @property
    def lowest_checkpointing_priority(self) -> float:
        """The lowest own priority among the active jobs whose tasks save checkpoints; infinite if there are none."""
        return min((priority for priority, count in self._checkpointing_jobs.items() if count), default=math.inf)

    # -- dependencies

    def is_blocked(self, job_id: str) -> bool:
        """Check whether a job is known to wait for its dependencies."""
        entry = self.active.get(job_id)
        return entry is not None and entry.is_blocked

    def expected_release_at(self, job_id: str) -> float:
        """Return the expected wall-clock release time of a blocked job, by its dependencies' estimated run times."""
        return self._dependencies.expected_release_at(job_id)

    def unknown_dependencies(self, job_id: str) -> list[str]:
        """Return the direct and transitive dependencies of a job that are not in the index.

        They may have ended, which only their records can tell.
        """
        return self._dependencies.unknown_dependencies(job_id)

    def has_cancelled_dependency(self, job_id: str) -> bool:
        """Check whether a direct or transitive dependency of a job is known to be cancelled."""
        return self._dependencies.has_cancelled_dependency(job_id)

    # -- updates

    def apply_record(self, job_id: str, record: JobRecord, mod_revision: int) -> None:
        """Update the index with a record that this node has read or written."""
        if job_id in self.ended:
            return
        if record.status != JobState.ACTIVE:
            self._apply_end(job_id, record)
            return
        previous = self.active.get(job_id)
        if record.spec is not None and (previous is None or previous.mod_revision < mod_revision):
            if previous is not None:
                self._count_checkpointing(previous, -1)
            entry = JobEntry(record.spec, record.team, mod_revision, record.status_since, record.extra_chunks)
            self.active[job_id] = entry
            self._count_checkpointing(entry, 1)
            self._dependencies.add_edges(job_id, entry, entry.spec.depends_on)
            for chunk, dependencies in self._early_chunks.pop(job_id, {}).items():
                self._add_chunk(job_id, entry, chunk, dependencies)
            self._notify(job_id)

    def _apply_end(self, job_id: str, record: JobRecord) -> None:
        entry = self.active.pop(job_id, None)
        self.ended[job_id] = EndedJob(sys.intern(str(record.status)), sys.intern(str(record.team)), record.status_since)
        while len(self.ended) > self._max_ended:
            self.ended.popitem(last=False)
            self.is_complete = False
        self._early_chunks.pop(job_id, None)
        if entry is not None:
            self._count_checkpointing(entry, -1)
            self._dependencies.remove_edges(job_id, entry)
        self._notify(job_id)
        if record.status == JobState.DONE:
            self._dependencies.release_dependents(job_id, record.status_since)
        else:
            for dependent in self._dependencies.dependents(job_id):
                self._notify(dependent)
        if entry is not None:
            self._dependencies.propagate_priorities(entry.spec.depends_on)

    def _add_chunk(self, job_id: str, entry: JobEntry, chunk: int, dependencies: list[str]) -> None:
        """Add the dependencies of a chunk, unless it was added before or the record does not count it."""
        if chunk not in entry.missing_chunks:
            return
        self._dependencies.add_edges(job_id, entry, entry.add_chunk(chunk, dependencies))
        self._notify(job_id)

    def _count_checkpointing(self, entry: JobEntry, change: int) -> None:
        if entry.spec.checkpoint_interval_s > 0:
            self._checkpointing_jobs[PRIORITY_RANK[entry.spec.priority]] += change

    def _notify(self, job_id: str) -> None:
        if self._observer is not None:
            self._observer.on_job_changed(job_id)

    # -- records, as `KeyObserver`

    def list_mutable_keys(self) -> list[str]:
        """Return the keys of the records of all jobs that may be active; their dependency chunks never change."""
        return [job_key(job_id) for job_id in (*self.active, *self._unreadable_jobs)]

    def list_missing_keys(self) -> list[str]:
        """Return the keys of the dependency chunks of active jobs that have not been read."""
        return [chunk_key(job_id, chunk) for job_id, entry in self.active.items() for chunk in entry.missing_chunks]

    def on_keys_read(self, items: list[state_wire.KeyValue]) -> None:
        """Apply records that were read from the state store."""
        for item in items:
            self._apply_value(item.key, item.value, item.mod_revision)

    def on_page_read(self, items: list[state_wire.KeyValue]) -> None:
        """Apply records that a scan has read."""
        self.on_keys_read(items)
        # A job's record comes before its chunks, so what is left belongs to ended jobs that have been evicted.
        self._early_chunks.clear()

    def on_keys_changed(self, events: list[state_wire.WatchEvent]) -> None:
        """Apply the changes of records; a record is never deleted."""
        for event in events:
            if event.put_key:
                self._apply_value(event.put_key, event.value, event.mod_revision)

    def _apply_value(self, key: str, value: Any, mod_revision: int) -> None:
        job_id, chunk = parse_job_key(key)
        if chunk:
            self._apply_chunk(job_id, chunk, value)
            return
        record = parse_record(value)
        if record is None or (record.status == JobState.ACTIVE and record.spec is None):
            self._unreadable_jobs[job_id] = None
            self.is_complete = False
            return
        self._unreadable_jobs.pop(job_id, None)
        self.apply_record(job_id, record, mod_revision)

    def _apply_chunk(self, job_id: str, chunk: int, value: Any) -> None:
        dependencies = parse_dependency_chunk(job_id, value)
        if dependencies is None:
            return
        if job_id in self.active:
            self._add_chunk(job_id, self.active[job_id], chunk, dependencies)
        elif job_id not in self.ended:
            self._early_chunks.setdefault(job_id, {})[chunk] = dependencies
