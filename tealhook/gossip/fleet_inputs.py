"""The inputs of the fleet manager, combined from the newest gossip of every controller."""

from __future__ import annotations

from dataclasses import dataclass, field

from tealhook.context import NodeContext
from tealhook.coordination import Ownership, team_key
from tealhook.fleet.demand import NonSpotDemand
from tealhook.wire import mesh as wire

# Ages of gossip, in worker leases, up to which its contents are used.
MAX_DEMAND_AGE_LEASES = 4.0
MAX_MACHINES_AGE_LEASES = 0.5


@dataclass(slots=True)
class FleetSnapshot:
    """The machines and the demand that all controllers report; each machine and each team is counted once."""

    machines: dict[str, wire.MachineState] = field(default_factory=dict)
    usage: list[wire.TeamUsage] = field(default_factory=list)
    demand: list[wire.Demand] = field(default_factory=list)
    zones: set[str] = field(default_factory=set)
    non_spot_demand: NonSpotDemand = field(default_factory=NonSpotDemand)


class FleetInputs:
    """The newest gossip of each controller, which is combined for the fleet manager."""

    def __init__(self, context: NodeContext, ownership: Ownership) -> None:
        """Initialize without any gossip; `ownership` names the controller whose report on a team counts."""
        self._ownership = ownership
        self._max_demand_age_s = MAX_DEMAND_AGE_LEASES * context.workers.lease_s
        self._max_machines_age_s = MAX_MACHINES_AGE_LEASES * context.workers.lease_s
        self._newest_gossip: dict[str, tuple[float, wire.Gossip]] = {}  # node -> (time of arrival, newest gossip)

    def store(self, gossip: wire.Gossip, now: float) -> None:
        """Store the newest gossip of a controller."""
        self._newest_gossip[gossip.node] = (now, gossip)

    def snapshot(self, now: float) -> FleetSnapshot:
        """Combine the gossip of all controllers.

        A machine that several controllers report is taken from the report of its newest heartbeat, and a team from the
        report of its owner.
        """
        snapshot = FleetSnapshot()
        for received_at, gossip in self._newest_gossip.values():
            age_s = now - received_at
            if age_s > self._max_demand_age_s:
                continue
            self._add_demand(snapshot, gossip)
            # Machine states are soon outdated. Demand is used longer: its owner may only be cut off from this node.
            if age_s <= self._max_machines_age_s:
                _add_machines(snapshot, gossip)
        return snapshot

    def _add_demand(self, snapshot: FleetSnapshot, gossip: wire.Gossip) -> None:
        """Add the usage and the demand of the teams that the sender of the gossip owns.

        After a failover the gossip of the previous owner is still stored; with both, machines would be rented for a
        team twice.
        """
        owner, node = self._ownership.owner, gossip.node
        snapshot.usage.extend(usage for usage in gossip.usage if owner(team_key(usage.team)) == node)
        for combined, received in (
            (snapshot.demand, gossip.demand),
            (snapshot.non_spot_demand.blocked, gossip.blocked),
            (snapshot.non_spot_demand.placed, gossip.placed),
        ):
            combined.extend(demand for demand in received if owner(team_key(demand.team)) == node)


def _add_machines(snapshot: FleetSnapshot, gossip: wire.Gossip) -> None:
    for zone, states in gossip.machines.items():
        snapshot.zones.add(zone)
        for state in states:
            known = snapshot.machines.get(state.name)
            if known is None or state.heartbeat_age_s < known.heartbeat_age_s:
                snapshot.machines[state.name] = state
