"""Jobs with dependencies are blocked until these are done, and cancelled with them."""

import json

import pytest

from tests.simulated_cluster import SimulatedCluster, make_request
from tests.user_requests import UNIFORM_JOB


def _submit_chain(cluster: SimulatedCluster, length: int, expected_s: float = 5.0) -> list[str]:
    """Submit jobs that each depend on the one before; return their ids."""
    jobs: list[str] = []
    for _ in range(length):
        jobs.append(cluster.submit(plays=2, expected_s=expected_s, waits_on=jobs[-1:], **UNIFORM_JOB))
        cluster.run(2.0)
        assert cluster.jobs[jobs[-1]].accepted
    return jobs


@pytest.mark.parametrize("seed", range(3))
def test_chain_of_jobs_runs_in_order(seed):
    cluster = SimulatedCluster(seed)
    cluster.run(20.0)
    jobs = [cluster.jobs[job] for job in _submit_chain(cluster, 4)]
    cluster.run(100.0)
    assert [job.final_status for job in jobs] == ["done"] * 4
    assert all(job.final_at - 6.0 <= dependent.started_at for job, dependent in zip(jobs, jobs[1:], strict=False))


@pytest.mark.parametrize("seed", range(3))
def test_chain_is_cancelled_with_its_first_job(seed):
    cluster = SimulatedCluster(seed)
    cluster.run(20.0)
    jobs = _submit_chain(cluster, 4, expected_s=100.0)
    for job in jobs[1:]:
        cluster.jobs[job].cancel_requested = True  # tells the checker to accept a cancellation without a request
    cluster.cancel(jobs[0])
    cluster.run(10.0)
    assert [cluster.jobs[job].final_status for job in jobs] == ["cancelled"] * 4
    assert all(cluster.jobs[job].started_at is None for job in jobs[1:])


def _submit_to_n0(cluster: SimulatedCluster, spec: dict) -> tuple[int, dict]:
    """Submit a job to node n0; return the status and the body of its reply, which must come within 2 s."""
    replies: list[tuple[int, dict]] = []
    cluster.controllers["n0"].on_request(
        make_request("POST", "/work", json.dumps(spec).encode()),
        lambda status, data=b"{}", after=None: replies.append((status, json.loads(data))),
    )
    submitted_at = cluster.now
    cluster.run(1.5)
    assert len(replies) == 1 and cluster.now < submitted_at + 2.0
    return replies[0]


@pytest.mark.parametrize("known", [True, False])
def test_dependency_list_too_long_to_store_is_rejected_immediately_and_one_that_fits_is_stored(known):
    cluster = SimulatedCluster(2, next_limits={"value_kb": 1.0, "txn_ops": 2})
    cluster.run(20.0)
    first = cluster.submit(plays=1, expected_s=200.0, **UNIFORM_JOB)
    cluster.run(3.0)
    job_index = cluster.controllers["n0"].job_index
    dependencies = [f"req-9{i:05d}" for i in range(300)]
    if known:  # as if each had been accepted before
        for dependency in dependencies:
            for node in cluster.controllers.values():
                node.job_index.active[dependency] = node.job_index.active[first]
    spec = cluster.random_spec("req-long") | UNIFORM_JOB | {"plays": 1}
    del spec["undisturbed"]
    assert _submit_to_n0(cluster, spec | {"waits_on": [first, *dependencies]})[0] == 400
    assert "job/req-long" not in cluster.state.rows
    if known:
        cluster.jobs["req-long"] = cluster.jobs[first]  # known to the rule checker, which requires nothing more of it
        assert _submit_to_n0(cluster, spec | {"waits_on": [first, *dependencies[:100]]})[0] == 201
        rows = [row[0] for key, row in cluster.state.rows.items() if key.startswith("job/req-long")]
        assert len(rows) == 2 and rows[0]["more"] == 1
        assert rows[0]["s"]["waits_on"] + rows[1]["w"] == [first, *dependencies[:100]]
        assert job_index.is_blocked("req-long")
