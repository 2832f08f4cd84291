"""Eviction of tasks from machines that the cloud is about to terminate."""

from __future__ import annotations

from tealhook.jobs.index import JobIndex
from tealhook.partitions.machine import Machine
from tealhook.partitions.reservations import Reservations


def evict_tasks(machine: Machine, job_index: JobIndex, reservations: Reservations, notice_s: float, now: float) -> None:
    """Stop the tasks that cannot finish before their machine is terminated, so that they restart elsewhere sooner.

    A task left running would be lost with the machine, and restarted only after the loss had been detected. Launches
    whose start command has not been sent are cancelled for the same reason.
    """
    for key, task in machine.tasks.items():
        entry = job_index.active.get(task.job)
        if entry is None or not task.is_alive or key in machine.pending_stops:
            continue
        spec = entry.spec
        if (task.running_since or now) + spec.estimated_run_s <= now + notice_s:
            continue  # it may finish in time, even if it has already run longer than estimated
        has_time_for_checkpoint = spec.checkpoint_interval_s > 0 and spec.checkpoint_s < notice_s
        machine.pending_stops[key] = spec.checkpoint_s if has_time_for_checkpoint else 0.0
    for reservation in machine.list_reservations():
        entry = job_index.active.get(reservation.job)
        if (
            reservation.is_assigned
            and not reservation.send_count
            and entry is not None
            and entry.spec.estimated_run_s > notice_s
        ):
            reservations.drop(machine, reservation)
