"""Controllers <-> controllers. Every message is a tagged Struct in MessagePack."""

from __future__ import annotations

import msgspec

LAUNCHING = "launching"  # the status of an observed task whose launch is not resolved
FORGET = -1.0  # a grace period: the attempt has ended and its outcome is on record, so the worker may forget it


class TaskRequirements(msgspec.Struct, array_like=True, frozen=True):
    """What tasks of one group need of a machine; the unit of inquiries."""

    vcpus: float
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    allows_spot: bool
    machine_types: tuple[str, ...]
    priority: int
    run_s: float


class Capacity(msgspec.Struct, array_like=True):
    """A part's answer about one shape: free slots now, and when the next one frees."""

    cached: int
    uncached: int
    next_free_s: float
    fetch_gb_per_s: float


class CapacityInquiry(msgspec.Struct, tag="ask"):
    """Inquiry for a part's earliest free time."""

    zone: str
    requirements: list[TaskRequirements] = msgspec.field(name="shapes")


class CapacityReply(msgspec.Struct, tag="ask_r"):
    """One answer per shape asked for, and the part owner's fencing token."""

    token: int
    capacities: list[Capacity] = msgspec.field(name="rooms")


class ReservationRequest(msgspec.Struct, array_like=True):
    """`count` tasks of one job and shape to be given room at once."""

    job: str
    team: str
    requirements: TaskRequirements
    count: int
    within_guarantee: bool
    starving: bool
    avoided_machines: list[str]
    team_token: int
    may_preempt: bool
    non_preemptible: bool  # not to be stopped for others: the first task of a job that has waited for long


class ReserveRequest(msgspec.Struct, tag="reserve"):
    """Reserve capacity for tasks whose assignment is about to be recorded."""

    zone: str
    requests: list[ReservationRequest] = msgspec.field(name="wants")


class ReservationGrant(msgspec.Struct, array_like=True):
    """Room held on a machine until it is used or expires."""

    reservation_id: int
    machine: str
    session: int
    fetch_s: float


class ReserveReply(msgspec.Struct, tag="reserve_r"):
    """The reservations made for each item of the request; fewer than asked for where room is short."""

    token: int
    grants: list[list[ReservationGrant]] = msgspec.field(name="slots")


class TaskStart(msgspec.Struct, array_like=True):
    """Use of a reservation, after the assignment is durable."""

    reservation_id: int
    job: str
    index: int
    attempt: int


class LaunchRequest(msgspec.Struct, tag="launch"):
    """Start tasks on reservations, once their assignments are recorded."""

    zone: str
    token: int
    team: str
    team_token: int = msgspec.field(name="home_token")
    starts: list[TaskStart]


class LaunchReply(msgspec.Struct, tag="launch_r"):
    """`seq`: status updates with a higher number under this token include the launches taken."""

    token: int
    sequence: int = msgspec.field(name="seq")
    refused: list[int]


class ObservedTask(msgspec.Struct, array_like=True):
    """A task on a machine; `status`: as reported, or `LAUNCHING`."""

    job: str
    index: int
    attempt: int
    status: str
    cause: str | None = None


class StatusUpdate(msgspec.Struct, tag="news"):
    """A status update: all tasks of one team on one machine, as of (shift, tick).

    `seq` numbers the updates of a part's owner under one token, since two connections may deliver them out of order.
    """

    zone: str
    team: str
    token: int
    sequence: int = msgspec.field(name="seq")
    machine: str
    session: int = msgspec.field(name="shift")
    report_sequence: int = msgspec.field(name="tick")
    tasks: list[ObservedTask] = msgspec.field(name="seen")


class ReconcileRequest(msgspec.Struct, tag="look"):
    """A home asks for reconciliation of machines; its token ends launches by earlier owners of the home.

    `heard`: the number of the newest update that it has of each; only newer ones are sent. 0: all of them again.
    """

    zone: str
    team: str
    team_token: int = msgspec.field(name="home_token")
    machines: list[str]
    known_sequences: list[int] = msgspec.field(name="heard")


class ReconcileReply(msgspec.Struct, tag="look_r"):
    """`silent`: seconds since each machine's last report; -1: none under this token.

    `lone`: most of the part's machines report, so the silent ones are not silent because the part is cut off.
    """

    token: int
    sequence: int = msgspec.field(name="seq")
    silent_s: list[float] = msgspec.field(name="silent")
    owned_s: float
    mostly_reporting: bool = msgspec.field(default=False, name="lone")


class TaskStop(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """An attempt that a machine is to stop within a grace period, or to forget: any negative period, as `FORGET`.

    Its encoding is that of a tuple of these five items: more or fewer are refused.
    """

    machine: str
    job: str
    index: int
    attempt: int
    grace_period_s: float


class StopRequest(msgspec.Struct, tag="stop"):
    """Have the workers of a zone stop or forget attempts."""

    zone: str
    team: str
    team_token: int = msgspec.field(name="home_token")
    items: list[TaskStop]


class FenceRequest(msgspec.Struct, tag="fence"):
    """Ask the fleet to release machines, so that what was on them is provably gone."""

    machines: list[str]


class MachinesReleased(msgspec.Struct, tag="gone"):
    """These machines are gone with all that was on them."""

    machines: list[str]


class Demand(msgspec.Struct, array_like=True):
    """Waiting tasks of one shape of a team."""

    team: str
    requirements: TaskRequirements
    zone: str | None
    count: int
    job_class: str


class MachineState(msgspec.Struct, array_like=True):
    """A machine as its part's owner sees it, for the fleet's owner."""

    name: str
    machine_type: str
    spot: bool
    used_cpus: float
    empty_s: float  # estimated seconds until its tasks have ended
    silent_s: float
    terminating: bool
    drained: bool  # given nothing more, and empty
    unhealthy: bool


class DrainRequest(msgspec.Struct, tag="drain"):
    """The fleet asks a part to give nothing more to machines that it will return."""

    zone: str
    machines: list[str]


class TeamUsage(msgspec.Struct, array_like=True):
    """What a team's tasks take; `urgent`: the part of it above standard urgency."""

    team: str
    cpus: float
    urgent_cpus: float
    over_guarantee_cpus: float


class Gossip(msgspec.Struct, tag="gossip"):
    """What every node tells every other one from time to time."""

    node: str
    state_age_s: float = msgspec.field(name="state_age")
    tokens: dict[str, int] = msgspec.field(name="owned")
    usage: list[TeamUsage] = []
    demand: list[Demand] = []
    machines: dict[str, list[MachineState]] = msgspec.field(default_factory=dict, name="boxes")
    progress: dict[str, tuple[int, int]] = {}
    addresses: dict[str, dict[str, str]] = msgspec.field(
        default_factory=dict, name="addrs"
    )  # from the fleet's owner: zone -> machine -> address
    blocked: list[Demand] = []  # of jobs that may not use spot machines: tasks soon to be released,
    placed: list[Demand] = []  # and tasks that have a machine


class RelayRequest(msgspec.Struct, tag="relay"):
    """A report taken on the owner's behalf from a worker that cannot reach the owner."""

    heartbeat: bytes = msgspec.field(name="report")


class RelayReply(msgspec.Struct, tag="relay_r"):
    """The owner's answer to a relayed report, to be passed on to the worker."""

    status: int
    body: bytes


class ForwardRequest(msgspec.Struct, tag="forward"):
    """A user's request taken by a node that the state service does not serve, for one that it does."""

    method: str
    target: str
    body: bytes


class ForwardReply(msgspec.Struct, tag="forward_r"):
    """The answer to a forwarded request, to be passed on to the user; `after`: the Retry-After header."""

    status: int
    body: bytes
    retry_after_s: int | None = msgspec.field(name="after")


class Acknowledged(msgspec.Struct, tag="ok"):
    """The request was carried out; there is nothing to tell."""


class Refused(msgspec.Struct, tag="no"):
    """The receiver is not in a position to answer (not the owner, stale token)."""

    reason: str = msgspec.field(name="why")


Body = (
    CapacityInquiry
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
    """`call` > 0: a request; < 0: the reply to request -call; 0: no reply wanted.

    `incarnation` names the sender's process, `number` counts its messages.
    """

    sender: str
    incarnation: int
    number: int
    call: int
    body: Body


MAX_FRAME = 4 * 1024 * 1024
envelope_decoder = msgspec.msgpack.Decoder(Envelope)
envelope_encoder = msgspec.msgpack.Encoder()
