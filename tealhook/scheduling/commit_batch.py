"""Writes of several jobs that share one transaction."""

from __future__ import annotations

from typing import NamedTuple

from tealhook.jobs.job import WriteState
from tealhook.scheduling.job_writes import JobWrite
from tealhook.state_store.client import MAX_TRANSACTION_BYTES
from tealhook.wire import state as state_wire


class BatchLimits(NamedTuple):
    """Size limits of one transaction."""

    max_jobs: int
    max_operations: int
    max_conditions: int


class CommitBatch:
    """A transaction that is filled with the writes of jobs. The first write is accepted whatever its size."""

    def __init__(self, limits: BatchLimits) -> None:
        """Initialize a transaction without writes."""
        self._limits = limits
        self._bytes = 0
        self.conditions: state_wire.Conditions = {}
        self.operations: list[state_wire.Operation] = []
        self.writes: list[JobWrite] = []

    def try_add(self, write: JobWrite) -> bool:
        """Add a write and return True, or return False if it would exceed the limits."""
        total_bytes = self._bytes + write.encoded_bytes()
        if self.writes and self._exceeds_limits(write, total_bytes):
            return False
        self._bytes = total_bytes
        self.conditions.update(write.conditions)
        self.operations.extend(write.operations)
        self.writes.append(write)
        return True

    def _exceeds_limits(self, write: JobWrite, total_bytes: int) -> bool:
        return (
            len(self.operations) + len(write.operations) > self._limits.max_operations
            or len(self.conditions) + len(write.conditions) > self._limits.max_conditions
            or total_bytes > MAX_TRANSACTION_BYTES
            or len(self.writes) >= self._limits.max_jobs
        )

    def mark_pending(self) -> None:
        """Mark the jobs as having a write in progress: no other write of them is sent until its outcome is known."""
        for write in self.writes:
            write.job.write_state = WriteState.PENDING
            write.job.dirty_chunks -= write.written_chunks
