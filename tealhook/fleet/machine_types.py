"""The records of machine types in the state service: one list of types, replaced whole.

`fleet/types` holds as many types as fit into one value. Those that don't are in further records `fleet/types/<n>`: the
first says how many (`more`) and from which number on (`more_from`); without `more` it is the whole list. A record that
the first does not name is no part of the list: it belongs to a list that is being written, or is left over from an
earlier one.

Only the owner of the fleet writes, again and again until that is certain, in an order that keeps the list whole at
each step:

1. further records are created under numbers that are free, so none that the present first names is touched;
2. the first is replaced: with that one change the new list is the one on offer;
3. records that the new first does not name are dropped, at last those that came late while the list was replaced.

Steps share a transaction as far as they fit one. Each transaction depends on the ownership of the fleet, on the stamp
of the first, and on the stamp of every record that it changes: what is carried out late, after a repetition or under
the next owner, fails. The version before this one knows `fleet/types` alone and overwrites it with the whole list: its
value names no further records, so the list is whole then too, and the next owner of this version drops what remains.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from tealhook.coordination import FLEET_KEY
from tealhook.scheduling.job_writes import TXN_BYTES
from tealhook.state_store import CallPriority, Outcome, StateClient
from tealhook.wire import state as state_wire
from tealhook.wire.cloud import MachineType
from tealhook.wire.common import dumps

log = logging.getLogger("tealhook.fleet")

TYPES_KEY = "fleet/types"
READ_WAIT_S = 1.0  # for tokens
READ_TIMEOUT_S = 5.0
MOST_DIGITS = 9  # of a further record's number


class TypesRecord(msgspec.Struct, omit_defaults=True):
    """One record's value. Only the first of a list names others."""

    rigs: list[MachineType]
    more: int = 0
    more_from: int = 1

    @property
    def further(self) -> range:
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
class StoredTypes:
    """The records as they were read, at one revision."""

    first: state_wire.KeyValue | None = None
    further: dict[int, state_wire.KeyValue] = field(default_factory=dict)

    @classmethod
    def from_rows(cls, rows: list[state_wire.KeyValue]) -> StoredTypes:
        """Sort the rows under `fleet/types`; others are left out."""
        stored = cls()
        for row in rows:
            if row.key == TYPES_KEY:
                stored.first = row
            elif (number := _number(row.key)) is not None:
                stored.further[number] = row
        return stored

    @property
    def first_stamp(self) -> int:
        """The first record's stamp; 0 while there is none."""
        return self.first.mod_revision if self.first is not None else 0

    def _first_record(self) -> TypesRecord:
        return msgspec.convert(self.first.value if self.first is not None else None, TypesRecord)

    def types(self) -> list[MachineType] | None:
        """The types on offer; None when the list is not there, not whole, or can't be read."""
        if self.first is None:
            return None
        try:
            first = self._first_record()
            missing = next((number for number in first.further if number not in self.further), None)
            if missing is not None:
                log.error("machine types: no record %s", further_key(missing))
                return None
            others = [msgspec.convert(self.further[number].value, TypesRecord) for number in first.further]
        except msgspec.ValidationError as exc:
            log.error("bad machine types: %s", exc)
            return None
        return [machine_type for record in (first, *others) for machine_type in record.rigs]

    def surplus(self) -> list[state_wire.KeyValue]:
        """Further records that the first does not name."""
        named = self._first_record().further
        return [row for number, row in sorted(self.further.items()) if number not in named]

    def free_run(self, count: int) -> int:
        """The lowest number from which on that many numbers have no record."""
        start = 1
        for number in sorted(self.further):
            if number >= start + count:
                break
            start = number + 1
        return start


def split_types(rigs: list[MachineType], most_bytes: int, free_run: Callable[[int], int]) -> list[TypesRecord]:
    """A list of types as records of at most so many bytes each, the first with as many types as fit.

    `free_run(count)` gives the number from which on further records may be written. A type that is too large for any
    value still gets a record of its own.
    """
    more = 0
    while True:
        first = TypesRecord([], more, free_run(more)) if more else TypesRecord([])
        records = _fill(first, rigs, most_bytes)
        if len(records) - 1 <= more:
            return records
        more = len(records) - 1  # to name more leaves less room in the first: never fewer records than before


def _fill(first: TypesRecord, rigs: list[MachineType], most_bytes: int) -> list[TypesRecord]:
    """The first record and those that go on with what it can't hold."""
    records = [first]
    size = len(dumps(records[0]))
    for machine_type in rigs:
        added = len(dumps(machine_type)) + 1  # with a comma
        if records[-1].rigs and size + added > most_bytes:
            records.append(TypesRecord([]))
            size = len(dumps(records[-1]))
        size += added if records[-1].rigs else added - 1
        records[-1].rigs.append(machine_type)
    return records


@dataclass(frozen=True)
class Change:
    """A write or drop of one record, and the stamp that the record has until then (0: it is absent)."""

    key: str
    stamp: int
    operation: state_wire.Operation


def plan_changes(stored: StoredTypes, rigs: list[MachineType], most_bytes: int) -> list[Change]:
    """What replaces the stored list by `rigs`, in the order in which it is to be carried out."""
    first, *others = split_types(rigs, most_bytes, stored.free_run)
    created = [
        Change(further_key(number), 0, state_wire.put(further_key(number), msgspec.to_builtins(record)))
        for number, record in zip(first.further, others, strict=True)
    ]
    replaced = Change(TYPES_KEY, stored.first_stamp, state_wire.put(TYPES_KEY, msgspec.to_builtins(first)))
    return [*created, replaced, *_drops(list(stored.further.values()))]


def _drops(rows: list[state_wire.KeyValue]) -> list[Change]:
    return [Change(row.key, row.mod_revision, state_wire.drop(row.key)) for row in rows]


def first_transaction(changes: list[Change], most: int) -> tuple[list[Change], list[Change]]:
    """The changes that one transaction of at most `most` operations may hold, and the rest."""
    size = count = 0
    while count < min(most, len(changes)):
        size += len(dumps(changes[count].operation))
        if count and size > TXN_BYTES:
            break
        count += 1
    return changes[:count], changes[count:]


class TypesStore:
    """Reads the list of types, and replaces it for the owner of the fleet."""

    def __init__(self, store: StateClient) -> None:
        """`store`: the client of the state service that holds the records."""
        self._store = store
        self._uncertain: int | None = None  # token of the last replacement that was not certain

    def read(self, done: Callable[[list[MachineType] | None], Any]) -> None:
        """`done` with the types on offer; with None while they are not known."""
        self._read(lambda stored: done(stored.types() if stored is not None else None))

    def replace(self, token: int, rigs: list[MachineType], done: Callable[[bool], Any]) -> None:
        """Replace the list as the fleet's owner under `token`; `done` with whether that is certain.

        After `done(False)` the list is the earlier or the new one, and the call is to be repeated.
        """

        def read(stored: StoredTypes | None) -> None:
            if stored is None:
                done(False)
                return
            changes = plan_changes(stored, rigs, self._store.value_bytes)
            self._carry_out(token, stored.first_stamp, changes, replaced)

        def replaced(certain: bool, first_stamp: int) -> None:
            if certain and self._uncertain == token:
                self._read(lambda stored: tidy(stored, first_stamp))
            else:
                finish(certain)

        def tidy(stored: StoredTypes | None, first_stamp: int) -> None:
            """Drop what an earlier try created between our read and the new first; after that it creates nothing."""
            if stored is None or stored.first_stamp != first_stamp:
                finish(False)
            elif surplus := _drops(stored.surplus()):
                self._carry_out(token, first_stamp, surplus, lambda certain, _stamp: finish(certain))
            else:
                finish(True)

        def finish(certain: bool) -> None:
            self._uncertain = None if certain else token
            done(certain)

        self._read(read)

    def _read(self, done: Callable[[StoredTypes | None], Any]) -> None:
        self._store.list(
            TYPES_KEY,
            lambda rows, _epoch: done(StoredTypes.from_rows(rows) if rows is not None else None),
            priority=CallPriority.ADMIT,
            wait=READ_WAIT_S,
            timeout=READ_TIMEOUT_S,
        )

    def _carry_out(self, token: int, first_stamp: int, changes: list[Change], done: Callable[[bool, int], Any]) -> None:
        """One transaction after the other, each once the one before is certain.

        `done` with whether all are, and with the stamp that the first has then.
        """
        group, rest = first_transaction(changes, self._store.max_operations)
        when = {FLEET_KEY: token, TYPES_KEY: first_stamp} | {change.key: change.stamp for change in group}

        def answered(outcome: Outcome, revision: int, _failed: list[str]) -> None:
            replaced = any(change.key == TYPES_KEY for change in group)
            stamp = revision if replaced else first_stamp
            if outcome is Outcome.OK and rest:
                self._carry_out(token, stamp, rest, done)
            else:
                done(outcome is Outcome.OK, stamp)

        self._store.transact(when, [change.operation for change in group], CallPriority.ADMIT, answered)
