"""Slow or failed provisioning: demand moves to zones where machines come up, and back once others recover."""

from __future__ import annotations

import pytest

from tealhook.fleet.provisioning import DECAY_BOOTS, ProvisioningTimes
from tealhook.wire.cloud import MachineType
from tests.simulated_cluster import SimulatedCluster
from tests.user_requests import UNIFORM_JOB

BOOT_S = 20.0
MACHINE_TYPE = MachineType("small", 8.0, 32.0, boot_s=BOOT_S, zones=["za", "zb"])


def test_provisioning_time_is_learned_and_decays():
    provisioning_times = ProvisioningTimes()
    assert provisioning_times.expected_s(MACHINE_TYPE, "za", 0.0) == BOOT_S
    for i in range(8):
        provisioning_times.record_provisioned(MACHINE_TYPE, "za", 4 * BOOT_S, float(i))
    slow_s = provisioning_times.expected_s(MACHINE_TYPE, "za", 8.0)
    assert 3.5 * BOOT_S < slow_s < 4 * BOOT_S and provisioning_times.expected_s(MACHINE_TYPE, "zb", 8.0) == BOOT_S
    assert provisioning_times.expected_s(MACHINE_TYPE, "za", 8.0 + 3 * DECAY_BOOTS * BOOT_S) < 1.2 * BOOT_S
    for i in range(8):
        provisioning_times.record_provisioned(MACHINE_TYPE, "za", BOOT_S, 10.0 + i)
    assert provisioning_times.expected_s(MACHINE_TYPE, "za", 18.0) < 1.25 * BOOT_S


def test_overdue_machine_raises_expected_provisioning_time():
    provisioning_times = ProvisioningTimes()
    provisioning_times.record_still_starting(MACHINE_TYPE, "za", 1.4 * BOOT_S)
    assert provisioning_times.expected_s(MACHINE_TYPE, "za", 0.0) == BOOT_S
    provisioning_times.record_still_starting(MACHINE_TYPE, "za", 3.0 * BOOT_S)
    assert provisioning_times.expected_s(MACHINE_TYPE, "za", 0.0) == pytest.approx(3.0 * BOOT_S)
    provisioning_times.clear_overdue()
    assert provisioning_times.expected_s(MACHINE_TYPE, "za", 0.0) == BOOT_S


def _rent_with_failing_zone(seed: int, monkeypatch, learns: bool) -> tuple[float, int]:
    """Return the share of machines that are rented in a zone where none comes up, and the number of all rented ones.

    The share is taken from the time on at which the failures can be known.
    """
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
        shares_without = [_rent_with_failing_zone(seed, patch, learns=False)[0] for seed in range(3)]
    shares_with = [_rent_with_failing_zone(seed, monkeypatch, learns=True)[0] for seed in range(3)]
    assert sum(shares_with) < 0.5 * sum(shares_without)
