"""The records of machine types in the state service: one list of types, replaced whole.

`fleet/types` holds as many types as fit into one value. Those that don't are in further records `fleet/types/<n>`: the
first says how many (`more`) and from which number on (`more_from`); without `more` it is the whole list. A record that
the first does not name does not belong to the list: it belongs to a list that is being written, or is left over from an
earlier one.

Only the owner of the fleet writes, again and again until that is certain, in an order that keeps the list whole at
each step:

1. further records are created under numbers that are free, so none that the present first names is touched;
2. the first is replaced: with that one change the new list is the one on offer;
3. records that the new first does not name are dropped, at last those that came late while the list was replaced.

Steps share a transaction as far as they fit one. Each transaction is conditional on the ownership of the fleet, on the
revision of the first record, and on the revision of every record that it changes: what is executed late, after a retry
or under the next owner, fails. The version before this one knows `fleet/types` alone and overwrites it with the whole
list: its value names no further records, so the list is whole then too, and the next owner of this version deletes what
remains.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from tealhook.coordination import FLEET_KEY
from tealhook.scheduling.job_writes import MAX_TRANSACTION_BYTES
from tealhook.state_store import CallPriority, Outcome, StateClient, TransactionResult
from tealhook.wire import state as state_wire
from tealhook.wire.cloud import MachineType
from tealhook.wire.common import encode_json

log = logging.getLogger(__name__)

TYPES_KEY = "fleet/types"
READ_WAIT_S = 1.0  # for tokens
READ_TIMEOUT_S = 5.0
MOST_DIGITS = 9  # of a further record's number


class MachineTypesRecord(msgspec.Struct, omit_defaults=True):
    """One record's value. Only the first of a list names others."""

    machine_types: list[MachineType] = msgspec.field(name="rigs")
    more: int = 0
    more_from: int = 1

    @property
    def further_numbers(self) -> range:
        """The numbers of the further records."""
        return range(self.more_from, self.more_from + self.more)


def further_key(number: int) -> str:
    """The key of a further record."""
    return f"{TYPES_KEY}/{number}"


def _number(key: str) -> int | None:
    """The number of a further record by its key; None for any other key."""
    digits = key.removeprefix(f"{TYPES_KEY}/")
    plain = digits.isascii() and digits.isdecimal() and len(digits) <= MOST_DIGITS
    return int(digits) if plain and further_key(int(digits)) == key else None


@dataclass
class StoredMachineTypes:
    """The records as they were read, at one revision."""

    first: state_wire.KeyValue | None = None
    further: dict[int, state_wire.KeyValue] = field(default_factory=dict)

    @classmethod
    def from_items(cls, items: list[state_wire.KeyValue]) -> StoredMachineTypes:
        """Sort the items under `fleet/types`; others are left out."""
        stored = cls()
        for item in items:
            if item.key == TYPES_KEY:
                stored.first = item
            elif (number := _number(item.key)) is not None:
                stored.further[number] = item
        return stored

    @property
    def first_revision(self) -> int:
        """The first record's revision; 0 while there is none."""
        return self.first.mod_revision if self.first is not None else 0

    def _first_record(self) -> MachineTypesRecord:
        return msgspec.convert(self.first.value if self.first is not None else None, MachineTypesRecord)

    def machine_types(self) -> list[MachineType] | None:
        """The types on offer; None when the list is not there, not whole, or can't be read."""
        if self.first is None:
            return None
        try:
            first = self._first_record()
            missing = next((number for number in first.further_numbers if number not in self.further), None)
            if missing is not None:
                log.error("machine types: no record %s", further_key(missing))
                return None
            others = [
                msgspec.convert(self.further[number].value, MachineTypesRecord) for number in first.further_numbers
            ]
        except msgspec.ValidationError as exc:
            log.error("bad machine types: %s", exc)
            return None
        return [machine_type for record in (first, *others) for machine_type in record.machine_types]

    def unreferenced(self) -> list[state_wire.KeyValue]:
        """Further records that the first does not name."""
        named = self._first_record().further_numbers
        return [item for number, item in sorted(self.further.items()) if number not in named]

    def first_free_number(self, count: int) -> int:
        """The lowest number from which on that many numbers have no record."""
        start = 1
        for number in sorted(self.further):
            if number >= start + count:
                break
            start = number + 1
        return start


def split_types(
    machine_types: list[MachineType], most_bytes: int, first_free: Callable[[int], int]
) -> list[MachineTypesRecord]:
    """A list of types as records of at most so many bytes each, the first with as many types as fit.

    `first_free(count)` gives the number from which on further records may be written. A type that is too large for any
    value still gets a record of its own.
    """
    more = 0
    while True:
        first = MachineTypesRecord([], more, first_free(more)) if more else MachineTypesRecord([])
        records = _fill(first, machine_types, most_bytes)
        if len(records) - 1 <= more:
            return records
        more = len(records) - 1  # to name more leaves less space in the first: never fewer records than before


def _fill(first: MachineTypesRecord, machine_types: list[MachineType], most_bytes: int) -> list[MachineTypesRecord]:
    """The first record and those that go on with what it can't hold."""
    records = [first]
    size = len(encode_json(records[0]))
    for machine_type in machine_types:
        added = len(encode_json(machine_type)) + 1  # with a comma
        if records[-1].machine_types and size + added > most_bytes:
            records.append(MachineTypesRecord([]))
            size = len(encode_json(records[-1]))
        size += added if records[-1].machine_types else added - 1
        records[-1].machine_types.append(machine_type)
    return records


@dataclass(frozen=True)
class RecordChange:
    """A write or drop of one record, and the revision that the record has until then (0: it is absent)."""

    key: str
    expected_revision: int
    operation: state_wire.Operation


def plan_changes(stored: StoredMachineTypes, machine_types: list[MachineType], most_bytes: int) -> list[RecordChange]:
    """What replaces the stored list by `machine_types`, in the order in which it is to be carried out."""
    first, *others = split_types(machine_types, most_bytes, stored.first_free_number)
    created = [
        RecordChange(further_key(number), 0, state_wire.put(further_key(number), msgspec.to_builtins(record)))
        for number, record in zip(first.further_numbers, others, strict=True)
    ]
    replaced = RecordChange(TYPES_KEY, stored.first_revision, state_wire.put(TYPES_KEY, msgspec.to_builtins(first)))
    return [*created, replaced, *_deletions(list(stored.further.values()))]


def _deletions(items: list[state_wire.KeyValue]) -> list[RecordChange]:
    return [RecordChange(item.key, item.mod_revision, state_wire.delete(item.key)) for item in items]


def first_transaction(changes: list[RecordChange], most: int) -> tuple[list[RecordChange], list[RecordChange]]:
    """The changes that one transaction of at most `most` operations may hold, and the rest."""
    size = count = 0
    while count < min(most, len(changes)):
        size += len(encode_json(changes[count].operation))
        if count and size > MAX_TRANSACTION_BYTES:
            break
        count += 1
    return changes[:count], changes[count:]


class MachineTypeStore:
    """Reads the list of types, and replaces it for the owner of the fleet."""

    def __init__(self, store: StateClient) -> None:
        """`store`: the client of the state service that holds the records."""
        self._store = store
        self._uncertain: int | None = None  # token of the last replacement that was not certain

    def read(self, done: Callable[[list[MachineType] | None], Any]) -> None:
        """`done` with the types on offer; with None while they are not known."""
        self._read(lambda stored: done(stored.machine_types() if stored is not None else None))

    def replace(self, token: int, machine_types: list[MachineType], done: Callable[[bool], Any]) -> None:
        """Replace the list as the fleet's owner under `token`; `done` with whether that is certain.

        After `done(False)` the list is the earlier or the new one, and the call is to be repeated.
        """

        def read(stored: StoredMachineTypes | None) -> None:
            if stored is None:
                done(False)
                return
            changes = plan_changes(stored, machine_types, self._store.value_bytes)
            self._execute(token, stored.first_revision, changes, replaced)

        def replaced(certain: bool, first_revision: int) -> None:
            if certain and self._uncertain == token:
                self._read(lambda stored: tidy(stored, first_revision))
            else:
                finish(certain)

        def tidy(stored: StoredMachineTypes | None, first_revision: int) -> None:
            """Drop what an earlier try created between our read and the new first; after that it creates nothing."""
            if stored is None or stored.first_revision != first_revision:
                finish(False)
            elif surplus := _deletions(stored.unreferenced()):
                self._execute(token, first_revision, surplus, lambda certain, _revision: finish(certain))
            else:
                finish(True)

        def finish(certain: bool) -> None:
            self._uncertain = None if certain else token
            done(certain)

        self._read(read)

    def _read(self, done: Callable[[StoredMachineTypes | None], Any]) -> None:
        self._store.list(
            TYPES_KEY,
            lambda items, _revision: done(StoredMachineTypes.from_items(items) if items is not None else None),
            priority=CallPriority.ADMIT,
            wait=READ_WAIT_S,
            timeout=READ_TIMEOUT_S,
        )

    def _execute(
        self, token: int, first_revision: int, changes: list[RecordChange], done: Callable[[bool, int], Any]
    ) -> None:
        """One transaction after the other, each once the one before is certain.

        `done` with whether all are, and with the revision that the first has then.
        """
        group, rest = first_transaction(changes, self._store.max_operations)
        when = {FLEET_KEY: token, TYPES_KEY: first_revision} | {
            change.key: change.expected_revision for change in group
        }

        def answered(result: TransactionResult) -> None:
            replaced = any(change.key == TYPES_KEY for change in group)
            present_revision = result.revision if replaced else first_revision
            if result.outcome is Outcome.COMMITTED and rest:
                self._execute(token, present_revision, rest, done)
            else:
                done(result.outcome is Outcome.COMMITTED, present_revision)

        self._store.transact(when, [change.operation for change in group], CallPriority.ADMIT, answered)
