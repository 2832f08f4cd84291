"""How many CPUs the fleet has, and how many are wanted: figures alone, nothing is asked of anybody here."""

from __future__ import annotations

from dataclasses import dataclass, field

from tealhook.fleet.demand import DemandHistory, Horizon, OrdinaryDemand, backlog_cpus, machine_cpus
from tealhook.wire.cloud import MachineType
from tealhook.wire.mesh import Demand, MachineState, TeamUsage

GOING_ON = 0.75  # of the CPUs taken now that stay taken over the horizon


@dataclass
class FleetView:
    """What all nodes tell: machines by name, what runs, what waits."""

    states: dict[str, MachineState] = field(default_factory=dict)
    usage: list[TeamUsage] = field(default_factory=list)
    demand: list[Demand] = field(default_factory=list)
    ordinary_for: OrdinaryDemand = field(default_factory=OrdinaryDemand)


@dataclass
class Supply:
    """CPUs of the machines that count."""

    up: float = 0.0
    coming: float = 0.0
    spot: float = 0.0
    ordinary: float = 0.0  # free ones of ordinary machines
    whole: float = 0.0  # all of ordinary machines

    @property
    def total(self) -> float:
        """CPUs that are up or on their way."""
        return self.up + self.coming


@dataclass
class Need:
    """CPUs that are taken, and those that would work off in time what waits."""

    steady: list[Demand]  # what may not use spot machines
    kept: float  # of ordinary machines, for what may use no others
    used: float
    urgent: float
    waiting: float


@dataclass
class Shortage:
    """CPUs to be rented: `pressing` ones even on dear machines; `demand` decides which kinds are of use."""

    missing: float
    pressing: float
    demand: list[Demand]


def find_need(types: dict[str, MachineType], view: FleetView, horizon: Horizon) -> Need:
    """What the work needs that runs and waits."""
    # Ordinary machines for what may use no others, also before the jobs that it waits for are done. Others' tasks
    # on them yield to it, so what counts is how many there are, not how many are free.
    steady = [item for item in view.demand if not item.requirements.allows_spot]
    kept = sum(machine_cpus(types, item) for item in view.ordinary_for.placed)
    kept += sum(backlog_cpus(types, item, horizon) for item in [*view.ordinary_for.blocked, *steady])
    return Need(
        steady,
        kept,
        used=sum(item.cpus for item in view.usage),
        urgent=sum(item.urgent_cpus for item in view.usage),
        waiting=sum(backlog_cpus(types, item, horizon) for item in view.demand),
    )


def pressing_cpus(types: dict[str, MachineType], demand: list[Demand], horizon: Horizon) -> float:
    """CPUs without which waiting work would miss its objectives: they are worth a dear machine.

    The rest of what is asked for is room to be early; that pays only where machines are cheap.
    """
    return sum(backlog_cpus(types, item, horizon, late=item.requirements.allows_spot) for item in demand)


def find_shortages(
    types: dict[str, MachineType],
    view: FleetView,
    horizon: Horizon,
    need: Need,
    supply: Supply,
    ready: float,
    history: DemandHistory,
) -> list[Shortage]:
    """What is wanted beyond what is up and coming, in the order in which it is to be rented.

    `ready`: CPUs that are to be up or coming whatever is taken.
    """
    lasting = min(history.lasting, need.waiting)
    # What is taken now frees within the horizon too: only part of it goes on, and what usually comes.
    going_on = max(history.mean, GOING_ON * need.used)
    target = max(ready, going_on + need.waiting if lasting > 0 else 0.0)
    missing = target - supply.up - supply.coming
    urgent = max(ready, going_on + pressing_cpus(types, view.demand, horizon) if lasting > 0 else 0.0)
    pressing = urgent - supply.up - supply.coming
    if lasting > 0 and not supply.coming:
        # What is up can't serve it: its room is of the wrong kind or in pieces.
        missing, pressing = max(missing, 1.0), max(pressing, 1.0)
    # What may not go to spot machines has the others to itself, and is not helped by spot machines.
    short = sum(backlog_cpus(types, item, horizon) for item in need.steady) - supply.ordinary
    found: list[Shortage] = []
    if short > 0 and lasting > 0:
        found.append(Shortage(short, short, need.steady))
    if need.kept > supply.whole:
        ahead = need.kept - supply.whole
        found.append(Shortage(ahead, ahead, [*view.ordinary_for.blocked, *need.steady]))
    if missing > 0:
        found.append(Shortage(missing, pressing, view.demand))
    return found
