"""Gossip: periodic messages that carry the state of each controller to all others."""

from tealhook.gossip.fleet_inputs import FleetInputs
from tealhook.gossip.peer_states import PeerStates
from tealhook.gossip.receiver import GossipReceiver
from tealhook.gossip.sender import GossipSender, GossipSources

__all__ = ["FleetInputs", "GossipReceiver", "GossipSender", "GossipSources", "PeerStates"]
