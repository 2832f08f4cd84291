"""Composition and sending of gossip to all controllers, with more details for the fleet's owner."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from tealhook.context import NodeContext
from tealhook.coordination import FLEET_KEY, Ownership, partition_key
from tealhook.fleet import FleetManager
from tealhook.gossip.fleet_inputs import FleetInputs
from tealhook.gossip.receiver import GossipReceiver
from tealhook.mesh import Mesh
from tealhook.partitions import PartitionManager
from tealhook.scheduling.team_scheduler import TeamScheduler
from tealhook.state_store import StateClient
from tealhook.wire import mesh as wire


@dataclass(frozen=True, slots=True)
class GossipSources:
    """The components whose state is sent as gossip."""

    ownership: Ownership
    store: StateClient
    partition_manager: PartitionManager
    team_scheduler: TeamScheduler
    fleet_manager: FleetManager


class GossipSender:
    """Sender of gossip, which also scales the fleet if this controller owns it."""

    def __init__(
        self,
        context: NodeContext,
        mesh: Mesh,
        sources: GossipSources,
        receiver: GossipReceiver,
        fleet_inputs: FleetInputs,
    ) -> None:
        """Initialize; `receiver` takes the gossip of this controller itself, `fleet_inputs` holds that of all."""
        self._effects = context.effects
        self._mesh = mesh
        self._sources = sources
        self._receiver = receiver
        self._fleet_inputs = fleet_inputs

    def send(self) -> None:
        """Send gossip to every controller, including this one; only the fleet's owner gets demand and machines.

        If this controller owns the fleet, scale it afterwards.
        """
        now = self._effects.now()
        ownership = self._sources.ownership
        fleet_owner = ownership.owner(FLEET_KEY)
        common, detailed = self._compose(now)
        addresses = self._sources.fleet_manager.addresses()
        for peer in (*self._mesh.peers, self._mesh.node):
            gossip = msgspec.structs.replace(
                detailed if peer == fleet_owner else common,
                addresses={
                    zone: machines
                    for zone, machines in addresses.items()
                    if ownership.owner(partition_key(zone)) == peer
                },
            )
            if peer == self._mesh.node:
                self._receiver.receive(gossip)
            else:
                self._mesh.send(peer, gossip)
        if fleet_owner == self._mesh.node:
            self._scale_fleet(now)

    def _compose(self, now: float) -> tuple[wire.Gossip, wire.Gossip]:
        """Return the gossip for every controller, and the same with the details for the fleet's owner."""
        sources = self._sources
        progress = sources.team_scheduler.progress()
        usage = sources.team_scheduler.usage()
        demand = sources.team_scheduler.demand()
        blocked, placed = sources.team_scheduler.non_spot_demand()
        machines = {
            zone: partition.machine_states() for zone, partition in sources.partition_manager.partitions.items()
        }
        common = wire.Gossip(
            self._mesh.node,
            now - sources.store.last_answered_at,
            sources.ownership.own_tokens(),
            usage=usage,
            progress=progress,
        )
        detailed = msgspec.structs.replace(common, demand=demand, machines=machines, blocked=blocked, placed=placed)
        return common, detailed

    def _scale_fleet(self, now: float) -> None:
        """Rent and release machines on the basis of the gossip of all controllers."""
        snapshot = self._fleet_inputs.snapshot(now)
        self._sources.fleet_manager.scale(
            snapshot.machines, snapshot.usage, snapshot.demand, snapshot.zones, snapshot.non_spot_demand
        )
