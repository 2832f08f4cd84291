"""The view of ownership records, the reports of changes of owned keys, and the detection of suspensions."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from tealhook.coordination import FLEET_KEY, OwnershipView, partition_key
from tealhook.coordination.owned_keys import OwnedKeys
from tealhook.coordination.ownership_view import OwnershipRecord, encode_record
from tealhook.coordination.suspension import SuspensionDetector
from tealhook.state_store import StateClient
from tealhook.wire.common import encode_json
from tests.simulation.context import make_context

KEY = partition_key("za")
INCARNATION = 7


class _Effects:
    """Effects that answer lists of keys with the given records, and no other request."""

    def __init__(self, records: dict[str, tuple[object, int]]) -> None:
        rows = [{"path": key, "v": value, "stamp": revision} for key, (value, revision) in records.items()]
        self._list = encode_json({"rows": rows, "more": False, "epoch": 100})
        self.rng = random.Random(1)
        self.time = 50.0

    def now(self) -> float:
        return self.time

    def later(self, delay: float, call: Callable) -> None:
        self.time += delay
        call()

    def state(self, method: str, target: str, body: bytes | None, timeout: float, answer: Callable) -> None:
        if target.startswith("/store"):
            answer(200, self._list)


class _Observer:
    """Records the reported changes of ownership."""

    def __init__(self) -> None:
        self.changes: list[tuple[str, int | None]] = []

    def on_ownership_change(self, key: str, token: int | None) -> None:
        self.changes.append((key, token))


def _start_view(records: dict[str, tuple[object, int]]) -> tuple[OwnershipView, list[str | None]]:
    """Return a view of the records, and a list that gets the owner of `KEY` at each change of the view."""
    context = make_context(_Effects(records), incarnation=INCARNATION)
    view = OwnershipView(context, StateClient(context))
    owners: list[str | None] = []
    view.start(lambda: owners.append(view.owner(KEY)))
    return view, owners


def test_losses_are_reported_first_and_new_token_as_loss_and_acquisition():
    """Guards against a component that keeps using an old fencing token after another node has owned its key."""
    owned, observer = OwnedKeys(), _Observer()
    owned.update({FLEET_KEY: 3, KEY: 4}, observer)
    owned.update({FLEET_KEY: 3, KEY: 4}, observer)
    owned.update({"own/home/a": 6, KEY: 9}, observer)
    assert observer.changes == [
        (FLEET_KEY, 3),
        (KEY, 4),
        (FLEET_KEY, None),
        (KEY, None),
        ("own/home/a", 6),
        (KEY, 9),
    ]
    assert owned.tokens() == {"own/home/a": 6, KEY: 9} and owned.token(FLEET_KEY) is None


def test_only_higher_token_of_peer_changes_owner():
    view, owners = _start_view({KEY: (encode_record("n0", "7", "za"), 8)})
    view.merge_peer_tokens("n1", {KEY: 8, FLEET_KEY: 20})
    view.merge_peer_tokens("n2", {KEY: 7})
    assert view.owner(KEY) == "n0" and view.owner(FLEET_KEY) is None and view.tokens_of_this_process() == {KEY: 8}
    view.merge_peer_tokens("n1", {KEY: 9})
    assert view.owner(KEY) == "n1" and view.token(KEY) == 9 and view.tokens_of_this_process() == {}
    assert owners == ["n0", "n1"]


def test_records_of_earlier_process_of_same_node_are_not_own():
    view, _owners = _start_view(
        {"own/node/n0": (encode_record("n0", "6", "za"), 3), KEY: (encode_record("n0", "6", "za"), 4)}
    )
    assert not view.is_registered and view.tokens_of_this_process() == {}
    assert view.incarnation_of("n0") == 6 and view.live_nodes() == {"n0": "za"}


@pytest.mark.parametrize("value", [None, 3, [], {}, {"n": None}])
def test_malformed_record_names_no_live_node(value):
    view, _owners = _start_view({KEY: (value, 5), "own/node/n1": (value, 6)})
    assert view.owner(KEY) not in ("n0", "n1", "n2") and view.token(KEY) == 5
    assert view.incarnation_of("n1") is None and view.has_record(KEY)


def test_ownership_record_round_trips():
    value = encode_record("n1", "1f", "zb")
    assert value == {"n": "n1", "b": "1f", "z": "zb"}
    assert OwnershipRecord.parse(value, 12) == OwnershipRecord("n1", 12, "1f", "zb")


def test_suspension_is_detected_once_and_remembered():
    detector = SuspensionDetector(1.5, 10.0)
    before = detector.last_detected_at(11.5)
    assert before < 0.0
    detector.record_run(11.5)
    assert detector.last_detected_at(13.0) == before
    assert detector.last_detected_at(13.1) == 13.1
    detector.record_run(14.0)
    assert detector.last_detected_at(15.0) == 13.1
