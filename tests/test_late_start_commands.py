"""Late copies of start commands: an attempt that was carried out before is never begun a second time."""

from __future__ import annotations

from collections import Counter

import pytest

from tests.infrastructure_faults import machines_up, random_owner
from tests.simulated_cluster import SimulatedCluster, end_faults
from tests.simulation.faults import hang_machine
from tests.user_requests import UNIFORM_JOB, cancel_running_jobs

RUN_S = 90.0  # with copies; those of its end still arrive while the cluster recovers
STATES = ("pulling", "running", "stopped", "exited", "moved", "forgotten", "cancelled and forgotten")


def _restart_something(cluster: SimulatedCluster) -> None:
    """Let an owner or a machine go away and be back within a second, or lose a machine, or cancel jobs."""
    rng = cluster.rng
    kind = rng.choice(["team", "partition", "partition", "all", "machine", "lost machine", "cancel"])
    workers = machines_up(cluster)
    if kind in ("team", "partition"):
        cluster.crash(random_owner(cluster, kind), rng.uniform(0.05, 0.9))
    elif kind == "all":
        for name in cluster.node_names:
            cluster.crash(name, rng.uniform(0.05, 0.9))
    elif kind == "cancel":
        cancel_running_jobs(cluster, rng.randint(1, 3), rng.choice([0.0, 2.0]))
    elif workers and kind == "machine":
        hang_machine(cluster, rng.choice(workers), rng.uniform(0.2, 6.0))
    elif workers:
        rng.choice(workers).announce_termination(3.0)


def late_copies_run(seed: int, seconds: float = RUN_S) -> SimulatedCluster:
    """Run jobs while messages are lost, late and repeated and controllers and machines return within a second."""
    cluster = SimulatedCluster(seed, cpu_limit=48.0)
    rng, network = cluster.rng, cluster.network
    for _ in range(int(seconds / 4)):
        saves = rng.random() < 0.4
        changes = {"snapshot_every_s": 5.0, "snapshot_s": rng.uniform(0.2, 3.0)} if saves else {}
        job = UNIFORM_JOB | {"plays": rng.randint(1, 6), "expected_s": rng.uniform(1.0, 12.0)} | changes
        job |= {"crew": f"team-{rng.randrange(3)}", "urgency": rng.choice(["urgent", "standard", "low"])}
        cluster.call_later(rng.uniform(0.0, 0.8 * seconds), lambda job=job: cluster.submit(**job))
    network.mesh_copy_share = rng.uniform(0.1, 0.6)
    network.mesh_delay_share, network.mesh_loss_share = rng.uniform(0.0, 0.2), rng.uniform(0.0, 0.1)
    network.response_copy_share = network.command_copy_share = network.late_heartbeat_share = 0.3
    cluster.call_at_random_times(int(seconds / 9), 15.0, seconds, lambda: _restart_something(cluster))
    cluster.run(seconds)
    network.end_faults()
    end_faults(cluster)
    cluster.run(120.0)
    return cluster


@pytest.mark.parametrize("first_seed", range(0, 24, 3))
def test_late_copies_start_nothing_twice(first_seed):
    """Guards against tasks on two machines, and cancelled ones that run again, after copies of start commands."""
    for seed in range(first_seed, first_seed + 3):
        cluster = late_copies_run(seed)  # fails on ran_twice, started_again, ran_cancelled and the other rules
        assert cluster.unfinished_jobs() == [], f"seed {seed}"
        assert cluster.network.direct_starts == 0


def test_copies_arrive_at_every_state_of_the_attempt():
    counts: Counter[str] = Counter()
    for seed in range(100, 112):
        counts += late_copies_run(seed).network.event_counts
    hops = ("launch request", "response")
    assert [name for hop in hops for state in STATES if not counts[name := f"copy of a {hop}: {state}"]] == []
    assert counts["copy of a direct command"]
