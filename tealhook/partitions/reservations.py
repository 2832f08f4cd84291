"""The reservations that stand on a partition's machines, and which team's scheduler may make and use them."""

from __future__ import annotations

from tealhook.partitions.machine import Machine, MachineTask, Reservation
from tealhook.partitions.state import PartitionState
from tealhook.wire import mesh
from tealhook.wire.common import Resources

RESERVATION_LEASE_SHARE = 1 / 4  # how long a reservation stands that is not used
MAX_SILENCE_PERIODS = 2.5  # heartbeat periods; a machine not heard of for longer is given nothing
FIRST_ID_BITS = 40  # drawn at random, so that ids of different owners don't collide
COUNTED_ID_BITS = 20


class Reservations:
    """Adds, settles and drops reservations. Nothing of them is durable."""

    def __init__(self, state: PartitionState) -> None:
        """No reservation stands yet."""
        self._effects = state.context.effects
        self._workers = state.context.workers
        self._state = state
        self._machines = state.machines
        self._team_tokens: dict[str, int] = {}  # the highest token of each team's scheduler that was seen
        self._machine_of: dict[int, Machine] = {}  # reservation -> its machine
        self._last_id = state.context.effects.rng.getrandbits(FIRST_ID_BITS) << COUNTED_ID_BITS

    def accept_team_token(self, team: str, team_token: int) -> bool:
        """Note the token of a team's scheduler; False for an earlier one, whose reservations are dropped."""
        known = self._team_tokens.get(team, 0)
        if team_token < known:
            return False
        if team_token > known:
            self._team_tokens[team] = team_token
            for machine in self._machines.values():  # what the team's earlier scheduler reserved
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
        """The machine on which a reservation stands."""
        machine = self._machine_of.get(reservation_id)
        return machine if machine is not None and reservation_id in machine.reservations else None

    def settle(self, machine: Machine, reservation: Reservation) -> None:
        """Remove a reservation that has become a task which the worker reports."""
        del machine.reservations[reservation.reservation_id]
        self._machine_of.pop(reservation.reservation_id, None)
        self._state.mark_changed(machine)

    def drop(self, machine: Machine, reservation: Reservation) -> None:
        """Give the resources of a reservation back."""
        machine.reservations.pop(reservation.reservation_id, None)
        self._machine_of.pop(reservation.reservation_id, None)
        self._state.mark_changed(machine)
        for task in machine.tasks.values():
            if task.preempting_reservation_id == reservation.reservation_id:
                task.preempting_reservation_id = 0

    def drop_all(self, machine: Machine) -> None:
        """Drop every reservation on a machine that is gone, or whose lease has ended."""
        for reservation_id in machine.reservations:
            self._machine_of.pop(reservation_id, None)
        machine.reservations.clear()

    def schedulable_machines(self) -> list[Machine]:
        """The machines that can start tasks at once, after reservations that have expired are dropped."""
        now = self._effects.now()
        max_silence_s = MAX_SILENCE_PERIODS * self._workers.report_s
        for machine in self._machines.values():
            if machine.reservations:
                for reservation in machine.list_reservations():
                    if not reservation.is_assigned and reservation.expires_at < now:
                        self.drop(machine, reservation)
        return [machine for machine in self._machines.values() if machine.accepts_tasks(now, max_silence_s)]
