"""Controllers -> state service: keys, transactions, grants and watches."""

from __future__ import annotations

from typing import Any

import msgspec


class Row(msgspec.Struct):
    path: str
    v: Any
    stamp: int
    hold: int | None = None


class Rows(msgspec.Struct):
    rows: list[Row]
    more: bool = False
    epoch: int = 0


class Absent(msgspec.Struct):
    epoch: int


class Granted(msgspec.Struct):
    hold: int


class Committed(msgspec.Struct):
    epoch: int


class Conflict(msgspec.Struct):
    failed: list[str]
    epoch: int = 0


class Event(msgspec.Struct):
    """A change of one key: `write` names a key put, `drop` one deleted."""

    write: str | None = None
    drop: str | None = None
    v: Any = None
    stamp: int = 0


class Watched(msgspec.Struct):
    epoch: int
    events: list[Event] = []


row_decoder = msgspec.json.Decoder(Row)
rows_decoder = msgspec.json.Decoder(Rows)
absent_decoder = msgspec.json.Decoder(Absent)
granted_decoder = msgspec.json.Decoder(Granted)
committed_decoder = msgspec.json.Decoder(Committed)
conflict_decoder = msgspec.json.Decoder(Conflict)
watched_decoder = msgspec.json.Decoder(Watched)


def put(path: str, value: Any, hold: int | None = None) -> dict:
    """A `write` of a transaction."""
    op = {"write": path, "v": value}
    if hold is not None:
        op["hold"] = hold
    return op


def drop(path: str) -> dict:
    """A `drop` of a transaction."""
    return {"drop": path}
