"""Seeded random runs with troubles of network, state service, machines and controllers, mixed with the others."""

from collections import Counter

import pytest

from tests.infrastructure_faults import mixed_run

# Troubles of which each must have happened in some run; the directed tests assert them one by one.
MUST = [
    "cut",
    "mute",
    "lease ran out",
    "late write after newer ones",
    "unanswered write read by another",
    "late report: after newer ones",
    "copy for the next owner: at its owner",
    "slow answer of the state service",
    "up before the rental's answer",
]
happened: Counter[str] = Counter()


@pytest.mark.parametrize("seed", range(10))
def test_rules_hold_when_troubles_meet(seed):
    world = mixed_run(seed)
    happened.update(world.network.happened)
    assert world.network.happened["lease ran out"] + world.network.happened["cut"] > 0
    assert world.unfinished() == []
    assert world.starts > 0


@pytest.mark.parametrize("seed", [10, 11])
def test_rules_hold_when_troubles_meet_over_slow_links_with_guarantees(seed):
    world = mixed_run(seed, guarantee=8.0, new=0.8)
    happened.update(world.network.happened)
    assert world.unfinished() == []
    assert world.starts > 0


def test_the_troubles_did_happen():
    """Of the runs above; alone it makes some itself."""
    seeds = iter(range(12))
    while [name for name in MUST if not happened[name]]:
        happened.update(mixed_run(next(seeds)).network.happened)
