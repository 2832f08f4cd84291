"""Controllers that are suspended while their clocks advance, and machines that hang beyond their lease."""

import pytest

from tealhook.coordination import FLEET_KEY, Ownership
from tests.simulated_cluster import SimulatedCluster, SimulatedEffects
from tests.user_requests import UNIFORM_JOB

LEASE_S = 9.0


def _busy_cluster(seed: int) -> SimulatedCluster:
    cluster = SimulatedCluster(seed, cpu_limit=64.0)
    for i in range(30):
        cluster.call_later(3.0 * i, lambda: cluster.submit(plays=10, expected_s=6.0, **UNIFORM_JOB))
    cluster.run(35.0)
    return cluster


@pytest.mark.parametrize("leases", [0.2, 1.2, 3.0])
def test_jobs_finish_although_controllers_are_suspended_in_turn(leases):
    cluster = _busy_cluster(3)
    for name in cluster.node_names:
        cluster.suspend(name, leases * LEASE_S)
        cluster.run(leases * LEASE_S + 12.0)
    cluster.run(200.0)
    assert cluster.unfinished_jobs() == []


def test_jobs_finish_although_all_controllers_are_suspended_at_once():
    cluster = _busy_cluster(5)
    for name in cluster.node_names:
        cluster.suspend(name, 2 * LEASE_S)
    cluster.run(260.0)
    assert cluster.unfinished_jobs() == []


def _count_cloud_calls_without_ownership(monkeypatch) -> int:
    """Count the rentals and returns requested by a resumed node that no longer owned the fleet."""
    count = 0
    original = SimulatedEffects.cloud

    def cloud(self, method, target, body, timeout, answer):
        nonlocal count
        row = self.cluster.state.rows.get(FLEET_KEY)
        if method == "POST" and row is not None and row[0]["n"] != self.name:
            count += 1
        original(self, method, target, body, timeout, answer)

    monkeypatch.setattr(SimulatedEffects, "cloud", cloud)
    for seed in range(11, 14):
        cluster = _busy_cluster(seed)
        for _ in range(3):
            owner = next(name for name, node in cluster.controllers.items() if node.ownership.own_token(FLEET_KEY))
            for worker in list(cluster.cloud.machines.values())[:3]:
                worker.fail()  # so that there are machines to release and to rent
            cluster.suspend(owner, 1.5 * LEASE_S)
            cluster.run(1.5 * LEASE_S + 12.0)
    return count


def test_resumed_controller_makes_no_cloud_calls_without_ownership(monkeypatch):
    assert _count_cloud_calls_without_ownership(monkeypatch) == 0


def test_resumed_controller_that_ignores_its_suspension_makes_cloud_calls_without_ownership(monkeypatch):
    monkeypatch.setattr(Ownership, "is_lease_uncertain", property(lambda self: False))
    assert _count_cloud_calls_without_ownership(monkeypatch) > 0


@pytest.mark.parametrize("leases", [0.7, 2.5])
def test_many_hung_machines_resume(leases):
    """Machines that resume within their lease continue their tasks.

    After it, their new session or their release proves that the tasks are gone, so that they can restart.
    """
    cluster = _busy_cluster(15)
    machines = [worker for worker in cluster.cloud.machines.values() if worker.up]
    for worker in machines[: max(2, len(machines) * 2 // 3)]:
        worker.hung = True
        cluster.call_later(leases * LEASE_S, lambda worker=worker: setattr(worker, "hung", False))
    cluster.run(250.0)
    assert cluster.unfinished_jobs() == []
