"""Fault injection into controllers, services, network, machines and user requests, and the end of all faults."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from tests import user_requests
from tests.standins import Worker

if TYPE_CHECKING:
    from tests.simulated_cluster import SimulatedCluster


def machines_up(cluster: SimulatedCluster) -> list[Worker]:
    return [worker for worker in cluster.cloud.machines.values() if worker.up]


def set_temporarily(
    cluster: SimulatedCluster, duration: float, target: object, name: str, value: object, value_after: object
) -> None:
    """Set an attribute to `value` for some time and then to `value_after`."""
    setattr(target, name, value)
    cluster.call_later(duration, lambda: setattr(target, name, value_after))


def hang_machine(cluster: SimulatedCluster, worker: Worker, seconds: float) -> None:
    set_temporarily(cluster, seconds, worker, "hung", True, False)


class _Fault:
    """A fault of limited duration, started by one of the methods in `ALL`."""

    def __init__(self, cluster: SimulatedCluster, duration: float) -> None:
        self.cluster, self.rng, self.net, self.duration = cluster, cluster.rng, cluster.network, duration

    # -- controllers

    def crash_one(self) -> None:
        self.cluster.crash(self.rng.choice(self.cluster.node_names), self.rng.choice([0.2, 3.0, 8.0]))

    def crash_all(self) -> None:
        for name in self.cluster.node_names:
            self.cluster.crash(name, self.rng.uniform(0.2, 6.0))

    def suspend_one(self) -> None:
        """Suspend a controller for less than a lease of the state store, or for longer than a worker's lease."""
        self.cluster.suspend(
            self.rng.choice(self.cluster.node_names), self.rng.choice([self.rng.uniform(0.5, 3.0), self.duration])
        )

    # -- services

    def state_down(self) -> None:
        self.cluster.state.set_down(True)
        self.cluster.call_later(self.duration, lambda: self.cluster.state.set_down(False))

    def state_refuses_one(self) -> None:
        set_temporarily(
            self.cluster,
            self.duration,
            self.cluster.state,
            "refused_nodes",
            {self.rng.choice(self.cluster.node_names)},
            set(),
        )

    def cloud_down(self) -> None:
        set_temporarily(self.cluster, self.duration, self.cluster.cloud, "down", True, False)

    # -- network

    def cut_from_state(self) -> None:
        self._cut_one(["state"])
        self.cluster.call_later(self.duration, self.net.heal)

    def cut_from_peers(self) -> None:
        self._cut_one(self.cluster.node_names)
        self.cluster.call_later(self.duration, self.net.heal)

    def cut_from_workers(self) -> None:
        self._cut_one([worker.name for worker in machines_up(self.cluster)])
        self.cluster.call_later(self.duration, self.net.heal)

    def cut_from_services_and_peers(self) -> None:
        """Cut a controller from services and peers, and in half of the cases from the workers of a zone."""
        node = self._cut_one(["state", "cloud", *self.cluster.node_names])
        if self.rng.random() < 0.5:
            for worker in machines_up(self.cluster):
                if worker.zone == "za":
                    self.net.cut(node, worker.name)
        self.cluster.call_later(self.duration, self.net.heal)

    def _cut_one(self, others: Iterable[str]) -> str:
        """Cut a random controller from these endpoints; return its name."""
        self.net.hold_cut_packets = self.rng.random() < 0.7
        node = self.rng.choice(self.cluster.node_names)
        for other in others:
            if other != node:
                self.net.cut(node, other)
        return node

    def cut_all_peers(self) -> None:
        self.net.cut_peers()
        self.cluster.call_later(self.duration, self.net.heal)

    def lose_state_requests(self) -> None:
        set_temporarily(self.cluster, self.duration, self.net, "state_loss_share", self.rng.uniform(0.02, 0.15), 0.0)

    def duplicate_heartbeats(self) -> None:
        set_temporarily(self.cluster, 2 * self.duration, self.net, "duplicate_share", 0.3, 0.0)

    # -- machines

    def hang_one(self) -> None:
        """Make a machine hang for less than a lease, or for longer."""
        if workers := machines_up(self.cluster):
            worker = self.rng.choice(workers)
            hang_machine(self.cluster, worker, self.rng.choice([self.rng.uniform(1.0, 8.0), self.duration]))

    def lose_third_of_machines(self) -> None:
        """Lose a third of the machines: the cloud reclaims spot machines, the others fail."""
        workers = machines_up(self.cluster)
        for worker in self.rng.sample(workers, max(1, len(workers) // 3)) if workers else ():
            if worker.spot:
                worker.announce_termination(4.0)
                self.cluster.call_later(
                    self.rng.choice([0.0, 4.0]), lambda worker=worker: self.cluster.cloud.remove(worker.name)
                )
            else:
                worker.fail()

    def make_machine_faulty(self) -> None:
        if workers := machines_up(self.cluster):
            self.rng.choice(workers).faulty = True

    def lose_commands(self) -> None:
        """Lose the commands to a machine for less than a lease, for several leases, or permanently."""
        if workers := machines_up(self.cluster):
            name = self.rng.choice(workers).name
            self.net.command_blackholes.add(name)
            self.cluster.call_later(
                self.rng.choice([4.0, self.duration, 1e9]), lambda: self.net.command_blackholes.discard(name)
            )

    # -- users

    def send_request_bursts(self) -> None:
        set_temporarily(self.cluster, self.duration, self.cluster, "request_burst_share", 0.8, 0.0)

    def race_completions(self) -> None:
        self.cluster.racing_requests = ("cancel", "cancel", "query", "resubmit")
        set_temporarily(self.cluster, self.duration, self.cluster, "completion_race_share", 0.5, 0.0)

    def cancel_running_jobs(self) -> None:
        count = self.rng.randint(1, 6)
        user_requests.cancel_running_jobs(
            self.cluster, count, self.rng.choice([0.0, self.rng.uniform(1.0, 8.0), self.duration])
        )

    def send_edge_case_requests(self) -> None:
        user_requests.send_edge_case_requests(self.cluster, 20, self.duration)

    def submit_stream(self) -> None:
        user_requests.submit_stream(self.cluster, min(self.duration, 8.0))

    # The order decides which fault a seed draws.
    ALL = (
        crash_one,
        crash_all,
        state_down,
        state_refuses_one,
        cut_from_state,
        cut_from_peers,
        cut_from_workers,
        cut_from_services_and_peers,
        lose_state_requests,
        cloud_down,
        hang_one,
        lose_third_of_machines,
        make_machine_faulty,
        lose_commands,
        duplicate_heartbeats,
        cut_all_peers,
        suspend_one,
        send_request_bursts,
        race_completions,
        cancel_running_jobs,
        send_edge_case_requests,
        submit_stream,
    )


def random_fault(cluster: SimulatedCluster) -> None:
    """Start a random fault, which ends by itself unless it is permanent."""
    start_fault = cluster.rng.choice(_Fault.ALL)
    start_fault(_Fault(cluster, cluster.rng.uniform(2.0, 25.0)))


def end_faults(cluster: SimulatedCluster) -> None:
    """End all faults; from now on the cluster has to recover."""
    cluster.faults_ended_at = cluster.now
    cluster.request_burst_share = cluster.completion_race_share = 0.0
    cluster.network.state_loss_share = 0.0
    cluster.network.heal()
    cluster.network.command_blackholes.clear()
    cluster.network.duplicate_share = 0.0
    cluster.state.set_down(False)
    cluster.state.refused_nodes = set()
    cluster.cloud.down = False
    for worker in cluster.cloud.machines.values():
        worker.hung = False
