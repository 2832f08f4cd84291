"""Late copies of start commands: an attempt that was carried out before is never begun a second time."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from tealhook.jobs.attempt import Attempt
from tealhook.jobs.job import Job
from tealhook.jobs.team import TeamState
from tealhook.scheduling.launches import AttemptLauncher
from tealhook.wire import mesh
from tests.fault_coverage import FaultCoverage
from tests.infrastructure_faults import machines_up, random_owner
from tests.simulated_cluster import SimulatedCluster, end_faults
from tests.simulated_placement import SimulatedPlacement
from tests.simulation.faults import hang_machine
from tests.user_requests import UNIFORM_JOB, cancel_running_jobs

RUN_S = 90.0  # with copies; those of its end still arrive while the cluster recovers
MAX_RESPONSE_AGE_S = 4.0  # a worker takes no response that arrives later
MAX_FETCH_S = 1.5  # the largest image at the lowest rate
STATES = ("pulling", "running", "stopped", "exited", "moved", "forgotten", "cancelled and forgotten")


def _restart_something(cluster: SimulatedCluster) -> None:
    """Let an owner or a machine go away and be back within a second, or lose a machine, or cancel jobs."""
    rng = cluster.rng
    kind = rng.choice(
        ["team", "partition", "partition", "all", "machine", "restarted machine", "lost machine", "cancel"]
    )
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
    elif workers and kind == "restarted machine":
        rng.choice(workers).restart(rng.uniform(0.05, 0.9))
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
        late_s = [seconds for _task, _machine, seconds, _kind in cluster.late_starts]
        assert max(late_s, default=0.0) < MAX_RESPONSE_AGE_S + MAX_FETCH_S, f"seed {seed}: {cluster.late_starts}"


def test_copies_arrive_at_every_state_of_the_attempt():
    required = [f"copy of a {hop}: {state}" for hop in ("launch request", "response") for state in STATES]
    coverage = FaultCoverage(
        [*required, "copy of a direct command"], lambda seed: late_copies_run(seed).network.event_counts
    )
    coverage.assert_complete(range(100, 160))


def _proved_refused(reply_token: int) -> int:
    """Return the number of attempts that a launcher takes as refused, by a reply under this token of the partition."""
    refused: list[Attempt] = []
    calls: list = []
    team, job, attempt = (
        TeamState("team-0", 1),
        Job("req-000001", "team-0", None, 0.0),
        Attempt(0, 1, "m", 1, "za", 5, 0.0),
    )
    attempt.reservation_id = 7
    job.attempts[0] = attempt
    team.jobs[job.id] = job
    launcher = AttemptLauncher(
        SimulatedCluster(1, nodes=1).controllers["n0"].context,
        SimpleNamespace(owner=lambda key: "n1"),
        SimpleNamespace(call=lambda *arguments: calls.append(arguments)),
        {team.name: team},
        lambda _team, _job, refused_attempt: refused.append(refused_attempt),
    )
    launcher.launch(team, "za", [(job.id, attempt)])
    [(_peer, _request, _timeout_s, on_reply)] = calls
    on_reply(mesh.LaunchReply(reply_token, 3, [7]))
    return len(refused)


def test_only_the_owner_that_granted_a_reservation_can_refuse_its_launch():
    """Guards against a task on two machines, after its launch by an owner that was replaced before it could answer."""
    assert [_proved_refused(token) for token in (5, 6)] == [1, 0]


def _launch_after(seconds: float) -> list[int]:
    """Return the reservations that a partition refuses to use, out of one, this long after it was made."""
    placement = SimulatedPlacement(1)
    placement.remove_all()
    placement.create_idle_machine("host-0", "za")
    partition = placement.partitions["za"]
    requirements = mesh.TaskRequirements(4.0, 0.0, 4.0, "", 0.0, False, (), 1, 5.0)
    request = mesh.ReservationRequest("req-000001", "team-0", requirements, 1, False, False, [], 1, False, False)
    [[grant]] = partition.reserve(mesh.ReserveRequest("za", [request])).grants
    placement.cluster.run(seconds)
    start = mesh.TaskStart(grant.reservation_id, "req-000001", 0, 1)
    return partition.launch(mesh.LaunchRequest("za", partition.token, "team-0", 1, [start])).refused


def test_expired_reservation_is_refused_although_no_inquiry_has_dropped_it():
    """Guards against a late launch of an attempt whose absence was proved after its reservation had expired."""
    reservation_s = 9.0 / 4  # a quarter of the worker's lease
    assert _launch_after(0.9 * reservation_s) == []
    assert len(_launch_after(1.1 * reservation_s)) == 1
