"""Periodic status messages between controllers (gossip): what is sent, and what is done with those received."""

from __future__ import annotations

from tealhook.context import NodeContext
from tealhook.coordination import FLEET_KEY, Ownership, partition_key, team_key
from tealhook.fleet import FleetManager
from tealhook.fleet.demand import OrdinaryDemand
from tealhook.jobs import JobIndex
from tealhook.mesh import Mesh
from tealhook.partitions import PartitionManager
from tealhook.scheduling.team_scheduler import TeamScheduler
from tealhook.state_store import StateClient
from tealhook.wire import mesh as wire

USAGE_LEASES = 4.0  # the newest gossip of a team's owner counts for this many leases, while it owns the team's home


class PeerStates:
    """From which peers a message came lately, and which of them the state service answers."""

    def __init__(self, context: NodeContext, mesh: Mesh) -> None:
        """Gossip goes out twice per heartbeat period."""
        self._effects = context.effects
        self._mesh = mesh
        self._report_s = context.workers.report_s
        self.served_at: dict[str, float] = {}  # peer -> when the state service last served it

    def is_reachable(self, node: str) -> bool:
        """Whether a message of the peer came lately. Only a hint for choosing a peer: silence proves nothing."""
        heard = self._mesh.heard.get(node, -1e9)
        return node == self._mesh.node or self._effects.now() - heard < 2 * self._report_s


class GossipExchange:
    """Sends this node's gossip, and gives the parts of a controller what the others' gossip contains for them."""

    def __init__(
        self,
        context: NodeContext,
        ownership: Ownership,
        store: StateClient,
        mesh: Mesh,
        job_index: JobIndex,
        partition_manager: PartitionManager,
        team_scheduler: TeamScheduler,
        fleet: FleetManager,
        peers: PeerStates,
        progress: dict[str, tuple[int, int]],
    ) -> None:
        """`progress`: tasks done and running of each active job, for answers to users; kept up to date here."""
        self._effects = context.effects
        self._workers = context.workers
        self._ownership = ownership
        self._store = store
        self._mesh = mesh
        self._job_index = job_index
        self._partition_manager = partition_manager
        self._team_scheduler = team_scheduler
        self._fleet = fleet
        self._peers = peers
        self._progress = progress
        self._gossip: dict[str, tuple[float, wire.Gossip]] = {}  # node -> when its newest came, and what it says

    def send(self) -> None:
        """Send every node our ownership, usage and progress, and the fleet's owner our demand and machines as well."""
        now = self._effects.now()
        fleet = self._ownership.owner(FLEET_KEY)
        progress = self._team_scheduler.progress()
        usage = self._team_scheduler.usage()
        demand = self._team_scheduler.demand()
        blocked, placed = self._team_scheduler.ordinary_demand()
        machines = {zone: part.machine_states() for zone, part in self._partition_manager.partitions.items()}
        age = now - self._store.answered_at
        addrs = self._fleet.addresses()
        holdings = self._ownership.own_tokens()
        for peer in (*self._mesh.peers, self._mesh.node):
            theirs = {
                zone: names for zone, names in addrs.items() if self._ownership.owner(partition_key(zone)) == peer
            }
            body = wire.Gossip(
                self._mesh.node,
                age,
                holdings,
                usage,
                demand if peer == fleet else [],
                machines if peer == fleet else {},
                progress,
                theirs,
                blocked if peer == fleet else [],
                placed if peer == fleet else [],
            )
            if peer == self._mesh.node:
                self.receive(body)
            else:
                self._mesh.send(peer, body)
        if fleet == self._mesh.node:
            self._plan_fleet(now)

    def receive(self, body: wire.Gossip) -> None:
        """Store the gossip of a node, which may be this one. The mesh has dropped what is older than an earlier one."""
        now = self._effects.now()
        self._gossip[body.node] = (now, body)
        if body.node != self._mesh.node:
            self._peers.served_at[body.node] = now - body.state_age_s
            self._ownership.learn_tokens(body.node, body.tokens)
        for zone, names in body.addresses.items():
            if zone in self._partition_manager.partitions:
                self._partition_manager.partitions[zone].announce_token(names)
        for job, counts in body.progress.items():
            if job in self._job_index.active:
                self._progress[job] = (counts[0], counts[1])
        for item in body.usage:
            self._partition_manager.over_guarantee[item.team] = item.over_guarantee_cpus

    def _plan_fleet(self, now: float) -> None:
        """Plan the fleet from the gossip of all nodes: each machine by its newest report, each team once."""
        machines: dict[str, wire.MachineState] = {}
        zones: set[str] = set()
        usage: list[wire.TeamUsage] = []
        demand: list[wire.Demand] = []
        ordinary_for = OrdinaryDemand()
        for at, body in self._gossip.values():
            if now - at > USAGE_LEASES * self._workers.lease_s:
                continue
            # After a takeover the earlier owner's gossip is still stored: counting both would rent for a team twice.
            usage.extend(u for u in body.usage if self._ownership.owner(team_key(u.team)) == body.node)
            for found, told in (
                (demand, body.demand),
                (ordinary_for.blocked, body.blocked),
                (ordinary_for.placed, body.placed),
            ):
                found.extend(d for d in told if self._ownership.owner(team_key(d.team)) == body.node)
            if now - at > self._workers.lease_s / 2:
                continue  # machine states this old are wrong; demand is kept, for its owner may only be cut off from us
            for zone, states in body.machines.items():
                zones.add(zone)
                for state in states:
                    known = machines.get(state.name)
                    if known is None or state.silent_s < known.silent_s:
                        machines[state.name] = state
        self._fleet.plan(machines, usage, demand, zones, ordinary_for)
