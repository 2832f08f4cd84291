"""Bin packing: the order of machines stays sorted while capacity is assigned."""

from __future__ import annotations

import random

import pytest

from tealhook.partitions.machine import Machine
from tealhook.partitions.packing import FreeRoom, without
from tealhook.wire import workers


def _machines(rng: random.Random, count: int) -> list[Machine]:
    machines = []
    for i in range(count):
        report = workers.Heartbeat(f"host-{i}", "10.1.0.1:9000", "small", "za", 1, 1, spot=rng.random() < 0.5)
        machine = Machine(report, float(rng.randrange(5)))
        if rng.random() < 0.3:
            machine.add_image("img", 1.0, 10.0)
        machines.append(machine)
    return machines


@pytest.mark.parametrize("seed", range(5))
def test_incremental_order_equals_full_sort(seed):
    rng = random.Random(seed)
    machines = _machines(rng, 60)
    free = {machine.name: [float(rng.randrange(9)), 0.0, 16.0] for machine in machines}
    room = FreeRoom(machines, lambda machine: free[machine.name])
    for _ in range(40):
        machine = rng.choice(machines)
        free[machine.name] = without(free[machine.name], (rng.uniform(-2.0, 2.0), 0.0, 1.0))
        room.set_left(machine, free[machine.name])
        assert room.left(machine) == free[machine.name]
        for image in ("img", ""):
            in_order = sorted(machines, key=lambda m: (not m.has_image(image), not m.spot, free[m.name][0], m.heard_at))
            assert [m.name for m in room.in_order(image)] == [m.name for m in in_order]
