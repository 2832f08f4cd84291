"""Slow or failed provisioning: demand moves to zones where machines come up, and back once they do again."""

from __future__ import annotations

import pytest

from tealhook.fleet.provisioning import DECAY_BOOTS, ProvisioningTimes
from tealhook.wire.cloud import MachineType
from tests.simulated_cluster import SimulatedCluster
from tests.user_requests import UNIFORM_JOB

READY_S = 20.0
MACHINE_TYPE = MachineType("small", 8.0, 32.0, boot_s=READY_S, zones=["za", "zb"])


def test_provisioning_time_is_learned_and_decays():
    boots = ProvisioningTimes()
    assert boots.expected_s(MACHINE_TYPE, "za", 0.0) == READY_S
    for i in range(8):
        boots.record_provisioned(MACHINE_TYPE, "za", 4 * READY_S, float(i))
    late_s = boots.expected_s(MACHINE_TYPE, "za", 8.0)
    assert 3.5 * READY_S < late_s < 4 * READY_S and boots.expected_s(MACHINE_TYPE, "zb", 8.0) == READY_S
    assert boots.expected_s(MACHINE_TYPE, "za", 8.0 + 3 * DECAY_BOOTS * READY_S) < 1.2 * READY_S
    for i in range(8):
        boots.record_provisioned(MACHINE_TYPE, "za", READY_S, 10.0 + i)
    assert boots.expected_s(MACHINE_TYPE, "za", 18.0) < 1.25 * READY_S


def test_overdue_machine_raises_expected_provisioning_time():
    boots = ProvisioningTimes()
    boots.record_still_starting(MACHINE_TYPE, "za", 1.4 * READY_S)
    assert boots.expected_s(MACHINE_TYPE, "za", 0.0) == READY_S
    boots.record_still_starting(MACHINE_TYPE, "za", 3.0 * READY_S)
    assert boots.expected_s(MACHINE_TYPE, "za", 0.0) == pytest.approx(3.0 * READY_S)
    boots.clear_overdue()
    assert boots.expected_s(MACHINE_TYPE, "za", 0.0) == READY_S


def _rented_in(seed: int, monkeypatch, learns: bool) -> tuple[float, int]:
    """Share of machines rented in a zone in which none comes up, once that can be known; and how many in all."""
    if not learns:
        monkeypatch.setattr(ProvisioningTimes, "expected_s", lambda self, machine_type, zone, now: machine_type.boot_s)
    cluster = SimulatedCluster(seed, cpu_limit=1e6)
    cluster.cloud.failing_zones = {"za"}
    cluster.cloud.capacity_per_pool = 20
    for i in range(60):
        cluster.call_later(4.0 * i, lambda: cluster.submit(plays=8, expected_s=12.0, **UNIFORM_JOB | {"vcpus": 4.0}))
    cluster.run(60.0)
    before = dict(cluster.cloud.rented_by_zone)
    cluster.run(180.0)
    rented = {zone: cluster.cloud.rented_by_zone[zone] - before.get(zone, 0) for zone in ("za", "zb")}
    return rented["za"] / max(1, sum(rented.values())), sum(cluster.cloud.rented_by_zone.values())


def test_demand_moves_to_zone_where_provisioning_succeeds(monkeypatch):
    with monkeypatch.context() as patch:
        without = [_rented_in(seed, patch, learns=False)[0] for seed in range(3)]
    with_ = [_rented_in(seed, monkeypatch, learns=True)[0] for seed in range(3)]
    assert sum(with_) < 0.5 * sum(without)
