"""Clusters in which the version in production and the present one run side by side."""

from __future__ import annotations

from collections import Counter

from tests.dependency_steps import run_until
from tests.simulated_cluster import SimulatedCluster
from tests.user_requests import UNCONSTRAINED_JOB

NAMES = ("n0", "n1", "n2")
LOWER = {"write_rps": 30.0, "value_kb": 0.7, "txn_ops": 2}


def rows_of(world: SimulatedCluster, job_id: str) -> dict[str, dict]:
    prefix = f"live/{world.jobs[job_id].spec['crew']}/{job_id}"
    return {key: row[0] for key, row in world.state.rows.items() if key == prefix or key.startswith(prefix + "/")}


def times_named(rows: dict[str, dict]) -> Counter[int]:
    """How often each task is assigned by the chunks of a record."""
    found: Counter[int] = Counter()
    for value in rows.values():
        for machines in value["m"].values():
            for runs in machines.values():
                for index, _attempt, count in runs:
                    found.update(range(index, index + count))
    return found


def wide_job(seed: int, old: tuple[str, ...], **over) -> tuple[SimulatedCluster, str]:
    """A job on so many machines that its record is larger than the coming limits, or has several chunks."""
    world = SimulatedCluster(seed, limit=2500.0, wps=40.0, old=old, **over)
    world.cloud.capacity_per_kind = 40
    world.run(10.0)
    job = world.submit(
        **UNCONSTRAINED_JOB | {"plays": 150, "vcpus": 8.0, "memory_gb": 4.0, "expected_s": 90.0, "crew": "team-0"}
    )
    run_until(world, lambda: len(times_named(rows_of(world, job))) > 100)
    world.run(5.0)
    return world, job
