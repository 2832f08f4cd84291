"""Dispatch of messages from other controllers, and from this one to itself, to the components of this controller."""

from __future__ import annotations

from tealhook.fleet import FleetManager
from tealhook.gossip import GossipReceiver
from tealhook.http import Request, RequestHandler
from tealhook.mesh import MessageReply
from tealhook.partitions import PartitionManager
from tealhook.partitions.partition import Partition
from tealhook.scheduling import TeamScheduler
from tealhook.wire import mesh as wire


class MeshHandler:
    """Dispatcher that passes each message to the component that handles it."""

    def __init__(
        self,
        gossip_receiver: GossipReceiver,
        team_scheduler: TeamScheduler,
        partition_manager: PartitionManager,
        fleet_manager: FleetManager,
        on_user_request: RequestHandler,
    ) -> None:
        """Initialize; `on_user_request` handles users' requests that peers forward to this node."""
        self._gossip_receiver = gossip_receiver
        self._team_scheduler = team_scheduler
        self._partition_manager = partition_manager
        self._fleet_manager = fleet_manager
        self._on_user_request = on_user_request

    def on_message(self, _sender: str, body: wire.Body, reply: MessageReply, /) -> None:
        """Handle a message; a request is answered by `reply`, immediately, later or never."""
        match body:
            case wire.Gossip():
                self._gossip_receiver.receive(body)
            case wire.StatusUpdate():
                self._team_scheduler.on_status_update(body)
            case wire.MachinesReleased(machines=machines):
                for name in machines:
                    self._partition_manager.remove_machine(name)
                self._team_scheduler.on_machines_released(machines)
            case wire.FenceRequest(machines=machines):
                self._fleet_manager.fence(machines)
            case wire.RelayRequest(heartbeat=heartbeat):
                self._on_relayed_heartbeat(heartbeat, reply)
            case wire.ForwardRequest():
                self._on_forwarded_request(body, reply)
            case wire.PartitionRequest():
                self._on_partition_request(body, reply)
            case _:
                reply(wire.Refused("not a request"))

    def _on_relayed_heartbeat(self, heartbeat: bytes, reply: MessageReply) -> None:
        """Handle the heartbeat of a worker that cannot reach this node directly."""

        def answer(status: int, body: bytes = b"{}", _retry_after_s: int | None = None) -> None:
            reply(wire.RelayReply(status, body))

        self._partition_manager.on_heartbeat(heartbeat, answer, relayed=True)

    def _on_forwarded_request(self, forwarded: wire.ForwardRequest, reply: MessageReply) -> None:
        """Handle a user's request that arrived at a node that the state store does not serve."""
        request = Request(forwarded.method, forwarded.target, {}, True)
        request.body = forwarded.body

        def answer(status: int, body: bytes = b"{}", retry_after_s: int | None = None) -> None:
            reply(wire.ForwardReply(status, body, retry_after_s))

        self._on_user_request(request, answer)

    def _on_partition_request(self, body: wire.PartitionRequest, reply: MessageReply) -> None:
        """Handle a message to the owner of a partition; refuse it if this node no longer is the owner."""
        partition = self._partition_manager.partitions.get(body.zone)
        if partition is None:
            reply(wire.Refused("not the owner"))
            return
        match body:
            case wire.CapacityRequest():
                reply(partition.inquire(body.requirements, body.restrictions))
            case wire.ReserveRequest():
                reply(partition.reserve(body))
            case wire.LaunchRequest():
                reply(_launch(partition, body))
            case wire.ReconcileRequest():
                reply(partition.reconcile(body))
                partition.publish_requested(body)
            case wire.StopRequest():
                partition.stop(body)
            case wire.DrainRequest():
                partition.set_drained_machines(body.machines)


def _launch(partition: Partition, request: wire.LaunchRequest) -> wire.LaunchReply:
    """Start tasks on reservations, unless these were made under another fencing token.

    The ids of reservations are unique only among those made under one token.
    """
    if request.token == partition.token:
        return partition.launch(request)
    return wire.LaunchReply(partition.token, 0, [start.reservation_id for start in request.starts])
