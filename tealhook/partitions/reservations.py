"""Reservations on a partition's machines, and the team schedulers that may make and use them."""

from __future__ import annotations

from tealhook.partitions.machine import Machine, MachineTask, Reservation
from tealhook.partitions.state import PartitionState
from tealhook.wire import mesh
from tealhook.wire.common import Resources
from tealhook.wire.mesh.reservations import RESERVATION_LEASE_SHARE

MAX_SILENCE_PERIODS = 2.5  # heartbeat periods; a machine silent for longer gets no more tasks
RANDOM_ID_BITS = 40  # upper bits of reservation ids, random so that ids of different owners don't collide
COUNTER_ID_BITS = 20  # lower bits of reservation ids, counted up by each owner


class Reservations:
    """Adds, settles and drops reservations, none of which is durable."""

    def __init__(self, state: PartitionState) -> None:
        """Initialize without any reservation."""
        self._effects = state.context.effects
        self._workers = state.context.workers
        self._state = state
        self._machines = state.machines
        self._team_tokens: dict[str, int] = {}  # the highest scheduler token seen of each team
        self._machine_of: dict[int, Machine] = {}  # by reservation id
        self._last_id = state.context.effects.rng.getrandbits(RANDOM_ID_BITS) << COUNTER_ID_BITS

    def accept_team_token(self, team: str, team_token: int) -> bool:
        """Record the token of a team's scheduler, and return False if it is that of an earlier scheduler.

        A newer token drops the reservations that the earlier scheduler made and has not launched.
        """
        known_token = self._team_tokens.get(team, 0)
        if team_token < known_token:
            return False
        if team_token > known_token:
            self._team_tokens[team] = team_token
            for machine in self._machines.values():
                for reservation in machine.list_reservations():
                    if reservation.team == team and not reservation.is_assigned:
                        self.drop(machine, reservation)
        return True

    def add(
        self,
        machine: Machine,
        request: mesh.ReservationRequest,
        required: Resources,
        victims: list[MachineTask],
        now: float,
    ) -> Reservation:
        """Reserve resources for one task of a request; `victims` are the tasks to be preempted for it."""
        self._last_id += 1
        reservation = Reservation(
            self._last_id,
            request.team,
            request.job,
            required,
            request.requirements.image,
            now + self._workers.lease_s * RESERVATION_LEASE_SHARE,
            now,
            [task.key for task in victims],
            non_preemptible=request.non_preemptible,
        )
        for task in victims:
            task.preempting_reservation_id = reservation.reservation_id
        machine.reservations[reservation.reservation_id] = reservation
        self._machine_of[reservation.reservation_id] = machine
        self._state.mark_changed(machine)
        return reservation

    def machine_of(self, reservation_id: int) -> Machine | None:
        """Return the machine of a reservation, or None if the reservation no longer exists."""
        machine = self._machine_of.get(reservation_id)
        return machine if machine is not None and reservation_id in machine.reservations else None

    def settle(self, machine: Machine, reservation: Reservation) -> None:
        """Remove a reservation whose task the worker reports."""
        del machine.reservations[reservation.reservation_id]
        self._machine_of.pop(reservation.reservation_id, None)
        self._state.mark_changed(machine)

    def drop(self, machine: Machine, reservation: Reservation) -> None:
        """Remove a reservation, free its resources, and keep the tasks that were to be preempted for it."""
        machine.reservations.pop(reservation.reservation_id, None)
        self._machine_of.pop(reservation.reservation_id, None)
        self._state.mark_changed(machine)
        for task in machine.tasks.values():
            if task.preempting_reservation_id == reservation.reservation_id:
                task.preempting_reservation_id = 0

    def drop_all(self, machine: Machine) -> None:
        """Remove every reservation on a machine that was released or whose lease has ended."""
        for reservation_id in machine.reservations:
            self._machine_of.pop(reservation_id, None)
        machine.reservations.clear()

    def schedulable_machines(self) -> list[Machine]:
        """Drop expired reservations, and return the machines that can start tasks at once."""
        now = self._effects.now()
        max_silence_s = MAX_SILENCE_PERIODS * self._workers.report_s
        for machine in self._machines.values():
            if machine.reservations:
                for reservation in machine.list_reservations():
                    if not reservation.is_assigned and reservation.expires_at < now:
                        self.drop(machine, reservation)
        return [machine for machine in self._machines.values() if machine.accepts_tasks(now, max_silence_s)]
