"""Records of machine types in the state store: one list of types, which is replaced as a whole.

`fleet/types` holds as many types as fit into one value. The others are in continuation records `fleet/types/<n>`; the
first record has their count (`more`) and the number of the first of them (`more_from`). Without `more`, it is the whole
list. A continuation record that the first record does not refer to is not part of the list: it belongs to a list that
is being written, or is left over from an earlier one.

Only the owner of the fleet writes, repeatedly until the write is confirmed, in an order that keeps the list complete at
each step:

1. New continuation records are created under free numbers, so that none which the present first record refers to
   changes.
2. The first record is replaced. This one change makes the new list the valid one.
3. Continuation records that the new first record does not refer to are deleted, in the end also those that were created
   late, while the list was being replaced.

Steps share a transaction as far as they fit into one. Each transaction is conditional on the ownership of the fleet, on
the revision of the first record, and on the revision of every record that it changes. So a transaction that is executed
late, after a retry or under the next owner, fails. The previous version only knows `fleet/types` and overwrites it
with the whole list. That value refers to no continuation records, so the list is complete then, too, and the next owner
of this version deletes the surplus ones.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from tealhook.coordination import FLEET_KEY
from tealhook.state_store import CallPriority, StateClient, TransactionOutcome, TransactionResult
from tealhook.state_store.client import MAX_TRANSACTION_BYTES
from tealhook.wire import state as state_wire
from tealhook.wire.cloud import MachineType
from tealhook.wire.common import encode_json

log = logging.getLogger(__name__)

TYPES_KEY = "fleet/types"
READ_QUEUE_TIMEOUT_S = 1.0  # longest wait for tokens of the rate limit
READ_ANSWER_TIMEOUT_S = 5.0
MAX_NUMBER_DIGITS = 9  # digits of the number of a continuation record


class MachineTypesRecord(msgspec.Struct, omit_defaults=True):
    """The value of one record. Only the first record of a list refers to others."""

    machine_types: list[MachineType] = msgspec.field(name="rigs")
    more: int = 0
    more_from: int = 1

    @property
    def continuation_numbers(self) -> range:
        """The numbers of the continuation records that this record refers to."""
        return range(self.more_from, self.more_from + self.more)


def continuation_key(number: int) -> str:
    """Return the key of a continuation record."""
    return f"{TYPES_KEY}/{number}"


def _parse_continuation_number(key: str) -> int | None:
    """Return the number of the continuation record with this key, or None if the key is another one."""
    digits = key.removeprefix(f"{TYPES_KEY}/")
    is_number = digits.isascii() and digits.isdecimal() and len(digits) <= MAX_NUMBER_DIGITS
    return int(digits) if is_number and continuation_key(int(digits)) == key else None


@dataclass
class StoredMachineTypes:
    """All records, as read from the state store at one revision."""

    first: state_wire.KeyValue | None = None
    continuations: dict[int, state_wire.KeyValue] = field(default_factory=dict)

    @classmethod
    def from_items(cls, items: list[state_wire.KeyValue]) -> StoredMachineTypes:
        """Collect the records of machine types among the items; other items are ignored."""
        stored = cls()
        for item in items:
            if item.key == TYPES_KEY:
                stored.first = item
            elif (number := _parse_continuation_number(item.key)) is not None:
                stored.continuations[number] = item
        return stored

    @property
    def first_revision(self) -> int:
        """The revision of the first record, or 0 if there is none."""
        return self.first.mod_revision if self.first is not None else 0

    def _first_record(self) -> MachineTypesRecord:
        return msgspec.convert(self.first.value if self.first is not None else None, MachineTypesRecord)

    def machine_types(self) -> list[MachineType] | None:
        """Return the types of the list, or None if it is absent, incomplete or malformed."""
        if self.first is None:
            return None
        try:
            first = self._first_record()
            missing = next((number for number in first.continuation_numbers if number not in self.continuations), None)
            if missing is not None:
                log.error("machine types: record %s is missing, which fleet/types refers to", continuation_key(missing))
                return None
            other_records = [
                msgspec.convert(self.continuations[number].value, MachineTypesRecord)
                for number in first.continuation_numbers
            ]
        except msgspec.ValidationError as exc:
            log.error("machine types: malformed record under fleet/types: %s", exc)
            return None
        return [machine_type for record in (first, *other_records) for machine_type in record.machine_types]

    def unreferenced(self) -> list[state_wire.KeyValue]:
        """Return the continuation records that the first record does not refer to."""
        referenced = self._first_record().continuation_numbers
        return [item for number, item in sorted(self.continuations.items()) if number not in referenced]

    def first_free_number(self, count: int) -> int:
        """Return the lowest number that begins `count` consecutive numbers without records."""
        start = 1
        for number in sorted(self.continuations):
            if number >= start + count:
                break
            start = number + 1
        return start


def split_types(
    machine_types: list[MachineType], max_bytes: int, first_free: Callable[[int], int]
) -> list[MachineTypesRecord]:
    """Split a list of types into records of at most `max_bytes` each, the first with as many types as fit.

    `first_free(count)` returns the first number for `count` continuation records. A type that is too large for any
    record still gets one of its own.
    """
    more = 0
    while True:
        first = MachineTypesRecord([], more, first_free(more)) if more else MachineTypesRecord([])
        records = _fill(first, machine_types, max_bytes)
        if len(records) - 1 <= more:
            return records
        more = len(records) - 1  # A larger count leaves less space in the first record, so this never decreases.


def _fill(first: MachineTypesRecord, machine_types: list[MachineType], max_bytes: int) -> list[MachineTypesRecord]:
    """Return the first record and its continuation records, filled with the types in their order."""
    records = [first]
    size = len(encode_json(records[0]))
    for machine_type in machine_types:
        added_bytes = len(encode_json(machine_type)) + 1  # with a comma
        if records[-1].machine_types and size + added_bytes > max_bytes:
            records.append(MachineTypesRecord([]))
            size = len(encode_json(records[-1]))
        size += added_bytes if records[-1].machine_types else added_bytes - 1
        records[-1].machine_types.append(machine_type)
    return records


@dataclass(frozen=True)
class RecordChange:
    """A write or deletion of one record, and the revision that the record must have before (0: absent)."""

    key: str
    expected_revision: int
    operation: state_wire.Operation


def plan_changes(stored: StoredMachineTypes, machine_types: list[MachineType], max_bytes: int) -> list[RecordChange]:
    """Return the changes that replace the stored list by `machine_types`, in the order of their execution."""
    first, *other_records = split_types(machine_types, max_bytes, stored.first_free_number)
    created = [
        RecordChange(continuation_key(number), 0, state_wire.put(continuation_key(number), msgspec.to_builtins(record)))
        for number, record in zip(first.continuation_numbers, other_records, strict=True)
    ]
    replaced = RecordChange(TYPES_KEY, stored.first_revision, state_wire.put(TYPES_KEY, msgspec.to_builtins(first)))
    return [*created, replaced, *_deletions(list(stored.continuations.values()))]


def _deletions(items: list[state_wire.KeyValue]) -> list[RecordChange]:
    return [RecordChange(item.key, item.mod_revision, state_wire.delete(item.key)) for item in items]


def take_transaction(changes: list[RecordChange], max_operations: int) -> tuple[list[RecordChange], list[RecordChange]]:
    """Return the first changes, as many as fit one transaction of at most `max_operations`, and the rest."""
    size = count = 0
    while count < min(max_operations, len(changes)):
        size += len(encode_json(changes[count].operation))
        if count and size > MAX_TRANSACTION_BYTES:
            break
        count += 1
    return changes[:count], changes[count:]


class MachineTypeStore:
    """Reads the list of types from the state store, and replaces it for the owner of the fleet."""

    def __init__(self, store: StateClient) -> None:
        """Initialize with the client of the state store that holds the records."""
        self._store = store
        self._unconfirmed_token: int | None = None  # fencing token of the latest replacement that was not confirmed

    def read(self, done: Callable[[list[MachineType] | None], Any]) -> None:
        """Read the types and call `done` with them, or with None if they can't be read."""
        self._read(lambda stored: done(stored.machine_types() if stored is not None else None))

    def replace(self, token: int, machine_types: list[MachineType], done: Callable[[bool], Any]) -> None:
        """Replace the list as the fleet's owner under `token`, and call `done` with whether that is confirmed.

        After `done(False)` the list is either the earlier or the new one, and the call must be repeated.
        """

        def on_read(stored: StoredMachineTypes | None) -> None:
            if stored is None:
                done(False)
                return
            changes = plan_changes(stored, machine_types, self._store.max_value_bytes)
            self._execute(token, stored.first_revision, changes, on_replaced)

        def on_replaced(confirmed: bool, first_revision: int) -> None:
            if confirmed and self._unconfirmed_token == token:
                self._read(lambda stored: delete_surplus(stored, first_revision))
            else:
                finish(confirmed)

        def delete_surplus(stored: StoredMachineTypes | None, first_revision: int) -> None:
            """Delete records that an earlier try created late, after our read.

            It can create no more of them, since the first record has been replaced.
            """
            if stored is None or stored.first_revision != first_revision:
                finish(False)
            elif surplus := _deletions(stored.unreferenced()):
                self._execute(token, first_revision, surplus, lambda confirmed, _revision: finish(confirmed))
            else:
                finish(True)

        def finish(confirmed: bool) -> None:
            self._unconfirmed_token = None if confirmed else token
            done(confirmed)

        self._read(on_read)

    def _read(self, done: Callable[[StoredMachineTypes | None], Any]) -> None:
        self._store.list(
            TYPES_KEY,
            lambda items, _revision: done(StoredMachineTypes.from_items(items) if items is not None else None),
            priority=CallPriority.ADMIT,
            queue_timeout_s=READ_QUEUE_TIMEOUT_S,
            answer_timeout_s=READ_ANSWER_TIMEOUT_S,
        )

    def _execute(
        self, token: int, first_revision: int, changes: list[RecordChange], done: Callable[[bool, int], Any]
    ) -> None:
        """Execute the changes in consecutive transactions, each after the previous one is confirmed.

        Call `done` with whether all are confirmed, and with the revision of the first record after them.
        """
        batch, rest = take_transaction(changes, self._store.max_operations)
        conditions = {FLEET_KEY: token, TYPES_KEY: first_revision} | {
            change.key: change.expected_revision for change in batch
        }

        def on_answer(result: TransactionResult) -> None:
            has_first = any(change.key == TYPES_KEY for change in batch)
            present_revision = result.revision if has_first else first_revision
            if result.outcome is TransactionOutcome.COMMITTED and rest:
                self._execute(token, present_revision, rest, done)
            else:
                done(result.outcome is TransactionOutcome.COMMITTED, present_revision)

        self._store.transact(conditions, [change.operation for change in batch], CallPriority.ADMIT, on_answer)
