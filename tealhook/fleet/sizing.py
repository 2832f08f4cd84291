"""How many CPUs the fleet has, and how many are wanted: figures alone, nothing is asked of anybody here."""

from __future__ import annotations

from dataclasses import dataclass, field

from tealhook.fleet.demand import DemandHistory, Horizon, NonSpotDemand, backlog_cpus, machine_cpus
from tealhook.wire.cloud import MachineType
from tealhook.wire.mesh import Demand, MachineState, TeamUsage

GOING_ON = 0.75  # of the CPUs taken now that stay taken over the horizon


@dataclass
class FleetView:
    """What all nodes tell: machines by name, what runs, what waits."""

    machine_states: dict[str, MachineState] = field(default_factory=dict)
    usage: list[TeamUsage] = field(default_factory=list)
    demand: list[Demand] = field(default_factory=list)
    non_spot: NonSpotDemand = field(default_factory=NonSpotDemand)


@dataclass
class Supply:
    """CPUs of the machines that count."""

    up_cpus: float = 0.0
    starting_cpus: float = 0.0
    spot_cpus: float = 0.0
    free_non_spot_cpus: float = 0.0  # free ones of ordinary machines
    non_spot_cpus: float = 0.0  # all of ordinary machines

    @property
    def total_cpus(self) -> float:
        """CPUs that are up or on their way."""
        return self.up_cpus + self.starting_cpus


@dataclass
class CapacityNeed:
    """CPUs that are taken, and those that would work off in time what waits."""

    non_spot_demand: list[Demand]  # what may not use spot machines
    non_spot_cpus: float  # of ordinary machines, for what may use no others
    used_cpus: float
    urgent_cpus: float
    waiting_cpus: float


@dataclass
class Shortage:
    """CPUs to be rented: `urgent_cpus` of them even on dear machines; `demand` decides which kinds are of use."""

    missing_cpus: float
    urgent_cpus: float
    demand: list[Demand]


def estimate_need(machine_types: dict[str, MachineType], view: FleetView, horizon: Horizon) -> CapacityNeed:
    """What the work needs that runs and waits."""
    # Ordinary machines for what may use no others, also before the jobs that it waits for are done. Others' tasks
    # on them yield to it, so what counts is how many there are, not how many are free.
    steady = [item for item in view.demand if not item.requirements.allows_spot]
    kept = sum(machine_cpus(machine_types, item) for item in view.non_spot.placed)
    kept += sum(backlog_cpus(machine_types, item, horizon) for item in [*view.non_spot.blocked, *steady])
    return CapacityNeed(
        steady,
        kept,
        used_cpus=sum(item.cpus for item in view.usage),
        urgent_cpus=sum(item.urgent_cpus for item in view.usage),
        waiting_cpus=sum(backlog_cpus(machine_types, item, horizon) for item in view.demand),
    )


def urgent_backlog_cpus(machine_types: dict[str, MachineType], demand: list[Demand], horizon: Horizon) -> float:
    """CPUs without which waiting work would miss its objectives: they are worth a dear machine.

    The rest of what is asked for is capacity to be early; that pays only where machines are cheap.
    """
    return sum(backlog_cpus(machine_types, item, horizon, late=item.requirements.allows_spot) for item in demand)


def find_shortages(
    machine_types: dict[str, MachineType],
    view: FleetView,
    horizon: Horizon,
    need: CapacityNeed,
    supply: Supply,
    ready: float,
    history: DemandHistory,
) -> list[Shortage]:
    """What is wanted beyond what is up and coming, in the order in which it is to be rented.

    `ready`: CPUs that are to be up or coming whatever is taken.
    """
    lasting = min(history.lasting_wait, need.waiting_cpus)
    # What is taken now frees within the horizon too: only part of it goes on, and what usually comes.
    going_on = max(history.mean, GOING_ON * need.used_cpus)
    target = max(ready, going_on + need.waiting_cpus if lasting > 0 else 0.0)
    missing = target - supply.up_cpus - supply.starting_cpus
    urgent = max(ready, going_on + urgent_backlog_cpus(machine_types, view.demand, horizon) if lasting > 0 else 0.0)
    urgent_missing = urgent - supply.up_cpus - supply.starting_cpus
    if lasting > 0 and not supply.starting_cpus:
        # What is up can't serve it: its capacity is of the wrong kind or fragmented.
        missing, urgent_missing = max(missing, 1.0), max(urgent_missing, 1.0)
    # What may not go to spot machines has the others to itself, and is not helped by spot machines.
    short = sum(backlog_cpus(machine_types, item, horizon) for item in need.non_spot_demand) - supply.free_non_spot_cpus
    found: list[Shortage] = []
    if short > 0 and lasting > 0:
        found.append(Shortage(short, short, need.non_spot_demand))
    if need.non_spot_cpus > supply.non_spot_cpus:
        ahead = need.non_spot_cpus - supply.non_spot_cpus
        found.append(Shortage(ahead, ahead, [*view.non_spot.blocked, *need.non_spot_demand]))
    if missing > 0:
        found.append(Shortage(missing, urgent_missing, view.demand))
    return found
