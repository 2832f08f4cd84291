"""Received gossip: which component learns what from it."""

from __future__ import annotations

from tealhook.context import NodeContext
from tealhook.coordination import Ownership
from tealhook.gossip.fleet_inputs import FleetInputs
from tealhook.gossip.peer_states import PeerStates
from tealhook.jobs import JobIndex
from tealhook.partitions import PartitionManager
from tealhook.wire import mesh as wire


class GossipReceiver:
    """Gives the components of a controller what the gossip of all controllers contains for them."""

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
        """`progress`: of active jobs, for answers to users; kept up to date here."""
        self._context = context
        self._ownership = ownership
        self._job_index = job_index
        self._partition_manager = partition_manager
        self._peers = peers
        self._fleet_inputs = fleet_inputs
        self._progress = progress

    def receive(self, gossip: wire.Gossip) -> None:
        """Take in the gossip of a node, which may be this one.

        The mesh has dropped what is older than an earlier one.
        """
        now = self._context.effects.now()
        self._fleet_inputs.store(gossip, now)
        if gossip.node != self._context.node:
            self._peers.served_at[gossip.node] = now - gossip.state_age_s
            self._ownership.merge_peer_tokens(gossip.node, gossip.tokens)
        partitions = self._partition_manager.partitions
        for zone, addresses in gossip.addresses.items():
            if zone in partitions:
                partitions[zone].announce_token(addresses)
        for job, progress in gossip.progress.items():
            if job in self._job_index.active:
                self._progress[job] = progress
        for usage in gossip.usage:
            self._partition_manager.over_guarantee_cpus_by_team[usage.team] = usage.over_guarantee_cpus
