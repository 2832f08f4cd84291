"""Costs that must not grow with the fleet: those of reconciliation, capacity inquiries and open connections."""

import json
import socket
import threading

from tealhook.http import HttpServer
from tealhook.http.parser import MAX_BODY_BYTES, MAX_HEAD_BYTES
from tealhook.loop import Loop
from tealhook.mesh import Mesh
from tealhook.partitions.capacity import MachineCapacity
from tealhook.partitions.machine import Machine
from tealhook.partitions.partition import Partition
from tealhook.partitions.state import PartitionState
from tealhook.wire import mesh, workers
from tests.simulated_cluster import SimulatedCluster
from tests.user_requests import UNCONSTRAINED_JOB

JOB = UNCONSTRAINED_JOB | {"vcpus": 1.0}


def test_reconciling_unchanged_machines_sends_no_status_updates(monkeypatch):
    """Guards against sending the status of all machines to each team scheduler with every reconciliation."""
    cluster = SimulatedCluster(41, cpu_limit=64.0)
    for _ in range(3):
        cluster.submit(plays=8, expected_s=900.0, **JOB)
    cluster.run(60.0)
    assert cluster.task_starts == 24
    status_updates, reconciled_machines = [], []
    original_send, original_reconcile = Mesh.send, Partition.reconcile

    def send(self, peer, body):
        if isinstance(body, mesh.StatusUpdate):
            status_updates.append(body)
        original_send(self, peer, body)

    def reconcile(self, request):
        reconciled_machines.extend(request.machines)
        return original_reconcile(self, request)

    monkeypatch.setattr(Mesh, "send", send)
    monkeypatch.setattr(Partition, "reconcile", reconcile)
    cluster.run(20.0)
    assert len(reconciled_machines) > 20 and not status_updates


def test_capacity_is_recomputed_only_for_changed_machines(monkeypatch):
    """Guards against a scan of all machines of a partition in each inquiry after a change on any one of them."""
    cluster = SimulatedCluster(42, nodes=1)
    cluster.run(5.0)
    node = cluster.controllers["n0"]
    machines = {}
    for number in range(300):
        heartbeat = workers.Heartbeat(f"host-{number}", "10.1.0.1:9000", "small", "za", 1, 1, 1, True)
        machines[heartbeat.machine] = machine = Machine(heartbeat, node.context.effects.now())
        machine.is_reconciled = True
    state = PartitionState(node.context, "za", 1, node.job_index, node.machine_types, {}, machines)
    partition = Partition(state, node, node.partition_manager)
    computed = []
    original_compute_fit = MachineCapacity.compute_fit
    monkeypatch.setattr(
        MachineCapacity,
        "compute_fit",
        lambda self, machine, required: computed.append(machine.name) or original_compute_fit(self, machine, required),
    )
    requirements = mesh.TaskRequirements(4.0, 0.0, 4.0, "img", 0.6, True, (), 1, 5.0)
    assert partition.inquire([requirements]).capacities[0].uncached == 600
    assert len(computed) == 300
    computed.clear()
    request = mesh.ReservationRequest("req-000001", "team-0", requirements, 3, False, False, [], 1, False, False)
    assert len(partition.reserve(mesh.ReserveRequest("za", [request])).grants[0]) == 3
    assert partition.inquire([requirements]).capacities[0].uncached == 597
    assert len(computed) == 2  # two machines took the three tasks


class _LongPollServer:
    """A server on loopback that holds heartbeats open; if it is guarded, it answers them at once while crowded."""

    def __init__(self, max_connections: int) -> None:
        self.loop = Loop()
        self.open_replies = []

        def handler(request, reply):
            if request.target == "/v1/report" and not (self.guarded and self.server.is_crowded):
                self.open_replies.append(reply)
            else:
                reply(200, json.dumps({"at": request.target}).encode())

        self.guarded = True
        self.server = HttpServer(self.loop, "127.0.0.1:0", handler, max_connections=max_connections, idle_s=60.0)
        self.address = self.server._sock.getsockname()
        threading.Thread(target=self.loop.run, daemon=True).start()

    def request(self, target: str, wait_for_response: bool) -> tuple[socket.socket, bytes]:
        client = socket.create_connection(self.address, timeout=5.0)
        client.sendall(f"POST {target} HTTP/1.1\r\nContent-Length: 2\r\n\r\n{{}}".encode())
        try:
            return client, client.recv(4096) if wait_for_response else b""
        except ConnectionError:
            return client, b""


def _response_to_user_beside_workers(guarded: bool) -> bytes:
    server = _LongPollServer(16)
    server.guarded = guarded
    worker_clients = [server.request("/v1/report", wait_for_response=False)[0] for _ in range(40)]
    user_client, response = server.request("/work", wait_for_response=True)
    for client in (*worker_clients, user_client):
        client.close()
    server.loop.stop()
    return response


def test_users_connect_beside_more_workers_than_connections():
    assert b"200 OK" in _response_to_user_beside_workers(True)


def test_unguarded_long_polls_lock_users_out():
    assert _response_to_user_beside_workers(False) == b""


def test_client_flooding_an_open_request_is_disconnected():
    server = _LongPollServer(16)
    client, _ = server.request("/v1/report", wait_for_response=False)
    sent_bytes = 0
    try:
        while sent_bytes < 64 * (MAX_HEAD_BYTES + MAX_BODY_BYTES):
            client.sendall(b"x" * 65536)
            sent_bytes += 65536
    except OSError:
        pass
    server.loop.stop()
    assert sent_bytes < 64 * (MAX_HEAD_BYTES + MAX_BODY_BYTES)
    client.close()
