"""Messages between controllers. Every message is a tagged Struct that is encoded as MessagePack.

Each group of messages has a module; `envelope` defines the envelope and the union of all messages.
"""

from tealhook.wire.mesh.capacity import (
    UNRESTRICTED,
    Capacity,
    CapacityReply,
    CapacityRequest,
    MachineRestrictions,
    PartitionRequest,
    TaskRequirements,
)
from tealhook.wire.mesh.envelope import (
    MAX_FRAME_BYTES,
    NO_REPLY,
    Acknowledged,
    Body,
    Envelope,
    Refused,
    envelope_decoder,
    envelope_encoder,
)
from tealhook.wire.mesh.fleet import (
    Demand,
    DrainRequest,
    FenceRequest,
    MachinesReleased,
    MachineState,
    TeamUsage,
)
from tealhook.wire.mesh.forwarding import (
    ForwardReply,
    ForwardRequest,
    RelayReply,
    RelayRequest,
)
from tealhook.wire.mesh.gossip import (
    Gossip,
    JobProgress,
)
from tealhook.wire.mesh.launches import (
    FORGET_GRACE_PERIOD_S,
    LaunchReply,
    LaunchRequest,
    StopRequest,
    TaskStart,
    TaskStop,
)
from tealhook.wire.mesh.reconciliation import (
    LAUNCHING,
    ObservedTask,
    ReconcileReply,
    ReconcileRequest,
    StatusUpdate,
)
from tealhook.wire.mesh.reservations import (
    ReservationGrant,
    ReservationRequest,
    ReserveReply,
    ReserveRequest,
)

__all__ = [
    "Acknowledged",
    "Body",
    "Capacity",
    "CapacityRequest",
    "MachineRestrictions",
    "CapacityReply",
    "Demand",
    "DrainRequest",
    "Envelope",
    "FORGET_GRACE_PERIOD_S",
    "FenceRequest",
    "ForwardReply",
    "ForwardRequest",
    "Gossip",
    "JobProgress",
    "LAUNCHING",
    "LaunchReply",
    "LaunchRequest",
    "MAX_FRAME_BYTES",
    "MachineState",
    "MachinesReleased",
    "NO_REPLY",
    "ObservedTask",
    "PartitionRequest",
    "ReconcileReply",
    "ReconcileRequest",
    "Refused",
    "RelayReply",
    "RelayRequest",
    "ReservationGrant",
    "ReservationRequest",
    "ReserveReply",
    "ReserveRequest",
    "StatusUpdate",
    "StopRequest",
    "TaskRequirements",
    "UNRESTRICTED",
    "TaskStart",
    "TaskStop",
    "TeamUsage",
    "envelope_decoder",
    "envelope_encoder",
]
