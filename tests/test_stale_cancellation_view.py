"""Cancellations confirmed elsewhere while the state store refuses the owner alone, followed by an outage for all.

For longer than `cancel_s` the owner can't learn of them while its workers go on reporting to it. The cancelled tasks
end in time only because the owner stops answering and the workers' leases expire.
"""

from collections import Counter

import pytest

from tealhook.partitions.heartbeats import MAX_CLOCK_DRIFT_RATIO
from tealhook.partitions.manager import PartitionManager
from tealhook.wire import mesh
from tealhook.wire import workers as wire
from tests.simulated_cluster import RuleViolationError, SimulatedCluster, SimulatedEffects
from tests.test_guards import _answer_despite_stale_view
from tests.user_requests import UNIFORM_JOB

CLOCK_RATES = (1.0, 1.0005)  # rates of a monotonic clock that the protocol allows


def _owner_of_most_machines(cluster: SimulatedCluster) -> str:
    """Return the node with the most machines in its partitions."""
    return max(
        cluster.controllers,
        key=lambda name: sum(
            len(partition.machines) for partition in cluster.controllers[name].partition_manager.partitions.values()
        ),
    )


def _count_heartbeat_answers(monkeypatch: pytest.MonkeyPatch) -> Counter:
    """Count heartbeats that are answered with 200 through another node, and those held open; return the counter."""
    counts: Counter = Counter()
    on_heartbeat, answer_now = PartitionManager.on_heartbeat, PartitionManager.answer_now

    def count_relayed(self, body, reply, *, relayed=False):
        def reply_counted(status, data):
            counts["relayed"] += relayed and status == 200
            reply(status, data)

        on_heartbeat(self, body, reply_counted, relayed=relayed)

    def count_held_open(self, machine):
        was_open = answer_now(self, machine)
        counts["held open"] += was_open
        return was_open

    monkeypatch.setattr(PartitionManager, "on_heartbeat", count_relayed)
    monkeypatch.setattr(PartitionManager, "answer_now", count_held_open)
    return counts


def _cancel_before_two_outages(
    seed: int, monkeypatch: pytest.MonkeyPatch, **overrides: float
) -> tuple[SimulatedCluster, list[str], Counter]:
    """Cancel jobs while the state store refuses an owner, then let it fail for all nodes; do so twice in one run.

    Return the cluster, the ids of the jobs whose cancellation was confirmed while the owner was refused, and counts of
    answered heartbeats and of hung machines.
    """
    counts = _count_heartbeat_answers(monkeypatch)
    owner_clock_rate, worker_clock_rate = CLOCK_RATES[seed % 2], CLOCK_RATES[seed // 2 % 2]
    original_init = SimulatedEffects.__init__

    def init(self, *args) -> None:
        original_init(self, *args)
        self.clock_rate = owner_clock_rate

    monkeypatch.setattr(SimulatedEffects, "__init__", init)
    cluster = SimulatedCluster(seed, cpu_limit=96.0, write_rps=60.0, **overrides)
    cluster.cloud.capacity_per_pool = 4
    for _ in range(8):
        cluster.submit(plays=6, expected_s=300.0, **UNIFORM_JOB)
    cluster.run(45.0)
    cancel_s = cluster.settings.params.workers.cancel_s
    cancelled: list[str] = []
    for _ in range(2):
        owner = _owner_of_most_machines(cluster)
        for worker in cluster.cloud.machines.values():
            worker.clock_rate = worker_clock_rate
        # A third of the workers reach the owner only through other nodes, which relay their heartbeats.
        machine_names = [
            name
            for partition in cluster.controllers[owner].partition_manager.partitions.values()
            for name in partition.machines
        ]
        for name in machine_names[::3]:
            cluster.network.cut(owner, name)
        cluster.run(6.0)
        cluster.state.refused_nodes = {owner}
        running = {
            task_id.rpartition("/")[0]
            for candidate in cluster.cloud.machines.values()
            for task_id, _ in candidate.started_tasks()
        }
        chosen = sorted(running - set(cancelled))[:3]
        for job_id in chosen:
            cluster.call_later(cluster.rng.uniform(0.0, 0.7), lambda job_id=job_id: cluster.cancel(job_id))
        cluster.run(1.6)
        confirmed = [job_id for job_id in chosen if cluster.jobs[job_id].cancelled_at is not None]
        cancelled += confirmed
        cluster.state.set_down(True)
        # One machine hangs for half a lease.
        hung = [candidate for candidate in cluster.cloud.machines.values() if candidate.started_tasks()][:1]
        for worker in hung:
            worker.hung = True
            counts["hung"] += 1
            cluster.call_later(
                cluster.settings.params.workers.lease_s / 2, lambda worker=worker: setattr(worker, "hung", False)
            )
        cluster.run(1.45 * cancel_s)
        cluster.state.set_down(False)
        cluster.state.refused_nodes = set()
        cluster.network.heal()
        for _ in range(4):
            cluster.submit(plays=6, expected_s=300.0, **UNIFORM_JOB)
        cluster.run(35.0)
    return cluster, cancelled, counts


@pytest.mark.parametrize("seed", range(8))
def test_tasks_cancelled_just_before_outage_stop_in_time(seed, monkeypatch):
    cluster, cancelled, counts = _cancel_before_two_outages(seed, monkeypatch)
    assert len(cancelled) >= 2
    assert all(counts[kind] for kind in ("relayed", "held open", "hung")), counts
    running_jobs = {
        task_id.rpartition("/")[0]
        for machine in cluster.cloud.machines.values()
        for task_id, _ in machine.started_tasks()
    }
    assert not running_jobs & set(cancelled)


def test_owner_answering_during_outage_violates_cancellation_deadline(monkeypatch):
    _answer_despite_stale_view(monkeypatch)
    with pytest.raises(RuleViolationError, match="ran_cancelled"):
        _cancel_before_two_outages(0, monkeypatch)


def test_no_start_commands_on_stale_cancellation_view():
    """A node without the state store for a lease starts no tasks, although other owners still send it some."""
    cluster = SimulatedCluster(2)
    cluster.submit(plays=2, expected_s=200.0, **UNIFORM_JOB)
    cluster.run(30.0)
    controller = cluster.controllers[_owner_of_most_machines(cluster)]
    partition = max(controller.partition_manager.partitions.values(), key=lambda partition: len(partition.machines))
    grant = partition.reserve(
        mesh.ReserveRequest(
            partition.zone,
            [
                mesh.ReservationRequest(
                    "req-x",
                    "team-0",
                    mesh.TaskRequirements(1.0, 0.0, 1.0, "", 0.0, True, (), 1, 5.0),
                    1,
                    False,
                    False,
                    [],
                    10**9,
                    False,
                    False,
                )
            ],
        )
    ).grants[0][0]
    machine = partition.machines[grant.machine]
    partition.launch(
        mesh.LaunchRequest(
            partition.zone, partition.token, "team-0", 10**9, [mesh.TaskStart(grant.reservation_id, "req-x", 0, 1)]
        )
    )

    def count_start_commands() -> int:
        return sum(
            command.action == wire.CommandAction.START for command in partition.commands.collect_commands(machine)
        )

    assert count_start_commands() == 1
    viewed_at, controller.job_index.watcher.viewed_at = (
        controller.job_index.watcher.viewed_at,
        controller.context.effects.now() - 1.1 * controller.ownership.node_lease_ttl_s,
    )
    assert count_start_commands() == 0
    controller.job_index.watcher.viewed_at = viewed_at
    assert count_start_commands() == 1


@pytest.mark.parametrize(("report_s", "lease_s", "cancel_s"), [(1.0, 9.0, 30.0), (1.0, 11.0, 36.0), (3.0, 21.0, 46.0)])
def test_view_age_plus_worker_lease_fits_cancellation_deadline(report_s, lease_s, cancel_s):
    """In the worst case a heartbeat is sent just before its answer on the oldest view allowed, and none follows."""
    cluster = SimulatedCluster(1, nodes=1, report_s=report_s, lease_s=lease_s, cancel_s=cancel_s)
    manager = cluster.controllers["n0"].partition_manager
    # Age in real time of the oldest view on which a heartbeat is answered.
    max_view_age_s = manager._max_view_age_s * max(CLOCK_RATES) / min(CLOCK_RATES)
    # A worker's lease by the slowest clock, and the delay until the worker notices that it has expired.
    max_worker_lease_s = lease_s * max(CLOCK_RATES) / min(CLOCK_RATES) + 0.1
    assert max(CLOCK_RATES) / min(CLOCK_RATES) <= MAX_CLOCK_DRIFT_RATIO
    assert 0 < max_view_age_s + max_worker_lease_s <= cancel_s
