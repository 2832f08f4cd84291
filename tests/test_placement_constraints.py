"""Placement constraints: a job is placed wherever its constraints allow it, whatever capacity other zones have."""

from collections.abc import Callable, Sequence

import pytest

from tealhook.fleet.demand import DemandHistory, Horizon
from tealhook.fleet.machines import RentalOption
from tealhook.fleet.sizing import FleetView, FreeMachine, Supply, estimate_need, find_shortages
from tealhook.jobs.attempt import Attempt
from tealhook.jobs.job_entry import JobEntry
from tealhook.partitions.machine import CapacityHold, Machine
from tealhook.scheduling.demand import TeamDemand
from tealhook.wire import mesh
from tealhook.wire.common import Resources
from tealhook.wire.users import JobSpec
from tests.simulated_cluster import SimulatedCluster
from tests.simulated_placement import MACHINE_TYPES, SimulatedPlacement
from tests.simulation.faults import machines_up
from tests.simulation.rules import MAX_WAIT_S

SINGLE_ZONE_JOB = {
    "undisturbed": True,
    "crew": "team-0",
    "urgency": "standard",
    "spread": False,
    "rigs": None,
    "loaners": True,
    "vcpus": 4.0,
    "pull_gb": 0.6,
    "playbook": "img-0",
    "together": True,
}


def _cluster_with_most_capacity_in_zb() -> SimulatedCluster:
    """Return a cluster in which one small task runs in each zone, on a larger machine in zone zb than in za."""
    cluster = SimulatedCluster(3, cpu_limit=64.0)
    for zone, machine_types in (("za", None), ("zb", ["large"])):
        small_task = {"vcpus": 0.5, "yard": zone, "rigs": machine_types, "together": False}
        cluster.submit(plays=1, expected_s=200.0, **(SINGLE_ZONE_JOB | small_task))
    cluster.run(60.0)
    cluster.cloud.capacity_per_pool = 0  # the cloud has no more machines
    assert {worker.zone for worker in machines_up(cluster)} == {"za", "zb"}
    return cluster


def test_job_of_one_zone_is_placed_although_another_zone_has_more_capacity():
    """Guards against a job with `yard` and `together` that waits for ever, since its zone was chosen without `yard`."""
    cluster = _cluster_with_most_capacity_in_zb()
    job = cluster.jobs[cluster.submit(plays=2, expected_s=5.0, yard="za", **SINGLE_ZONE_JOB)]
    cluster.run(30.0)
    assert job.started_at is not None


def test_job_of_one_zone_is_placed_again_after_it_lost_its_machine():
    """Guards against a job with `yard` and `together` that is never placed again once the cloud takes its machine."""
    cluster = _cluster_with_most_capacity_in_zb()
    [lost] = [worker for worker in machines_up(cluster) if worker.zone == "za"]
    job = cluster.jobs[cluster.submit(plays=1, expected_s=200.0, **(SINGLE_ZONE_JOB | {"vcpus": 0.5, "yard": "za"}))]
    cluster.run(20.0)
    assert job.started_at is not None
    cluster.cloud.capacity_per_pool = 2
    for _ in range(2):  # the second one needs another machine
        cluster.submit(plays=1, expected_s=200.0, **(SINGLE_ZONE_JOB | {"vcpus": 4.0, "yard": "za"}))
    cluster.run(25.0)
    others = [worker for worker in machines_up(cluster) if worker.zone == "za" and worker is not lost]
    cluster.cloud.capacity_per_pool = 0
    lost.announce_termination(4.0)
    cluster.run(4.0)
    cluster.cloud.remove(lost.name)
    cluster.run(30.0)
    assert job.task_ids()[0] in [task for worker in others for task, _attempt in worker.started_tasks()]


@pytest.mark.parametrize("first_seed", range(0, 200, 25))
def test_cycles_place_every_task_for_which_a_legal_placement_exists(first_seed):
    """Guards against choices by figures that leave out a constraint which a later stage of the cycle enforces."""
    for seed in range(first_seed, first_seed + 25):
        assert SimulatedPlacement(seed).find_left_waiting() == [], f"seed {seed}"


def _placement_on_only_machine() -> tuple[SimulatedPlacement, Machine]:
    """Return a placement without jobs, and its only machine, on which two tasks of 4 CPUs fit."""
    placement = SimulatedPlacement(1)
    placement.remove_all()
    return placement, placement.create_idle_machine("host-0", "za")


def _count_offered(change: Callable[[Machine], None], restrictions: mesh.MachineRestrictions) -> int:
    """Return the number of tasks that an inquiry finds room for on the only machine, after a change to it."""
    placement, machine = _placement_on_only_machine()
    change(machine)
    requirements = mesh.TaskRequirements(4.0, 0.0, 4.0, "", 0.0, False, (), 1, 5.0)
    [capacity] = placement.partitions["za"].inquire([requirements], [restrictions]).capacities
    return capacity.cached + capacity.uncached


def _hold(machine: Machine) -> None:
    machine.capacity_hold = CapacityHold("req-other", 1e9)


def test_inquiry_leaves_out_machines_that_the_job_avoids():
    """Guards against a job that awaits grants in the zone of a machine which it avoids, beside other empty machines."""
    offered = [
        _count_offered(lambda machine: None, mesh.MachineRestrictions(False, avoided))
        for avoided in ((), ("host-1",), ("host-0",))
    ]
    assert offered == [2, 2, 0]


def test_inquiry_leaves_out_machines_held_for_other_jobs():
    """Guards against a job that awaits grants in a zone whose free capacity is held for a starving job."""
    offered = [_count_offered(_hold, mesh.MachineRestrictions(may_use_held, ())) for may_use_held in (False, True)]
    assert offered == [0, 2]


def test_starving_job_uses_free_capacity_that_is_held_for_another_job():
    """Guards against a starving job that saw free capacity on held machines and was refused it in every cycle."""
    placement, machine = _placement_on_only_machine()
    _hold(machine)
    job = placement.add_job(JobSpec("req-000001", "x", "team-0", "array", "standard", 1, 4.0, 4.0), age_s=100.0)
    placement.start()
    placement.run()
    assert job.attempts


def _occupy(placement: SimulatedPlacement, zone: str, priority: str, expected_s: float) -> None:
    """Add a machine to a zone that a task of this priority, with this estimated run time, fills."""
    job_id = f"req-{zone}"
    spec = JobSpec(job_id, "x", "team-1", "array", priority, 1, 8.0, 4.0, estimated_run_s=expected_s)
    placement.job_index.active[job_id] = JobEntry(spec, "team-1", 1, placement.context.effects.wall())
    machine = placement.create_idle_machine(f"host-{zone}", zone)
    placement.start_task(machine, job_id, 0, 1, spec.resources, preemptible=True)


def test_job_that_may_preempt_does_so_in_whichever_zone_has_tasks_to_preempt():
    """Guards against an urgent job that awaits a task of its own priority, while one of low priority runs elsewhere."""
    placement = SimulatedPlacement(1)
    placement.remove_all()
    _occupy(placement, "za", "urgent", expected_s=5.0)
    _occupy(placement, "zb", "low", expected_s=50.0)
    job = placement.add_job(JobSpec("req-000001", "x", "team-0", "array", "urgent", 1, 4.0, 4.0, estimated_run_s=60.0))
    placement.teams["team-0"].cpu_limit = 0.0
    placement.start()
    placement.run()
    assert job.occupied_zones() == {"zb"}


def _demand_zones(changes: dict, occupied: Sequence[str] = ()) -> dict[str | None, int]:
    """Return the zones of the demand for a job of 6 tasks, and the tasks for each, with one task in each `occupied`."""
    placement = SimulatedPlacement(1)
    placement.remove_all()
    placement.teams["team-0"].cpu_limit = 0.0
    spec = JobSpec("req-000001", "x", "team-0", "array", "standard", 6, 4.0, 4.0, **changes)
    job = placement.add_job(spec)
    for index, zone in enumerate(occupied):
        job.attempts[index] = Attempt(index, 1, "host-0", 1, zone, 1, 0.0)
    demand = TeamDemand(placement.context, placement.job_index, placement.teams).waiting()
    return {item.zone: item.count for item in demand}


def test_demand_names_the_zones_in_which_waiting_tasks_may_run():
    """Guards against machines that are rented where the waiting tasks of a job in a single zone may not run."""
    assert _demand_zones({}) == {None: 6}
    assert _demand_zones({"zone": "za"}) == {"za": 6}
    assert _demand_zones({"single_zone": True}) == {None: 6}
    assert _demand_zones({"single_zone": True}, ["zb"]) == {"zb": 5}
    assert _demand_zones({"spread": True}, ["zb", "za"]) == {None: 4}
    assert _demand_zones({"spread": True}, ["zb"] * 3) == {"za": 3}


def test_demand_keeps_to_the_limit_on_gpus():
    """Guards against machines that are rented for tasks which their team's limit on GPUs does not allow."""
    placement = SimulatedPlacement(1)
    placement.remove_all()
    team = placement.teams["team-0"]
    team.cpu_limit, team.gpu_limit = 0.0, 2.0
    placement.add_job(JobSpec("req-000001", "x", "team-0", "array", "standard", 6, 4.0, 4.0, gpus=1.0))
    [demand] = TeamDemand(placement.context, placement.job_index, placement.teams).waiting()
    assert demand.count == 2


def _shortages(zone: str | None, free_cpus: dict[str, float]) -> list[float]:
    """Return the missing CPUs for a waiting task of 4 CPUs, with one machine for each zone in `free_cpus`."""
    placement = SimulatedPlacement(1)
    requirements = mesh.TaskRequirements(4.0, 0.0, 4.0, "", 0.0, True, (), 1, 100.0)
    view = FleetView(demand=[mesh.Demand("team-0", requirements, zone, 1, "x")])
    supply = Supply(up_cpus=8.0 * len(free_cpus), starting_cpus=8.0)
    for machine_zone, cpus in free_cpus.items():
        supply.free[FreeMachine(RentalOption("small", machine_zone, True), cpus)] += 1
    horizon, history = Horizon(placement.context.settings, 10.0), DemandHistory(10.0)
    need = estimate_need(MACHINE_TYPES, view, horizon)
    history.record(0.0, 0.0, 0.0, need.waiting_cpus, 1.0)
    found = find_shortages(MACHINE_TYPES, view, horizon, need, supply, 0.0, history)
    return [shortage.missing_cpus for shortage in found]


def test_free_capacity_of_other_zones_hides_no_shortage():
    """Guards against a job bound to one zone for which no machine is rented, since other zones have free capacity."""
    assert _shortages("za", {"zb": 8.0, "za": 2.0}) == [4.0]
    assert _shortages("za", {"za": 4.0}) == []
    assert _shortages(None, {"zb": 8.0}) == []


def _hold_for_task(vcpus: float) -> CapacityHold | None:
    """Return the hold that a starving task of this size gets on the only machine, which another task occupies."""
    placement, machine = _placement_on_only_machine()
    partition = placement.partitions["za"]
    _occupy(placement, "zb", "low", expected_s=50.0)
    placement.start_task(machine, "req-zb", 0, 1, Resources(8.0, 0.0, 4.0))
    requirements = mesh.TaskRequirements(vcpus, 0.0, 4.0, "", 0.0, False, (), 1, 5.0)
    request = mesh.ReservationRequest("req-000001", "team-0", requirements, 1, False, True, [], 1, False, False)
    assert partition.reserve(mesh.ReserveRequest("za", [request])).grants == [[]]
    return machine.capacity_hold


def test_no_machine_is_held_for_a_task_that_never_fits_it():
    """Guards against machines that are kept from other jobs for a starving task which is too large for them."""
    assert _hold_for_task(4.0) is not None
    assert _hold_for_task(12.0) is None


def test_job_is_placed_on_the_only_machine_of_its_zone_although_a_task_failed_there():
    """Guards against a job that avoids a machine for ever, after one failure, and may use no other."""
    placement, machine = _placement_on_only_machine()
    job = placement.add_job(JobSpec("req-000001", "x", "team-0", "array", "standard", 1, 4.0, 4.0, zone="za"))
    job.record_failure(machine.name)
    placement.start()
    placement.run(MAX_WAIT_S)
    assert job.attempts
