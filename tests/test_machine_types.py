"""Records of machine types: at any time a starting node reads one complete list that was on offer, or none.

The list is longer than a value may be, grows and gets shorter; answers are lost, writes come late, owners change, and
nodes of the version in production own the fleet in between: they know `fleet/types` alone.
"""

from __future__ import annotations

import json
from typing import Any

import pytest

from tealhook.coordination import FLEET_KEY
from tealhook.state_store import CallPriority, Outcome, TransactionResult
from tealhook.wire import state as state_wire
from tealhook.wire.common import encode_json
from tests.machine_type_offers import TYPES, offer, type_names
from tests.simulated_cluster import SimulatedCluster
from tests.standins import StateService

TIGHT = {"value_kb": 0.7, "txn_ops": 2}  # four types a value, two changes a transaction
ASKED_S = 40.0  # prices are asked for once in this time at least: eight times the list's lag
Rows = dict[str, tuple[Any, int, int | None]]


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
        def done(result: TransactionResult) -> None:
            if result.outcome is Outcome.COMMITTED:
                fleet._stored_signatures = {
                    (kind.name, kind.vcpus, kind.memory_gb, tuple(kind.zones)) for kind in fleet._machine_types.values()
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
        ({TYPES: _first(offer(2, "a"))}, type_names(offer(2, "a"))),
        ({f"{TYPES}/1": {"rigs": offer(2, "b")}}, []),  # what the first names is not known yet
        ({TYPES: _first(offer(1, "a"), more=1), f"{TYPES}/1": {"rigs": offer(2, "b")}}, ["a-00", "b-00", "b-01"]),
        ({TYPES: _first(offer(2, "a")), f"{TYPES}/1": {"rigs": offer(2, "b")}}, ["a-00", "a-01"]),
        (
            {
                TYPES: _first(offer(1, "a"), more=1, more_from=2),
                f"{TYPES}/1": {"rigs": offer(1, "b")},
                f"{TYPES}/2": {"rigs": []},
            },
            ["a-00"],
        ),
        ({TYPES: _first(offer(2, "a"), more=2), f"{TYPES}/1": {"rigs": offer(2, "b")}}, []),  # not whole
        ({TYPES: _first(offer(1, "a"), more=1), f"{TYPES}/1": "nonsense"}, []),
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
    offers = [offer(22, "a"), offer(9, "b"), offer(15, "c"), offer(3, "d")]
    for types in offers:
        world.cloud.machine_types = types
        world.run(ASKED_S)
    assert _starting_node(_records(world.state)) == type_names(offers[-1])
    assert list(_records(world.state)) == [TYPES]
    read = history.read_by_starting_nodes()
    assert all(names in [[], *map(type_names, offers)] for names in read)
    assert [] not in read[read.index(type_names(offers[0])) :]  # one whole list is followed by another
    assert max(len(records) for records in history.states) > 6
    assert not set(world.state.refused) - {"rate"}


@pytest.mark.parametrize("seed", range(4))
def test_types_are_never_read_mixed_under_lost_answers_late_writes_and_crashes(seed):
    world = SimulatedCluster(seed + 930, next=TIGHT)
    world.state.lower_limits(write_rps=40.0)
    history = _History(world)
    world.network.late_write_share, world.network.lost_answer_share = 0.15, 0.15
    offers = [offer(22, "a"), offer(9, "b"), offer(15, "c"), offer(3, "d")]
    for types in offers:
        world.cloud.machine_types = types
        for i in range(3):
            world.at(12.0 * i + 4.0 * world.rng.random(), lambda: _crash_owner(world, 0.5))
        world.run(ASKED_S)
    world.network.end_faults()
    world.run(2 * ASKED_S)
    read = history.read_by_starting_nodes()
    assert all(names in [[], *map(type_names, offers)] for names in read)
    assert [] not in read[next(i for i, names in enumerate(read) if names) :]  # one whole list is followed by another
    assert type_names(offers[-1]) == read[-1] and list(_records(world.state)) == [TYPES]
    assert world.network.event_counts["late write"] and world.network.event_counts["answer to a write lost"]


def test_owner_crash_between_transactions_leaves_previous_list_intact():
    """Guards against a list that is half the earlier one and half the next."""
    world = SimulatedCluster(94, nodes=1, next=TIGHT)
    world.cloud.machine_types = offer(18, "a")
    world.run(ASKED_S)
    assert _starting_node(_records(world.state)) == type_names(offer(18, "a"))
    whole, seen = world.state._txn, []

    def txn(body: dict, node: str) -> tuple:
        status, answer = whole(body, node)
        if status == 200 and any((op.get("write") or op["drop"]).startswith(TYPES) for op in body.get("apply", [])):
            seen.append(body)
            world.cloud.down = True
            world.crash("n0", 0.5)  # once it was carried out, before its answer
        return status, answer

    world.state._txn = txn
    world.cloud.machine_types = offer(14, "b")
    steps = 0
    while _starting_node(_records(world.state)) != type_names(offer(14, "b")):
        assert _starting_node(_records(world.state)) == type_names(offer(18, "a"))
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
    world.cloud.machine_types = offer(18, "a")
    world.run(ASKED_S)
    history = _History(world)
    for _ in range(3):
        for name in world.names:
            _write_as_in_production(world, name)
        world.cloud.machine_types = offer(count, "b")
        _crash_owner(world, 20.0)
        world.run(ASKED_S)
        assert _starting_node(_records(world.state)) == type_names(world.cloud.machine_types)
        for name in world.names:
            if name in world.nodes and "_store_types" in vars(world.nodes[name].fleet_manager):
                del world.nodes[name].fleet_manager._store_types
        world.cloud.machine_types = offer(18, "a")
        world.run(ASKED_S)
        assert _starting_node(_records(world.state)) == type_names(world.cloud.machine_types)
    offers = [type_names(offer(18, "a")), type_names(offer(count, "b"))]
    assert all(names in offers for names in history.read_by_starting_nodes())
    world.cloud.machine_types = offer(2, "c")
    world.run(ASKED_S)
    assert list(_records(world.state)) == [TYPES]
    assert len(encode_json(world.state.rows[TYPES][0])) <= 0.7 * 1024
