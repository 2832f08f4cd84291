"""A controller loses one or two of its peers and services: work goes on, and ownership does not flap."""

from __future__ import annotations

import pytest

from tests.infrastructure_faults import owner
from tests.operational_faults import CUTS, cut_links
from tests.simulated_cluster import SimulatedCluster
from tests.simulation.requests import make_request
from tests.user_requests import UNIFORM_JOB

CUT_S = 60.0
QUICK = UNIFORM_JOB | {"plays": 2, "vcpus": 1.0, "expected_s": 2.0}
GOES_ON_S = 45.0  # five leases of the workers


def _health(world: SimulatedCluster, node: str) -> int:
    statuses: list[int] = []
    world.nodes[node].on_request(make_request("GET", "/healthz", b""), lambda status, *_rest: statuses.append(status))
    return statuses[0]


def _cut_partition_owner(sides: tuple[str, ...], hold: bool, seed: int = 101) -> tuple[SimulatedCluster, str, float]:
    """Cut the owner of a partition; the longest that the tasks of a job took which came during the cut."""
    world = SimulatedCluster(seed, limit=64.0)
    world.run(30.0)
    for i in range(8):  # keeps machines up
        world.at(10.0 * i, lambda: world.submit(**QUICK | {"expected_s": 12.0, "plays": 8}))
    world.run(20.0)
    world.network.hold_cut_packets = hold
    node = owner(world, "partition")
    cut_links(world, node, sides)
    jobs: list[str] = []
    done_at: dict[str, float] = {}
    for i in range(10):
        world.at(3.0 * i, lambda: jobs.append(world.submit(**QUICK | {"crew": f"team-{len(jobs) % 3}"})))

    def record_finished() -> None:
        for job in jobs:
            if all(name in world.finished for name in world.jobs[job].tasks()):
                done_at.setdefault(job, world.now)

    for i in range(int(2 * CUT_S)):
        world.at(0.5 * i, record_finished)
    world.run(CUT_S)
    assert len(done_at) == len(jobs) == 10, "work stood still"
    return world, node, max(at - world.jobs[job].submitted_at for job, at in done_at.items())


@pytest.mark.parametrize("hold", [True, False])
@pytest.mark.parametrize("sides", CUTS, ids="+".join)
def test_jobs_progress_while_one_controller_is_partitioned(sides, hold):
    world, node, longest_s = _cut_partition_owner(sides, hold)
    assert longest_s < GOES_ON_S
    others = [name for name in world.names if name != node]
    assert [_health(world, name) for name in others] == [200, 200]
    if "state" in sides:
        assert _health(world, node) == (200 if "peers" in sides else 503)
        rows = world.state.rows
        assert not any(row[0]["n"] == node for key, row in rows.items() if key.startswith("own/"))
    before = len(world.network.ownership_changes)
    world.network.heal()
    world.run(60.0)
    assert world.unfinished() == []
    assert _health(world, node) == 200
    assert len(world.network.ownership_changes) - before <= 8  # its share, once


def test_machine_partition_fails_over_from_cut_off_owner_and_back():
    """Guards against machines that nobody commands: the state service serves their owner, and it alone."""
    world, node, _longest_s = _cut_partition_owner(("peers", "workers"), False)
    rows = world.state.rows
    assert rows["own/part/za"][0]["n"] != node or rows["own/part/zb"][0]["n"] != node
    assert not any(row[0]["n"] == node for key, row in rows.items() if key.startswith("own/part/"))
    world.network.heal()
    world.run(90.0)
    assert world.unfinished() == []
    owners = {row[0]["n"] for key, row in rows.items() if key.startswith("own/")}
    assert owners == set(world.names)


def test_unreachable_zone_does_not_change_owner():
    """Guards against ownership that moves from node to node although no owner would reach the machines."""
    world = SimulatedCluster(104, limit=64.0)
    world.run(30.0)
    for i in range(8):
        world.at(8.0 * i, lambda: world.submit(**QUICK | {"expected_s": 12.0, "plays": 8}))
    world.run(20.0)
    zone = owner_zone(world)
    for machine in world.cloud.machines.values():
        if machine.zone == zone:
            for name in world.names:
                world.network.cut(name, machine.name)
    before = [entry for entry in world.network.ownership_changes if entry[1] == f"own/part/{zone}"]
    world.run(45.0)
    assert [entry for entry in world.network.ownership_changes if entry[1] == f"own/part/{zone}"] == before


def owner_zone(world: SimulatedCluster) -> str:
    """A zone with machines."""
    return sorted(machine.zone for machine in world.cloud.machines.values() if machine.up)[0]
