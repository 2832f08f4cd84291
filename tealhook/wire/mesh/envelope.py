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

MAX_FRAME_BYTES = 4 * 1024 * 1024  # bytes of an encoded envelope; a larger one ends the connection
NO_REPLY = 0  # the `call` of a message that expects no reply


class Acknowledged(msgspec.Struct, tag="ok"):
    """The request was carried out; there is nothing to return."""


class Refused(msgspec.Struct, tag="no"):
    """The receiver can't answer: it is not the owner, or the token is stale."""

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
    """A message with its sender; `call` > 0: a request; < 0: the reply to request -call; or `NO_REPLY`.

    `incarnation` names the sender's process, `number` counts its messages.
    """

    sender: str
    incarnation: int
    number: int
    call: int
    body: Body


envelope_decoder = msgspec.msgpack.Decoder(Envelope)
envelope_encoder = msgspec.msgpack.Encoder()
