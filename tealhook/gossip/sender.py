"""Sent gossip: what this controller tells all others, and the fleet's owner in particular."""

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
    """The components whose state gossip describes."""

    ownership: Ownership
    store: StateClient
    partition_manager: PartitionManager
    team_scheduler: TeamScheduler
    fleet_manager: FleetManager


class GossipSender:
    """Sends gossip, and has the fleet planned where this controller owns it."""

    def __init__(
        self,
        context: NodeContext,
        mesh: Mesh,
        sources: GossipSources,
        receiver: GossipReceiver,
        fleet_inputs: FleetInputs,
    ) -> None:
        """`receiver` takes this controller's own gossip, `fleet_inputs` has that of all."""
        self._effects = context.effects
        self._mesh = mesh
        self._sources = sources
        self._receiver = receiver
        self._fleet_inputs = fleet_inputs

    def send(self) -> None:
        """Send gossip to every controller, this one included; the fleet's owner is told demand and machines as well."""
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
            self._plan_fleet(now)

    def _compose(self, now: float) -> tuple[wire.Gossip, wire.Gossip]:
        """What every controller is told, and the same with what only the fleet's owner is told."""
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

    def _plan_fleet(self, now: float) -> None:
        snapshot = self._fleet_inputs.snapshot(now)
        self._sources.fleet_manager.scale(
            snapshot.machines, snapshot.usage, snapshot.demand, snapshot.zones, snapshot.non_spot_demand
        )
