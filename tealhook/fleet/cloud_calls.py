"""Calls to the cloud by the fleet's owner, and the machine types on offer."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import msgspec

from tealhook.context import NodeContext
from tealhook.coordination import Ownership, partition_key
from tealhook.fleet.machine_types import MachineTypeStore
from tealhook.fleet.machines import RentedMachine
from tealhook.fleet.provisioning import ProvisioningTimes
from tealhook.loop import TokenBucket
from tealhook.loop.effects import LONG_AGO_S
from tealhook.mesh import Mesh
from tealhook.state_store import StateClient
from tealhook.wire import cloud as wire
from tealhook.wire.workers import FAILOVER_S

log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 5.0
USED_SHARE = 0.9
TYPES_LAGS = 8.0  # of the list's lag: so often prices are asked for
TYPES_AGAIN_S = 1.0  # after a write of the types that may be lost
CloudAnswer = Callable[[int | None, bytes], Any]  # status (None: no answer) and body


class CloudCalls:
    """What all concerns of the fleet share: its machines, the ownership, and the calls to the cloud.

    Each concern is a class on top of this one with state of its own, which its `_reset` clears.
    """

    def __init__(
        self,
        context: NodeContext,
        ownership: Ownership,
        store: StateClient,
        mesh: Mesh,
        machine_types: dict[str, wire.MachineType],
        on_released: Callable[[list[str]], Any],
    ) -> None:
        """`machine_types` is filled in place; `on_released` is told of machines that are proven to be released."""
        self._effects = context.effects
        self._settings = context.settings
        self._policy = context.policy
        self._ownership = ownership
        self._store = store
        self._mesh = mesh
        self._machine_types = machine_types
        self._machine_type_store = MachineTypeStore(store)
        self._on_released = on_released
        self._list_lag_s = context.settings.params.cloud.list_lag_s
        rate = context.settings.params.cloud.rps * USED_SHARE
        self._bucket = TokenBucket(rate, 2 * rate, context.effects.now())
        self._token: int | None = None
        self._reset()

    def _reset(self) -> None:
        """Forget what is known: ownership came or went."""
        self._machines: dict[str, RentedMachine] = {}
        self._provisioning = ProvisioningTimes()
        self._released_at: dict[
            str, float
        ] = {}  # machine -> when it was released, or known to be; lists may still show it
        self._fences: dict[str, float] = {}  # machines to be released, and since when
        self._no_release_before = LONG_AGO_S  # until then nothing is released
        self._cloud_silent_since: float | None = None  # since when the cloud has not answered
        self._owned_since = self._effects.now()
        self._calls_in_flight = 0
        self._types_read_at = LONG_AGO_S
        self._stored_types: set[tuple] | None = None  # as written by us under this ownership
        self._storing_types = False

    def _on_provisioned(self, machine: RentedMachine, now: float) -> None:
        """A machine that was starting is up: by its reports, or by the list, whichever shows it first."""
        machine.status, machine.up_at = wire.MachineStatus.RUNNING, now
        if machine.machine_type in self._machine_types:
            self._provisioning.record_provisioned(
                self._machine_types[machine.machine_type], machine.zone, now - machine.requested_at, now
            )

    def _call(self, method: str, target: str, body: bytes | None, answer: CloudAnswer) -> None:
        """Send one request to the cloud; its answer is dropped when the ownership has changed meanwhile."""
        self._calls_in_flight += 1
        token, asked = self._token, self._effects.now()

        def answered(status: int | None, data: bytes) -> None:
            if status == 429:
                self._bucket.drain(self._effects.now())
            if status is None:
                self._cloud_silent_since = asked if self._cloud_silent_since is None else self._cloud_silent_since
            elif self._cloud_silent_since is not None:
                self._on_cloud_recovered()
            if self._token == token:
                answer(status, data)

        self._effects.cloud(method, target, body, CALL_TIMEOUT_S, answered)

    def _on_cloud_recovered(self) -> None:
        """The cloud answers after it had not: what was silent meanwhile may have been behind the same cut as we.

        Releases sent into a cut that holds packets were executed when it healed: they took 250 machines that were about
        to come back. So none is sent while the cloud does not answer, and then workers have time to be heard of again.
        """
        workers, now = self._settings.params.workers, self._effects.now()
        if self._cloud_silent_since is not None and now - self._cloud_silent_since > workers.lease_s / 2:
            self._fences.clear()  # whoever wants one still will say so again
            self._no_release_before = now + 2 * workers.report_s + FAILOVER_S
        self._cloud_silent_since = None

    # -- machine types: read by every node, asked for by the owner

    def _read_stored_types(self) -> None:
        """Read the types from the state service until they are known."""

        def done(machine_types: list[wire.MachineType] | None) -> None:
            if not self._machine_types and machine_types is not None:
                self._set_types(machine_types)
            if not self._machine_types:
                self._effects.later(0.3, self._read_stored_types)

        if not self._machine_types:
            self._machine_type_store.read(done)

    def _set_types(self, machine_types: list[wire.MachineType]) -> None:
        """Replace the types on offer, and take note of their zones."""
        self._machine_types.clear()
        for machine_type in machine_types:
            self._machine_types[machine_type.name] = machine_type
            for zone in machine_type.zones:
                self._ownership.add_key(partition_key(zone))

    def _fetch_types(self) -> None:
        """Ask the cloud for the types on offer, and store them when they have changed."""

        def answer(status: int | None, body: bytes) -> None:
            self._calls_in_flight -= 1
            if status != 200:
                return
            try:
                found = wire.machine_types_decoder.decode(body)
            except msgspec.DecodeError as exc:
                log.error("cloud: bad machine types: %s", exc)
                return
            self._types_read_at = self._effects.now()
            self._set_types(found.machine_types)
            kinds = {
                (machine_type.name, machine_type.vcpus, machine_type.memory_gb, tuple(machine_type.zones))
                for machine_type in found.machine_types
            }
            if kinds != self._stored_types and not self._storing_types:
                self._store_types(found.machine_types, kinds)

        self._call("GET", "/machine_types", None, answer)

    def _store_types(self, machine_types: list[wire.MachineType], kinds: set[tuple]) -> None:
        """Tell the other nodes of the machine types; again and again until that is certain.

        One lost write once left nodes without them for good: their machines had no capacity, and no job began.
        """
        token = self._token
        if token is None:
            return
        self._storing_types = True

        def done(certain: bool) -> None:
            if self._token != token:
                return
            self._storing_types = False
            if certain:
                self._stored_types = kinds
            else:
                self._types_read_at = self._effects.now() - TYPES_LAGS * self._list_lag_s + TYPES_AGAIN_S

        self._machine_type_store.replace(token, machine_types, done)
