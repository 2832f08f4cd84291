"""Messages from controllers to the state store and its answers: keys, transactions, leases and watches."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec

from tealhook.wire.common import encode_json


class KeyValue(msgspec.Struct):
    """A key with its value, the revision of its last change, and the lease that it is deleted with, if any."""

    key: str = msgspec.field(name="path")
    value: Any = msgspec.field(name="v")
    mod_revision: int = msgspec.field(name="stamp")
    lease_id: int | None = msgspec.field(default=None, name="hold")


class KeyRange(msgspec.Struct):
    """One page of a list of keys at a revision; `more` tells whether further pages follow."""

    items: list[KeyValue] = msgspec.field(name="rows")
    more: bool = False
    revision: int = msgspec.field(default=0, name="epoch")


class Absent(msgspec.Struct):
    """The answer that a key does not exist at a revision."""

    revision: int = msgspec.field(name="epoch")


class LeaseGranted(msgspec.Struct):
    """The answer to a request for a new lease."""

    lease_id: int = msgspec.field(name="hold")


class Committed(msgspec.Struct):
    """The answer to an executed transaction, with the revision that it created."""

    revision: int = msgspec.field(name="epoch")


class Conflict(msgspec.Struct):
    """The answer to a transaction that was not executed, with the keys whose conditions failed."""

    failed_keys: list[str] = msgspec.field(name="failed")
    revision: int = msgspec.field(default=0, name="epoch")


class WatchEvent(msgspec.Struct):
    """A change of one key, which was either put or deleted."""

    put_key: str | None = msgspec.field(default=None, name="write")
    deleted_key: str | None = msgspec.field(default=None, name="drop")
    value: Any = msgspec.field(default=None, name="v")
    mod_revision: int = msgspec.field(default=0, name="stamp")

    @property
    def key(self) -> str:
        """The key that was put or deleted."""
        return self.put_key or self.deleted_key or ""


class WatchReply(msgspec.Struct):
    """All changes after the requested revision up to and including `revision`."""

    revision: int = msgspec.field(name="epoch")
    events: list[WatchEvent] = []


key_value_decoder = msgspec.json.Decoder(KeyValue)
key_range_decoder = msgspec.json.Decoder(KeyRange)
absent_decoder = msgspec.json.Decoder(Absent)
lease_granted_decoder = msgspec.json.Decoder(LeaseGranted)
committed_decoder = msgspec.json.Decoder(Committed)
conflict_decoder = msgspec.json.Decoder(Conflict)
watch_reply_decoder = msgspec.json.Decoder(WatchReply)


# Key -> the required revision of its last change; 0 requires that the key does not exist.
Conditions = dict[str, int]


class Put(msgspec.Struct, omit_defaults=True):
    """An operation that sets a key, which is deleted when its lease ends if it has one."""

    key: str = msgspec.field(name="write")
    value: Any = msgspec.field(name="v")
    lease_id: int | None = msgspec.field(name="hold", default=None)


class Delete(msgspec.Struct):
    """An operation that deletes a key."""

    key: str = msgspec.field(name="drop")


Operation = Put | Delete


class _Condition(msgspec.Struct):
    key: str = msgspec.field(name="path")
    revision: int = msgspec.field(name="stamp")


class _Transaction(msgspec.Struct):
    conditions: list[_Condition] = msgspec.field(name="when")
    operations: Sequence[Operation] = msgspec.field(name="apply")


def put(key: str, value: Any, lease_id: int | None = None) -> Put:
    """Return the operation that sets `key` to `value`."""
    return Put(key, value, lease_id)


def delete(key: str) -> Delete:
    """Return the operation that deletes `key`."""
    return Delete(key)


def encode_transaction(conditions: Conditions, operations: Sequence[Operation]) -> bytes:
    """Encode a transaction, which executes all operations if all conditions hold and none otherwise."""
    return encode_json(_Transaction([_Condition(key, revision) for key, revision in conditions.items()], operations))
