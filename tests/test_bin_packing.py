"""Bin packing: the order of machines stays sorted while their capacity is granted."""

from __future__ import annotations

import random

import pytest

from tealhook.partitions.machine import Machine, subtract_resources
from tealhook.partitions.packing import PackingOrder
from tealhook.wire import workers
from tealhook.wire.common import Resources


def _random_machines(rng: random.Random, count: int) -> list[Machine]:
    machines = []
    for number in range(count):
        heartbeat = workers.Heartbeat(f"host-{number}", "10.1.0.1:9000", "small", "za", 1, 1, spot=rng.random() < 0.5)
        machine = Machine(heartbeat, float(rng.randrange(5)))
        if rng.random() < 0.3:
            machine.add_image("img", 1.0, 10.0)
        machines.append(machine)
    return machines


@pytest.mark.parametrize("seed", range(5))
def test_incremental_order_equals_full_sort(seed):
    rng = random.Random(seed)
    machines = _random_machines(rng, 60)
    free = {machine.name: Resources(float(rng.randrange(9)), 0.0, 16.0) for machine in machines}
    packing = PackingOrder(machines, lambda machine: free[machine.name])
    for _ in range(40):
        machine = rng.choice(machines)
        free[machine.name] = subtract_resources(free[machine.name], Resources(rng.uniform(-2.0, 2.0), 0.0, 1.0))
        packing.set_free_resources(machine, free[machine.name])
        assert packing.free_resources(machine) == free[machine.name]
        for image in ("img", ""):
            expected = sorted(
                machines, key=lambda m: (not m.has_image(image), not m.spot, free[m.name][0], m.last_heartbeat_at)
            )
            assert [m.name for m in packing.machines_in_order(image)] == [m.name for m in expected]
