"""Messages of other controllers, and of this one to itself: which component each of them goes to."""

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
    """Hands each message to the component that it concerns."""

    def __init__(
        self,
        gossip: GossipReceiver,
        team_scheduler: TeamScheduler,
        partition_manager: PartitionManager,
        fleet_manager: FleetManager,
        on_user_request: RequestHandler,
    ) -> None:
        """`on_user_request` decides users' requests that another controller could not."""
        self._gossip = gossip
        self._team_scheduler = team_scheduler
        self._partition_manager = partition_manager
        self._fleet_manager = fleet_manager
        self._on_user_request = on_user_request

    def on_message(self, _sender: str, body: wire.Body, reply: MessageReply, /) -> None:
        """Handle a message; requests are answered by `reply`, at once, later or never."""
        match body:
            case wire.Gossip():
                self._gossip.receive(body)
            case wire.StatusUpdate():
                self._team_scheduler.on_status_update(body)
            case wire.MachinesReleased(machines=machines):
                for name in machines:
                    self._partition_manager.remove_machine(name)
                self._team_scheduler.on_machines_released(machines)
            case wire.FenceRequest(machines=machines):
                self._fleet_manager.fence(machines)
            case wire.RelayRequest(heartbeat=heartbeat):
                self._on_relayed(heartbeat, reply)
            case wire.ForwardRequest():
                self._on_forwarded(body, reply)
            case wire.PartitionRequest():
                self._on_partition_request(body, reply)
            case _:
                reply(wire.Refused("not a request"))

    def _on_relayed(self, heartbeat: bytes, reply: MessageReply) -> None:
        """Handle the heartbeat of a worker that can't reach this node."""

        def answer(status: int, body: bytes = b"{}", _retry_after_s: int | None = None) -> None:
            reply(wire.RelayReply(status, body))

        self._partition_manager.on_heartbeat(heartbeat, answer, relayed=True)

    def _on_forwarded(self, forwarded: wire.ForwardRequest, reply: MessageReply) -> None:
        """Handle a user's request that was sent to a node that the state service does not serve."""
        request = Request(forwarded.method, forwarded.target, {}, True)
        request.body = forwarded.body

        def answer(status: int, body: bytes = b"{}", retry_after_s: int | None = None) -> None:
            reply(wire.ForwardReply(status, body, retry_after_s))

        self._on_user_request(request, answer)

    def _on_partition_request(self, body: wire.PartitionRequest, reply: MessageReply) -> None:
        """Handle a message to the owner of a partition, which this node may be no more."""
        partition = self._partition_manager.partitions.get(body.zone)
        if partition is None:
            reply(wire.Refused("not the owner"))
            return
        match body:
            case wire.CapacityRequest():
                reply(partition.inquire(body.requirements))
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
    """Start tasks on reservations. They are numbered per owner: one made under another token is refused."""
    if request.token == partition.token:
        return partition.launch(request)
    return wire.LaunchReply(partition.token, 0, [start.reservation_id for start in request.starts])
