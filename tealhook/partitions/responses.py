"""Responses to heartbeats: what they carry, and how long they are held open for more."""

from __future__ import annotations

from tealhook.partitions.capacity import MachineCapacity
from tealhook.partitions.commands import WorkerCommands
from tealhook.partitions.machine import FAR_FUTURE_S, RESOURCE_TOLERANCE
from tealhook.partitions.state import PartitionState
from tealhook.wire import workers as wire
from tealhook.wire.common import encode_json

HEARTBEAT_GAP_S = 0.5  # the protocol: a worker never sends heartbeats more often
GAP_SHARE = 0.9  # of that gap: a response may always be held open so long
BUSY_HOLD_PERIODS = 1 / 3  # of a heartbeat period, with tasks on the machine
IDLE_HOLD_PERIODS = 2 / 3  # without: such a machine has nothing to report but that it is there


class HeartbeatResponses:
    """The bodies of responses, and their hold-open times."""

    def __init__(self, state: PartitionState, capacity: MachineCapacity, commands: WorkerCommands) -> None:
        """Responses carry `commands`."""
        self._effects = state.context.effects
        self._workers = state.context.workers
        self._token = state.token
        self._machines = state.machines
        self._capacity = capacity
        self._commands = commands

    def build_body(self, name: str | None) -> bytes:
        """The body of a 200 to a machine's newest heartbeat; None: it carries no commands."""
        machine = self._machines.get(name) if name is not None else None
        may_command = machine is not None and machine.acknowledges_token
        commands = self._commands.collect_commands(machine) if machine is not None and may_command else []
        if machine is not None:
            machine.last_answered_at = self._effects.now()
        return encode_json(wire.CommandBatch(self._token, commands))

    def hold_open_s(self, name: str) -> float:
        """Seconds for which the response to a machine's heartbeat may stay open, so that a start can ride on it.

        A start that comes just after a response would wait for the next heartbeat, on the average half a period in
        which its resources lie idle. A worker can't send one again for a while anyway; one without tasks has nothing
        to report but that it is there.
        """
        machine = self._machines.get(name)
        if machine is None or not machine.acknowledges_token:
            return 0.0
        if not machine.accepts_tasks(self._effects.now(), FAR_FUTURE_S):
            return 0.0
        if machine.pending_stops or any(reservation.is_assigned for reservation in machine.reservations.values()):
            return 0.0  # there is, or will soon be, a command for it
        free = self._capacity.free_resources(machine)
        if free.vcpus <= RESOURCE_TOLERANCE or free.memory_gb <= RESOURCE_TOLERANCE:
            return 0.0
        periods = BUSY_HOLD_PERIODS if machine.tasks else IDLE_HOLD_PERIODS
        hold_s = max(GAP_SHARE * HEARTBEAT_GAP_S, periods * self._workers.report_s)
        return min(wire.ANSWER_TIMEOUT_S / 2, hold_s)
