"""Cancellations confirmed elsewhere while the leader alone is refused by the state service, then an outage for all.

The leader can't learn of them for longer than `cancel_s`, and its workers go on reporting to it. Only that it stops
answering in time, and their leases, end those tasks.
"""

from collections import Counter

import pytest

from tealhook.partitions.heartbeats import MAX_CLOCK_DRIFT_RATIO
from tealhook.partitions.manager import PartitionManager
from tealhook.wire import mesh
from tealhook.wire import workers as wire
from tests.simulated_cluster import RuleViolationError, SimulatedCluster, SimulatedEffects
from tests.test_guards import _answer_forever
from tests.user_requests import UNIFORM_JOB

DRIFTS = (1.0, 1.0005)  # of a steady clock, by the protocol


def _leader(cluster: SimulatedCluster) -> str:
    """The node with most machines in its partitions."""
    return max(
        cluster.controllers,
        key=lambda name: sum(len(p.machines) for p in cluster.controllers[name].partition_manager.partitions.values()),
    )


def _count_answers(monkeypatch: pytest.MonkeyPatch) -> Counter:
    """Answers given with 200 by way of another node, and those that had been held open."""
    counts: Counter = Counter()
    whole_report, whole_flush = PartitionManager.on_heartbeat, PartitionManager.answer_now

    def report(self, body, reply, *, relayed=False):
        def counted(status, data):
            counts["relayed"] += relayed and status == 200
            reply(status, data)

        whole_report(self, body, counted, relayed=relayed)

    def flush(self, name):
        held = whole_flush(self, name)
        counts["held open"] += held
        return held

    monkeypatch.setattr(PartitionManager, "on_heartbeat", report)
    monkeypatch.setattr(PartitionManager, "answer_now", flush)
    return counts


def _outage_gaps(
    seed: int, monkeypatch: pytest.MonkeyPatch, **over: float
) -> tuple[SimulatedCluster, list[str], Counter]:
    """Two gaps in one run; the ids of the jobs cancelled in them while the leader was refused; answers in gaps."""
    counts = _count_answers(monkeypatch)
    leader_drift, worker_drift = DRIFTS[seed % 2], DRIFTS[seed // 2 % 2]
    whole = SimulatedEffects.__init__

    def init(self, *args) -> None:
        whole(self, *args)
        self.clock_rate = leader_drift

    monkeypatch.setattr(SimulatedEffects, "__init__", init)
    cluster = SimulatedCluster(seed, cpu_limit=96.0, write_rps=60.0, **over)
    cluster.cloud.capacity_per_pool = 4
    for _ in range(8):
        cluster.submit(plays=6, expected_s=300.0, **UNIFORM_JOB)
    cluster.run(45.0)
    cancel_s = cluster.settings.params.workers.cancel_s
    cancelled: list[str] = []
    for _ in range(2):
        leader = _leader(cluster)
        for worker in cluster.cloud.machines.values():
            worker.clock_rate = worker_drift
        # Some workers reach the leader by way of others only, so that their reports are relayed; one machine hangs.
        machines = [
            name
            for partition in cluster.controllers[leader].partition_manager.partitions.values()
            for name in partition.machines
        ]
        for name in machines[::3]:
            cluster.network.cut(leader, name)
        cluster.run(6.0)
        cluster.state.refused_nodes = {leader}
        running = {play.rpartition("/")[0] for w in cluster.cloud.machines.values() for play, _ in w.started_tasks()}
        chosen = sorted(running - set(cancelled))[:3]
        for job in chosen:
            cluster.call_later(cluster.rng.uniform(0.0, 0.7), lambda job=job: cluster.cancel(job))
        cluster.run(1.6)
        confirmed = [job for job in chosen if cluster.jobs[job].cancelled_at is not None]
        cancelled += confirmed
        cluster.state.set_down(True)
        hung = [w for w in cluster.cloud.machines.values() if w.started_tasks()][:1]
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
def test_tasks_cancelled_during_outage_gap_stop_in_time(seed, monkeypatch):
    cluster, cancelled, counts = _outage_gaps(seed, monkeypatch)
    assert len(cancelled) >= 2
    assert all(counts[kind] for kind in ("relayed", "held open", "hung")), counts
    on = {play.rpartition("/")[0] for w in cluster.cloud.machines.values() for play, _ in w.started_tasks()}
    assert not on & set(cancelled)


def test_leader_answering_through_outage_gap_violates_cancellation_deadline(monkeypatch):
    _answer_forever(monkeypatch)
    with pytest.raises(RuleViolationError, match="ran_cancelled"):
        _outage_gaps(0, monkeypatch)


def test_no_start_commands_on_stale_cancellation_view():
    """Other owners still send it tasks to start; a node without the state service for a lease starts none."""
    cluster = SimulatedCluster(2)
    cluster.submit(plays=2, expected_s=200.0, **UNIFORM_JOB)
    cluster.run(30.0)
    node = cluster.controllers[_leader(cluster)]
    partition = max(node.partition_manager.partitions.values(), key=lambda partition: len(partition.machines))
    slot = partition.reserve(
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
    machine = partition.machines[slot.machine]
    partition.launch(
        mesh.LaunchRequest(
            partition.zone, partition.token, "team-0", 10**9, [mesh.TaskStart(slot.reservation_id, "req-x", 0, 1)]
        )
    )

    def launches() -> int:
        return sum(
            command.action == wire.CommandAction.START for command in partition.commands.collect_commands(machine)
        )

    assert launches() == 1
    viewed_at, node.job_index.watcher.viewed_at = (
        node.job_index.watcher.viewed_at,
        node.context.effects.now() - 1.1 * node.ownership.node_lease_ttl_s,
    )
    assert launches() == 0
    node.job_index.watcher.viewed_at = viewed_at
    assert launches() == 1


@pytest.mark.parametrize(("report_s", "lease_s", "cancel_s"), [(1.0, 9.0, 30.0), (1.0, 11.0, 36.0), (3.0, 21.0, 46.0)])
def test_view_age_plus_worker_lease_fits_cancellation_deadline(report_s, lease_s, cancel_s):
    """With the worst of each figure: a report sent just before its answer, and nothing said to its worker since."""
    cluster = SimulatedCluster(1, nodes=1, report_s=report_s, lease_s=lease_s, cancel_s=cancel_s)
    manager = cluster.controllers["n0"].partition_manager
    view_s = (
        manager._max_view_age_s * max(DRIFTS) / min(DRIFTS)
    )  # the oldest view on which an answer is given, in true time
    worker_s = lease_s * max(DRIFTS) / min(DRIFTS) + 0.1  # a worker's lease by the slowest clock, and its own lateness
    assert max(DRIFTS) / min(DRIFTS) <= MAX_CLOCK_DRIFT_RATIO
    assert 0 < view_s + worker_s <= cancel_s
