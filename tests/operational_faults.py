"""Fault injection from operations: suspended processes, one-sided cuts, query storms, slow provisioning, bad jobs."""

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
LINK_COMBINATIONS = [*((side,) for side in LINKS), *combinations(LINKS, 2)]


def cut_links(cluster: SimulatedCluster, node: str, sides: tuple[str, ...]) -> None:
    """A controller loses some of those that it talks to."""
    others: list[str] = []
    if "state" in sides:
        others.append("state")
    if "users" in sides:
        others.append("users")
    if "peers" in sides:
        others.extend(name for name in cluster.node_names if name != node)
    if "workers" in sides:
        cluster.network.cut_from_workers.add(node)
    for other in others:
        cluster.network.cut(node, other)
    cluster.event_counts[f"cut from {'+'.join(sides)}"] += 1


def send_query_storm(cluster: SimulatedCluster, seconds: float, queries: int) -> None:
    """Users query all nodes again and again, for jobs in all states and for ids that nobody submitted."""

    def send_query() -> None:
        known = [job_id for job_id, job in cluster.jobs.items() if job.accepted]
        if known and cluster.rng.random() < 0.8:
            cluster.query(cluster.rng.choice(known), cluster.rng.choice(cluster.node_names))
        else:
            cluster.send_request("GET", f"/work/req-none-{cluster.rng.randrange(10**6)}", None, unknown)
        cluster.event_counts["query of a storm"] += 1

    def unknown(status: int | None, data: dict, _asked: float) -> None:
        if status == 200:
            raise RuleViolationError(f"invented: {data}")

    for _ in range(queries):
        cluster.call_later(cluster.rng.uniform(0.0, seconds), send_query)


class _OperationalFault(OwnerFault):
    """Faults that operators met: suspended processes, one-sided cuts, query storms, slow provisioning, bad jobs."""

    def suspend_owner(self) -> None:
        """For 0.5 s, for seconds, just under a lease of either kind, or well over them."""
        lengths = [0.5, self.rng.uniform(1.0, 8.0), 0.3 * self.lease_s, 0.95 * self.lease_s, 2.5 * self.lease_s]
        self.cluster.suspend(random_owner(self.cluster, self.owner_kind), self.rng.choice(lengths))
        self.cluster.event_counts["process suspended"] += 1

    def suspend_in_turn(self) -> None:
        for position, name in enumerate(self.cluster.node_names):
            self.cluster.call_later(
                2.0 * position, lambda name=name: self.cluster.suspend(name, self.rng.uniform(0.5, self.span))
            )
        self.cluster.event_counts["processes suspended in turn"] += 1

    def cut_one_side(self) -> None:
        """The packets are held or lost; another cut may begin as this one ends."""
        self.net.hold_cut_packets = self.rng.random() < 0.5
        node = random_owner(self.cluster, self.owner_kind)
        cut_links(self.cluster, node, self.rng.choice(LINK_COMBINATIONS))
        self.cluster.call_later(self.span, self.net.heal)
        if self.rng.random() < 0.4:
            self.cluster.call_later(
                self.span,
                lambda: cut_links(
                    self.cluster, random_owner(self.cluster, self.owner_kind), self.rng.choice(LINK_COMBINATIONS)
                ),
            )
            self.cluster.call_later(2 * self.span, self.net.heal)
            self.cluster.event_counts["cut began as another ended"] += 1

    def _cut_another(self) -> None:
        cut_links(self.cluster, random_owner(self.cluster, self.owner_kind), self.rng.choice(LINK_COMBINATIONS))

    def query_storm_and_suspend(self) -> None:
        send_query_storm(self.cluster, self.span, 300)
        self.cluster.call_later(self.span / 3, self.suspend_owner)

    def query_storm(self) -> None:
        send_query_storm(self.cluster, self.span, 300)

    def slow_provisioning(self) -> None:
        """Provisioning is slow or fails, and half of the machines that are up are lost, so that some are rented."""
        set_temporarily(self.cluster, 3 * self.span, self.cluster.cloud, "provisioning_failure_share", 0.4, 0.0)
        set_temporarily(self.cluster, 3 * self.span, self.cluster.cloud, "provisioning_slowdown", 4.0, 1.0)
        workers = [worker for worker in self.cluster.cloud.machines.values() if worker.up]
        for worker in self.rng.sample(workers, len(workers) // 2):
            worker.fail()
        self.cluster.event_counts["slow provisioning"] += 1

    def failing_jobs(self) -> None:
        """Jobs, one of them a gang, whose tasks always fail; they are cancelled some time later."""
        for shape in ("array", "array", "group"):
            job_id = self.cluster.submit(
                **UNIFORM_JOB | {"crew": "team-0", "shape": shape, "plays": 3, "expected_s": 5.0}
            )
            self.cluster.jobs[job_id].always_fails = True
            self.cluster.call_later(self.span + 20.0, lambda job_id=job_id: self.cluster.cancel(job_id))
            self.cluster.event_counts["failing job"] += 1

    def team_without_guarantee(self) -> None:
        """One vast job array with checkpoints, and many single tasks, of low priority."""
        long = {"crew": TEAM_WITHOUT_GUARANTEE, "urgency": "low", "snapshot_every_s": 3.0, "snapshot_s": 0.5}
        self.cluster.submit(**UNIFORM_JOB | long | {"plays": 60, "expected_s": 6.0})
        for i in range(20):
            single = {"crew": TEAM_WITHOUT_GUARANTEE, "urgency": "low", "plays": 1, "vcpus": 1.0, "expected_s": 2.0}
            self.cluster.call_later(0.2 * i, lambda single=single: self.cluster.submit(**UNIFORM_JOB | single))
        self.cluster.event_counts["team without guarantee"] += 1

    # The order decides what a seed draws.
    ALL = (
        suspend_owner,
        suspend_in_turn,
        cut_one_side,
        query_storm_and_suspend,
        query_storm,
        slow_provisioning,
        failing_jobs,
        team_without_guarantee,
    )


def random_operational_fault(cluster: SimulatedCluster) -> None:
    """Start one random fault that operators met."""
    _OperationalFault.start_random(cluster, 20.0)


def operational_faults_run(seed: int, seconds: float = 120.0, jobs: int = 18) -> SimulatedCluster:
    """Jobs, operational and other faults at random times; then recovery, in which every accepted job must end."""
    cluster = SimulatedCluster(seed, cpu_limit=48.0)
    cluster.call_at_random_times(jobs, 0.0, 0.7 * seconds, cluster.submit)
    for _ in range(int(seconds / 10)):
        fault = cluster.rng.choice([*3 * [random_operational_fault], random_infrastructure_fault, random_fault])
        cluster.call_later(cluster.rng.uniform(10.0, seconds), lambda fault=fault: fault(cluster))
    cluster.run(seconds + 45.0)
    end_all_faults(cluster)
    cluster.cloud.provisioning_failure_share, cluster.cloud.provisioning_slowdown = 0.0, 1.0
    for job_id, job in cluster.jobs.items():
        if job.always_fails and not job.cancel_requested:
            cluster.cancel(job_id)
    run_until_finished(cluster, 240.0)
    return cluster
