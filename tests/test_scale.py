"""Costs that must not grow with the fleet: reconciliation, capacity inquiries, open connections."""

import json
import socket
import threading

from tealhook.http import HttpServer
from tealhook.http.parser import MAX_BODY, MAX_HEAD
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
    told, looked = [], []
    whole, whole_reconcile = Mesh.send, Partition.reconcile

    def send(self, peer, body):
        if isinstance(body, mesh.StatusUpdate):
            told.append(body)
        whole(self, peer, body)

    def reconcile(self, request):
        looked.extend(request.machines)
        return whole_reconcile(self, request)

    monkeypatch.setattr(Mesh, "send", send)
    monkeypatch.setattr(Partition, "reconcile", reconcile)
    cluster.run(20.0)
    assert len(looked) > 20 and not told


def test_capacity_is_recomputed_only_for_changed_machines(monkeypatch):
    """Guards against one change anywhere causing a scan of all machines of a partition for each inquiry."""
    cluster = SimulatedCluster(42, nodes=1)
    cluster.run(5.0)
    node = cluster.controllers["n0"]
    machines = {}
    for i in range(300):
        report = workers.Heartbeat(f"host-{i}", "10.1.0.1:9000", "small", "za", 1, 1, 1, True)
        machines[report.machine] = machine = Machine(report, node.context.effects.now())
        machine.is_reconciled = True
    state = PartitionState(node.context, "za", 1, node.job_index, node.machine_types, {}, machines)
    part = Partition(state, node, node.partition_manager)
    worked = []
    whole = MachineCapacity.compute_fit
    monkeypatch.setattr(
        MachineCapacity, "compute_fit", lambda self, m, need: worked.append(m.name) or whole(self, m, need)
    )
    shape = mesh.TaskRequirements(4.0, 0.0, 4.0, "img", 0.6, True, (), 1, 5.0)
    assert part.inquire([shape]).capacities[0].uncached == 600
    assert len(worked) == 300
    worked.clear()
    want = mesh.ReservationRequest("req-000001", "team-0", shape, 3, False, False, [], 1, False, False)
    assert len(part.reserve(mesh.ReserveRequest("za", [want])).grants[0]) == 3
    assert part.inquire([shape]).capacities[0].uncached == 597
    assert len(worked) == 2  # two of them took three tasks


class _Clients:
    """A server on loopback whose reports are held open unless it is crowded."""

    def __init__(self, limit: int) -> None:
        self.loop = Loop()
        self.held = []

        def handler(request, reply):
            if request.target == "/v1/report" and not (self.guarded and self.server.crowded):
                self.held.append(reply)
            else:
                reply(200, json.dumps({"at": request.target}).encode())

        self.guarded = True
        self.server = HttpServer(self.loop, "127.0.0.1:0", handler, max_connections=limit, idle_s=60.0)
        self.addr = self.server._sock.getsockname()
        threading.Thread(target=self.loop.run, daemon=True).start()

    def request(self, target: str, wait: bool) -> tuple[socket.socket, bytes]:
        client = socket.create_connection(self.addr, timeout=5.0)
        client.sendall(f"POST {target} HTTP/1.1\r\nContent-Length: 2\r\n\r\n{{}}".encode())
        try:
            return client, client.recv(4096) if wait else b""
        except ConnectionError:
            return client, b""


def _user_beside_workers(guarded: bool) -> bytes:
    clients = _Clients(16)
    clients.guarded = guarded
    workers_ = [clients.request("/v1/report", wait=False)[0] for _ in range(40)]
    user, answer = clients.request("/work", wait=True)
    for client in (*workers_, user):
        client.close()
    clients.loop.stop()
    return answer


def test_users_connect_beside_more_workers_than_connections():
    assert b"200 OK" in _user_beside_workers(True)


def test_unguarded_long_polls_lock_users_out():
    assert _user_beside_workers(False) == b""


def test_client_flooding_an_open_request_is_disconnected():
    clients = _Clients(16)
    client, _ = clients.request("/v1/report", wait=False)
    sent = 0
    try:
        while sent < 64 * (MAX_HEAD + MAX_BODY):
            client.sendall(b"x" * 65536)
            sent += 65536
    except OSError:
        pass
    clients.loop.stop()
    assert sent < 64 * (MAX_HEAD + MAX_BODY)
    client.close()
