"""The envelope around every message, the union of all messages, and their encoding."""

from __future__ import annotations

import msgspec

from tealhook.wire.mesh.capacity import CapacityReply, CapacityRequest
from tealhook.wire.mesh.fleet import DrainRequest, FenceRequest, MachinesReleased
from tealhook.wire.mesh.forwarding import ForwardReply, ForwardRequest, RelayReply, RelayRequest
from tealhook.wire.mesh.gossip import Gossip
from tealhook.wire.mesh.launches import LaunchReply, LaunchRequest, StopRequest
from tealhook.wire.mesh.reconciliation import ReconcileReply, ReconcileRequest, StatusUpdate
from tealhook.wire.mesh.reservations import ReserveReply, ReserveRequest

MAX_FRAME_BYTES = 4 * 1024 * 1024  # A larger encoded envelope ends the connection.
NO_REPLY = 0  # the `call` of a message that expects no reply


class Acknowledged(msgspec.Struct, tag="ok"):
    """The reply to an executed request that has no result."""


class Refused(msgspec.Struct, tag="no"):
    """The reply of a receiver that can't execute the request: it is not the owner, or the token is stale."""

    reason: str = msgspec.field(name="why")


Body = (
    CapacityRequest
    | CapacityReply
    | ReserveRequest
    | ReserveReply
    | LaunchRequest
    | LaunchReply
    | StatusUpdate
    | ReconcileRequest
    | ReconcileReply
    | StopRequest
    | FenceRequest
    | MachinesReleased
    | DrainRequest
    | Gossip
    | RelayRequest
    | RelayReply
    | ForwardRequest
    | ForwardReply
    | Acknowledged
    | Refused
)


class Envelope(msgspec.Struct, array_like=True):
    """A message with its sender.

    `incarnation` identifies the sender's process, and `number` counts its messages. `call` is a positive number for a
    request, its negative for the reply to that request, and `NO_REPLY` for a message without a reply.
    """

    sender: str
    incarnation: int
    number: int
    call: int
    body: Body


envelope_decoder = msgspec.msgpack.Decoder(Envelope)
envelope_encoder = msgspec.msgpack.Encoder()
