"""Which machines are given nothing more, since commands don't reach them or tasks of several jobs fail there."""

from __future__ import annotations

import logging

from tealhook.partitions.machine import Machine
from tealhook.partitions.state import PartitionState

log = logging.getLogger(__name__)

COMMANDS_LOST_LEASES = 2.0  # a machine that commands have not reached for so many leases is replaced
MAX_REMEMBERED_JOBS = 1000  # failing jobs whose machines are remembered; the first noted go first
UNHEALTHY_JOBS = 2  # a machine on which tasks of so many jobs fail in a row is suspect
FAILING_JOB_MACHINES = 3  # a job that fails on so many machines fails everywhere: none of them is to blame


class MachineHealth:
    """Judges machines by what happens to commands and tasks on them."""

    def __init__(self, state: PartitionState) -> None:
        """No job has failed yet."""
        self._state = state
        self._lease_s = state.context.workers.lease_s
        self._failed_on: dict[str, set[str]] = {}  # job -> machines on which a task of it has failed

    def mark_commands_lost(self, machine: Machine, now: float) -> None:
        """Commands don't reach a machine, though its heartbeats arrive: it gets nothing more until they do.

        It would swallow every start, again and again: its heartbeats prove each time that the task is not there.
        """
        if machine.commands_lost_since is None:
            log.info("heartbeats of %s arrive, but commands don't reach it", machine.name)
            machine.commands_lost_since = now
            self._state.mark_changed(machine)

    def record_success(self, machine: Machine, job: str) -> None:
        """A task of a job is done on a machine."""
        machine.failed_jobs.clear()
        self._failed_on.pop(job, None)

    def record_error(self, machine: Machine, job: str) -> None:
        """Two jobs in a row that fail here make the machine suspect; one job that fails everywhere does not."""
        failed_on = self._failed_on.setdefault(job, set())
        failed_on.add(machine.name)
        if len(self._failed_on) > MAX_REMEMBERED_JOBS:
            self._failed_on.pop(next(iter(self._failed_on)))
        if len(failed_on) >= FAILING_JOB_MACHINES:
            for name in failed_on:
                if name in self._state.machines:
                    self._state.machines[name].failed_jobs.discard(job)
            return
        machine.failed_jobs.add(job)
        if len(machine.failed_jobs) >= UNHEALTHY_JOBS and not machine.is_unhealthy:
            log.info("tasks of several jobs fail on %s: unhealthy, it is given nothing more", machine.name)
            machine.is_unhealthy = True

    def needs_replacement(self, machine: Machine, now: float) -> bool:
        """Whether a machine should be replaced by another."""
        return machine.is_unhealthy or (
            machine.commands_lost_since is not None
            and now - machine.commands_lost_since > COMMANDS_LOST_LEASES * self._lease_s
        )
