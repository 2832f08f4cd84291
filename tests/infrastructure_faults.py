"""Fault injection into state store, network, machines, cloud and controllers, and runs that combine faults."""

from __future__ import annotations

from collections.abc import Callable

from tests.simulated_cluster import SimulatedCluster, end_faults, random_fault
from tests.simulation.faults import hang_machine, machines_up, set_temporarily
from tests.standins import Worker

OWNERSHIP_PREFIXES = {
    "fleet": "own/fleet",
    "team": "own/home/",
    "partition": "own/part/",
}


def owners(cluster: SimulatedCluster, kind: str) -> list[str]:
    """Return the nodes that own the fleet, a team or a partition by the state store's records, without duplicates."""
    return sorted({row[0]["n"] for key, row in cluster.state.rows.items() if key.startswith(OWNERSHIP_PREFIXES[kind])})


def random_owner(cluster: SimulatedCluster, kind: str) -> str:
    """Return a random owner of this kind, or any node when there is none at the moment."""
    return cluster.rng.choice(owners(cluster, kind) or cluster.node_names)


def block_heartbeats(cluster: SimulatedCluster, workers: list[Worker], seconds: float) -> None:
    names = {worker.name for worker in workers}
    cluster.network.heartbeat_blackholes |= names
    cluster.call_later(seconds, lambda: cluster.network.heartbeat_blackholes.difference_update(names))


def crash_all_controllers(cluster: SimulatedCluster, downtime: Callable[[str], float]) -> None:
    """End all controllers and restart each after its downtime."""
    for name in cluster.node_names:
        cluster.crash(name, downtime(name))


def crash_owners_repeatedly(cluster: SimulatedCluster, kind: str, times: int, interval_s: float) -> None:
    """Crash an owner of this kind repeatedly, each time a current one."""
    for i in range(times):
        cluster.call_later(
            i * interval_s, lambda: cluster.crash(random_owner(cluster, kind), cluster.rng.choice([0.1, 1.0, 4.0]))
        )


class OwnerFault:
    """A fault of limited duration that may hit an owner of `owner_kind`, started by a method that `ALL` lists."""

    ALL: tuple[Callable[..., None], ...] = ()

    def __init__(self, cluster: SimulatedCluster, duration: float, owner_kind: str) -> None:
        self.cluster, self.rng, self.net, self.duration, self.owner_kind = (
            cluster,
            cluster.rng,
            cluster.network,
            duration,
            owner_kind,
        )
        self.lease_s, self.cancel_s = cluster.settings.params.workers.lease_s, cluster.settings.params.workers.cancel_s

    @classmethod
    def start_random(cls, cluster: SimulatedCluster, max_duration_s: float) -> None:
        """Start a random fault of this class with a random duration and kind of owner."""
        start_fault = cluster.rng.choice(cls.ALL)
        start_fault(
            cls(cluster, cluster.rng.uniform(2.0, max_duration_s), cluster.rng.choice(tuple(OWNERSHIP_PREFIXES)))
        )


class _InfrastructureFault(OwnerFault):
    """Faults of the state store, of the network, of machines, the cloud and controllers."""

    # -- state store

    def late_writes(self) -> None:
        set_temporarily(self.cluster, self.duration, self.net, "late_write_share", self.rng.uniform(0.1, 0.7), 0.0)

    def lost_answers(self) -> None:
        set_temporarily(self.cluster, self.duration, self.net, "lost_answer_share", self.rng.uniform(0.1, 0.7), 0.0)

    def slow_state(self) -> None:
        set_temporarily(
            self.cluster, 2 * self.duration, self.net, "state_answer_delay_s", self.rng.uniform(0.3, 2.5), 0.0
        )

    def one_refused_then_outage(self) -> None:
        cluster, rng = self.cluster, self.rng
        cluster.state.refused_nodes = {random_owner(cluster, self.owner_kind)}
        cluster.call_later(rng.uniform(0.5, 5.0), lambda: cluster.state.set_down(True))
        until = rng.choice([self.duration, 1.1 * self.cancel_s]) + 5.0
        cluster.call_later(until, lambda: cluster.state.set_down(False))
        cluster.call_later(until, lambda: setattr(cluster.state, "refused_nodes", set()))

    # -- heartbeats and commands

    def late_heartbeats(self) -> None:
        set_temporarily(
            self.cluster, 2 * self.duration, self.net, "late_heartbeat_share", self.rng.uniform(0.1, 0.5), 0.0
        )

    def heartbeats_for_next_owner(self) -> None:
        set_temporarily(self.cluster, self.duration, self.net, "next_owner_copy_share", self.rng.uniform(0.1, 0.5), 0.0)
        self.cluster.call_later(self.duration, self._crash_partition_owner)

    def heartbeats_held_back(self) -> None:
        set_temporarily(self.cluster, self.duration, self.net, "held_heartbeat_share", self.rng.uniform(0.1, 0.5), 0.0)
        self.cluster.call_later(0.8 * self.duration, self._crash_partition_owner)

    def _crash_partition_owner(self) -> None:
        self.cluster.crash(random_owner(self.cluster, "partition"), self.rng.choice([0.05, 0.5, 5.0]))

    def block_some_heartbeats(self) -> None:
        """Lose the heartbeats of some machines, or of a zone, for less than a lease or for several leases."""
        if workers := machines_up(self.cluster):
            zone = self.rng.choice([None, "za", "zb"])
            if zone:
                some = [worker for worker in workers if worker.zone == zone]
            else:
                some = self._third_of(workers)
            block_heartbeats(self.cluster, some, self.rng.choice([4.0, self.duration, 4 * self.lease_s]))

    def late_commands(self) -> None:
        """Delay commands and make a third of the machines hang."""
        if workers := machines_up(self.cluster):
            self.net.command_delay_s = self.rng.choice([(0.5, 5.0), (2.0, 12.0), (10.0, 90.0)])
            set_temporarily(
                self.cluster, 2 * self.duration, self.net, "late_command_share", self.rng.uniform(0.2, 0.9), 0.0
            )
            for worker in self._third_of(workers):
                hang_machine(self.cluster, worker, self.rng.choice([self.rng.uniform(1.0, 8.0), self.duration]))

    def _third_of(self, workers: list[Worker]) -> list[Worker]:
        return self.rng.sample(workers, max(1, len(workers) // 3))

    # -- network partitions

    def cut_owner(self) -> None:
        self.net.hold_cut_packets = self.rng.random() < 0.5
        self.net.cut_node(random_owner(self.cluster, self.owner_kind))
        self.cluster.call_later(self.rng.choice([self.duration, self.cancel_s]), self.net.heal)

    def cut_zone(self) -> None:
        self.net.hold_cut_packets = self.rng.random() < 0.7
        self.net.cut_zone(self.rng.choice(["za", "zb"]), self.rng.choice(self.cluster.node_names))
        self.cluster.call_later(self.rng.choice([self.duration, 1.5 * self.lease_s]), self.net.heal)

    # -- cloud

    def rentals_answered_late(self) -> None:
        """Let machines come up before their rental is answered; half of those already up fail, which causes rentals."""
        set_temporarily(self.cluster, 2 * self.duration, self.cluster.cloud, "fast_provisioning", True, False)
        set_temporarily(
            self.cluster, 2 * self.duration, self.cluster.cloud, "max_answer_delay_s", self.rng.uniform(1.0, 8.0), 0.0
        )
        workers = machines_up(self.cluster)
        for worker in self.rng.sample(workers, len(workers) // 2):
            worker.fail()

    # -- controllers

    def all_crash(self) -> None:
        crash_all_controllers(self.cluster, lambda _name: self.rng.uniform(0.05, 1.0))

    def all_crash_one_returns_early(self) -> None:
        first = self.rng.choice(self.cluster.node_names)
        crash_all_controllers(
            self.cluster, lambda name: self.rng.uniform(0.05, 1.0) if name == first else self.duration
        )

    def all_crash_for_leases(self) -> None:
        crash_all_controllers(self.cluster, lambda _name: self.rng.uniform(1.0, 2.5) * self.lease_s)

    def owners_crash_repeatedly(self) -> None:
        """Crash owners repeatedly, in some cases with an outage of the state store in between."""
        cluster, rng = self.cluster, self.rng
        crash_owners_repeatedly(cluster, self.owner_kind, rng.randint(2, 10), 12.0)
        if rng.random() < 0.4:
            cluster.call_later(rng.uniform(0.0, 20.0), lambda: cluster.state.set_down(True))
            cluster.call_later(20.0 + self.duration, lambda: cluster.state.set_down(False))

    # The order decides which fault a seed draws.
    ALL = (
        late_writes,
        lost_answers,
        late_heartbeats,
        heartbeats_for_next_owner,
        heartbeats_held_back,
        block_some_heartbeats,
        late_commands,
        one_refused_then_outage,
        slow_state,
        cut_owner,
        rentals_answered_late,
        all_crash,
        all_crash_one_returns_early,
        owners_crash_repeatedly,
        all_crash_for_leases,
        cut_zone,
    )


def random_infrastructure_fault(cluster: SimulatedCluster) -> None:
    """Start a random fault of the infrastructure."""
    _InfrastructureFault.start_random(cluster, 25.0)


def random_fault_of_any_kind(cluster: SimulatedCluster, infrastructure_share: float) -> None:
    """Start a random fault; `infrastructure_share` of them are faults of the infrastructure."""
    if cluster.rng.random() < infrastructure_share:
        random_infrastructure_fault(cluster)
    else:
        random_fault(cluster)


def end_all_faults(cluster: SimulatedCluster) -> None:
    end_faults(cluster)
    cluster.network.end_faults()
    cluster.cloud.fast_provisioning, cluster.cloud.max_answer_delay_s = False, 0.0


def run_until_finished(cluster: SimulatedCluster, seconds: float) -> None:
    """Run until every job has finished or these seconds have passed, and 15 s more."""
    until = cluster.now + seconds
    while cluster.unfinished_jobs() and cluster.now < until:
        cluster.run(5.0)
    cluster.run(15.0)


def assert_all_finished(cluster: SimulatedCluster) -> None:
    """Assert that tasks were started and that every job has finished."""
    assert cluster.unfinished_jobs() == []
    assert cluster.task_starts > 0


def combined_faults_run(
    seed: int, seconds: float = 150.0, jobs: int = 30, infrastructure_share: float = 0.6, **overrides
) -> SimulatedCluster:
    """Run jobs and faults of both kinds at random times, then end all faults and give the jobs time to finish."""
    cluster = SimulatedCluster(seed, **overrides)
    cluster.call_at_random_times(jobs, 0.0, 0.7 * seconds, cluster.submit)
    cluster.call_at_random_times(
        int(seconds / 8), 10.0, seconds, lambda: random_fault_of_any_kind(cluster, infrastructure_share)
    )
    cluster.run(seconds + 30.0)
    end_all_faults(cluster)
    run_until_finished(cluster, 150.0)
    return cluster
