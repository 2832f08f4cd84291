"""Lost machines: after a termination notice, in lone silence, or behind a network cut with many others."""

import pytest

from tealhook.scheduling.reconciliation import Reconciliation
from tests.simulated_cluster import SimulatedCluster
from tests.standins import Worker
from tests.user_requests import UNIFORM_JOB


def _busy_cluster(expected_s: float, **over) -> tuple[SimulatedCluster, Worker]:
    """Jobs that run, and the machine that holds most of their tasks."""
    cluster = SimulatedCluster(4, **over)
    cluster.cloud.capacity_per_pool = 4
    cluster.run(40.0)  # until the nodes share what there is to own evenly
    for _ in range(4):
        cluster.submit(plays=4, expected_s=expected_s, **UNIFORM_JOB)
    while cluster.task_starts < 16:
        cluster.run(0.5)
    cluster.run(1.0)
    return cluster, max(cluster.cloud.machines.values(), key=lambda worker: len(worker.started_tasks()))


def _notified(expected_s: float, notice_s: float) -> tuple[SimulatedCluster, Worker]:
    cluster, worker = _busy_cluster(expected_s)
    assert len(worker.started_tasks()) > 1
    worker.announce_termination(notice_s)
    cluster.call_later(notice_s, lambda: cluster.cloud.remove(worker.name))
    return cluster, worker


def test_tasks_that_cannot_finish_before_termination_restart_at_once():
    """Guards against tasks left to be lost with a machine that was known to go, and lost time until it was noticed."""
    cluster, worker = _notified(60.0, 20.0)
    cluster.run(6.0)
    assert worker.name not in cluster.cloud.machines  # empty, so returned before it was taken
    cluster.run(300.0)
    assert cluster.unfinished_jobs() == []


def test_without_eviction_on_termination_notice_machine_is_kept(monkeypatch):
    monkeypatch.setattr("tealhook.partitions.heartbeats.evict_tasks", lambda *_machine_and_notice: None)
    cluster, worker = _notified(60.0, 20.0)
    cluster.run(6.0)
    assert worker.name in cluster.cloud.machines


def test_tasks_that_finish_before_termination_are_not_restarted():
    cluster, _worker = _notified(4.0, 12.0)
    cluster.run(60.0)
    assert cluster.unfinished_jobs() == []
    assert cluster.task_starts == 16


def _one_silent_machine() -> tuple[SimulatedCluster, Worker]:
    """A lease of many report periods; one machine of several stops with all that is on it."""
    cluster, worker = _busy_cluster(60.0, lease_s=30.0, cancel_s=60.0)
    assert len([w for w in cluster.cloud.machines.values() if w.up and w.zone == worker.zone]) >= 4
    worker.fail()
    cluster.run(15.0)
    return cluster, worker


def test_lone_silent_machine_is_released_before_lease_expiry():
    cluster, worker = _one_silent_machine()
    assert worker.name not in cluster.cloud.machines


def test_many_silent_machines_are_not_released():
    """Guards against releasing a zone full of tasks that a short cut hides."""
    cluster, _worker = _busy_cluster(60.0, lease_s=30.0, cancel_s=60.0)
    there = {name for name, worker in cluster.cloud.machines.items() if worker.up}
    for name in there:
        for node in cluster.node_names:
            cluster.network.cut(node, name)
    cluster.run(15.0)
    cluster.network.heal()
    assert there <= cluster.cloud.machines.keys()


def test_treating_network_cut_as_lone_machines_releases_them(monkeypatch):
    whole = Reconciliation._on_reconcile_reply

    def on_reconcile_reply(self, team_state, names, asked, reply):
        if reply is not None:
            reply.mostly_reporting = True
        whole(self, team_state, names, asked, reply)

    monkeypatch.setattr(Reconciliation, "_on_reconcile_reply", on_reconcile_reply)
    with pytest.raises(AssertionError):
        test_many_silent_machines_are_not_released()


def test_machine_terminated_during_failover_is_detected_before_lease_expiry():
    """Guards against waiting out a lease for a machine that the new owner never heard of, and the list lacks."""
    cluster, worker = _busy_cluster(60.0, lease_s=30.0, cancel_s=60.0)
    owner = next(name for name, node in cluster.controllers.items() if worker.zone in node.partition_manager.partitions)
    fleet = next(name for name, node in cluster.controllers.items() if node.fleet_manager._token is not None)
    cluster.run(12.0)  # the cloud lists it by now
    told_at: list[float] = []  # when a team scheduler was told of it
    for node in cluster.controllers.values():
        node.team_scheduler.on_machines_released = lambda names, whole=node.team_scheduler.on_machines_released: (
            told_at.append(cluster.now) if worker.name in names else None,
            whole(names),
        )
    cluster.cloud.remove(worker.name)
    assert owner != fleet
    cluster.crash(owner, 0.2)
    cluster.run(27.0)
    assert told_at
