"""Fault injection: state service, network, machines, cloud and controllers; and runs that combine faults."""

from __future__ import annotations

from collections.abc import Callable

from tests.simulated_cluster import SimulatedCluster, end_faults, random_fault
from tests.simulation.faults import hang, machines_up, set_for_span
from tests.standins import Worker

OWNERSHIP_PREFIXES = {
    "fleet": "own/fleet",
    "team": "own/home/",
    "partition": "own/part/",
}


def owners(world: SimulatedCluster, kind: str) -> list[str]:
    """The nodes that own the fleet, a team or a partition, by the state service's records, each once."""
    return sorted({row[0]["n"] for key, row in world.state.rows.items() if key.startswith(OWNERSHIP_PREFIXES[kind])})


def owner(world: SimulatedCluster, kind: str) -> str:
    """One of them; any node when nobody is an owner just now."""
    return world.rng.choice(owners(world, kind) or world.names)


def block_heartbeats(world: SimulatedCluster, workers: list[Worker], seconds: float) -> None:
    names = {worker.name for worker in workers}
    world.network.heartbeat_blackholes |= names
    world.at(seconds, lambda: world.network.heartbeat_blackholes.difference_update(names))


def crash_all(world: SimulatedCluster, back: Callable[[str], float]) -> None:
    """All controllers end; each is back after its time."""
    for name in world.names:
        world.crash(name, back(name))


def change_leaders(world: SimulatedCluster, kind: str, times: int, every_s: float) -> None:
    """The owner ends, again and again, whoever it is."""
    for i in range(times):
        world.at(i * every_s, lambda: world.crash(owner(world, kind), world.rng.choice([0.1, 1.0, 4.0])))


class OwnerFault:
    """A fault that lasts for some span; `owner_kind`: whose owner it may fall on. Subclasses list theirs in `ALL`."""

    ALL: tuple[Callable[..., None], ...] = ()

    def __init__(self, world: SimulatedCluster, span: float, owner_kind: str) -> None:
        self.world, self.rng, self.net, self.span, self.owner_kind = world, world.rng, world.network, span, owner_kind
        self.lease_s, self.cancel_s = world.settings.params.workers.lease_s, world.settings.params.workers.cancel_s

    @classmethod
    def start_random(cls, world: SimulatedCluster, max_span_s: float) -> None:
        """Start one of these faults, of any kind of owner; it ends some time later."""
        fault = world.rng.choice(cls.ALL)
        fault(cls(world, world.rng.uniform(2.0, max_span_s), world.rng.choice(tuple(OWNERSHIP_PREFIXES))))


class _InfrastructureFault(OwnerFault):
    """Faults of the state service, of the network, of machines, the cloud and controllers."""

    # -- state service

    def late_writes(self) -> None:
        set_for_span(self.world, self.span, self.net, "late_write_share", self.rng.uniform(0.1, 0.7), 0.0)

    def lost_answers(self) -> None:
        set_for_span(self.world, self.span, self.net, "lost_answer_share", self.rng.uniform(0.1, 0.7), 0.0)

    def slow_state(self) -> None:
        set_for_span(self.world, 2 * self.span, self.net, "state_answer_delay_s", self.rng.uniform(0.3, 2.5), 0.0)

    def one_refused_then_outage(self) -> None:
        world, rng = self.world, self.rng
        world.state.refused_nodes = {owner(world, self.owner_kind)}
        world.at(rng.uniform(0.5, 5.0), lambda: world.state.outage(True))
        until = rng.choice([self.span, 1.1 * self.cancel_s]) + 5.0
        world.at(until, lambda: world.state.outage(False))
        world.at(until, lambda: setattr(world.state, "refused_nodes", set()))

    # -- reports and commands

    def late_heartbeats(self) -> None:
        set_for_span(self.world, 2 * self.span, self.net, "late_heartbeat_share", self.rng.uniform(0.1, 0.5), 0.0)

    def heartbeats_for_next_owner(self) -> None:
        set_for_span(self.world, self.span, self.net, "next_owner_copy_share", self.rng.uniform(0.1, 0.5), 0.0)
        self.world.at(self.span, self._crash_partition_owner)

    def heartbeats_held_back(self) -> None:
        set_for_span(self.world, self.span, self.net, "held_heartbeat_share", self.rng.uniform(0.1, 0.5), 0.0)
        self.world.at(0.8 * self.span, self._crash_partition_owner)

    def _crash_partition_owner(self) -> None:
        self.world.crash(owner(self.world, "partition"), self.rng.choice([0.05, 0.5, 5.0]))

    def block_some_heartbeats(self) -> None:
        """Some machines, or a zone, for less than a lease or for several."""
        if workers := machines_up(self.world):
            zone = self.rng.choice([None, "za", "zb"])
            if zone:
                some = [worker for worker in workers if worker.zone == zone]
            else:
                some = self._third_of(workers)
            block_heartbeats(self.world, some, self.rng.choice([4.0, self.span, 4 * self.lease_s]))

    def late_commands(self) -> None:
        """And a third of the machines hang."""
        if workers := machines_up(self.world):
            self.net.command_delay_s = self.rng.choice([(0.5, 5.0), (2.0, 12.0), (10.0, 90.0)])
            set_for_span(self.world, 2 * self.span, self.net, "late_command_share", self.rng.uniform(0.2, 0.9), 0.0)
            for worker in self._third_of(workers):
                hang(self.world, worker, self.rng.choice([self.rng.uniform(1.0, 8.0), self.span]))

    def _third_of(self, workers: list[Worker]) -> list[Worker]:
        return self.rng.sample(workers, max(1, len(workers) // 3))

    # -- cuts

    def cut_owner(self) -> None:
        self.net.hold_cut_packets = self.rng.random() < 0.5
        self.net.cut_node(owner(self.world, self.owner_kind))
        self.world.at(self.rng.choice([self.span, self.cancel_s]), self.net.heal)

    def cut_zone(self) -> None:
        self.net.hold_cut_packets = self.rng.random() < 0.7
        self.net.cut_zone(self.rng.choice(["za", "zb"]), self.rng.choice(self.world.names))
        self.world.at(self.rng.choice([self.span, 1.5 * self.lease_s]), self.net.heal)

    # -- cloud

    def rentals_answered_late(self) -> None:
        """Machines are up before their rental is answered; half of those that are up fail, so that some are rented."""
        set_for_span(self.world, 2 * self.span, self.world.cloud, "fast_provisioning", True, False)
        set_for_span(self.world, 2 * self.span, self.world.cloud, "max_answer_delay_s", self.rng.uniform(1.0, 8.0), 0.0)
        workers = machines_up(self.world)
        for worker in self.rng.sample(workers, len(workers) // 2):
            worker.fail()

    # -- controllers

    def all_crash(self) -> None:
        crash_all(self.world, lambda _name: self.rng.uniform(0.05, 1.0))

    def all_crash_one_is_back(self) -> None:
        first = self.rng.choice(self.world.names)
        crash_all(self.world, lambda name: self.rng.uniform(0.05, 1.0) if name == first else self.span)

    def all_crash_for_leases(self) -> None:
        crash_all(self.world, lambda _name: self.rng.uniform(1.0, 2.5) * self.lease_s)

    def leaders_change(self) -> None:
        """Maybe with an outage among it."""
        world, rng = self.world, self.rng
        change_leaders(world, self.owner_kind, rng.randint(2, 10), 12.0)
        if rng.random() < 0.4:
            world.at(rng.uniform(0.0, 20.0), lambda: world.state.outage(True))
            world.at(20.0 + self.span, lambda: world.state.outage(False))

    # The order decides what a seed draws.
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
        all_crash_one_is_back,
        leaders_change,
        all_crash_for_leases,
        cut_zone,
    )


def random_infrastructure_fault(world: SimulatedCluster) -> None:
    """Start one random fault of the infrastructure."""
    _InfrastructureFault.start_random(world, 25.0)


def random_fault_of_any_kind(world: SimulatedCluster, infrastructure_share: float) -> None:
    """Start one random fault; so large a share of them are faults of the infrastructure."""
    if world.rng.random() < infrastructure_share:
        random_infrastructure_fault(world)
    else:
        random_fault(world)


def end_all_faults(world: SimulatedCluster) -> None:
    end_faults(world)
    world.network.end_faults()
    world.cloud.fast_provisioning, world.cloud.max_answer_delay_s = False, 0.0


def run_until_finished(world: SimulatedCluster, seconds: float) -> None:
    """Run until every job has ended and a little longer, but no longer than that."""
    until = world.now + seconds
    while world.unfinished() and world.now < until:
        world.run(5.0)
    world.run(15.0)


def assert_all_finished(world: SimulatedCluster) -> None:
    """Some tasks were started, and no accepted job is left."""
    assert world.unfinished() == []
    assert world.task_starts > 0


def combined_faults_run(
    seed: int, seconds: float = 150.0, jobs: int = 30, infrastructure_share: float = 0.6, **over
) -> SimulatedCluster:
    """Jobs and faults of both kinds at random times; then recovery, in which every accepted job must end."""
    world = SimulatedCluster(seed, **over)
    world.at_random_times(jobs, 0.0, 0.7 * seconds, world.submit)
    world.at_random_times(
        int(seconds / 8), 10.0, seconds, lambda: random_fault_of_any_kind(world, infrastructure_share)
    )
    world.run(seconds + 30.0)
    end_all_faults(world)
    run_until_finished(world, 150.0)
    return world
