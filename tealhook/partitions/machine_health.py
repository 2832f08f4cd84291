"""Detection of machines that commands do not reach or on which tasks of several jobs fail."""

from __future__ import annotations

import logging

from tealhook.partitions.machine import Machine
from tealhook.partitions.state import PartitionState

log = logging.getLogger(__name__)

REPLACEMENT_DELAY_LEASES = 2.0  # a machine that commands have not reached for this many leases is replaced
MAX_TRACKED_JOBS = 1000  # failing jobs whose machines are remembered; the oldest entry is dropped first
UNHEALTHY_FAILED_JOBS = 2  # a machine is unhealthy once tasks of this many jobs have failed on it in a row
FAULTY_JOB_MACHINES = 3  # a job that has failed on this many machines is itself at fault, not the machines


class MachineHealth:
    """Tracks the outcomes of commands and tasks on machines, and marks machines that get no further tasks."""

    def __init__(self, state: PartitionState) -> None:
        """Start without any recorded failures."""
        self._state = state
        self._lease_s = state.context.workers.lease_s
        self._failed_on: dict[str, set[str]] = {}  # job -> machines on which one of its tasks has failed

    def mark_commands_lost(self, machine: Machine, now: float) -> None:
        """Place no more tasks on a machine that commands do not reach, although its heartbeats arrive.

        It would lose each start command: every heartbeat proves that the task is not there, so that it is placed again,
        often on the same machine.
        """
        if machine.commands_lost_since is None:
            log.info("machine %s sends heartbeats but receives no commands: placing no more tasks on it", machine.name)
            machine.commands_lost_since = now
            self._state.mark_changed(machine)

    def record_success(self, machine: Machine, job: str) -> None:
        """Clear the failures of a machine and of a job, one of whose tasks has succeeded there."""
        machine.failed_jobs.clear()
        self._failed_on.pop(job, None)

    def record_error(self, machine: Machine, job: str) -> None:
        """Record a failed task, and mark the machine as unhealthy once tasks of several jobs have failed in a row.

        A job that fails on many machines does not count against any of them.
        """
        failed_on = self._failed_on.setdefault(job, set())
        failed_on.add(machine.name)
        if len(self._failed_on) > MAX_TRACKED_JOBS:
            self._failed_on.pop(next(iter(self._failed_on)))
        if len(failed_on) >= FAULTY_JOB_MACHINES:
            for name in failed_on:
                if name in self._state.machines:
                    self._state.machines[name].failed_jobs.discard(job)
            return
        machine.failed_jobs.add(job)
        if len(machine.failed_jobs) >= UNHEALTHY_FAILED_JOBS and not machine.is_unhealthy:
            log.info("machine %s is unhealthy, tasks of several jobs failed: placing no more tasks on it", machine.name)
            machine.is_unhealthy = True

    def needs_replacement(self, machine: Machine, now: float) -> bool:
        """Check whether a machine is unhealthy or has been out of reach of commands for too long."""
        return machine.is_unhealthy or (
            machine.commands_lost_since is not None
            and now - machine.commands_lost_since > REPLACEMENT_DELAY_LEASES * self._lease_s
        )
