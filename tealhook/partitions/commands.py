"""What workers are told to do: launches of what was reserved, kills and clears, by answer or directly."""

from __future__ import annotations

from collections.abc import Callable

from tealhook.context import NodeContext
from tealhook.jobs.index import JobIndex, JobState
from tealhook.partitions.capacity import CapacityManager
from tealhook.partitions.machine import Machine, MachineTask, capacity, fits
from tealhook.partitions.status_updates import Updates
from tealhook.partitions.worker_calls import DIRECT_S, ignore
from tealhook.wire import mesh
from tealhook.wire import workers as wire
from tealhook.wire.cloud import MachineType
from tealhook.wire.common import dumps

OVER = (JobState.CANCELLED, JobState.DONE)
MAX_ORDERS = 300  # keeps a response far below the line limit


class Commands:
    """Commands to the workers of one part.

    Launches ride on answers to reports alone: one sent directly could be executed minutes late. Kills go both ways,
    since they may be repeated and come late: attempts never return.
    """

    def __init__(
        self,
        context: NodeContext,
        token: int,
        job_index: JobIndex,
        types: dict[str, MachineType],
        machines: dict[str, Machine],
        room: CapacityManager,
        updates: Updates,
    ) -> None:
        """Commands under `token`; answers to launches are numbered among `updates`."""
        self._effects = context.effects
        self._token = token
        self._job_index = job_index
        self._types = types
        self._machines = machines
        self._capacity = room
        self._updates = updates
        # Answer a machine's report now, if its answer is still open (see `Partition.patience`); whether it was.
        self.answer_now: Callable[[str], bool] = lambda _name: False
        self.may_not_launch: Callable[[], bool] = lambda: (
            False
        )  # whether we may own nothing any more, or know too little

    def commands_for(self, machine: Machine) -> list[wire.Command]:
        """What a machine is told in answer to its report: kills, clears, and launches for which there is room."""
        commands: list[wire.Command] = []
        status = self._job_index.status
        for key, task in machine.tasks.items():
            if task.alive:
                if status(task.job) in OVER:
                    machine.pending_stops.setdefault(key, 0.0)
                if key in machine.pending_stops:
                    commands.append(
                        wire.Command(wire.CommandAction.STOP, task.task, task.attempt, machine.pending_stops[key])
                    )
            elif key in machine.pending_forgets or status(task.job) in OVER:
                commands.append(wire.Command(wire.CommandAction.FORGET, task.task, task.attempt))
        machine_type = self._types.get(machine.machine_type)
        if machine_type is not None and not self.may_not_launch():
            self._add_launches(machine, machine_type, commands)
        return commands[:MAX_ORDERS]

    def _add_launches(self, machine: Machine, machine_type: MachineType, commands: list[wire.Command]) -> None:
        """Launch what fits beside the tasks that are still there, whatever was reserved."""
        room: list[float] | None = None
        for reservation in machine.list_reservations():
            if not reservation.launching or len(commands) >= MAX_ORDERS:
                continue
            if reservation.revoked or self._job_index.status(reservation.job) in OVER:
                reservation.revoked = True
                if not reservation.send_count:
                    self._capacity.drop_reservation(machine, reservation)
                continue
            if room is None:
                room = self._resources_left(machine, machine_type)
            if fits(room, reservation.resources):
                for i in range(3):
                    room[i] -= reservation.resources[i]
                reservation.send_count += 1
                commands.append(wire.Command(wire.CommandAction.START, reservation.task, reservation.attempt))

    def _resources_left(self, machine: Machine, machine_type: MachineType) -> list[float]:
        """Room besides the tasks on a machine that won't exit as soon as they are told to."""
        room = capacity(machine_type)
        for key, task in machine.tasks.items():
            if task.alive and not (
                key in machine.pending_stops and self._exits_at_once(task, machine.pending_stops[key])
            ):
                need = self._capacity.resources_of(task.job) or (
                    machine_type.vcpus,
                    machine_type.gpus,
                    machine_type.memory_gb,
                )
                for i in range(3):
                    room[i] -= need[i]
        return room

    def _stop_directly(self, machine: Machine) -> None:
        """Send a machine's kills directly: harmless to repeat or to execute late, since attempts never return.

        The worker reports such a change at once, so that the launch for which room is made rides on that
        response. (Direct clears do not make it report: tried and measured. Launches are never sent directly.)
        """
        if self.answer_now(machine.name):
            return  # they ride on the answer to a report
        commands = [
            wire.Command(wire.CommandAction.STOP, key[0], key[1], wind_down)
            for key, wind_down in machine.pending_stops.items()
            if key in machine.tasks and machine.tasks[key].alive
        ]
        if commands:
            body = dumps(wire.CommandBatch(self._token, commands[:MAX_ORDERS], machine.session))
            self._effects.worker(machine.address, "POST", "/orders", body, DIRECT_S, ignore)

    def _exits_at_once(self, task: MachineTask, wind_down: float) -> bool:
        known = self._job_index.active.get(task.job)
        if known is None:
            return wind_down <= 0
        return (
            known.spec.checkpoint_interval_s <= 0
            or wind_down < known.spec.checkpoint_s
            or task.status == wire.TaskStatus.FETCHING
        )

    def launch(self, request: mesh.LaunchRequest) -> mesh.LaunchReply:
        """Use reservations after their assignment is durable. Each reservation serves once."""
        refused = []
        killing: dict[str, Machine] = {}
        launching: dict[str, None] = {}  # in order: seeded runs must go the same way every time
        current = self._capacity.accept_team_token(request.team, request.team_token)
        for start in request.starts:
            machine = self._capacity.machine_of_reservation(start.reservation_id)
            reservation = machine.reservations.get(start.reservation_id) if machine is not None else None
            if (
                machine is None
                or reservation is None
                or not current
                or reservation.launching
                or reservation.job != start.job
                or machine.terminating
                or self._job_index.status(start.job) in OVER
            ):
                if machine is not None and reservation is not None and not reservation.launching:
                    self._capacity.drop_reservation(machine, reservation)
                refused.append(start.reservation_id)
                continue
            reservation.index, reservation.attempt, reservation.launching = start.index, start.attempt, True
            machine.changed = True
            launching[machine.name] = None
            self._capacity.remember_launch(reservation.job, reservation.team, reservation.resources)
            for victim in reservation.victims:
                task = machine.tasks.get(victim)
                known = self._job_index.active.get(task.job) if task else None
                machine.pending_stops[victim] = (
                    known.spec.checkpoint_s if known and known.spec.checkpoint_interval_s > 0 else 0.0
                )
                killing[machine.name] = machine
        for machine in killing.values():
            self._stop_directly(machine)
        for name in launching:
            self.answer_now(name)
        return mesh.LaunchReply(self._token, self._updates.next_sequence(), refused)

    def stop(self, request: mesh.StopRequest) -> None:
        """Stop or forget attempts on behalf of the team's present owner."""
        if not self._capacity.accept_team_token(request.team, request.team_token):
            return
        killing: dict[str, Machine] = {}
        for stop in request.items:
            machine = self._machines.get(stop.machine)
            if machine is None:
                continue
            key = (f"{stop.job}/{stop.index}", stop.attempt)
            if stop.grace_period_s < 0:
                if key in machine.tasks:
                    machine.pending_forgets.add(key)
            elif key in machine.tasks:
                if key not in machine.pending_stops and machine.tasks[key].alive:
                    killing[stop.machine] = machine
                machine.pending_stops[key] = min(
                    stop.grace_period_s, machine.pending_stops.get(key, stop.grace_period_s)
                )
            else:
                self._revoke(machine, key)
        for machine in killing.values():
            self._stop_directly(machine)

    def _revoke(self, machine: Machine, key: tuple[str, int]) -> None:
        """Launch an attempt no more; one that may have been sent stays booked until a report shows what came of it."""
        for reservation in machine.list_reservations():
            if reservation.launching and (reservation.task, reservation.attempt) == key:
                reservation.revoked = True
                if not reservation.send_count:
                    self._capacity.drop_reservation(machine, reservation)
