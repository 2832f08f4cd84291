"""Which controllers run this version: until all do, nothing is accepted that an earlier one would misread.

An earlier version starts a job that depends on others at once, and it may own any team, or take one over. Each process
of this version therefore writes a durable version record of its node that also names its incarnation. Once every
configured node is registered by just the incarnation in its version record, one compare-and-swap checks that it is
still so and writes, for good, that all have the new version. A node that ends and comes back as an earlier version
before that moment, whatever it wrote before, prevents the agreement. No node goes back to an earlier version after it.
"""

from __future__ import annotations

from typing import Any

from tealhook.context import NodeContext
from tealhook.coordination.ownership_keys import NODE_PREFIX, node_key
from tealhook.state_store import CallPriority, StateClient, TransactionOutcome, TransactionResult
from tealhook.wire import state as wire

NODE_VERSION_PREFIX = "version/"
AGREED_KEY = "versions/agreed"
READ_PREFIX = "version"  # of both
VERSION = 1  # dependencies between jobs


class Versions:
    """This node's version record, those of the others, and whether all have agreed."""

    def __init__(self, context: NodeContext, store: StateClient) -> None:
        """The record names this process by its incarnation, as its registration does."""
        self._effects = context.effects
        self._store = store
        self._key = NODE_VERSION_PREFIX + context.node
        self._nodes = sorted({context.node, *context.settings.peers})
        self._value = {"v": VERSION, "b": f"{context.incarnation:x}"}
        self._poll_interval_s = context.workers.report_s
        self._agreed = False

    @property
    def all_upgraded(self) -> bool:
        """Whether every controller that there is runs this version, or a later one."""
        return self._agreed

    def start(self) -> None:
        """Write this node's version, then read until all have agreed."""
        self._read()

    def _schedule_read(self, intervals: float) -> None:
        jitter = 0.75 + 0.5 * self._effects.rng.random()
        self._effects.later(self._poll_interval_s * intervals * jitter, self._read)

    def _read(self) -> None:
        self._store.list(READ_PREFIX, self._on_versions)

    def _on_versions(self, items: list[wire.KeyValue] | None, _revision: int) -> None:
        if items is None:
            self._schedule_read(0.5)
            return
        found = {item.key: item for item in items if _version(item.value) >= VERSION}
        self._agreed = self._agreed or AGREED_KEY in found
        own_record = found.get(self._key)
        if own_record is None or own_record.value != self._value:
            self._write_own_version(items)
            return
        if self._agreed:
            return
        incarnations = {
            node: _incarnation(found[NODE_VERSION_PREFIX + node].value)
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
        """Agree if each node's registered process is the one that wrote its version, and still is at the commit."""
        registered = {item.key[len(NODE_PREFIX) :]: item for item in items or []}
        current = {node: _incarnation(item.value) for node, item in registered.items() if node in incarnations}
        if current != incarnations:
            self._schedule_read(0.5)
            return
        conditions = {node_key(node): registered[node].mod_revision for node in incarnations} | {AGREED_KEY: 0}
        self._store.transact(conditions, [wire.put(AGREED_KEY, {"v": VERSION})], CallPriority.ADMIT, self._on_written)

    def _on_written(self, result: TransactionResult) -> None:
        self._schedule_read(0.0 if result.outcome is TransactionOutcome.COMMITTED else 0.5)


def _version(value: Any) -> int:
    version = value.get("v") if isinstance(value, dict) else None
    return version if isinstance(version, int) else 0


def _incarnation(value: Any) -> str | None:
    return value.get("b") if isinstance(value, dict) else None
