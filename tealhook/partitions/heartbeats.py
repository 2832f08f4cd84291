"""Processing of the heartbeats that a partition's owner receives from its machines."""

from __future__ import annotations

import logging
from typing import cast

from tealhook.loop.effects import LONG_AGO_S
from tealhook.partitions.fetch_rates import FetchRates
from tealhook.partitions.machine import AttemptKey, Machine, MachineTask
from tealhook.partitions.machine_health import MachineHealth
from tealhook.partitions.reservations import Reservations
from tealhook.partitions.state import PartitionState
from tealhook.partitions.status_updates import StatusUpdates
from tealhook.partitions.termination import evict_tasks
from tealhook.wire import workers as wire

log = logging.getLogger(__name__)

MAX_CLOCK_DRIFT_RATIO = 1.001  # ratio of the rates of two monotonic clocks, each of which is off by at most 0.05%
MAX_START_SENDS = 3  # after this many sends without effect, a start command's reservation is dropped


class HeartbeatReceiver:
    """Applies heartbeats to the machines of one partition."""

    def __init__(
        self,
        state: PartitionState,
        reservations: Reservations,
        fetch_rates: FetchRates,
        health: MachineHealth,
        status_updates: StatusUpdates,
    ) -> None:
        """Initialize the receiver, which passes what heartbeats show on to the given components."""
        self._effects = state.context.effects
        self._workers = state.context.workers
        self._state = state
        self._token = state.token
        self._job_index = state.job_index
        self._machines = state.machines
        self._reservations = reservations
        self._fetch_rates = fetch_rates
        self._health = health
        self._status_updates = status_updates

    def receive(self, heartbeat: wire.Heartbeat) -> bool:
        """Apply a heartbeat whose token the caller has checked; return False if it is outdated."""
        now = self._effects.now()
        machine = self._machines.get(heartbeat.machine)
        if machine is None:
            machine = self._machines[heartbeat.machine] = Machine(heartbeat, now)
        if (heartbeat.session, heartbeat.sequence) <= (machine.session, machine.sequence):
            return False  # delayed on its way, or a duplicate
        if heartbeat.session > machine.session:
            if now - machine.last_answered_at < self._workers.lease_s / 2:
                # Heartbeats were answered until shortly before the lease expired, so the answers did not arrive.
                self._health.mark_commands_lost(machine, now)
            self._begin_session(machine, heartbeat.session, now)
        elif (
            now - machine.session_started_at
            > MAX_CLOCK_DRIFT_RATIO * self._workers.lease_s + wire.HEARTBEAT_ANSWER_TIMEOUT_S
        ):
            machine.commands_lost_since = None  # the session has outlasted a lease, so an answer has arrived
        machine.sequence = heartbeat.sequence
        machine.last_heartbeat_at = now
        machine.address = heartbeat.address
        machine.is_terminating = heartbeat.termination_notice_s is not None
        machine.acknowledges_token = heartbeat.fencing_token == self._token
        if machine.acknowledges_token:
            # A worker that has seen this owner's token rejects the commands of earlier owners, so a task that is
            # missing from such a heartbeat is provably not on the machine.
            machine.is_reconciled = True
            self._apply_task_reports(machine, heartbeat.tasks or [], now)
            if heartbeat.termination_notice_s is not None:
                evict_tasks(machine, self._job_index, self._reservations, heartbeat.termination_notice_s, now)
        self._status_updates.publish(machine, now)
        return True

    def _begin_session(self, machine: Machine, session: int, now: float) -> None:
        """Reset a machine whose worker lost its lease, and so stopped and forgot all tasks of its last session."""
        machine.session = session
        machine.session_started_at = now
        machine.last_answered_at = LONG_AGO_S
        machine.sequence = -1
        machine.tasks.clear()
        self._reservations.drop_all(machine)
        machine.pending_stops.clear()
        machine.pending_forgets.clear()
        self._state.mark_changed(machine)

    def _apply_task_reports(self, machine: Machine, reports: list[wire.TaskReport], now: float) -> None:
        # Lookups use plain tuples, which equal attempt keys: creating a key for each task of each heartbeat costs more.
        previous_tasks = cast("dict[tuple[str, int], MachineTask]", machine.tasks)
        tasks: dict[AttemptKey, MachineTask] = {}
        has_changed = len(reports) != len(previous_tasks)
        for report in reports:
            job_and_index = wire.parse_task_id(report.task_id)
            if job_and_index is None:
                continue
            previous = previous_tasks.get((report.task_id, report.attempt))
            task = previous or MachineTask(
                report.task_id, job_and_index[0], job_and_index[1], report.attempt, "", None, now
            )
            if previous is None or previous.status != report.status:
                self._on_status_change(machine, task, report, now)
                has_changed = True
            task.status, task.cause = report.status, report.cause
            tasks[task.key] = task
        machine.tasks = tasks
        machine.has_unsettled_exits = any(not task.is_alive for task in tasks.values())
        if has_changed:
            self._state.mark_changed(machine)
        self._settle_reservations(machine)
        for ended in [key for key in machine.pending_stops if key not in tasks or not tasks[key].is_alive]:
            del machine.pending_stops[ended]
        machine.pending_forgets.intersection_update(tasks)

    def _on_status_change(self, machine: Machine, task: MachineTask, report: wire.TaskReport, now: float) -> None:
        if report.status == wire.TaskStatus.RUNNING and not task.running_since:
            task.running_since = now
            self._record_image(machine, task, now)
        if report.status == wire.TaskStatus.EXITED:
            self._log_exit(machine, task, report, now)
            if report.cause == wire.ExitCause.DONE:
                self._health.record_success(machine, task.job)
            elif report.cause == wire.ExitCause.ERROR:
                self._health.record_error(machine, task.job)

    def _record_image(self, machine: Machine, task: MachineTask, now: float) -> None:
        """Record that a machine has the image of a task that has begun to run, and the rate of a preceding fetch."""
        entry = self._job_index.active.get(task.job)
        if entry is None:
            return
        spec = entry.spec
        if not spec.image:
            return
        machine_type = self._state.machine_types.get(machine.machine_type)
        if task.status == wire.TaskStatus.FETCHING and spec.image_gb > 0 and spec.image not in machine.images:
            self._fetch_rates.record_fetch(machine_type, spec.image_gb, now - task.first_reported_at)
        machine.add_image(spec.image, spec.image_gb, machine_type.disk_gb if machine_type else 0.0)

    @staticmethod
    def _log_exit(machine: Machine, task: MachineTask, report: wire.TaskReport, now: float) -> None:
        if log.isEnabledFor(logging.DEBUG) and task.reserved_at and task.running_since:
            log.debug(
                "task %s exited (%s) on %s: started %.2f s after its reservation, fetched for %.2f s, ran for %.2f s",
                report.task_id,
                report.cause,
                machine.name,
                task.first_reported_at - task.reserved_at,
                task.running_since - task.first_reported_at,
                now - task.running_since,
            )

    def _settle_reservations(self, machine: Machine) -> None:
        """Settle the reservations whose tasks the machine reports, and drop those whose start commands were lost."""
        for reservation in machine.list_reservations():
            if not reservation.is_assigned:
                continue
            task = machine.tasks.get(reservation.key)
            if task is not None:
                # From now on the start command is not sent again: once the worker has forgotten the attempt, a
                # repeated command would run it a second time.
                task.reserved_at = reservation.reserved_at
                task.non_preemptible = reservation.non_preemptible
                self._reservations.settle(machine, reservation)
            elif reservation.send_count and (reservation.is_revoked or reservation.send_count >= MAX_START_SENDS):
                # This heartbeat is newer than the response that carried the start command, and still lacks the task:
                # the worker will not execute that command any more.
                self._reservations.drop(machine, reservation)
                if not reservation.is_revoked:
                    self._health.mark_commands_lost(machine, self._effects.now())
