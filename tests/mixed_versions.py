"""Clusters in which the production version and the current one run side by side."""

from __future__ import annotations

from collections import Counter

from tests.dependency_steps import run_until
from tests.simulated_cluster import SimulatedCluster
from tests.user_requests import UNCONSTRAINED_JOB

NODE_NAMES = ("n0", "n1", "n2")
LOWERED_LIMITS = {"write_rps": 30.0, "value_kb": 0.7, "txn_ops": 2}


def assignment_records(cluster: SimulatedCluster, job_id: str) -> dict[str, dict]:
    """Return the chunks of a job's assignment record by their keys."""
    prefix = f"live/{cluster.jobs[job_id].spec['crew']}/{job_id}"
    return {key: row[0] for key, row in cluster.state.rows.items() if key == prefix or key.startswith(prefix + "/")}


def assignment_counts(chunks: dict[str, dict]) -> Counter[int]:
    """Return how often the chunks of an assignment record assign each task."""
    counts: Counter[int] = Counter()
    for chunk in chunks.values():
        for machines in chunk["m"].values():
            for runs in machines.values():
                for index, _attempt, count in runs:
                    counts.update(range(index, index + count))
    return counts


def run_wide_job(seed: int, production_nodes: tuple[str, ...], **overrides) -> tuple[SimulatedCluster, str]:
    """Run a job on so many machines that its record exceeds `LOWERED_LIMITS` or has several chunks."""
    cluster = SimulatedCluster(seed, cpu_limit=2500.0, write_rps=40.0, production_nodes=production_nodes, **overrides)
    cluster.cloud.capacity_per_pool = 40
    cluster.run(10.0)
    job = cluster.submit(
        **UNCONSTRAINED_JOB | {"plays": 150, "vcpus": 8.0, "memory_gb": 4.0, "expected_s": 90.0, "crew": "team-0"}
    )
    run_until(cluster, lambda: len(assignment_counts(assignment_records(cluster, job))) > 100)
    cluster.run(5.0)
    return cluster, job
