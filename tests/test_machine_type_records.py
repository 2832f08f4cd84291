"""Records of machine types: limits of values and transactions, and consistency under any order of execution."""

from __future__ import annotations

import functools
import json
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from tealhook.coordination import FLEET_KEY
from tealhook.fleet.machine_types import (
    MachineTypesRecord,
    MachineTypeStore,
    StoredMachineTypes,
    continuation_key,
    plan_changes,
    split_types,
    take_transaction,
)
from tealhook.state_store import CallPriority, TransactionOutcome, TransactionResult
from tealhook.wire import state as state_wire
from tealhook.wire.cloud import MachineType, MachineTypes
from tealhook.wire.common import encode_json
from tests.machine_type_offers import MACHINE_TYPES_KEY, offered_types

PRODUCTION = json.loads((Path(__file__).parent / "fixtures" / "production.json").read_text(encoding="utf-8"))["types"]


# -- values and transactions within their limits


def _types(count: int, kind: str = "a") -> list[MachineType]:
    return msgspec.convert(offered_types(count, kind), list[MachineType])


def _from_one(_count: int) -> int:
    """Return 1 as the first free number of continuation records."""
    return 1


@pytest.mark.parametrize("max_bytes", [400, 717, 2048, 8192])
@pytest.mark.parametrize("count", [1, 3, 11, 30, 200])
def test_records_keep_size_limit_and_first_is_filled(count, max_bytes):
    types = _types(count)
    first, *others = split_types(types, max_bytes, _from_one)
    assert (first.more, first.more_from) == (len(others), 1)
    assert [machine_type for record in (first, *others) for machine_type in record.machine_types] == types
    assert all(record.machine_types and len(encode_json(record)) <= max_bytes for record in (first, *others))
    if others:
        overfilled = MachineTypesRecord([*first.machine_types, others[0].machine_types[0]], first.more)
        assert len(encode_json(overfilled)) > max_bytes
        assert len(encode_json(MachineTypesRecord(types))) > max_bytes


def test_production_reads_first_of_several_records():
    """The reader of the version in production takes `rigs` of `fleet/types` and ignores other fields."""
    first = split_types(_types(30), 717, lambda _count: 7)[0]
    assert (first.more, first.more_from) != (0, 1)
    assert msgspec.convert(msgspec.to_builtins(first), MachineTypes).machine_types == first.machine_types


def test_oversized_type_does_not_block_split():
    assert [len(record.machine_types) for record in split_types(_types(3), 50, _from_one)] == [1, 1, 1]


def test_production_types_stay_one_record_of_identical_bytes():
    types = msgspec.convert(PRODUCTION, MachineTypes).machine_types
    (change,) = plan_changes(StoredMachineTypes(), types, 2048)
    assert encode_json(change.operation.value) == encode_json(PRODUCTION)


@pytest.mark.parametrize("txn_ops", [1, 2, 5, 16])
def test_transactions_keep_operation_and_size_limits(txn_ops):
    rows = [state_wire.KeyValue(continuation_key(n), {"rigs": []}, 7) for n in (1, 2, 5)] + [
        state_wire.KeyValue(MACHINE_TYPES_KEY, {}, 9)
    ]
    changes = plan_changes(StoredMachineTypes.from_items(rows), _types(600), 8192)
    groups, rest = [], changes
    while rest:
        group, rest = take_transaction(rest, txn_ops)
        groups.append(group)
    assert [change for group in groups for change in group] == changes
    assert all(len(group) <= txn_ops for group in groups)
    assert all(len(encode_json([change.operation for change in group])) < 60 * 1024 for group in groups)
    assert [change.key for change in changes[:2]] == [continuation_key(n) for n in (6, 7)]  # consecutive free numbers
    assert [change.key for change in changes[-4:]] == [MACHINE_TYPES_KEY, *map(continuation_key, (1, 2, 5))]


# -- random order of execution


class _FaultyStateStore:
    """A state store that executes some transactions late, and gives no answer to some."""

    max_value_bytes, max_operations = 717, 2

    def __init__(self, rng: random.Random, check: Callable[[], None]) -> None:
        self.rng, self.check = rng, check
        self.rows: dict[str, tuple[Any, int]] = {FLEET_KEY: ({"n": "n0"}, 1)}
        self.revision = 1
        self.late_transactions: list[tuple[dict, list]] = []
        self.fault_share = 0.5

    def list(self, prefix: str, on_done: Callable, **_options: Any) -> None:
        rows = [state_wire.KeyValue(key, *row) for key, row in sorted(self.rows.items()) if key.startswith(prefix)]
        on_done(rows, self.revision)

    def transact(self, conditions: dict, operations: list, _priority: CallPriority, on_done: Callable) -> None:
        assert len(operations) <= self.max_operations and len(conditions) <= 4 * self.max_operations
        # The operations as the state store reads them.
        operations = [msgspec.json.decode(encode_json(operation)) for operation in operations]
        assert all(len(encode_json(op["v"])) <= self.max_value_bytes for op in operations if "write" in op)
        if self.rng.random() < self.fault_share:
            self.execute_random_late_transaction()
        if self.rng.random() < self.fault_share:
            if self.rng.random() < 0.5:
                self.execute(conditions, operations)
            else:
                self.late_transactions.append((conditions, operations))
            on_done(TransactionResult(TransactionOutcome.UNKNOWN))
        elif self.execute(conditions, operations):
            on_done(TransactionResult(TransactionOutcome.COMMITTED, revision=self.revision))
        else:
            on_done(TransactionResult(TransactionOutcome.CONFLICTED))

    def execute(self, conditions: dict, operations: list) -> bool:
        if any(self.rows.get(key, (None, 0))[1] != revision for key, revision in conditions.items()):
            return False
        self.revision += 1
        for op in operations:
            if "write" in op:
                self.rows[op["write"]] = (op["v"], self.revision)
            else:
                self.rows.pop(op["drop"], None)
        self.check()
        return True

    def execute_random_late_transaction(self) -> None:
        if self.late_transactions:
            self.execute(*self.late_transactions.pop(self.rng.randrange(len(self.late_transactions))))

    def change_owner(self) -> int:
        """Let another node take over the fleet, and return the new fencing token."""
        self.revision += 1
        self.rows[FLEET_KEY] = ({"n": "n0"}, self.revision)
        return self.revision


def _stored_names(state_store: _FaultyStateStore) -> list[str] | None:
    rows = [state_wire.KeyValue(key, *row) for key, row in state_store.rows.items()]
    types = StoredMachineTypes.from_items(rows).machine_types()
    return None if types is None else [machine_type.name for machine_type in types]


@pytest.mark.parametrize("seed", range(200))
def test_type_list_stays_consistent_under_random_interleavings(seed):
    rng = random.Random(seed)
    offers: list[list[str]] = []

    def check() -> None:
        names = read()
        if MACHINE_TYPES_KEY in state_store.rows:
            assert names in offers
            del offers[: offers.index(names)]  # An earlier list never comes back.
        else:
            assert names is None

    state_store = _FaultyStateStore(rng, check)
    read = functools.partial(_stored_names, state_store)
    store, token, types = MachineTypeStore(state_store), 1, []
    for step in range(60):
        match rng.randrange(7):
            case 0:
                token = state_store.change_owner()
            case 1:  # A node of the version in production owns the fleet.
                token = state_store.change_owner()
                types = _types(rng.randint(1, 3), f"p{step}")
                offers.append([machine_type.name for machine_type in types])
                state_store.transact(
                    {FLEET_KEY: token},
                    [state_wire.put(MACHINE_TYPES_KEY, msgspec.to_builtins(MachineTypes(types)))],
                    CallPriority.ADMIT,
                    lambda *_answer: None,
                )
                token = state_store.change_owner()
            case 2 | 3:
                state_store.execute_random_late_transaction()
            case 4:  # A previous owner does not know yet of the next one.
                stale_token, token = token, state_store.change_owner()
                before, confirmations = dict(state_store.rows), []
                store.replace(stale_token, _types(9, f"stale{step}"), confirmations.append)
                assert confirmations == [False] and state_store.rows == before
            case _:
                types = _types(rng.choice([1, 4, 9, 22]), f"s{step}")
                offers.append([machine_type.name for machine_type in types])
                confirmations: list[bool] = []
                store.replace(token, types, confirmations.append)
                assert len(confirmations) == 1
                if confirmations == [True]:
                    assert read() == offers[-1] and len(state_store.rows) == 1 + len(split_types(types, 717, _from_one))
    state_store.fault_share = 0.0
    types = _types(2, "last")
    offers.append([machine_type.name for machine_type in types])
    store.replace(token, types, lambda confirmed: None)
    while state_store.late_transactions:
        state_store.execute_random_late_transaction()
    assert read() == offers[-1] and state_store.rows.keys() == {FLEET_KEY, MACHINE_TYPES_KEY}
