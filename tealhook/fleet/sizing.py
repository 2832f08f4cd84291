"""Supply of and need for CPUs, and the shortages that follow from them: calculations only, without any calls."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from tealhook.fleet.demand import (
    DemandHistory,
    Horizon,
    NonSpotDemand,
    backlog_cpus,
    is_usable,
    whole_machine_cpus,
)
from tealhook.fleet.machines import RentalOption
from tealhook.wire.cloud import MachineType
from tealhook.wire.common import RESOURCE_TOLERANCE
from tealhook.wire.mesh import Demand, MachineState, TeamUsage

CONTINUING_USE_SHARE = 0.75  # share of the CPUs in use now that stays in use over the planning horizon

MIN_SHORTAGE_CPUS = 1.0  # rents one machine


@dataclass
class FleetView:
    """The machines by name, and the running and waiting tasks, as gossiped by all nodes."""

    machine_states: dict[str, MachineState] = field(default_factory=dict)
    usage: list[TeamUsage] = field(default_factory=list)
    demand: list[Demand] = field(default_factory=list)
    non_spot: NonSpotDemand = field(default_factory=NonSpotDemand)


class FreeMachine(NamedTuple):
    """A kind of machine, and the CPUs of one that are unused; all of them while it is starting."""

    option: RentalOption
    free_cpus: float


@dataclass
class Supply:
    """CPUs of the machines that can be relied on."""

    up_cpus: float = 0.0
    starting_cpus: float = 0.0
    spot_cpus: float = 0.0
    free_on_demand_cpus: float = 0.0  # unused CPUs of on-demand machines
    on_demand_cpus: float = 0.0  # all CPUs of on-demand machines
    free: Counter[FreeMachine] = field(default_factory=Counter)  # number of machines with equal free CPUs

    @property
    def total_cpus(self) -> float:
        """CPUs that are up or starting."""
        return self.up_cpus + self.starting_cpus


@dataclass
class CapacityNeed:
    """CPUs in use, and CPUs that finish the waiting work within its horizon."""

    non_spot_demand: list[Demand]  # waiting tasks that may not use spot machines
    on_demand_cpus: float  # of on-demand machines, for tasks that may not use spot machines
    used_cpus: float
    urgent_cpus: float
    waiting_cpus: float


@dataclass
class Shortage:
    """CPUs to be rented, `urgent_cpus` of them even on expensive machines; `demand` decides which are usable."""

    missing_cpus: float
    urgent_cpus: float
    demand: list[Demand]


def estimate_need(machine_types: dict[str, MachineType], view: FleetView, horizon: Horizon) -> CapacityNeed:
    """Return the CPUs that running and waiting work needs."""
    # On-demand machines for tasks that may not use spot machines are needed even before the jobs that they wait for
    # are done. Other tasks on these machines yield to them, so all of their CPUs count, not only the unused ones.
    non_spot_demand = [item for item in view.demand if not item.requirements.allows_spot]
    on_demand_cpus = sum(whole_machine_cpus(machine_types, item) for item in view.non_spot.placed)
    on_demand_cpus += sum(
        backlog_cpus(machine_types, item, horizon) for item in [*view.non_spot.blocked, *non_spot_demand]
    )
    return CapacityNeed(
        non_spot_demand,
        on_demand_cpus,
        used_cpus=sum(item.cpus for item in view.usage),
        urgent_cpus=sum(item.urgent_cpus for item in view.usage),
        waiting_cpus=sum(backlog_cpus(machine_types, item, horizon) for item in view.demand),
    )


def urgent_backlog_cpus(machine_types: dict[str, MachineType], demand: list[Demand], horizon: Horizon) -> float:
    """Return the CPUs without which waiting work would miss its objectives, worth renting on expensive machines.

    The rest of the need is for finishing work earlier than that, which is worth renting only cheap machines.
    """
    return sum(backlog_cpus(machine_types, item, horizon, late=item.requirements.allows_spot) for item in demand)


def find_shortages(
    machine_types: dict[str, MachineType],
    view: FleetView,
    horizon: Horizon,
    need: CapacityNeed,
    supply: Supply,
    ready_cpus: float,
    history: DemandHistory,
) -> list[Shortage]:
    """Return the CPUs that are needed beyond the supply, in the order in which they should be rented.

    `ready_cpus`: CPUs to be kept up or starting, whether they are used or not.
    """
    persistent_cpus = min(history.persistent_backlog_cpus, need.waiting_cpus)
    # CPUs in use become free within the horizon too. Only a share of them stays in use, or the mean use if that is
    # more: it stands for the work that usually arrives.
    continuing_cpus = max(history.mean_cpus, CONTINUING_USE_SHARE * need.used_cpus)
    target_cpus = max(ready_cpus, continuing_cpus + need.waiting_cpus if persistent_cpus > 0 else 0.0)
    missing_cpus = target_cpus - supply.up_cpus - supply.starting_cpus
    urgent_target_cpus = max(
        ready_cpus,
        continuing_cpus + urgent_backlog_cpus(machine_types, view.demand, horizon) if persistent_cpus > 0 else 0.0,
    )
    urgent_missing_cpus = urgent_target_cpus - supply.up_cpus - supply.starting_cpus
    if persistent_cpus > 0 and not supply.starting_cpus:
        # The machines that are up can't serve the backlog: their capacity is unsuitable or fragmented.
        missing_cpus = max(missing_cpus, MIN_SHORTAGE_CPUS)
        urgent_missing_cpus = max(urgent_missing_cpus, MIN_SHORTAGE_CPUS)
    # Spot machines don't help demand that may not use them, and on-demand machines are counted for it alone.
    missing_non_spot_cpus = (
        sum(backlog_cpus(machine_types, item, horizon) for item in need.non_spot_demand) - supply.free_on_demand_cpus
    )
    shortages = _single_zone_shortages(machine_types, view.demand, horizon, supply) if persistent_cpus > 0 else []
    if missing_non_spot_cpus > 0 and persistent_cpus > 0:
        shortages.append(Shortage(missing_non_spot_cpus, missing_non_spot_cpus, need.non_spot_demand))
    if need.on_demand_cpus > supply.on_demand_cpus:
        missing_on_demand_cpus = need.on_demand_cpus - supply.on_demand_cpus
        shortages.append(
            Shortage(missing_on_demand_cpus, missing_on_demand_cpus, [*view.non_spot.blocked, *need.non_spot_demand])
        )
    if missing_cpus > 0:
        shortages.append(Shortage(missing_cpus, urgent_missing_cpus, view.demand))
    return shortages


def _single_zone_shortages(
    machine_types: dict[str, MachineType], demand: list[Demand], horizon: Horizon, supply: Supply
) -> list[Shortage]:
    """Return the CPUs that are missing for tasks bound to one zone, where other zones' machines don't help.

    The total of all zones hides them: machines would be rented elsewhere for as long as other tasks wait.
    """
    shortages: list[Shortage] = []
    for item in demand:
        if item.zone is None:
            continue
        missing_cpus = backlog_cpus(machine_types, item, horizon) - _usable_cpus(machine_types, item, supply)
        if missing_cpus > 0:
            urgent_cpus = max(MIN_SHORTAGE_CPUS, urgent_backlog_cpus(machine_types, [item], horizon))
            shortages.append(Shortage(missing_cpus, min(missing_cpus, urgent_cpus), [item]))
    return shortages


def _usable_cpus(machine_types: dict[str, MachineType], demand: Demand, supply: Supply) -> float:
    """Return the unused CPUs that tasks of a demand can fill, on machines that they may use."""
    task_cpus = demand.requirements.vcpus
    usable_cpus = 0.0
    for (option, free_cpus), count in supply.free.items():
        if is_usable(machine_types[option.machine_type], option, demand):
            tasks = int((free_cpus + RESOURCE_TOLERANCE) / task_cpus) if task_cpus > 0 else demand.count
            usable_cpus += count * tasks * task_cpus
    return usable_cpus
