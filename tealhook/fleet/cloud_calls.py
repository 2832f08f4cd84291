"""The base of the fleet manager: calls to the cloud by the fleet's owner, and the machine types on offer."""

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
from tealhook.wire.workers import WORKER_FAILOVER_S

log = logging.getLogger(__name__)

CLOUD_CALL_TIMEOUT_S = 5.0
RATE_LIMIT_SHARE = 0.9  # share of the cloud's rate limit that is used
TYPES_REFRESH_LAGS = 8.0  # Types and prices are fetched again after this multiple of the list lag.
TYPES_WRITE_RETRY_S = 1.0  # delay until the machine types are fetched and written again if a write may be lost

# Called with the status, which is None if there was no answer, and the body.
OnCloudAnswer = Callable[[int | None, bytes], Any]


class CloudCalls:
    """The common base of the classes that make up the fleet manager: machines, ownership, and calls to the cloud.

    Each subclass adds one concern with its own state, which its `_reset` clears.
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
        """Initialize without ownership of the fleet.

        `machine_types` is filled in place. `on_released` is called with machines that the cloud has confirmed as
        released.
        """
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
        rate = context.settings.params.cloud.rps * RATE_LIMIT_SHARE
        self._bucket = TokenBucket(rate, 2 * rate, context.effects.now())
        self._token: int | None = None
        self._reset()

    def _reset(self) -> None:
        """Clear the state that belongs to one period of ownership."""
        self._machines: dict[str, RentedMachine] = {}
        self._provisioning = ProvisioningTimes()
        # Machine -> when its release was confirmed. The cloud's list, which lags, may still show it.
        self._released_at: dict[str, float] = {}
        self._pending_releases: dict[str, float] = {}  # machine -> when its release was requested
        self._no_release_before = LONG_AGO_S
        self._cloud_silent_since: float | None = None  # None: it answered the latest call
        self._owned_since = self._effects.now()
        self._calls_in_flight = 0
        self._types_fetched_at = LONG_AGO_S
        self._stored_signatures: set[tuple] | None = None  # of the types written under this ownership
        self._storing_types = False

    def _on_provisioned(self, machine: RentedMachine, now: float) -> None:
        """Record that a starting machine is up, as shown by its heartbeats or by the cloud's list."""
        machine.status, machine.up_at = wire.MachineStatus.RUNNING, now
        if machine.machine_type in self._machine_types:
            self._provisioning.record_provisioned(
                self._machine_types[machine.machine_type], machine.zone, now - machine.requested_at, now
            )

    def _call(self, method: str, target: str, body: bytes | None, on_answer: OnCloudAnswer) -> None:
        """Send a request to the cloud. Its answer is dropped if ownership of the fleet has changed meanwhile."""
        self._calls_in_flight += 1
        token, called_at = self._token, self._effects.now()

        def on_reply(status: int | None, data: bytes) -> None:
            if status == 429:
                self._bucket.drain(self._effects.now())
            if status is None:
                self._cloud_silent_since = called_at if self._cloud_silent_since is None else self._cloud_silent_since
            elif self._cloud_silent_since is not None:
                self._on_cloud_recovered()
            if self._token == token:
                on_answer(status, data)

        self._effects.cloud(method, target, body, CLOUD_CALL_TIMEOUT_S, on_reply)

    def _on_cloud_recovered(self) -> None:
        """Drop pending releases after a long outage of the cloud, and delay new ones.

        Machines that were silent during the outage may have been behind the same network cut as this node. Releases
        sent into a cut that delays packets were executed once it healed, and cost 250 machines that were about to be
        reachable again. So no release is sent while the cloud does not answer, nor until workers have had time to
        report again.
        """
        workers, now = self._settings.params.workers, self._effects.now()
        if self._cloud_silent_since is not None and now - self._cloud_silent_since > workers.lease_s / 2:
            self._pending_releases.clear()  # Whoever still needs a machine released requests it again.
            self._no_release_before = now + 2 * workers.report_s + WORKER_FAILOVER_S
        self._cloud_silent_since = None

    # -- machine types: every node reads them from the state store, the fleet's owner fetches them from the cloud

    def _read_stored_types(self) -> None:
        """Read the machine types from the state store, repeatedly until they are known."""

        def on_read(machine_types: list[wire.MachineType] | None) -> None:
            if not self._machine_types and machine_types is not None:
                self._set_types(machine_types)
            if not self._machine_types:
                self._effects.later(0.3, self._read_stored_types)

        if not self._machine_types:
            self._machine_type_store.read(on_read)

    def _set_types(self, machine_types: list[wire.MachineType]) -> None:
        """Replace the machine types, and register the partitions of their zones for ownership."""
        self._machine_types.clear()
        for machine_type in machine_types:
            self._machine_types[machine_type.name] = machine_type
            for zone in machine_type.zones:
                self._ownership.add_key(partition_key(zone))

    def _fetch_types(self) -> None:
        """Fetch the machine types from the cloud, and store them if they have changed."""

        def on_answer(status: int | None, body: bytes) -> None:
            self._calls_in_flight -= 1
            if status != 200:
                return
            try:
                offered = wire.machine_types_decoder.decode(body)
            except msgspec.DecodeError as exc:
                log.error("cloud: malformed answer to the request for machine types: %s", exc)
                return
            self._types_fetched_at = self._effects.now()
            self._set_types(offered.machine_types)
            signatures = {
                (machine_type.name, machine_type.vcpus, machine_type.memory_gb, tuple(machine_type.zones))
                for machine_type in offered.machine_types
            }
            if signatures != self._stored_signatures and not self._storing_types:
                self._store_types(offered.machine_types, signatures)

        self._call("GET", "/machine_types", None, on_answer)

    def _store_types(self, machine_types: list[wire.MachineType], signatures: set[tuple]) -> None:
        """Store the machine types for the other nodes, and arrange for another write if this one is not confirmed.

        A single lost write once left nodes without machine types for good: their machines had no capacity, and no job
        began.
        """
        token = self._token
        if token is None:
            return
        self._storing_types = True

        def on_replaced(confirmed: bool) -> None:
            if self._token != token:
                return
            self._storing_types = False
            if confirmed:
                self._stored_signatures = signatures
            else:
                self._types_fetched_at = (
                    self._effects.now() - TYPES_REFRESH_LAGS * self._list_lag_s + TYPES_WRITE_RETRY_S
                )

        self._machine_type_store.replace(token, machine_types, on_replaced)
