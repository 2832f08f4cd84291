"""A job with dependencies: blocked until they are done, cancelled with them."""

import json

import pytest

from tests.simulated_cluster import SimulatedCluster, make_request
from tests.user_requests import UNIFORM_JOB


def _chain(world: SimulatedCluster, length: int, expected_s: float = 5.0) -> list[str]:
    jobs: list[str] = []
    for _ in range(length):
        jobs.append(world.submit(plays=2, expected_s=expected_s, waits_on=jobs[-1:], **UNIFORM_JOB))
        world.run(2.0)
        assert world.jobs[jobs[-1]].accepted
    return jobs


@pytest.mark.parametrize("seed", range(3))
def test_chain_of_jobs_runs_in_order(seed):
    world = SimulatedCluster(seed)
    world.run(20.0)
    jobs = [world.jobs[job] for job in _chain(world, 4)]
    world.run(100.0)
    assert [job.final for job in jobs] == ["done"] * 4
    assert all(one.final_at - 6.0 <= other.started_at for one, other in zip(jobs, jobs[1:], strict=False))


@pytest.mark.parametrize("seed", range(3))
def test_chain_is_cancelled_with_its_first_job(seed):
    world = SimulatedCluster(seed)
    world.run(20.0)
    jobs = _chain(world, 4, expected_s=100.0)
    for job in jobs[1:]:
        world.jobs[job].cancel_wanted = True  # with the first: nobody asks for it
    world.cancel(jobs[0])
    world.run(10.0)
    assert [world.jobs[job].final for job in jobs] == ["cancelled"] * 4
    assert all(world.jobs[job].started_at is None for job in jobs[1:])


def _submitted(world: SimulatedCluster, spec: dict) -> tuple[int, dict]:
    answers: list[tuple[int, dict]] = []
    world.nodes["n0"].on_request(
        make_request("POST", "/work", json.dumps(spec).encode()),
        lambda status, data=b"{}", after=None: answers.append((status, json.loads(data))),
    )
    at = world.now
    world.run(1.5)
    assert len(answers) == 1 and world.now < at + 2.0
    return answers[0]


@pytest.mark.parametrize("known", [True, False])
def test_a_list_too_long_to_be_kept_is_refused_at_once_and_one_that_fits_is_kept(known):
    world = SimulatedCluster(2, next={"value_kb": 1.0, "txn_ops": 2})
    world.run(20.0)
    first = world.submit(plays=1, expected_s=200.0, **UNIFORM_JOB)
    world.run(3.0)
    job_index = world.nodes["n0"].job_index
    names = [f"req-9{i:05d}" for i in range(300)]
    if known:  # as if each had been accepted before
        for name in names:
            for node in world.nodes.values():
                node.job_index.active[name] = node.job_index.active[first]
    spec = world.spec("req-long") | UNIFORM_JOB | {"plays": 1}
    del spec["plain"]
    assert _submitted(world, spec | {"waits_on": [first, *names]})[0] == 400
    assert "job/req-long" not in world.state.rows
    if known:
        world.jobs["req-long"] = world.jobs[first]  # its user: the checker asks nothing of it
        assert _submitted(world, spec | {"waits_on": [first, *names[:100]]})[0] == 201
        rows = [row[0] for key, row in world.state.rows.items() if key.startswith("job/req-long")]
        assert len(rows) == 2 and rows[0]["more"] == 1
        assert rows[0]["s"]["waits_on"] + rows[1]["w"] == [first, *names[:100]]
        assert job_index.is_blocked("req-long")
