"""The fleet: what it takes for a sign that a machine is lost, and what it does not."""

import pytest

from tests.world import World


@pytest.mark.parametrize("cut", ["state", "state and peers"])
def test_machines_of_a_cut_off_owner_are_kept(cut):
    """Guards against a takeover that released every machine: the earlier owner, cut off from the state service,
    went on answering its workers, so that the new owner heard of none and took all for lost."""
    world = World(3)
    for _ in range(4):
        world.submit(plays=6, expected_s=200.0, loaners=True, yard=None, rigs=None, spread=False, together=False)
    world.run(60.0)
    owners = [name for name, node in world.nodes.items() if node.parts.parts]
    up = {name for name, worker in world.cloud.machines.items() if worker.up and worker.on_machine()}
    assert up
    for owner in owners[:1]:
        world.network.cut(owner, "state")
        if cut != "state":
            for other in world.names:
                if other != owner:
                    world.network.cut(owner, other)
    world.run(40.0)
    assert up <= world.cloud.machines.keys()
