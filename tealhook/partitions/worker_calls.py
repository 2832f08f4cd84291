"""Direct calls of a partition's owner to workers that don't come to it, or that its commands may not reach."""

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

DIRECT_CALL_TIMEOUT_S = 2.0  # a worker that has not answered a direct call by then is called again later
CALL_INTERVAL_LEASES = 1 / 4  # at most one call in so many leases to each worker
FIRST_CALL_PERIODS = 1.5  # heartbeat periods in which workers come to a new owner by themselves
CONNECTIONS_SHARE = 32  # one of so many: half of the connections for direct calls
MIN_CONCURRENT_CALLS = 16


def ignore_answer(_status: int | None, _body: bytes) -> None:
    """Ignore what a worker answers to a direct call; its next heartbeat shows what came of it."""


class WorkerCalls:
    """Calls to the workers of one partition, each at most once in a quarter of a lease."""

    def __init__(self, state: PartitionState) -> None:
        """The partition's owner may know none of its machines yet."""
        self._effects = state.context.effects
        self._workers = state.context.workers
        self._state = state
        self._machines = state.machines
        self._called_at: dict[str, float] = {}  # machine -> when its worker was last called to tell it our token
        self._waiting: deque[tuple[str, str]] = deque()  # machines and addresses of workers still to be called
        max_connections = state.context.settings.params.limits.max_connections
        self._max_concurrent = max(MIN_CONCURRENT_CALLS, max_connections // CONNECTIONS_SHARE)
        self._in_progress = 0

    def announce_token(self, addresses: dict[str, str]) -> None:
        """Tell workers that have not come under our token of it, directly, so that they do.

        They may be with an earlier owner who can't know that it is none any more, and would answer them for
        ever. Only the token is sent: commands sent this way could be executed minutes late.
        """
        now = self._effects.now()
        if now - self._state.owned_since < FIRST_CALL_PERIODS * self._workers.report_s:
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
        """Call as many workers as there are connections for: calls beyond that would fail, a lease's quarter lost."""
        while self._waiting and self._in_progress < self._max_concurrent:
            name, address = self._waiting.popleft()
            if not self._is_reconciled(name):
                self._in_progress += 1
                self._effects.worker(
                    address, "GET", "/show", None, DIRECT_CALL_TIMEOUT_S, partial(self._on_status, address)
                )

    def _on_status(self, address: str, status: int | None, body: bytes) -> None:
        self._in_progress -= 1
        self._call_waiting()
        if status != 200:
            return
        try:
            heartbeat = wire.heartbeat_decoder.decode(body)
        except msgspec.DecodeError as exc:
            log.error("worker at %s: bad answer: %s", address, exc)
            return
        if heartbeat.fencing_token < self._state.token:
            batch = encode_json(wire.CommandBatch(self._state.token, [], heartbeat.session))
            self._effects.worker(address, "POST", "/orders", batch, DIRECT_CALL_TIMEOUT_S, ignore_answer)

    def probe_unresponsive(self) -> None:
        """Call machines that commands didn't reach; a worker that answers would receive them again."""
        now = self._effects.now()
        for machine in self._machines.values():
            if (
                machine.commands_lost_since is None
                or now - machine.last_probed_at < self._workers.lease_s * CALL_INTERVAL_LEASES
            ):
                continue
            machine.last_probed_at = now
            self._effects.worker(
                machine.address, "GET", "/show", None, DIRECT_CALL_TIMEOUT_S, partial(self._on_probed, machine)
            )

    @staticmethod
    def _on_probed(machine: Machine, status: int | None, _body: bytes) -> None:
        if status == 200 and machine.commands_lost_since is not None:
            log.info("commands reach %s again", machine.name)
            machine.commands_lost_since = None
