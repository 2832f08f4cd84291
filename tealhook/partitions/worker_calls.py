"""Direct calls from a partition's owner to workers that send it no heartbeats or receive no commands."""

from __future__ import annotations

import logging
from collections import deque
from functools import partial

import msgspec

from tealhook.loop.effects import LONG_AGO_S
from tealhook.partitions.machine import Machine
from tealhook.partitions.state import PartitionState
from tealhook.wire import workers as wire
from tealhook.wire.common import encode_json

log = logging.getLogger(__name__)

DIRECT_CALL_TIMEOUT_S = 2.0  # a direct call without an answer fails after this time, and may be repeated later
CALL_INTERVAL_LEASES = 1 / 4  # minimum time between two calls to the same worker, in leases
FIRST_CALL_DELAY_PERIODS = 1.5  # heartbeat periods in which workers find a new owner without being called
CONNECTIONS_PER_CALL = 32  # one concurrent call per this many connections: half of the share for direct calls
MIN_CONCURRENT_CALLS = 16  # lower bound for controllers with few connections


def ignore_answer(_status: int | None, _body: bytes) -> None:
    """Ignore the answer to a direct call, since the worker's next heartbeat shows the outcome."""


class WorkerCalls:
    """Calls the workers of one partition, each at most once in a quarter of a lease."""

    def __init__(self, state: PartitionState) -> None:
        """Start without any calls in progress."""
        self._effects = state.context.effects
        self._workers = state.context.workers
        self._state = state
        self._machines = state.machines
        self._called_at: dict[str, float] = {}  # machine -> when its worker was last called to announce the token
        self._waiting: deque[tuple[str, str]] = deque()  # machine and address of each worker still to be called
        max_connections = state.context.settings.params.limits.max_connections
        self._max_concurrent = max(MIN_CONCURRENT_CALLS, max_connections // CONNECTIONS_PER_CALL)
        self._in_progress = 0

    def announce_token(self, addresses: dict[str, str]) -> None:
        """Announce the owner's token to workers that have not sent a heartbeat under it, given their addresses.

        They may still report to an earlier owner that cannot learn of the change and would go on answering them. No
        commands are sent this way, since they could be executed minutes late.
        """
        now = self._effects.now()
        if now - self._state.owned_since < FIRST_CALL_DELAY_PERIODS * self._workers.report_s:
            return
        for name, address in addresses.items():
            if self._is_reconciled(name):
                continue
            if now - self._called_at.get(name, LONG_AGO_S) < self._workers.lease_s * CALL_INTERVAL_LEASES:
                continue
            self._called_at[name] = now
            self._waiting.append((name, address))
        self._call_waiting()

    def _is_reconciled(self, name: str) -> bool:
        machine = self._machines.get(name)
        return machine is not None and machine.is_reconciled

    def _call_waiting(self) -> None:
        """Call waiting workers up to the concurrency limit.

        A call above the limit would fail for lack of a connection, and be repeated only a quarter of a lease later.
        """
        while self._waiting and self._in_progress < self._max_concurrent:
            name, address = self._waiting.popleft()
            if not self._is_reconciled(name):
                self._in_progress += 1
                self._effects.worker(
                    address, "GET", "/show", None, DIRECT_CALL_TIMEOUT_S, partial(self._on_show_answer, address)
                )

    def _on_show_answer(self, address: str, status: int | None, body: bytes) -> None:
        """Send the token to a worker whose answer shows an older one."""
        self._in_progress -= 1
        self._call_waiting()
        if status != 200:
            return
        try:
            heartbeat = wire.heartbeat_decoder.decode(body)
        except msgspec.DecodeError as exc:
            log.error("worker at %s answered GET /show with a malformed heartbeat: %s", address, exc)
            return
        if heartbeat.fencing_token < self._state.token:
            batch = encode_json(wire.CommandBatch(self._state.token, [], heartbeat.session))
            self._effects.worker(address, "POST", "/orders", batch, DIRECT_CALL_TIMEOUT_S, ignore_answer)

    def probe_unresponsive(self) -> None:
        """Call machines that commands did not reach; one that answers is taken to receive commands again."""
        now = self._effects.now()
        for machine in self._machines.values():
            if (
                machine.commands_lost_since is None
                or now - machine.last_probed_at < self._workers.lease_s * CALL_INTERVAL_LEASES
            ):
                continue
            machine.last_probed_at = now
            self._effects.worker(
                machine.address, "GET", "/show", None, DIRECT_CALL_TIMEOUT_S, partial(self._on_probe_answer, machine)
            )

    @staticmethod
    def _on_probe_answer(machine: Machine, status: int | None, _body: bytes) -> None:
        if status == 200 and machine.commands_lost_since is not None:
            log.info("machine %s receives commands again", machine.name)
            machine.commands_lost_since = None
