"""Lost machines: after a termination notice, when one alone falls silent, or with many others in a network cut."""

import pytest

from tealhook.scheduling.reconciliation import Reconciliation
from tests.simulated_cluster import SimulatedCluster
from tests.standins import Worker
from tests.user_requests import UNIFORM_JOB


def _busy_cluster(expected_s: float, **overrides) -> tuple[SimulatedCluster, Worker]:
    """Start a cluster with running jobs; return it and the machine with most of their tasks."""
    cluster = SimulatedCluster(4, **overrides)
    cluster.cloud.capacity_per_pool = 4
    cluster.run(40.0)  # until ownership is balanced between the nodes
    for _ in range(4):
        cluster.submit(plays=4, expected_s=expected_s, **UNIFORM_JOB)
    while cluster.task_starts < 16:
        cluster.run(0.5)
    cluster.run(1.0)
    return cluster, max(cluster.cloud.machines.values(), key=lambda worker: len(worker.started_tasks()))


def _cluster_with_termination_notice(expected_s: float, notice_s: float) -> tuple[SimulatedCluster, Worker]:
    cluster, worker = _busy_cluster(expected_s)
    assert len(worker.started_tasks()) > 1
    worker.announce_termination(notice_s)
    cluster.call_later(notice_s, lambda: cluster.cloud.remove(worker.name))
    return cluster, worker


def test_tasks_that_cannot_finish_before_termination_restart_at_once():
    """Guards against leaving tasks on a machine until it is terminated.

    They were then restarted only after the loss had been detected.
    """
    cluster, worker = _cluster_with_termination_notice(60.0, 20.0)
    cluster.run(6.0)
    assert worker.name not in cluster.cloud.machines  # empty, and therefore returned before its termination
    cluster.run(300.0)
    assert cluster.unfinished_jobs() == []


def test_without_eviction_on_termination_notice_machine_is_kept(monkeypatch):
    monkeypatch.setattr("tealhook.partitions.heartbeats.evict_tasks", lambda *_machine_and_notice: None)
    cluster, worker = _cluster_with_termination_notice(60.0, 20.0)
    cluster.run(6.0)
    assert worker.name in cluster.cloud.machines


def test_tasks_that_finish_before_termination_are_not_restarted():
    cluster, _worker = _cluster_with_termination_notice(4.0, 12.0)
    cluster.run(60.0)
    assert cluster.unfinished_jobs() == []
    assert cluster.task_starts == 16


def _cluster_with_silent_machine() -> tuple[SimulatedCluster, Worker]:
    """Let one of several machines fail in a cluster whose leases last many heartbeat periods."""
    cluster, worker = _busy_cluster(60.0, lease_s=30.0, cancel_s=60.0)
    assert len([other for other in cluster.cloud.machines.values() if other.up and other.zone == worker.zone]) >= 4
    worker.fail()
    cluster.run(15.0)
    return cluster, worker


def test_single_silent_machine_is_released_before_lease_expiry():
    cluster, worker = _cluster_with_silent_machine()
    assert worker.name not in cluster.cloud.machines


def test_many_silent_machines_are_not_released():
    """Guards against releasing all machines of a zone, with their tasks, during a short network cut."""
    cluster, _worker = _busy_cluster(60.0, lease_s=30.0, cancel_s=60.0)
    cut_off = {name for name, worker in cluster.cloud.machines.items() if worker.up}
    for name in cut_off:
        for node in cluster.node_names:
            cluster.network.cut(node, name)
    cluster.run(15.0)
    cluster.network.heal()
    assert cut_off <= cluster.cloud.machines.keys()


def test_machines_behind_network_cut_are_released_if_others_seem_to_report(monkeypatch):
    original = Reconciliation._on_reconcile_reply

    def on_reconcile_reply(self, team_state, names, asked, reply):
        if reply is not None:
            reply.mostly_reporting = True
        original(self, team_state, names, asked, reply)

    monkeypatch.setattr(Reconciliation, "_on_reconcile_reply", on_reconcile_reply)
    with pytest.raises(AssertionError):
        test_many_silent_machines_are_not_released()


def test_machine_terminated_during_failover_is_detected_before_lease_expiry():
    """Guards against waiting for the lease of a machine that is terminated while its partition changes owners.

    The new owner never receives a heartbeat from it, and the cloud no longer lists it.
    """
    cluster, worker = _busy_cluster(60.0, lease_s=30.0, cancel_s=60.0)
    owner = next(name for name, node in cluster.controllers.items() if worker.zone in node.partition_manager.partitions)
    fleet_owner = next(name for name, node in cluster.controllers.items() if node.fleet_manager._token is not None)
    cluster.run(12.0)  # until the cloud lists the machine
    notified_at: list[float] = []  # when a team scheduler was notified of the release
    for node in cluster.controllers.values():
        node.team_scheduler.on_machines_released = lambda names, original=node.team_scheduler.on_machines_released: (
            notified_at.append(cluster.now) if worker.name in names else None,
            original(names),
        )
    cluster.cloud.remove(worker.name)
    assert owner != fleet_owner
    cluster.crash(owner, 0.2)
    cluster.run(27.0)
    assert notified_at
