"""Agreement of all controllers on a version, before which no job is accepted that an earlier version would misread.

A controller of an earlier version starts a job that depends on others at once, and it may own any team or take one
over. Each process of this version therefore writes a durable version record for its node that also holds the process's
incarnation. Once every configured node is registered by the very incarnation in its version record, one
compare-and-swap checks that this is still so and writes the agreement, which is permanent. A node that was restarted
with an earlier version before that moment prevents the agreement, whatever its previous process wrote. After the
agreement no node returns to an earlier version.
"""

from __future__ import annotations

from typing import Any

from tealhook.context import NodeContext
from tealhook.coordination.ownership_keys import NODE_PREFIX, node_key
from tealhook.state_store import CallPriority, StateClient, TransactionOutcome, TransactionResult
from tealhook.wire import state as wire

NODE_VERSION_PREFIX = "version/"
AGREEMENT_KEY = "versions/agreed"
COMMON_PREFIX = "version"  # common to the keys of version records and the agreement, which are read with one list
SUPPORTED_VERSION = 1  # the first version with dependencies between jobs


class VersionAgreement:
    """The version record of this node, and the state of the agreement among all controllers."""

    def __init__(self, context: NodeContext, store: StateClient) -> None:
        """Initialize without any request; the version record holds the same incarnation as the registration."""
        self._effects = context.effects
        self._store = store
        self._key = NODE_VERSION_PREFIX + context.node
        self._nodes = sorted({context.node, *context.settings.peers})
        self._value = {"v": SUPPORTED_VERSION, "b": f"{context.incarnation:x}"}
        self._poll_interval_s = context.workers.report_s
        self._agreed = False

    @property
    def all_upgraded(self) -> bool:
        """True if every controller is known to run this version or a later one."""
        return self._agreed

    def start(self) -> None:
        """Write the version record of this node, then poll until all nodes have agreed."""
        self._read()

    def _schedule_read(self, intervals: float) -> None:
        jitter = 0.75 + 0.5 * self._effects.rng.random()
        self._effects.later(self._poll_interval_s * intervals * jitter, self._read)

    def _read(self) -> None:
        self._store.list(COMMON_PREFIX, self._on_versions)

    def _on_versions(self, items: list[wire.KeyValue] | None, _revision: int) -> None:
        if items is None:
            self._schedule_read(0.5)
            return
        found = {item.key: item for item in items if _parse_version(item.value) >= SUPPORTED_VERSION}
        self._agreed = self._agreed or AGREEMENT_KEY in found
        own_record = found.get(self._key)
        if own_record is None or own_record.value != self._value:
            self._write_own_version(items)
            return
        if self._agreed:
            return
        incarnations = {
            node: _parse_incarnation(found[NODE_VERSION_PREFIX + node].value)
            for node in self._nodes
            if NODE_VERSION_PREFIX + node in found
        }
        if len(incarnations) < len(self._nodes):
            self._schedule_read(1.0)
        else:
            self._store.list(NODE_PREFIX, lambda nodes, _revision: self._on_registrations(incarnations, nodes))

    def _write_own_version(self, items: list[wire.KeyValue]) -> None:
        revision = next((item.mod_revision for item in items if item.key == self._key), 0)
        self._store.transact(
            {self._key: revision}, [wire.put(self._key, self._value)], CallPriority.ADMIT, self._on_written
        )

    def _on_registrations(self, incarnations: dict[str, Any], items: list[wire.KeyValue] | None) -> None:
        """Write the agreement if the registered process of each node is the one that wrote its version record.

        The write is conditional on the same registrations, so it fails if a node has been restarted since.
        """
        registered = {item.key[len(NODE_PREFIX) :]: item for item in items or []}
        current = {node: _parse_incarnation(item.value) for node, item in registered.items() if node in incarnations}
        if current != incarnations:
            self._schedule_read(0.5)
            return
        conditions = {node_key(node): registered[node].mod_revision for node in incarnations} | {AGREEMENT_KEY: 0}
        self._store.transact(
            conditions, [wire.put(AGREEMENT_KEY, {"v": SUPPORTED_VERSION})], CallPriority.ADMIT, self._on_written
        )

    def _on_written(self, result: TransactionResult) -> None:
        self._schedule_read(0.0 if result.outcome is TransactionOutcome.COMMITTED else 0.5)


def _parse_version(value: Any) -> int:
    """Return the version in a stored record, or 0 if the record is malformed."""
    version = value.get("v") if isinstance(value, dict) else None
    return version if isinstance(version, int) else 0


def _parse_incarnation(value: Any) -> str | None:
    """Return the incarnation in a stored record, or None if there is none."""
    return value.get("b") if isinstance(value, dict) else None
