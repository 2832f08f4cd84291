"""Distribution of received gossip to the components of a controller."""

from __future__ import annotations

from tealhook.context import NodeContext
from tealhook.coordination import Ownership
from tealhook.gossip.fleet_inputs import FleetInputs
from tealhook.gossip.peer_states import PeerStates
from tealhook.jobs import JobIndex
from tealhook.partitions import PartitionManager
from tealhook.wire import mesh as wire


class GossipReceiver:
    """Distributor of the contents of gossip to the components that use them."""

    def __init__(
        self,
        context: NodeContext,
        ownership: Ownership,
        job_index: JobIndex,
        partition_manager: PartitionManager,
        peers: PeerStates,
        fleet_inputs: FleetInputs,
        progress: dict[str, wire.JobProgress],
    ) -> None:
        """Initialize; `progress` of active jobs, which answers to users show, is updated by `receive`."""
        self._context = context
        self._ownership = ownership
        self._job_index = job_index
        self._partition_manager = partition_manager
        self._peers = peers
        self._fleet_inputs = fleet_inputs
        self._progress = progress

    def receive(self, gossip: wire.Gossip) -> None:
        """Process the gossip of a node, which may be this one.

        The mesh has dropped gossip that is older than the newest one of its sender.
        """
        now = self._context.effects.now()
        self._fleet_inputs.store(gossip, now)
        if gossip.node != self._context.node:
            self._peers.store_answered_at[gossip.node] = now - gossip.state_age_s
            self._ownership.merge_peer_tokens(gossip.node, gossip.tokens)
        partitions = self._partition_manager.partitions
        for zone, addresses in gossip.addresses.items():
            if zone in partitions:
                partitions[zone].announce_token(addresses)
        for job_id, progress in gossip.progress.items():
            if job_id in self._job_index.active:
                self._progress[job_id] = progress
        for usage in gossip.usage:
            self._partition_manager.over_guarantee_cpus_by_team[usage.team] = usage.over_guarantee_cpus
