"""Machines that lose commands, duplicated heartbeats, and controllers that cannot reach each other."""

import pytest

from tealhook.controller import Controller
from tealhook.coordination.key_claimer import KeyClaimer
from tealhook.partitions.machine_health import MachineHealth
from tealhook.partitions.manager import PartitionManager
from tealhook.partitions.partition import Partition
from tests.simulated_cluster import RuleViolationError, SimulatedCluster, make_request
from tests.simulation.observer import StatusUpdateRecorder
from tests.user_requests import UNCONSTRAINED_JOB


def _busy_cluster(seed: int, jobs: int = 30, **overrides) -> SimulatedCluster:
    cluster = SimulatedCluster(seed, cpu_limit=64.0, **overrides)
    for i in range(jobs):
        cluster.call_later(3.0 * i, lambda: cluster.submit(plays=12, vcpus=2.0, expected_s=6.0, **UNCONSTRAINED_JOB))
    cluster.run(40.0)
    return cluster


def _cluster_with_command_loss(seconds: float) -> tuple[SimulatedCluster, str]:
    """Run a cluster in which the busiest machine receives no commands for a time; return it and the machine."""
    cluster = _busy_cluster(21, jobs=45)
    name = max(cluster.cloud.machines, key=lambda name: len(cluster.cloud.machines[name].started_tasks()))
    cluster.network.command_blackholes.add(name)
    cluster.call_later(seconds, cluster.network.command_blackholes.clear)
    cluster.run(160.0)
    return cluster, name


@pytest.mark.parametrize("leases", [0.5, 2.5, 100.0])
def test_machine_that_loses_commands_gets_no_more_tasks(leases):
    """Guards against placing tasks again and again on a machine that loses their start commands.

    Its heartbeats prove each time that the tasks are not there, and it has the most free capacity.
    """
    lease_s = 9.0
    cluster, name = _cluster_with_command_loss(leases * lease_s)
    assert cluster.unfinished_jobs() == []
    assert cluster.network.lost_starts <= 40  # those in flight, each sent a few times
    if leases > 10:
        assert name not in cluster.cloud.machines


def test_without_command_loss_detection_start_commands_keep_being_lost(monkeypatch):
    monkeypatch.setattr(MachineHealth, "mark_commands_lost", lambda self, machine, now: None)
    cluster, _name = _cluster_with_command_loss(900.0)
    assert cluster.network.lost_starts > 40


def _send_heartbeat(controller: Controller, body: bytes) -> int:
    statuses = []
    controller.on_request(
        make_request("POST", "/v1/report", body),
        lambda status, data=b"{}", retry_after=None: statuses.append(status),
    )
    return statuses[0] if statuses else 0


def _duplicate_heartbeats(cluster: SimulatedCluster) -> tuple[Controller, str, list[bytes]]:
    """Return the owner of a machine, the machine's name, and copies of the heartbeats that it sent to the owner."""
    duplicates: list[tuple[str, bytes]] = []
    original = PartitionManager.on_heartbeat

    def on_heartbeat(self, body, reply, *, relayed=False):
        duplicates.append((self._ownership.node, body))
        original(self, body, reply, relayed=relayed)

    PartitionManager.on_heartbeat = on_heartbeat
    try:
        cluster.run(10.0)
    finally:
        PartitionManager.on_heartbeat = original
    node, zone = next(
        (node, zone)
        for node in cluster.controllers
        for zone, partition in cluster.controllers[node].partition_manager.partitions.items()
        if partition.machines
    )
    name = next(iter(cluster.controllers[node].partition_manager.partitions[zone].machines))
    return (
        cluster.controllers[node],
        name,
        [body for receiver, body in duplicates if receiver == node and f'"{name}"'.encode() in body],
    )


def _accept_duplicates(patch):
    """Disable the check of session and sequence number that rejects old heartbeats."""
    original = Partition.on_heartbeat

    def on_heartbeat(self, heartbeat):
        machine = self.machines.get(heartbeat.machine)
        if machine is not None:
            machine.sequence, machine.session = -1, heartbeat.session
        return original(self, heartbeat)

    patch.setattr(Partition, "on_heartbeat", on_heartbeat)


@pytest.mark.parametrize("disabled", [False, True])
def test_duplicate_heartbeat_changes_no_state(disabled, monkeypatch):
    owner, name, duplicates = _duplicate_heartbeats(cluster := _busy_cluster(22))
    partition = next(p for p in owner.partition_manager.partitions.values() if name in p.machines)
    machine = partition.machines[name]
    cluster.cloud.machines[name].hung = True
    cluster.run(3.0)
    before = (
        machine.last_heartbeat_at,
        machine.sequence,
        machine.session,
        set(machine.tasks),
        set(machine.reservations),
    )
    published = []
    partition.status_updates._observer = StatusUpdateRecorder(published)
    assert len(duplicates) > 3
    if disabled:
        _accept_duplicates(monkeypatch)
    for body in duplicates:
        _send_heartbeat(owner, body)
    after = (
        machine.last_heartbeat_at,
        machine.sequence,
        machine.session,
        set(machine.tasks),
        set(machine.reservations),
    )
    assert (before == after) == (published == []) == (not disabled)


@pytest.mark.parametrize("disabled", [False, True])
def test_duplicate_heartbeat_does_not_revive_released_machine(disabled, monkeypatch):
    if disabled:
        monkeypatch.setattr("tealhook.partitions.released_machines.MIN_REMEMBERED_MACHINES", 0)
        monkeypatch.setattr("tealhook.partitions.released_machines.RETENTION_LEASES", -1.0)
    owner, name, duplicates = _duplicate_heartbeats(cluster := _busy_cluster(23))
    cluster.cloud.remove(name)
    for node in cluster.controllers.values():
        node.partition_manager.remove_machine(name)
    for body in duplicates:
        _send_heartbeat(owner, body)
    assert any(name in partition.machines for partition in owner.partition_manager.partitions.values()) == disabled


def test_new_owner_does_not_trust_duplicate_heartbeats():
    """Guards against a restarted owner that places tasks on a released machine because of a duplicate heartbeat.

    The owner does not remember released machines, but the duplicate cannot carry its new token.
    """
    owner, name, duplicates = _duplicate_heartbeats(cluster := _busy_cluster(24))
    cluster.cloud.remove(name)
    restarted = next(node_name for node_name, node in cluster.controllers.items() if node is owner)
    cluster.crash(restarted, 0.2)
    cluster.run(8.0)
    for node in cluster.controllers.values():
        for body in duplicates:
            _send_heartbeat(node, body)
        for partition in node.partition_manager.partitions.values():
            assert name not in [state.name for state in partition.machine_states()]
            assert name not in [machine.name for machine in partition.reservations.schedulable_machines()]


@pytest.mark.parametrize("disabled", [False, True])
def test_jobs_progress_while_controllers_cannot_reach_each_other(disabled, monkeypatch):
    if disabled:  # a node keeps its teams although it reaches no partition
        monkeypatch.setattr(KeyClaimer, "_all_partitions_unreachable", lambda self, now: False)
    cluster = _busy_cluster(25)
    cluster.network.cut_peers()
    cluster.run(12.0)  # until the teams have moved to nodes that reach a partition
    jobs = [
        cluster.submit(crew=f"team-{team}", plays=2, vcpus=1.0, expected_s=3.0, **UNCONSTRAINED_JOB)
        for team in range(3)
    ]
    cancelled = cluster.submit(crew="team-0", plays=2, vcpus=1.0, expected_s=100.0, **UNCONSTRAINED_JOB)
    cluster.call_later(5.0, lambda: cluster.cancel(cancelled))
    cluster.run(45.0)
    assert cluster.jobs[cancelled].final_status == "cancelled"
    assert ([cluster.jobs[job].final_status for job in jobs] == ["done"] * 3) == (not disabled)


def test_every_accepted_job_is_known_after_all_controllers_restart():
    """Jobs that ended long before the restart are included."""
    cluster = _busy_cluster(26)
    cluster.run(60.0)
    for name in cluster.node_names:
        cluster.crash(name, 0.2)
    cluster.run(20.0)
    answered: dict[str, str] = {}  # job -> status
    for job, known in cluster.jobs.items():
        if known.accepted:

            def answer(status, data, asked, job=job):
                if status == 200:
                    answered[job] = data["status"]

            cluster.send_request("GET", f"/work/{job}", None, answer)
    cluster.run(5.0)
    assert answered.keys() == {job for job, known in cluster.jobs.items() if known.accepted}
    if any(known.final_status and known.final_status != answered[job] for job, known in cluster.jobs.items()):
        raise RuleViolationError("went_back")
