"""A job that waits for others: held until they are done, cancelled with them."""

import pytest

from tests.world import World

ALIKE = {"plain": True, "yard": None, "rigs": None, "spread": False, "together": False, "loaners": True,
         "urgency": "standard", "vcpus": 2.0, "shape": "array"}


def _chain(world: World, length: int, expected_s: float = 5.0) -> list[str]:
    jobs: list[str] = []
    for _ in range(length):
        jobs.append(world.submit(plays=2, expected_s=expected_s, waits_on=jobs[-1:], **ALIKE))
        world.run(2.0)
        assert world.jobs[jobs[-1]].accepted
    return jobs


@pytest.mark.parametrize("seed", range(3))
def test_a_chain_runs_in_its_order(seed):
    world = World(seed)
    world.run(20.0)
    jobs = [world.jobs[job] for job in _chain(world, 4)]
    world.run(100.0)
    assert [job.final for job in jobs] == ["done"] * 4
    assert all(one.final_at - 6.0 <= other.started_at for one, other in zip(jobs, jobs[1:], strict=False))


@pytest.mark.parametrize("seed", range(3))
def test_what_needs_a_cancelled_job_is_cancelled_with_it(seed):
    world = World(seed)
    world.run(20.0)
    jobs = _chain(world, 4, expected_s=100.0)
    for job in jobs[1:]:
        world.jobs[job].cancel_wanted = True  # with the first: nobody asks for it
    world.cancel(jobs[0])
    world.run(10.0)
    assert [world.jobs[job].final for job in jobs] == ["cancelled"] * 4
    assert all(world.jobs[job].started_at is None for job in jobs[1:])
