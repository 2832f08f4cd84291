"""Messages that pass requests of workers and users on to another controller, and its answers back."""

from __future__ import annotations

import msgspec


class RelayRequest(msgspec.Struct, tag="relay"):
    """A heartbeat that was received on behalf of the owner, which the worker can't reach."""

    heartbeat: bytes = msgspec.field(name="report")


class RelayReply(msgspec.Struct, tag="relay_r"):
    """The owner's answer to a relayed heartbeat, which is passed on to the worker."""

    status: int
    body: bytes


class ForwardRequest(msgspec.Struct, tag="forward"):
    """A user's request that a node without access to the state store forwards to a node with access."""

    method: str
    target: str
    body: bytes


class ForwardReply(msgspec.Struct, tag="forward_r"):
    """The answer to a forwarded request, which is passed on to the user with its Retry-After header, if any."""

    status: int
    body: bytes
    retry_after_s: int | None = msgspec.field(name="after")
