"""Records of machine types: at any time a starting node reads one complete list that was on offer, or none.

The list is longer than a value may be, grows and gets shorter; answers are lost, writes come late, owners change, and
nodes of the version in production own the fleet in between: they know `fleet/types` alone.
"""

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
    StoredTypes,
    TypesRecord,
    TypesStore,
    first_transaction,
    further_key,
    plan_changes,
    split_types,
)
from tealhook.state_store import CallPriority, Outcome
from tealhook.wire import state as state_wire
from tealhook.wire.cloud import MachineType, MachineTypes
from tealhook.wire.common import dumps
from tests.simulated_cluster import MACHINE_TYPES, SimulatedCluster
from tests.standins import StateService

TYPES = "fleet/types"
TIGHT = {"value_kb": 0.7, "txn_ops": 2}  # four types a value, two changes a transaction
PRODUCTION = json.loads((Path(__file__).parent / "fixtures" / "production.json").read_text(encoding="utf-8"))["types"]
ASKED_S = 40.0  # prices are asked for once in this time at least: eight times the list's lag

Rows = dict[str, tuple[Any, int, int | None]]


def _offer(count: int, kind: str) -> list[dict]:
    return [MACHINE_TYPES[0] | {"name": f"{kind}-{i:02d}"} for i in range(count)]


def _names(types: list[dict]) -> list[str]:
    return sorted(machine_type["name"] for machine_type in types)


def _records(state: StateService) -> Rows:
    return {key: row for key, row in state.rows.items() if key.startswith(TYPES)}


def _starting_node(records: Rows, seconds: float = 2.0) -> list[str]:
    """The types that a node takes for those on offer when it starts while the cloud is down."""
    world = SimulatedCluster(91, nodes=1)
    world.cloud.down = True
    world.state.rows |= records
    world.run(seconds)
    return sorted(world.nodes["n0"].machine_types)


class _History:
    """Every state of the records that a node could have read."""

    def __init__(self, world: SimulatedCluster) -> None:
        self.states: list[Rows] = []
        carry_out = world.state._txn

        def txn(body: dict, node: str) -> tuple:
            answer = carry_out(body, node)
            records = _records(world.state)
            if records and (not self.states or records != self.states[-1]):
                self.states.append(records)
            return answer

        world.state._txn = txn

    def read_by_starting_nodes(self) -> list[list[str]]:
        """What nodes read that start at each state, in its order."""
        read, known = [], {}
        for records in self.states:
            text = json.dumps({key: row[0] for key, row in records.items()})
            if text not in known:
                known[text] = _starting_node(records)
            read.append(known[text])
        return read


def _crash_owner(world: SimulatedCluster, back: float) -> None:
    """End the process that owns the fleet, if there is one at present."""
    if FLEET_KEY in world.state.rows:
        world.crash(world.state.rows[FLEET_KEY][0]["n"], back)


def _write_as_in_production(world: SimulatedCluster, name: str) -> None:
    """Make a node write the types as the version in production does: all of them in one value, nothing else."""
    fleet = world.nodes[name].fleet_manager

    def store_types(*_args: Any) -> None:
        def done(outcome: Outcome, _epoch: int, _failed: list[str]) -> None:
            if outcome is Outcome.OK:
                fleet._stored_types = {
                    (kind.name, kind.vcpus, kind.memory_gb, tuple(kind.zones)) for kind in fleet._types.values()
                }

        value = {"rigs": world.cloud.machine_types}
        fleet._store.transact({FLEET_KEY: fleet._token or 0}, [state_wire.put(TYPES, value)], CallPriority.ADMIT, done)

    fleet._store_types = store_types


# -- what a starting node reads


def _first(types: list[dict], **named: int) -> dict:
    return {"rigs": types} | named


@pytest.mark.parametrize(
    ("records", "expected"),
    [
        ({TYPES: _first(_offer(2, "a"))}, _names(_offer(2, "a"))),
        ({f"{TYPES}/1": {"rigs": _offer(2, "b")}}, []),  # what the first names is not known yet
        ({TYPES: _first(_offer(1, "a"), more=1), f"{TYPES}/1": {"rigs": _offer(2, "b")}}, ["a-00", "b-00", "b-01"]),
        ({TYPES: _first(_offer(2, "a")), f"{TYPES}/1": {"rigs": _offer(2, "b")}}, ["a-00", "a-01"]),
        (
            {
                TYPES: _first(_offer(1, "a"), more=1, more_from=2),
                f"{TYPES}/1": {"rigs": _offer(1, "b")},
                f"{TYPES}/2": {"rigs": []},
            },
            ["a-00"],
        ),
        ({TYPES: _first(_offer(2, "a"), more=2), f"{TYPES}/1": {"rigs": _offer(2, "b")}}, []),  # not whole
        ({TYPES: _first(_offer(1, "a"), more=1), f"{TYPES}/1": "nonsense"}, []),
    ],
    ids=["alone", "without-the-first", "named", "production-overwrote-the-first", "surplus", "incomplete", "nonsense"],
)
def test_starting_node_reads_first_record_and_records_it_names(records, expected):
    assert _starting_node({key: (value, 1, None) for key, value in records.items()}) == expected


# -- what the fleet's owner writes


def test_types_that_fit_one_record_are_written_as_in_production():
    world = SimulatedCluster(92, nodes=1)
    world.run(15.0)
    records = _records(world.state)
    assert list(records) == [TYPES] and list(records[TYPES][0]) == ["rigs"]


def test_surplus_records_are_deleted_when_list_shrinks():
    world = SimulatedCluster(93, nodes=1, next=TIGHT)
    world.state.lower_limits(write_rps=40.0)
    history = _History(world)
    offers = [_offer(22, "a"), _offer(9, "b"), _offer(15, "c"), _offer(3, "d")]
    for types in offers:
        world.cloud.machine_types = types
        world.run(ASKED_S)
    assert _starting_node(_records(world.state)) == _names(offers[-1])
    assert list(_records(world.state)) == [TYPES]
    read = history.read_by_starting_nodes()
    assert all(names in [[], *map(_names, offers)] for names in read)
    assert [] not in read[read.index(_names(offers[0])) :]  # one whole list is followed by another
    assert max(len(records) for records in history.states) > 6
    assert not set(world.state.refused) - {"rate"}


@pytest.mark.parametrize("seed", range(4))
def test_types_are_never_read_mixed_under_lost_answers_late_writes_and_crashes(seed):
    world = SimulatedCluster(seed + 930, next=TIGHT)
    world.state.lower_limits(write_rps=40.0)
    history = _History(world)
    world.network.late_write_share, world.network.lost_answer_share = 0.15, 0.15
    offers = [_offer(22, "a"), _offer(9, "b"), _offer(15, "c"), _offer(3, "d")]
    for types in offers:
        world.cloud.machine_types = types
        for i in range(3):
            world.at(12.0 * i + 4.0 * world.rng.random(), lambda: _crash_owner(world, 0.5))
        world.run(ASKED_S)
    world.network.end_faults()
    world.run(2 * ASKED_S)
    read = history.read_by_starting_nodes()
    assert all(names in [[], *map(_names, offers)] for names in read)
    assert [] not in read[next(i for i, names in enumerate(read) if names) :]  # one whole list is followed by another
    assert _names(offers[-1]) == read[-1] and list(_records(world.state)) == [TYPES]
    assert world.network.event_counts["late write"] and world.network.event_counts["answer to a write lost"]


def test_owner_crash_between_transactions_leaves_previous_list_intact():
    """Guards against a list that is half the earlier one and half the next."""
    world = SimulatedCluster(94, nodes=1, next=TIGHT)
    world.cloud.machine_types = _offer(18, "a")
    world.run(ASKED_S)
    assert _starting_node(_records(world.state)) == _names(_offer(18, "a"))
    whole, seen = world.state._txn, []

    def txn(body: dict, node: str) -> tuple:
        status, answer = whole(body, node)
        if status == 200 and any((op.get("write") or op["drop"]).startswith(TYPES) for op in body.get("apply", [])):
            seen.append(body)
            world.cloud.down = True
            world.crash("n0", 0.5)  # once it was carried out, before its answer
        return status, answer

    world.state._txn = txn
    world.cloud.machine_types = _offer(14, "b")
    steps = 0
    while _starting_node(_records(world.state)) != _names(_offer(14, "b")):
        assert _starting_node(_records(world.state)) == _names(_offer(18, "a"))
        world.cloud.down = False
        world.run(ASKED_S)
        steps += 1
        if steps >= 3:  # it may go on from here
            world.state._txn = whole
        assert steps < 6
    assert len(seen) >= 3


@pytest.mark.parametrize("count", [2, 3])
def test_production_owner_overwrites_first_record_only(count):
    """Its value has no word of further ones; those that remain count for nothing, and the next new owner drops them."""
    world = SimulatedCluster(95, nodes=3, next=TIGHT)
    world.cloud.machine_types = _offer(18, "a")
    world.run(ASKED_S)
    history = _History(world)
    for _ in range(3):
        for name in world.names:
            _write_as_in_production(world, name)
        world.cloud.machine_types = _offer(count, "b")
        _crash_owner(world, 20.0)
        world.run(ASKED_S)
        assert _starting_node(_records(world.state)) == _names(world.cloud.machine_types)
        for name in world.names:
            if name in world.nodes and "_store_types" in vars(world.nodes[name].fleet_manager):
                del world.nodes[name].fleet_manager._store_types
        world.cloud.machine_types = _offer(18, "a")
        world.run(ASKED_S)
        assert _starting_node(_records(world.state)) == _names(world.cloud.machine_types)
    offers = [_names(_offer(18, "a")), _names(_offer(count, "b"))]
    assert all(names in offers for names in history.read_by_starting_nodes())
    world.cloud.machine_types = _offer(2, "c")
    world.run(ASKED_S)
    assert list(_records(world.state)) == [TYPES]
    assert len(dumps(world.state.rows[TYPES][0])) <= 0.7 * 1024


# -- values and transactions within their limits


def _types(count: int, kind: str = "a") -> list[MachineType]:
    return msgspec.convert(_offer(count, kind), list[MachineType])


def _from_one(_count: int) -> int:
    return 1


@pytest.mark.parametrize("most_bytes", [400, 717, 2048, 8192])
@pytest.mark.parametrize("count", [1, 3, 11, 30, 200])
def test_records_keep_size_limit_and_first_is_filled(count, most_bytes):
    types = _types(count)
    first, *others = split_types(types, most_bytes, _from_one)
    assert (first.more, first.more_from) == (len(others), 1)
    assert [machine_type for record in (first, *others) for machine_type in record.rigs] == types
    assert all(record.rigs and len(dumps(record)) <= most_bytes for record in (first, *others))
    if others:
        more = TypesRecord([*first.rigs, others[0].rigs[0]], first.more)
        assert len(dumps(more)) > most_bytes
        assert len(dumps(TypesRecord(types))) > most_bytes


def test_production_reads_first_of_several_records():
    """Its reader takes `rigs` of `fleet/types` and ignores other fields."""
    first = split_types(_types(30), 717, lambda _count: 7)[0]
    assert (first.more, first.more_from) != (0, 1)
    assert msgspec.convert(msgspec.to_builtins(first), MachineTypes).machine_types == first.rigs


def test_oversized_type_does_not_block_split():
    assert [len(record.rigs) for record in split_types(_types(3), 50, _from_one)] == [1, 1, 1]


def test_production_types_stay_one_record_of_identical_bytes():
    types = msgspec.convert(PRODUCTION, MachineTypes).machine_types
    (change,) = plan_changes(StoredTypes(), types, 2048)
    assert dumps(change.operation.value) == dumps(PRODUCTION)


@pytest.mark.parametrize("txn_ops", [1, 2, 5, 16])
def test_transactions_keep_operation_and_size_limits(txn_ops):
    rows = [state_wire.KeyValue(further_key(n), {"rigs": []}, 7) for n in (1, 2, 5)] + [
        state_wire.KeyValue(TYPES, {}, 9)
    ]
    changes = plan_changes(StoredTypes.from_rows(rows), _types(600), 8192)
    groups, rest = [], changes
    while rest:
        group, rest = first_transaction(rest, txn_ops)
        groups.append(group)
    assert [change for group in groups for change in group] == changes
    assert all(len(group) <= txn_ops for group in groups)
    assert all(len(dumps([change.operation for change in group])) < 60 * 1024 for group in groups)
    assert [change.key for change in changes[:2]] == [
        further_key(n) for n in (6, 7)
    ]  # free numbers, one after the other
    assert [change.key for change in changes[-4:]] == [TYPES, *map(further_key, (1, 2, 5))]


# -- any order in which transactions may be carried out


class _Service:
    """A state service that carries some transactions out late, and tells nothing of some."""

    value_bytes, max_operations = 717, 2

    def __init__(self, rng: random.Random, check: Callable[[], None]) -> None:
        self.rng, self.check = rng, check
        self.rows: dict[str, tuple[Any, int]] = {FLEET_KEY: ({"n": "n0"}, 1)}
        self.revision = 1
        self.late: list[tuple[dict, list]] = []
        self.fault_share = 0.5

    def list(self, prefix: str, done: Callable, **_how: Any) -> None:
        rows = [state_wire.KeyValue(key, *row) for key, row in sorted(self.rows.items()) if key.startswith(prefix)]
        done(rows, self.revision)

    def transact(self, when: dict, apply: list, _priority: CallPriority, done: Callable) -> None:
        assert len(apply) <= self.max_operations and len(when) <= 4 * self.max_operations
        apply = [msgspec.json.decode(dumps(operation)) for operation in apply]  # as the state service reads them
        assert all(len(dumps(op["v"])) <= self.value_bytes for op in apply if "write" in op)
        if self.rng.random() < self.fault_share:
            self.one_comes_late()
        if self.rng.random() < self.fault_share:
            if self.rng.random() < 0.5:
                self.carry_out(when, apply)
            else:
                self.late.append((when, apply))
            done(Outcome.UNSURE, 0, [])
        elif self.carry_out(when, apply):
            done(Outcome.OK, self.revision, [])
        else:
            done(Outcome.CONFLICT, 0, [])

    def carry_out(self, when: dict, apply: list) -> bool:
        if any(self.rows.get(key, (None, 0))[1] != stamp for key, stamp in when.items()):
            return False
        self.revision += 1
        for op in apply:
            if "write" in op:
                self.rows[op["write"]] = (op["v"], self.revision)
            else:
                self.rows.pop(op["drop"], None)
        self.check()
        return True

    def one_comes_late(self) -> None:
        if self.late:
            self.carry_out(*self.late.pop(self.rng.randrange(len(self.late))))

    def take_over(self) -> int:
        """Ownership of the fleet passes on; gives the new token."""
        self.revision += 1
        self.rows[FLEET_KEY] = ({"n": "n0"}, self.revision)
        return self.revision


def _stored_names(service: _Service) -> list[str] | None:
    rows = [state_wire.KeyValue(key, *row) for key, row in service.rows.items()]
    types = StoredTypes.from_rows(rows).types()
    return None if types is None else [machine_type.name for machine_type in types]


@pytest.mark.parametrize("seed", range(200))
def test_type_list_stays_consistent_under_random_interleavings(seed):
    rng = random.Random(seed)
    offers: list[list[str]] = []

    def check() -> None:
        names = read()
        if TYPES in service.rows:
            assert names in offers
            del offers[: offers.index(names)]  # it never goes back to an earlier one
        else:
            assert names is None

    service = _Service(rng, check)
    read = functools.partial(_stored_names, service)
    store, token, types = TypesStore(service), 1, []
    for step in range(60):
        match rng.randrange(7):
            case 0:
                token = service.take_over()
            case 1:  # a node of the version in production owns the fleet
                token = service.take_over()
                types = _types(rng.randint(1, 3), f"p{step}")
                offers.append([machine_type.name for machine_type in types])
                service.transact(
                    {FLEET_KEY: token},
                    [state_wire.put(TYPES, msgspec.to_builtins(MachineTypes(types)))],
                    CallPriority.ADMIT,
                    lambda *_answer: None,
                )
                token = service.take_over()
            case 2 | 3:
                service.one_comes_late()
            case 4:  # an owner that has not heard of the next one
                stale, token = token, service.take_over()
                before, told = dict(service.rows), []
                store.replace(stale, _types(9, f"stale{step}"), told.append)
                assert told == [False] and service.rows == before
            case _:
                types = _types(rng.choice([1, 4, 9, 22]), f"s{step}")
                offers.append([machine_type.name for machine_type in types])
                told: list[bool] = []
                store.replace(token, types, told.append)
                assert len(told) == 1
                if told == [True]:
                    assert read() == offers[-1] and len(service.rows) == 1 + len(split_types(types, 717, _from_one))
    service.fault_share = 0.0
    types = _types(2, "last")
    offers.append([machine_type.name for machine_type in types])
    store.replace(token, types, lambda certain: None)
    while service.late:
        service.one_comes_late()
    assert read() == offers[-1] and service.rows.keys() == {FLEET_KEY, TYPES}
