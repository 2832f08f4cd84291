"""Faults that occur in operation: suspended processes, partial cuts, query storms, slow provisioning, failing jobs."""

from __future__ import annotations

from itertools import combinations

from tests.infrastructure_faults import (
    OwnerFault,
    end_all_faults,
    random_infrastructure_fault,
    random_owner,
    run_until_finished,
)
from tests.simulated_cluster import SimulatedCluster
from tests.simulation.errors import RuleViolationError
from tests.simulation.faults import random_fault, set_temporarily
from tests.user_requests import UNIFORM_JOB

LINKS = ("state", "peers", "workers", "users")
TEAM_WITHOUT_GUARANTEE = "team-2"
LINK_COMBINATIONS = [*((link,) for link in LINKS), *combinations(LINKS, 2)]


def cut_links(cluster: SimulatedCluster, node: str, links: tuple[str, ...]) -> None:
    """Cut a controller from the state store, its peers, the workers or the users, as `links` says."""
    others: list[str] = []
    if "state" in links:
        others.append("state")
    if "users" in links:
        others.append("users")
    if "peers" in links:
        others.extend(name for name in cluster.node_names if name != node)
    if "workers" in links:
        cluster.network.cut_from_workers.add(node)
    for other in others:
        cluster.network.cut(node, other)
    cluster.event_counts[f"cut from {'+'.join(links)}"] += 1


def send_query_storm(cluster: SimulatedCluster, seconds: float, queries: int) -> None:
    """Query random nodes many times, for jobs in all states and for ids that were never submitted."""

    def send_query() -> None:
        accepted = [job_id for job_id, job in cluster.jobs.items() if job.accepted]
        if accepted and cluster.rng.random() < 0.8:
            cluster.query(cluster.rng.choice(accepted), cluster.rng.choice(cluster.node_names))
        else:
            cluster.send_request("GET", f"/work/req-none-{cluster.rng.randrange(10**6)}", None, on_unknown_answered)
        cluster.event_counts["query of a storm"] += 1

    def on_unknown_answered(status: int | None, data: dict, _sent_at: float) -> None:
        if status == 200:
            raise RuleViolationError(f"invented: query of an unknown job got 200: {data}")

    for _ in range(queries):
        cluster.call_later(cluster.rng.uniform(0.0, seconds), send_query)


class _OperationalFault(OwnerFault):
    """Faults of limited duration that occur in operation."""

    def suspend_owner(self) -> None:
        """Suspend an owner for 0.5 s, for some seconds, just under a lease of either kind, or well over it."""
        durations = [0.5, self.rng.uniform(1.0, 8.0), 0.3 * self.lease_s, 0.95 * self.lease_s, 2.5 * self.lease_s]
        self.cluster.suspend(random_owner(self.cluster, self.owner_kind), self.rng.choice(durations))
        self.cluster.event_counts["process suspended"] += 1

    def suspend_in_turn(self) -> None:
        for position, name in enumerate(self.cluster.node_names):
            self.cluster.call_later(
                2.0 * position, lambda name=name: self.cluster.suspend(name, self.rng.uniform(0.5, self.duration))
            )
        self.cluster.event_counts["processes suspended in turn"] += 1

    def cut_some_links(self) -> None:
        """Cut some links of an owner; packets are held or lost, and another cut may begin as this one ends."""
        self.net.hold_cut_packets = self.rng.random() < 0.5
        node = random_owner(self.cluster, self.owner_kind)
        cut_links(self.cluster, node, self.rng.choice(LINK_COMBINATIONS))
        self.cluster.call_later(self.duration, self.net.heal)
        if self.rng.random() < 0.4:
            self.cluster.call_later(
                self.duration,
                lambda: cut_links(
                    self.cluster, random_owner(self.cluster, self.owner_kind), self.rng.choice(LINK_COMBINATIONS)
                ),
            )
            self.cluster.call_later(2 * self.duration, self.net.heal)
            self.cluster.event_counts["cut began as another ended"] += 1

    def query_storm_and_suspend(self) -> None:
        send_query_storm(self.cluster, self.duration, 300)
        self.cluster.call_later(self.duration / 3, self.suspend_owner)

    def query_storm(self) -> None:
        send_query_storm(self.cluster, self.duration, 300)

    def slow_provisioning(self) -> None:
        """Slow provisioning down and fail some of it, and fail half of the machines so that some are rented."""
        set_temporarily(self.cluster, 3 * self.duration, self.cluster.cloud, "provisioning_failure_share", 0.4, 0.0)
        set_temporarily(self.cluster, 3 * self.duration, self.cluster.cloud, "provisioning_slowdown", 4.0, 1.0)
        workers = [worker for worker in self.cluster.cloud.machines.values() if worker.up]
        for worker in self.rng.sample(workers, len(workers) // 2):
            worker.fail()
        self.cluster.event_counts["slow provisioning"] += 1

    def failing_jobs(self) -> None:
        """Submit jobs whose tasks always fail, one of them a gang, and cancel them some time later."""
        for shape in ("array", "array", "group"):
            job_id = self.cluster.submit(
                **UNIFORM_JOB | {"crew": "team-0", "shape": shape, "plays": 3, "expected_s": 5.0}
            )
            self.cluster.jobs[job_id].always_fails = True
            self.cluster.call_later(self.duration + 20.0, lambda job_id=job_id: self.cluster.cancel(job_id))
            self.cluster.event_counts["failing job"] += 1

    def team_without_guarantee(self) -> None:
        """Submit a large job array with checkpoints and many single tasks, all of low priority."""
        checkpointing = {"crew": TEAM_WITHOUT_GUARANTEE, "urgency": "low", "snapshot_every_s": 3.0, "snapshot_s": 0.5}
        self.cluster.submit(**UNIFORM_JOB | checkpointing | {"plays": 60, "expected_s": 6.0})
        for i in range(20):
            single = {"crew": TEAM_WITHOUT_GUARANTEE, "urgency": "low", "plays": 1, "vcpus": 1.0, "expected_s": 2.0}
            self.cluster.call_later(0.2 * i, lambda single=single: self.cluster.submit(**UNIFORM_JOB | single))
        self.cluster.event_counts["team without guarantee"] += 1

    # The order decides which fault a seed draws.
    ALL = (
        suspend_owner,
        suspend_in_turn,
        cut_some_links,
        query_storm_and_suspend,
        query_storm,
        slow_provisioning,
        failing_jobs,
        team_without_guarantee,
    )


def random_operational_fault(cluster: SimulatedCluster) -> None:
    """Start a random operational fault."""
    _OperationalFault.start_random(cluster, 20.0)


def operational_faults_run(seed: int, seconds: float = 120.0, jobs: int = 18) -> SimulatedCluster:
    """Run jobs, operational and other faults at random times, then end all faults and give the jobs time to finish."""
    cluster = SimulatedCluster(seed, cpu_limit=48.0)
    cluster.call_at_random_times(jobs, 0.0, 0.7 * seconds, cluster.submit)
    for _ in range(int(seconds / 10)):
        start_fault = cluster.rng.choice([*3 * [random_operational_fault], random_infrastructure_fault, random_fault])
        cluster.call_later(cluster.rng.uniform(10.0, seconds), lambda start_fault=start_fault: start_fault(cluster))
    cluster.run(seconds + 45.0)
    end_all_faults(cluster)
    cluster.cloud.provisioning_failure_share, cluster.cloud.provisioning_slowdown = 0.0, 1.0
    for job_id, job in cluster.jobs.items():
        if job.always_fails and not job.cancel_requested:
            cluster.cancel(job_id)
    run_until_finished(cluster, 240.0)
    return cluster
