"""Seeded random runs: every rule is checked after each step, with troubles mixed in."""

import pytest

from tests.world import World, random_run


def test_quiet_day_is_served():
    world = World(1)
    for i in range(12):
        world.at(5.0 * i, world.submit)
    world.run(200.0)
    assert world.unfinished() == []
    assert world.starts > 12


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_in_random_troubles(seed):
    world = random_run(seed)
    assert world.unfinished() == []
    assert world.starts > 0
