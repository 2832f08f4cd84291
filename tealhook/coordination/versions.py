"""Which controllers run this version: until all do, nothing is accepted that an earlier one would misread.

An earlier version starts a job that waits for others at once, and it may own any team, or take one over. Each process
of this version therefore says so in a durable record of its node that also names the process. Once every configured
node is registered by just the process that said so, one transaction checks that it is still so and writes, for good,
that all have the new version. A node that ends and comes back as an earlier version before that moment, whatever it
wrote before, keeps the agreement from being made. Nobody goes back to an earlier version after it.
"""

from __future__ import annotations

from typing import Any

from tealhook.context import NodeContext
from tealhook.coordination.ownership import NODE_PREFIX
from tealhook.state_store import CallPriority, Outcome, StateClient
from tealhook.wire import state as wire

PREFIX = "version/"
AGREED_KEY = "versions/agreed"
READ_PREFIX = "version"  # of both
VERSION = 1  # jobs that wait for others


class Versions:
    """This node's record, what the others have said, and whether all have agreed."""

    def __init__(self, context: NodeContext, store: StateClient) -> None:
        """`incarnation` names this process, as its registration does."""
        self._effects = context.effects
        self._store = store
        self._key = PREFIX + context.node
        self._nodes = sorted({context.node, *context.settings.peers})
        self._value = {"v": VERSION, "b": f"{context.incarnation:x}"}
        self._pause_s = context.workers.report_s
        self._agreed = False

    @property
    def all_upgraded(self) -> bool:
        """Whether every controller that there is runs this version, or a later one."""
        return self._agreed

    def start(self) -> None:
        """Write this node's version, then read until all have agreed."""
        self._read()

    def _read_again(self, share: float) -> None:
        self._effects.later(self._pause_s * share * (0.75 + 0.5 * self._effects.rng.random()), self._read)

    def _read(self) -> None:
        self._store.list(READ_PREFIX, self._on_versions)

    def _on_versions(self, rows: list[wire.KeyValue] | None, _epoch: int) -> None:
        if rows is None:
            self._read_again(0.5)
            return
        found = {row.key: row for row in rows if _version(row.value) >= VERSION}
        self._agreed = self._agreed or AGREED_KEY in found
        mine = found.get(self._key)
        if mine is None or mine.value != self._value:
            revision = next((row.mod_revision for row in rows if row.key == self._key), 0)
            self._store.transact(
                {self._key: revision}, [wire.put(self._key, self._value)], CallPriority.ADMIT, self._on_written
            )
            return
        if self._agreed:
            return
        said = {node: found[PREFIX + node].value.get("b") for node in self._nodes if PREFIX + node in found}
        if len(said) < len(self._nodes):
            self._read_again(1.0)
        else:
            self._store.list(NODE_PREFIX, lambda nodes, _epoch: self._on_nodes(said, nodes))

    def _on_nodes(self, said: dict[str, Any], rows: list[wire.KeyValue] | None) -> None:
        """Agree if each node's registered process is the one that wrote its version, and still is in the commit."""
        registered = {row.key[len(NODE_PREFIX) :]: row for row in rows or []}
        incarnations = {node: _incarnation(row.value) for node, row in registered.items() if node in said}
        if incarnations != said:
            self._read_again(0.5)
            return
        conditions = {NODE_PREFIX + node: registered[node].mod_revision for node in said} | {AGREED_KEY: 0}
        self._store.transact(conditions, [wire.put(AGREED_KEY, {"v": VERSION})], CallPriority.ADMIT, self._on_written)

    def _on_written(self, outcome: Outcome, _epoch: int, _failed: list[str]) -> None:
        self._read_again(0.0 if outcome is Outcome.COMMITTED else 0.5)


def _version(value: Any) -> int:
    version = value.get("v") if isinstance(value, dict) else None
    return version if isinstance(version, int) else 0


def _incarnation(value: Any) -> str | None:
    return value.get("b") if isinstance(value, dict) else None
