"""What the fleet manager plans from: the newest gossip of every controller."""

from __future__ import annotations

from dataclasses import dataclass, field

from tealhook.context import NodeContext
from tealhook.coordination import Ownership, team_key
from tealhook.fleet.demand import NonSpotDemand
from tealhook.wire import mesh as wire

MAX_DEMAND_AGE_LEASES = 4.0  # gossip of a team's owner counts so long, while it owns the team's scheduler
MAX_MACHINES_AGE_LEASES = 0.5


@dataclass(slots=True)
class FleetSnapshot:
    """The machines and the demand of all controllers, each machine and each team once."""

    machines: dict[str, wire.MachineState] = field(default_factory=dict)
    usage: list[wire.TeamUsage] = field(default_factory=list)
    demand: list[wire.Demand] = field(default_factory=list)
    zones: set[str] = field(default_factory=set)
    non_spot_demand: NonSpotDemand = field(default_factory=NonSpotDemand)


class FleetInputs:
    """Stores the newest gossip of each controller."""

    def __init__(self, context: NodeContext, ownership: Ownership) -> None:
        """`ownership` says which controller speaks for a team."""
        self._ownership = ownership
        self._max_demand_age_s = MAX_DEMAND_AGE_LEASES * context.workers.lease_s
        self._max_machines_age_s = MAX_MACHINES_AGE_LEASES * context.workers.lease_s
        self._newest: dict[str, tuple[float, wire.Gossip]] = {}  # node -> when its newest gossip came, and that

    def store(self, gossip: wire.Gossip, now: float) -> None:
        """Store the newest gossip of a controller."""
        self._newest[gossip.node] = (now, gossip)

    def snapshot(self, now: float) -> FleetSnapshot:
        """Combine the gossip of all controllers: each machine by its newest heartbeat, each team once."""
        snapshot = FleetSnapshot()
        for received_at, gossip in self._newest.values():
            age_s = now - received_at
            if age_s > self._max_demand_age_s:
                continue
            self._add_demand(snapshot, gossip)
            # Older machine states are wrong; demand is kept, for its owner may only be cut off from us.
            if age_s <= self._max_machines_age_s:
                _add_machines(snapshot, gossip)
        return snapshot

    def _add_demand(self, snapshot: FleetSnapshot, gossip: wire.Gossip) -> None:
        """Add usage and demand of the teams that the controller owns.

        After a failover the earlier owner's gossip is still stored: counting both would rent for a team twice.
        """
        owner, node = self._ownership.owner, gossip.node
        snapshot.usage.extend(usage for usage in gossip.usage if owner(team_key(usage.team)) == node)
        for collected, received in (
            (snapshot.demand, gossip.demand),
            (snapshot.non_spot_demand.blocked, gossip.blocked),
            (snapshot.non_spot_demand.placed, gossip.placed),
        ):
            collected.extend(demand for demand in received if owner(team_key(demand.team)) == node)


def _add_machines(snapshot: FleetSnapshot, gossip: wire.Gossip) -> None:
    for zone, states in gossip.machines.items():
        snapshot.zones.add(zone)
        for state in states:
            earlier = snapshot.machines.get(state.name)
            if earlier is None or state.heartbeat_age_s < earlier.heartbeat_age_s:
                snapshot.machines[state.name] = state
