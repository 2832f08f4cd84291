"""Durable checkpoint of the keys below a prefix that may still change, for processes that start later.

A prefix whose final records are retained for ever takes longer to scan with each year. A process that knows all keys
that may still change at some revision needs only these, and the changes since, which the state store retains for a
while. The checkpoint is derived data: one that is missing, torn or too old only makes the next process scan all keys.

`checkpoint/<prefix>` is the head. It names the node and the slot whose parts, `checkpoint/<prefix>/<node>/<slot>/<n>`,
hold the keys. A node writes its two slots in turn, and the head with the last part, so that the checkpoint that the
head names is never being overwritten. Each part repeats the revision, by which a torn checkpoint is recognized.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

import msgspec

from tealhook.context import NodeContext
from tealhook.loop.effects import LONG_AGO_S
from tealhook.state_store.client import MAX_TRANSACTION_BYTES, StateClient
from tealhook.state_store.request_queue import CallPriority
from tealhook.state_store.results import ReadOutcome, ReadResult, TransactionOutcome, TransactionResult
from tealhook.wire import state as wire
from tealhook.wire.common import encode_json

log = logging.getLogger(__name__)

RETAINED_CHANGES = 10_000  # changes after which the state store may compact a revision
SAVE_INTERVAL_CHANGES = RETAINED_CHANGES // 10  # changes after which the first node in order saves a new checkpoint
STAGGER_CHANGES = SAVE_INTERVAL_CHANGES // 2  # each further node in order waits for so many more
RETRY_LEASE_SHARE = 0.5  # a failed save is repeated after this share of a worker's lease
SLOT_COUNT = 2
QUEUE_TIMEOUT_S = 5.0  # longest wait of a request for rate limit tokens
PART_OVERHEAD_BYTES = 64  # the rest of a part, and its key and punctuation in a transaction


@dataclass(frozen=True, slots=True)
class Checkpoint:
    """All keys below a prefix that might still change at a revision."""

    revision: int
    keys: list[str]


class CheckpointHead(msgspec.Struct):
    """The record that names the current checkpoint."""

    revision: int = msgspec.field(name="r")
    node: str = msgspec.field(name="n")
    slot: int = msgspec.field(name="s")
    part_count: int = msgspec.field(name="c")


class CheckpointPart(msgspec.Struct):
    """Some of the keys of the checkpoint of a revision, without their common prefix."""

    revision: int = msgspec.field(name="r")
    keys: list[str] = msgspec.field(name="k")


class KeyCheckpoint:
    """Access of one node to the checkpoint of a prefix."""

    def __init__(self, context: NodeContext, store: StateClient, prefix: str) -> None:
        """Initialize access to the checkpoint of the keys below `prefix`, which ends with a slash."""
        self._effects = context.effects
        self._store = store
        self._node = context.node
        self._prefix = prefix
        self._head_key = "checkpoint/" + prefix.rstrip("/")
        order = sorted({context.node, *context.settings.peers}).index(context.node)
        self._interval_changes = SAVE_INTERVAL_CHANGES + order * STAGGER_CHANGES
        self._retry_delay_s = context.workers.lease_s * RETRY_LEASE_SHARE
        self._due_revision = 0  # nothing is saved before the view has reached this revision
        self._not_before = LONG_AGO_S  # time of the next attempt after a failed one
        self._is_saving = False

    # -- reading

    def load(self, on_done: Callable[[Checkpoint | None], Any]) -> None:
        """Read the current checkpoint; pass None to `on_done` if there is none or it can't be read."""

        def on_head_read(result: ReadResult) -> None:
            head = _parse(result.item, CheckpointHead)
            if head is None:
                on_done(None)
            else:
                self._store.list(
                    self._slot_prefix(head.node, head.slot),
                    lambda items, _revision: on_done(self._assemble(head, items)),
                )

        self._store.get(self._head_key, on_head_read, CallPriority.ASSIGN, QUEUE_TIMEOUT_S)

    def _assemble(self, head: CheckpointHead, items: list[wire.KeyValue] | None) -> Checkpoint | None:
        parts = [_parse(item, CheckpointPart) for item in (items or [])[: head.part_count]]
        complete = [part for part in parts if part is not None and part.revision == head.revision]
        if len(complete) < head.part_count:
            return None
        return Checkpoint(head.revision, [self._prefix + key for part in complete for key in part.keys])

    def _slot_prefix(self, node: str, slot: int) -> str:
        return f"{self._head_key}/{node}/{slot}/"

    # -- writing

    def save_if_due(self, revision: int, take: Callable[[], Checkpoint | None]) -> None:
        """Save a new checkpoint if the current one may be too old at `revision`.

        `take` is called right before the write, and returns None if the node's view is not complete at that time.
        """
        if self._is_saving or revision < self._due_revision or self._effects.now() < self._not_before:
            return
        self._is_saving = True
        self._store.get(self._head_key, partial(self._on_head_read, take), CallPriority.BOOKKEEPING, QUEUE_TIMEOUT_S)

    def _on_head_read(self, take: Callable[[], Checkpoint | None], result: ReadResult) -> None:
        if result.outcome is ReadOutcome.UNKNOWN:
            self._finish_unsaved()
            return
        head = _parse(result.item, CheckpointHead)
        checkpoint = take()
        if checkpoint is None:
            self._finish_unsaved()
        elif head is not None and checkpoint.revision < head.revision + SAVE_INTERVAL_CHANGES:
            self._finish(head.revision)
        else:
            slot = (head.slot + 1) % SLOT_COUNT if head is not None and head.node == self._node else 0
            batches = self._encode(checkpoint, slot)
            self._write(checkpoint, batches, result.item.mod_revision if result.item is not None else 0)

    def _encode(self, checkpoint: Checkpoint, slot: int) -> list[list[wire.Operation]]:
        """Return the operations that write a checkpoint, in one batch a transaction; the head comes last."""
        batches: list[list[wire.Operation]] = [[]]
        batch_bytes = 0
        parts = self._split(checkpoint.keys)
        slot_prefix = self._slot_prefix(self._node, slot)
        for number, keys in enumerate(parts):
            part_bytes = PART_OVERHEAD_BYTES + len(slot_prefix) + sum(map(_key_bytes, keys))
            is_full = len(batches[-1]) + 1 >= self._store.max_operations
            if batches[-1] and (is_full or batch_bytes + part_bytes > MAX_TRANSACTION_BYTES):
                batches.append([])
                batch_bytes = 0
            batch_bytes += part_bytes
            part = CheckpointPart(checkpoint.revision, keys)
            batches[-1].append(wire.put(f"{slot_prefix}{number:06d}", msgspec.to_builtins(part)))
        head = CheckpointHead(checkpoint.revision, self._node, slot, len(parts))
        batches[-1].append(wire.put(self._head_key, msgspec.to_builtins(head)))
        return batches

    def _split(self, keys: list[str]) -> list[list[str]]:
        """Distribute keys over parts that each fit into one value of the state store."""
        max_bytes = self._store.max_record_bytes - PART_OVERHEAD_BYTES
        parts: list[list[str]] = [[]]
        part_bytes = 0
        for key in (full_key[len(self._prefix) :] for full_key in keys):
            if part_bytes + _key_bytes(key) > max_bytes:
                parts.append([])
                part_bytes = 0
            parts[-1].append(key)
            part_bytes += _key_bytes(key)
        return parts

    def _write(self, checkpoint: Checkpoint, batches: list[list[wire.Operation]], head_revision: int) -> None:
        """Write the batches one after the other, on condition that no other checkpoint has been saved meanwhile."""

        def on_written(result: TransactionResult) -> None:
            if result.outcome is not TransactionOutcome.COMMITTED:
                self._finish_unsaved()
            elif len(batches) > 1:
                self._write(checkpoint, batches[1:], head_revision)
            else:
                log.info("%s: saved a checkpoint of %d keys", self._head_key, len(checkpoint.keys))
                self._finish(checkpoint.revision)

        self._store.transact(
            {self._head_key: head_revision}, batches[0], CallPriority.BOOKKEEPING, on_written, QUEUE_TIMEOUT_S
        )

    def _finish(self, saved_revision: int) -> None:
        self._is_saving = False
        self._due_revision = saved_revision + self._interval_changes

    def _finish_unsaved(self) -> None:
        self._is_saving = False
        self._not_before = self._effects.now() + self._retry_delay_s


def _key_bytes(key: str) -> int:
    return len(encode_json(key)) + len(",")


def _parse(item: wire.KeyValue | None, record_type: type[Any]) -> Any:
    """Return the record in a key-value, or None if there is none or it is malformed."""
    try:
        return msgspec.convert(item.value, record_type) if item is not None else None
    except msgspec.ValidationError as exc:
        log.error("ignoring malformed checkpoint record: %s", exc)
        return None
