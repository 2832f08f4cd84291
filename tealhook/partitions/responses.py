"""Responses to heartbeats: their bodies, and the times for which they are held open."""

from __future__ import annotations

from tealhook.partitions.capacity import MachineCapacity
from tealhook.partitions.commands import WorkerCommands
from tealhook.partitions.machine import FAR_FUTURE_S
from tealhook.partitions.state import PartitionState
from tealhook.wire import workers as wire
from tealhook.wire.common import RESOURCE_TOLERANCE, encode_json

MIN_HEARTBEAT_INTERVAL_S = 0.5  # the protocol lets a worker send heartbeats no more often than this
MIN_HOLD_INTERVAL_SHARE = 0.9  # share of that interval for which a response may always be held open
BUSY_HOLD_PERIODS = 1 / 3  # heartbeat periods for which the response to a machine with tasks is held open
IDLE_HOLD_PERIODS = 2 / 3  # the same without tasks, when the machine has nothing to report except that it is up


class HeartbeatResponses:
    """Builds the responses to the heartbeats of one partition."""

    def __init__(self, state: PartitionState, capacity: MachineCapacity, commands: WorkerCommands) -> None:
        """Initialize with the commands to send, and the capacity that decides how long responses are held open."""
        self._effects = state.context.effects
        self._workers = state.context.workers
        self._token = state.token
        self._machines = state.machines
        self._capacity = capacity
        self._commands = commands

    def build_body(self, name: str | None) -> bytes:
        """Return the body of a 200 response to a machine's latest heartbeat; without commands if `name` is None."""
        machine = self._machines.get(name) if name is not None else None
        may_command = machine is not None and machine.acknowledges_token
        commands = self._commands.collect_commands(machine) if machine is not None and may_command else []
        if machine is not None:
            machine.last_answered_at = self._effects.now()
        return encode_json(wire.CommandBatch(self._token, commands))

    def hold_open_s(self, name: str) -> float:
        """Return the seconds for which the response to a machine's heartbeat may be held open for a start command.

        A command that becomes due just after a response would have to wait for the next heartbeat, half a period on
        average, while its resources are idle. Holding the response open costs little: the worker may not send another
        heartbeat for a while anyway, and without tasks it has nothing to report except that it is up.
        """
        machine = self._machines.get(name)
        if machine is None or not machine.acknowledges_token:
            return 0.0
        if not machine.accepts_tasks(self._effects.now(), FAR_FUTURE_S):
            return 0.0
        if machine.pending_stops or any(reservation.is_assigned for reservation in machine.reservations.values()):
            return 0.0  # a command is due now or will be soon
        free = self._capacity.free_resources(machine)
        if free.vcpus <= RESOURCE_TOLERANCE or free.memory_gb <= RESOURCE_TOLERANCE:
            return 0.0
        periods = BUSY_HOLD_PERIODS if machine.tasks else IDLE_HOLD_PERIODS
        hold_s = max(MIN_HOLD_INTERVAL_SHARE * MIN_HEARTBEAT_INTERVAL_S, periods * self._workers.report_s)
        return min(wire.HEARTBEAT_ANSWER_TIMEOUT_S / 2, hold_s)
