"""Forwarding: requests of workers and users that another controller answers."""

from __future__ import annotations

import msgspec


class RelayRequest(msgspec.Struct, tag="relay"):
    """A heartbeat taken on the owner's behalf from a worker that cannot reach the owner."""

    heartbeat: bytes = msgspec.field(name="report")


class RelayReply(msgspec.Struct, tag="relay_r"):
    """The owner's answer to a relayed heartbeat, to be passed on to the worker."""

    status: int
    body: bytes


class ForwardRequest(msgspec.Struct, tag="forward"):
    """A user's request taken by a node that the state service does not serve, for one that it does."""

    method: str
    target: str
    body: bytes


class ForwardReply(msgspec.Struct, tag="forward_r"):
    """The answer to a forwarded request, to be passed on to the user with its Retry-After header, if any."""

    status: int
    body: bytes
    retry_after_s: int | None = msgspec.field(name="after")
