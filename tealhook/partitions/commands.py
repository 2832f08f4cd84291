"""Commands to workers: task starts, stops and forgets, sent in responses to heartbeats or by direct calls."""

from __future__ import annotations

from tealhook.jobs.job_records import JobState
from tealhook.partitions.interfaces import HeartbeatResponder
from tealhook.partitions.launched_jobs import LaunchedJobs
from tealhook.partitions.machine import AttemptKey, Machine, MachineTask, ReservationState, fits, subtract_resources
from tealhook.partitions.reservations import Reservations
from tealhook.partitions.state import PartitionState
from tealhook.partitions.status_updates import StatusUpdates
from tealhook.partitions.worker_calls import DIRECT_CALL_TIMEOUT_S, ignore_answer
from tealhook.wire import mesh
from tealhook.wire import workers as wire
from tealhook.wire.cloud import MachineType
from tealhook.wire.common import Resources, encode_json

ENDED_STATES = (JobState.CANCELLED, JobState.DONE)
MAX_COMMANDS = 300  # per message; keeps the body, one line of JSON, far below the maximum line length


class WorkerCommands:
    """Creates the commands to the workers of one partition.

    Starts are sent only in responses to heartbeats, since one sent directly could be executed minutes late. Stops are
    also sent directly: a repeated or late stop is harmless, since an attempt never runs again.
    """

    def __init__(
        self,
        state: PartitionState,
        reservations: Reservations,
        launched_jobs: LaunchedJobs,
        status_updates: StatusUpdates,
        responder: HeartbeatResponder,
    ) -> None:
        """Initialize without commands; `status_updates` numbers the replies, `responder` answers open heartbeats."""
        self._effects = state.context.effects
        self._token = state.token
        self._job_index = state.job_index
        self._machine_types = state.machine_types
        self._machines = state.machines
        self._reservations = reservations
        self._launched_jobs = launched_jobs
        self._status_updates = status_updates
        self._responder = responder

    def collect_commands(self, machine: Machine) -> list[wire.Command]:
        """Return the commands for the response to a machine's heartbeat: stops, forgets, and starts that fit."""
        commands: list[wire.Command] = []
        job_status = self._job_index.status
        for key, task in machine.tasks.items():
            if task.is_alive:
                if job_status(task.job) in ENDED_STATES:
                    machine.pending_stops.setdefault(key, 0.0)
                if key in machine.pending_stops:
                    commands.append(
                        wire.Command(wire.CommandAction.STOP, task.task_id, task.attempt, machine.pending_stops[key])
                    )
            elif key in machine.pending_forgets or job_status(task.job) in ENDED_STATES:
                commands.append(wire.Command(wire.CommandAction.FORGET, task.task_id, task.attempt))
        machine_type = self._machine_types.get(machine.machine_type)
        if machine_type is not None and not self._responder.must_not_launch():
            self._add_starts(machine, machine_type, commands)
        return commands[:MAX_COMMANDS]

    def _add_starts(self, machine: Machine, machine_type: MachineType, commands: list[wire.Command]) -> None:
        """Add start commands for the assigned reservations that fit beside the tasks still on the machine."""
        free: Resources | None = None
        for reservation in machine.list_reservations():
            if not reservation.is_assigned or len(commands) >= MAX_COMMANDS:
                continue
            if reservation.is_revoked or self._job_index.status(reservation.job) in ENDED_STATES:
                reservation.state = ReservationState.REVOKED
                if not reservation.send_count:
                    self._reservations.drop(machine, reservation)
                continue
            if free is None:
                free = self._free_after_stops(machine, machine_type)
            if fits(free, reservation.resources):
                free = subtract_resources(free, reservation.resources)
                reservation.send_count += 1
                commands.append(wire.Command(wire.CommandAction.START, reservation.task_id, reservation.attempt))

    def _free_after_stops(self, machine: Machine, machine_type: MachineType) -> Resources:
        """Return the resources free on a machine once the tasks that exit at once on a pending stop are gone."""
        free = machine_type.resources
        for key, task in machine.tasks.items():
            if task.is_alive and not (
                key in machine.pending_stops and self._exits_at_once(task, machine.pending_stops[key])
            ):
                # A task of a job that is unknown here may use the whole machine.
                free = subtract_resources(free, self._launched_jobs.task_resources(task.job) or machine_type.resources)
        return free

    def _exits_at_once(self, task: MachineTask, grace_period_s: float) -> bool:
        """Check whether a task exits without saving a checkpoint when it is stopped with this grace period."""
        entry = self._job_index.active.get(task.job)
        if entry is None:
            return grace_period_s <= 0
        return (
            entry.spec.checkpoint_interval_s <= 0
            or grace_period_s < entry.spec.checkpoint_s
            or task.status == wire.TaskStatus.FETCHING
        )

    def _send_stops(self, machine: Machine) -> None:
        """Send a machine's pending stops in the response to an open heartbeat, or else by a direct call.

        The worker reports the exits at once, so that the start for which the resources are freed can be sent in the
        response to that heartbeat. Forgets are not sent directly, since they do not make the worker report.
        """
        if self._responder.answer_now(machine.name):
            return
        commands = [
            wire.Command(wire.CommandAction.STOP, key.task_id, key.attempt, grace_period_s)
            for key, grace_period_s in machine.pending_stops.items()
            if key in machine.tasks and machine.tasks[key].is_alive
        ]
        if commands:
            body = encode_json(wire.CommandBatch(self._token, commands[:MAX_COMMANDS], machine.session))
            self._effects.worker(machine.address, "POST", "/orders", body, DIRECT_CALL_TIMEOUT_S, ignore_answer)

    def launch(self, request: mesh.LaunchRequest) -> mesh.LaunchReply:
        """Launch tasks whose assignments are durable on their reservations, each of which can be used once."""
        refused: list[int] = []
        stopping_machines: dict[str, Machine] = {}
        launching_machines: dict[str, None] = {}  # an ordered set, so that runs with the same seed are identical
        is_current = self._reservations.accept_team_token(request.team, request.team_token)
        for start in request.starts:
            machine = self._reservations.machine_of(start.reservation_id)
            if machine is None or not is_current or not self._may_launch(machine, start):
                self._drop_unused(machine, start)
                if not self._is_launched(start):
                    refused.append(start.reservation_id)
                continue
            launching_machines[machine.name] = None
            if self._begin_launch(machine, start):
                stopping_machines[machine.name] = machine
        for machine in stopping_machines.values():
            self._send_stops(machine)
        for name in launching_machines:
            self._responder.answer_now(name)
        return mesh.LaunchReply(self._token, self._status_updates.next_sequence(), refused)

    def _may_launch(self, machine: Machine, start: mesh.TaskStart) -> bool:
        """Check whether the reservation of a start may be used now."""
        reservation = machine.reservations[start.reservation_id]
        # Once a reservation has expired, the team's scheduler may have placed the task again.
        is_unused = not reservation.is_assigned and reservation.expires_at >= self._effects.now()
        return (
            is_unused
            and reservation.job == start.job
            and not machine.is_terminating
            and self._job_index.status(start.job) not in ENDED_STATES
        )

    def _drop_unused(self, machine: Machine | None, start: mesh.TaskStart) -> None:
        """Drop the reservation of a refused start, unless an earlier start has used it."""
        reservation = machine.reservations[start.reservation_id] if machine is not None else None
        if machine is not None and reservation is not None and not reservation.is_assigned:
            self._reservations.drop(machine, reservation)

    def _begin_launch(self, machine: Machine, start: mesh.TaskStart) -> bool:
        """Use a reservation for a start, and return whether tasks have to be stopped for it."""
        reservation = machine.reservations[start.reservation_id]
        reservation.index, reservation.attempt = start.index, start.attempt
        reservation.state = ReservationState.LAUNCHING
        machine.has_unpublished_changes = True
        self._launched_jobs.record_launch(reservation.job, reservation.team, reservation.resources)
        for victim in reservation.victims:
            machine.pending_stops[victim] = self._preemption_grace_period_s(machine.tasks.get(victim))
        return bool(reservation.victims)

    def _is_launched(self, start: mesh.TaskStart) -> bool:
        """Check whether an attempt is launched already, so that its request is a late copy.

        The reply to the copy may arrive first. If it said that the attempt is refused, the task would be started on
        another machine as well.
        """
        key = AttemptKey(f"{start.job}/{start.index}", start.attempt)
        return any(
            key in machine.tasks or any(item.is_assigned and item.key == key for item in machine.reservations.values())
            for machine in self._machines.values()
        )

    def _preemption_grace_period_s(self, task: MachineTask | None) -> float:
        """Return the grace period of a preempted task: the time to save a checkpoint, or 0 if it saves none."""
        entry = self._job_index.active.get(task.job) if task else None
        return entry.spec.checkpoint_s if entry and entry.spec.checkpoint_interval_s > 0 else 0.0

    def stop(self, request: mesh.StopRequest) -> None:
        """Stop or forget attempts for a team's current scheduler; ignore the requests of earlier schedulers."""
        if not self._reservations.accept_team_token(request.team, request.team_token):
            return
        stopping_machines: dict[str, Machine] = {}
        for stop in request.items:
            machine = self._machines.get(stop.machine)
            if machine is None:
                continue
            key = AttemptKey(f"{stop.job}/{stop.index}", stop.attempt)
            if stop.grace_period_s < 0:
                if key in machine.tasks:
                    machine.pending_forgets.add(key)
            elif key in machine.tasks:
                if key not in machine.pending_stops and machine.tasks[key].is_alive:
                    stopping_machines[stop.machine] = machine
                grace_period_s = machine.pending_stops.get(key, stop.grace_period_s)
                machine.pending_stops[key] = min(stop.grace_period_s, grace_period_s)
            else:
                self._revoke(machine, key)
        for machine in stopping_machines.values():
            self._send_stops(machine)

    def _revoke(self, machine: Machine, key: AttemptKey) -> None:
        """Cancel the launch of an attempt.

        If its start command may have been sent, the reservation stays until a heartbeat shows the outcome.
        """
        for reservation in machine.list_reservations():
            if reservation.is_assigned and reservation.key == key:
                reservation.state = ReservationState.REVOKED
                if not reservation.send_count:
                    self._reservations.drop(machine, reservation)
