"""Records of machine types: a starting node always reads a complete list that was on offer, or none.

The list is longer than one value may be, and it grows and shrinks. Answers are lost, writes are executed late, owners
change, and at times nodes of the version in production own the fleet, which only know `fleet/types`.
"""

from __future__ import annotations

import json
from typing import Any

import pytest

from tealhook.coordination import FLEET_KEY
from tealhook.state_store import CallPriority, TransactionOutcome, TransactionResult
from tealhook.wire import state as state_wire
from tealhook.wire.common import encode_json
from tests.machine_type_offers import MACHINE_TYPES_KEY, machine_type_names, offered_types
from tests.simulated_cluster import SimulatedCluster
from tests.standins import StateStore

TIGHT_LIMITS = {"value_kb": 0.7, "txn_ops": 2}  # four types per value, two changes per transaction
TYPES_REFRESH_S = 40.0  # The types are fetched at least once in this time, which is eight times `list_lag_s`.
Rows = dict[str, tuple[Any, int, int | None]]


def _records(state: StateStore) -> Rows:
    return {key: row for key, row in state.rows.items() if key.startswith(MACHINE_TYPES_KEY)}


def _types_read_by_starting_node(records: Rows, seconds: float = 2.0) -> list[str]:
    """Return the machine types that a node reads when it starts while the cloud is down."""
    cluster = SimulatedCluster(91, nodes=1)
    cluster.cloud.down = True
    cluster.state.rows |= records
    cluster.run(seconds)
    return sorted(cluster.controllers["n0"].machine_types)


class _RecordHistory:
    """Every state of the records that a node could have read."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.states: list[Rows] = []
        original_txn = cluster.state._txn

        def txn(body: dict, node: str) -> tuple:
            answer = original_txn(body, node)
            records = _records(cluster.state)
            if records and (not self.states or records != self.states[-1]):
                self.states.append(records)
            return answer

        cluster.state._txn = txn

    def read_by_starting_nodes(self) -> list[list[str]]:
        """Return the types that a node reads when it starts at each state, in the order of the states."""
        read, known_types = [], {}
        for records in self.states:
            text = json.dumps({key: row[0] for key, row in records.items()})
            if text not in known_types:
                known_types[text] = _types_read_by_starting_node(records)
            read.append(known_types[text])
        return read


def _crash_owner(cluster: SimulatedCluster, restart_s: float) -> None:
    """Crash the node that owns the fleet, if there is one."""
    if FLEET_KEY in cluster.state.rows:
        cluster.crash(cluster.state.rows[FLEET_KEY][0]["n"], restart_s)


def _write_as_in_production(cluster: SimulatedCluster, name: str) -> None:
    """Make a node write the types as the version in production does: all of them in one value, nothing else."""
    fleet = cluster.controllers[name].fleet_manager

    def store_types(*_args: Any) -> None:
        def on_result(result: TransactionResult) -> None:
            if result.outcome is TransactionOutcome.COMMITTED:
                fleet._stored_signatures = {
                    (machine_type.name, machine_type.vcpus, machine_type.memory_gb, tuple(machine_type.zones))
                    for machine_type in fleet._machine_types.values()
                }

        value = {"rigs": cluster.cloud.machine_types}
        fleet._store.transact(
            {FLEET_KEY: fleet._token or 0}, [state_wire.put(MACHINE_TYPES_KEY, value)], CallPriority.ADMIT, on_result
        )

    fleet._store_types = store_types


# -- what a starting node reads


def _first_record(types: list[dict], **references: int) -> dict:
    """Return the value of a first record that may refer to continuation records."""
    return {"rigs": types} | references


@pytest.mark.parametrize(
    ("records", "expected"),
    [
        ({MACHINE_TYPES_KEY: _first_record(offered_types(2, "a"))}, machine_type_names(offered_types(2, "a"))),
        ({f"{MACHINE_TYPES_KEY}/1": {"rigs": offered_types(2, "b")}}, []),  # The first record is missing.
        (
            {
                MACHINE_TYPES_KEY: _first_record(offered_types(1, "a"), more=1),
                f"{MACHINE_TYPES_KEY}/1": {"rigs": offered_types(2, "b")},
            },
            ["a-00", "b-00", "b-01"],
        ),
        (
            {
                MACHINE_TYPES_KEY: _first_record(offered_types(2, "a")),
                f"{MACHINE_TYPES_KEY}/1": {"rigs": offered_types(2, "b")},
            },
            ["a-00", "a-01"],
        ),
        (
            {
                MACHINE_TYPES_KEY: _first_record(offered_types(1, "a"), more=1, more_from=2),
                f"{MACHINE_TYPES_KEY}/1": {"rigs": offered_types(1, "b")},
                f"{MACHINE_TYPES_KEY}/2": {"rigs": []},
            },
            ["a-00"],
        ),
        (
            {
                MACHINE_TYPES_KEY: _first_record(offered_types(2, "a"), more=2),
                f"{MACHINE_TYPES_KEY}/1": {"rigs": offered_types(2, "b")},
            },
            [],
        ),  # incomplete
        ({MACHINE_TYPES_KEY: _first_record(offered_types(1, "a"), more=1), f"{MACHINE_TYPES_KEY}/1": "nonsense"}, []),
    ],
    ids=["alone", "without-the-first", "named", "production-overwrote-the-first", "surplus", "incomplete", "nonsense"],
)
def test_starting_node_reads_first_record_and_records_it_names(records, expected):
    assert _types_read_by_starting_node({key: (value, 1, None) for key, value in records.items()}) == expected


# -- what the fleet's owner writes


def test_types_that_fit_one_record_are_written_as_in_production():
    cluster = SimulatedCluster(92, nodes=1)
    cluster.run(15.0)
    records = _records(cluster.state)
    assert list(records) == [MACHINE_TYPES_KEY] and list(records[MACHINE_TYPES_KEY][0]) == ["rigs"]


def test_surplus_records_are_deleted_when_list_shrinks():
    cluster = SimulatedCluster(93, nodes=1, next_limits=TIGHT_LIMITS)
    cluster.state.lower_limits(write_rps=40.0)
    history = _RecordHistory(cluster)
    offers = [offered_types(22, "a"), offered_types(9, "b"), offered_types(15, "c"), offered_types(3, "d")]
    for types in offers:
        cluster.cloud.machine_types = types
        cluster.run(TYPES_REFRESH_S)
    assert _types_read_by_starting_node(_records(cluster.state)) == machine_type_names(offers[-1])
    assert list(_records(cluster.state)) == [MACHINE_TYPES_KEY]
    read = history.read_by_starting_nodes()
    assert all(names in [[], *map(machine_type_names, offers)] for names in read)
    assert [] not in read[read.index(machine_type_names(offers[0])) :]  # one complete list follows another
    assert max(len(records) for records in history.states) > 6
    assert not set(cluster.state.refused_writes) - {"rate"}


@pytest.mark.parametrize("seed", range(4))
def test_types_are_never_read_mixed_under_lost_answers_late_writes_and_crashes(seed):
    cluster = SimulatedCluster(seed + 930, next_limits=TIGHT_LIMITS)
    cluster.state.lower_limits(write_rps=40.0)
    history = _RecordHistory(cluster)
    cluster.network.late_write_share, cluster.network.lost_answer_share = 0.15, 0.15
    offers = [offered_types(22, "a"), offered_types(9, "b"), offered_types(15, "c"), offered_types(3, "d")]
    for types in offers:
        cluster.cloud.machine_types = types
        for i in range(3):
            cluster.call_later(12.0 * i + 4.0 * cluster.rng.random(), lambda: _crash_owner(cluster, 0.5))
        cluster.run(TYPES_REFRESH_S)
    cluster.network.end_faults()
    cluster.run(2 * TYPES_REFRESH_S)
    read = history.read_by_starting_nodes()
    assert all(names in [[], *map(machine_type_names, offers)] for names in read)
    assert [] not in read[next(i for i, names in enumerate(read) if names) :]  # one complete list follows another
    assert machine_type_names(offers[-1]) == read[-1] and list(_records(cluster.state)) == [MACHINE_TYPES_KEY]
    assert cluster.network.event_counts["late write"] and cluster.network.event_counts["answer to a write lost"]


def test_owner_crash_between_transactions_leaves_previous_list_intact():
    """Guards against a list that mixes the previous one and the next."""
    cluster = SimulatedCluster(94, nodes=1, next_limits=TIGHT_LIMITS)
    cluster.cloud.machine_types = offered_types(18, "a")
    cluster.run(TYPES_REFRESH_S)
    assert _types_read_by_starting_node(_records(cluster.state)) == machine_type_names(offered_types(18, "a"))
    original_txn, executed = cluster.state._txn, []

    def txn(body: dict, node: str) -> tuple:
        status, answer = original_txn(body, node)
        if status == 200 and any(
            (op.get("write") or op["drop"]).startswith(MACHINE_TYPES_KEY) for op in body.get("apply", [])
        ):
            executed.append(body)
            cluster.cloud.down = True
            cluster.crash("n0", 0.5)  # after the execution, before the answer
        return status, answer

    cluster.state._txn = txn
    cluster.cloud.machine_types = offered_types(14, "b")
    steps = 0
    while _types_read_by_starting_node(_records(cluster.state)) != machine_type_names(offered_types(14, "b")):
        assert _types_read_by_starting_node(_records(cluster.state)) == machine_type_names(offered_types(18, "a"))
        cluster.cloud.down = False
        cluster.run(TYPES_REFRESH_S)
        steps += 1
        if steps >= 3:  # From here on, the owner can finish.
            cluster.state._txn = original_txn
        assert steps < 6
    assert len(executed) >= 3


@pytest.mark.parametrize("count", [2, 3])
def test_production_owner_overwrites_first_record_only(count):
    """The value that the version in production writes refers to no continuation records.

    The remaining ones are ignored, and deleted by the next owner that runs the current version.
    """
    cluster = SimulatedCluster(95, nodes=3, next_limits=TIGHT_LIMITS)
    cluster.cloud.machine_types = offered_types(18, "a")
    cluster.run(TYPES_REFRESH_S)
    history = _RecordHistory(cluster)
    for _ in range(3):
        for name in cluster.node_names:
            _write_as_in_production(cluster, name)
        cluster.cloud.machine_types = offered_types(count, "b")
        _crash_owner(cluster, 20.0)
        cluster.run(TYPES_REFRESH_S)
        assert _types_read_by_starting_node(_records(cluster.state)) == machine_type_names(cluster.cloud.machine_types)
        for name in cluster.node_names:
            if name in cluster.controllers and "_store_types" in vars(cluster.controllers[name].fleet_manager):
                del cluster.controllers[name].fleet_manager._store_types
        cluster.cloud.machine_types = offered_types(18, "a")
        cluster.run(TYPES_REFRESH_S)
        assert _types_read_by_starting_node(_records(cluster.state)) == machine_type_names(cluster.cloud.machine_types)
    offers = [machine_type_names(offered_types(18, "a")), machine_type_names(offered_types(count, "b"))]
    assert all(names in offers for names in history.read_by_starting_nodes())
    cluster.cloud.machine_types = offered_types(2, "c")
    cluster.run(TYPES_REFRESH_S)
    assert list(_records(cluster.state)) == [MACHINE_TYPES_KEY]
    assert len(encode_json(cluster.state.rows[MACHINE_TYPES_KEY][0])) <= 0.7 * 1024
