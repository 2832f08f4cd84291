"""Network partitions of one controller: jobs progress, and ownership does not flap."""

from __future__ import annotations

import pytest

from tests.infrastructure_faults import random_owner
from tests.operational_faults import LINK_COMBINATIONS, cut_links
from tests.simulated_cluster import SimulatedCluster
from tests.simulation.requests import make_request
from tests.user_requests import UNIFORM_JOB

CUT_S = 60.0
SHORT_JOB = UNIFORM_JOB | {"plays": 2, "vcpus": 1.0, "expected_s": 2.0}
MAX_JOB_DURATION_S = 45.0  # five leases of the workers


def _health_status(cluster: SimulatedCluster, node: str) -> int:
    statuses: list[int] = []
    cluster.controllers[node].on_request(
        make_request("GET", "/healthz", b""), lambda status, *_rest: statuses.append(status)
    )
    return statuses[0]


def _cut_partition_owner(links: tuple[str, ...], hold: bool, seed: int = 101) -> tuple[SimulatedCluster, str, float]:
    """Cut links of a partition's owner, and return the longest duration of the jobs submitted during the cut."""
    cluster = SimulatedCluster(seed, cpu_limit=64.0)
    cluster.run(30.0)
    for i in range(8):  # keeps machines from being released
        cluster.call_later(10.0 * i, lambda: cluster.submit(**SHORT_JOB | {"expected_s": 12.0, "plays": 8}))
    cluster.run(20.0)
    cluster.network.hold_cut_packets = hold
    node = random_owner(cluster, "partition")
    cut_links(cluster, node, links)
    jobs: list[str] = []
    done_at: dict[str, float] = {}
    for i in range(10):
        cluster.call_later(
            3.0 * i, lambda: jobs.append(cluster.submit(**SHORT_JOB | {"crew": f"team-{len(jobs) % 3}"}))
        )

    def record_finished() -> None:
        for job in jobs:
            if all(task_id in cluster.finished_tasks for task_id in cluster.jobs[job].task_ids()):
                done_at.setdefault(job, cluster.now)

    for i in range(int(2 * CUT_S)):
        cluster.call_later(0.5 * i, record_finished)
    cluster.run(CUT_S)
    assert len(done_at) == len(jobs) == 10, "not all jobs finished during the cut"
    return cluster, node, max(at - cluster.jobs[job].submitted_at for job, at in done_at.items())


@pytest.mark.parametrize("hold", [True, False])
@pytest.mark.parametrize("links", LINK_COMBINATIONS, ids="+".join)
def test_jobs_progress_while_one_controller_is_partitioned(links, hold):
    cluster, node, longest_s = _cut_partition_owner(links, hold)
    assert longest_s < MAX_JOB_DURATION_S
    others = [name for name in cluster.node_names if name != node]
    assert [_health_status(cluster, name) for name in others] == [200, 200]
    if "state" in links:
        assert _health_status(cluster, node) == (200 if "peers" in links else 503)
        rows = cluster.state.rows
        assert not any(row[0]["n"] == node for key, row in rows.items() if key.startswith("own/"))
    before = len(cluster.network.ownership_changes)
    cluster.network.heal()
    cluster.run(60.0)
    assert cluster.unfinished_jobs() == []
    assert _health_status(cluster, node) == 200
    assert len(cluster.network.ownership_changes) - before <= 8  # its share of the keys changes owners only once


def test_machine_partition_fails_over_from_cut_off_owner_and_back():
    """Guards against machines without a reachable owner.

    The state store still serves the owner, whose lease therefore does not expire, but neither peers nor workers can
    reach it.
    """
    cluster, node, _longest_s = _cut_partition_owner(("peers", "workers"), False)
    rows = cluster.state.rows
    assert rows["own/part/za"][0]["n"] != node or rows["own/part/zb"][0]["n"] != node
    assert not any(row[0]["n"] == node for key, row in rows.items() if key.startswith("own/part/"))
    cluster.network.heal()
    cluster.run(90.0)
    assert cluster.unfinished_jobs() == []
    owners = {row[0]["n"] for key, row in rows.items() if key.startswith("own/")}
    assert owners == set(cluster.node_names)


def test_unreachable_zone_does_not_change_owner():
    """Guards against ownership that moves from node to node although no node can reach the machines."""
    cluster = SimulatedCluster(104, cpu_limit=64.0)
    cluster.run(30.0)
    for i in range(8):
        cluster.call_later(8.0 * i, lambda: cluster.submit(**SHORT_JOB | {"expected_s": 12.0, "plays": 8}))
    cluster.run(20.0)
    zone = zone_with_machines(cluster)
    for machine in cluster.cloud.machines.values():
        if machine.zone == zone:
            for name in cluster.node_names:
                cluster.network.cut(name, machine.name)
    before = [entry for entry in cluster.network.ownership_changes if entry[1] == f"own/part/{zone}"]
    cluster.run(45.0)
    assert [entry for entry in cluster.network.ownership_changes if entry[1] == f"own/part/{zone}"] == before


def zone_with_machines(cluster: SimulatedCluster) -> str:
    """Return the first zone with running machines."""
    return sorted(machine.zone for machine in cluster.cloud.machines.values() if machine.up)[0]
