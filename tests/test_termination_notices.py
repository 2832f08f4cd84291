"""Machines that go: after a notice, in silence alone, or behind a cut with many others."""

import pytest

from tealhook.partitions.partition import Partition
from tealhook.scheduling.reconciliation import Reconciliation
from tests.simulated_cluster import SimulatedCluster
from tests.standins import Worker
from tests.user_requests import UNIFORM_JOB


def _running(expected_s: float, **over) -> tuple[SimulatedCluster, Worker]:
    """Jobs that run, and the machine that holds most of their tasks."""
    world = SimulatedCluster(4, **over)
    world.cloud.capacity_per_kind = 4
    world.run(40.0)  # until the nodes share what there is to own evenly
    for _ in range(4):
        world.submit(plays=4, expected_s=expected_s, **UNIFORM_JOB)
    while world.task_starts < 16:
        world.run(0.5)
    world.run(1.0)
    return world, max(world.cloud.machines.values(), key=lambda worker: len(worker.started_tasks()))


def _after_a_notice(expected_s: float, notice_s: float) -> tuple[SimulatedCluster, Worker]:
    world, worker = _running(expected_s)
    assert len(worker.started_tasks()) > 1
    worker.announce_termination(notice_s)
    world.at(notice_s, lambda: world.cloud.remove(worker.name))
    return world, worker


def test_what_cannot_end_before_its_machine_is_taken_begins_anew_at_once():
    """Guards against tasks left to be lost with a machine that was known to go, and lost time until it was noticed."""
    world, worker = _after_a_notice(60.0, 20.0)
    world.run(6.0)
    assert worker.name not in world.cloud.machines  # empty, so returned before it was taken
    world.run(300.0)
    assert world.unfinished() == []


def test_not_to_leave_after_a_notice_is_found_out(monkeypatch):
    monkeypatch.setattr(Partition, "_leave", lambda self, machine, left_s, now: None)
    world, worker = _after_a_notice(60.0, 20.0)
    world.run(6.0)
    assert worker.name in world.cloud.machines


def test_what_can_end_before_its_machine_is_taken_is_left_alone():
    world, _worker = _after_a_notice(4.0, 12.0)
    world.run(60.0)
    assert world.unfinished() == []
    assert world.task_starts == 16


def _silent_alone() -> tuple[SimulatedCluster, Worker]:
    """A lease of many report periods; one machine of several stops with all that is on it."""
    world, worker = _running(60.0, lease_s=30.0, cancel_s=60.0)
    assert len([w for w in world.cloud.machines.values() if w.up and w.zone == worker.zone]) >= 4
    worker.fail()
    world.run(15.0)
    return world, worker


def test_a_machine_silent_alone_is_released_long_before_a_lease_is_over():
    world, worker = _silent_alone()
    assert worker.name not in world.cloud.machines


def test_many_silent_machines_are_waited_for():
    """Guards against releasing a zone full of tasks that a short cut hides."""
    world, _worker = _running(60.0, lease_s=30.0, cancel_s=60.0)
    there = {name for name, worker in world.cloud.machines.items() if worker.up}
    for name in there:
        for node in world.names:
            world.network.cut(node, name)
    world.run(15.0)
    world.network.heal()
    assert there <= world.cloud.machines.keys()


def test_to_take_a_cut_for_many_lone_machines_is_found_out(monkeypatch):
    whole = Reconciliation._on_reconcile_reply

    def on_reconcile_reply(self, team_state, names, asked, reply):
        if reply is not None:
            reply.mostly_reporting = True
        whole(self, team_state, names, asked, reply)

    monkeypatch.setattr(Reconciliation, "_on_reconcile_reply", on_reconcile_reply)
    with pytest.raises(AssertionError):
        test_many_silent_machines_are_waited_for()


def test_a_machine_taken_while_its_part_changes_owners_is_missed_before_a_lease_is_over():
    """Guards against waiting out a lease for a machine that the new owner never heard of, and the list lacks."""
    world, worker = _running(60.0, lease_s=30.0, cancel_s=60.0)
    owner = next(name for name, node in world.nodes.items() if worker.zone in node.partition_manager.partitions)
    fleet = next(name for name, node in world.nodes.items() if node.fleet_manager._token is not None)
    world.run(12.0)  # the cloud lists it by now
    gone: list[float] = []  # when a home was told of it
    for node in world.nodes.values():
        node.team_scheduler.on_machines_released = lambda names, whole=node.team_scheduler.on_machines_released: (
            gone.append(world.now) if worker.name in names else None,
            whole(names),
        )
    world.cloud.remove(worker.name)
    assert owner != fleet
    world.crash(owner, 0.2)
    world.run(27.0)
    assert gone
