"""Fleets of about 4,000 machines, also all at one controller: rules hold, and bounded tables keep live entries.

The tests count calls, bytes and steps, not seconds.
"""

from __future__ import annotations

import json
import socket
import threading

import pytest

from tealhook.coordination import partition_key
from tealhook.http import HttpServer
from tealhook.jobs.job_entry import EndedJob, JobEntry
from tealhook.loop import Loop
from tealhook.mesh import transport
from tealhook.partitions import redirects, released_machines
from tealhook.partitions.capacity import MachineCapacity
from tealhook.partitions.machine import Machine
from tealhook.partitions.partition import Partition
from tealhook.partitions.state import PartitionState
from tealhook.partitions.worker_calls import WorkerCalls
from tealhook.state_store.watcher import RELIST_AFTER_FAILURES
from tealhook.wire import mesh, workers
from tealhook.wire.job_parser import parse_job
from tests.api_client import SUBMISSION_FIELDS, submission_body
from tests.simulated_cluster import SimulatedCluster
from tests.simulation.requests import is_job_read, make_request
from tests.user_requests import UNIFORM_JOB

MACHINE_COUNT = 4000
ZONE = "za"


def _heartbeat_body(
    number: int, token: int, sequence: int, task_reports: list[dict] | None = None, zone: str = ZONE
) -> bytes:
    body = {
        "box": f"host-9{number:05d}",
        "addr": f"10.1.{number // 250}.{number % 250}:9000",
        "rig": "small",
        "yard": zone,
        "loaners": True,
        "shift": 1,
        "tick": sequence,
        "baton": token,
        "warning_s": None,
        "plays": task_reports or [],
    }
    return json.dumps(body).encode()


class _Fleet:
    """A cluster and the heartbeats of all machines, sent directly to its controller n0."""

    def __init__(self, seed: int, nodes: int = 1) -> None:
        self.cluster = SimulatedCluster(seed, nodes=nodes, report_s=2.5, lease_s=15.0, cancel_s=40.0)
        self.cluster.run(12.0)
        self.node = self.cluster.controllers["n0"]
        self.sequence = 0

    @property
    def partition(self) -> Partition:
        return self.node.partition_manager.partitions[ZONE]

    def send_heartbeats(
        self, task_reports: dict[int, list[dict]] | None = None, duration_s: float = 2.0
    ) -> list[list[int]]:
        """Send one heartbeat of each machine within `duration_s`, and return the response statuses by machine."""
        self.sequence += 1
        token = self.partition.token
        statuses: list[list[int]] = [[] for _ in range(MACHINE_COUNT)]
        self.responses: list[bytes] = [b""] * MACHINE_COUNT

        def send_heartbeat(number: int) -> None:
            def on_response(status: int, response: bytes = b"{}", _after: int | None = None) -> None:
                statuses[number].append(status)
                self.responses[number] = response

            body = _heartbeat_body(number, token, self.sequence, (task_reports or {}).get(number))
            self.node.on_request(make_request("POST", "/v1/report", body), on_response)

        for number in range(MACHINE_COUNT):
            self.cluster.call_later(duration_s * number / MACHINE_COUNT, lambda number=number: send_heartbeat(number))
        self.cluster.run(duration_s + 2.5)
        return statuses


def test_4000_machines_join_within_heartbeat_period(monkeypatch):
    """Each machine is answered once and usable after the heartbeat that shows the token; its fit is computed once."""
    fleet = _Fleet(91)
    computed: list[str] = []
    original_compute_fit = MachineCapacity.compute_fit
    monkeypatch.setattr(
        MachineCapacity,
        "compute_fit",
        lambda self, machine, required: computed.append(machine.name) or original_compute_fit(self, machine, required),
    )
    for _ in range(2):
        assert fleet.send_heartbeats() == [[200]] * MACHINE_COUNT
    partition = fleet.partition
    assert sum(machine.is_reconciled for machine in fleet.partition.machines.values()) == MACHINE_COUNT
    requirements = mesh.TaskRequirements(4.0, 0.0, 4.0, "img", 0.6, True, (), 1, 5.0)
    assert partition.inquire([requirements]).capacities[0].uncached == 2 * MACHINE_COUNT
    assert len(computed) == MACHINE_COUNT
    computed.clear()
    request = mesh.ReservationRequest("req-000001", "team-0", requirements, 7, False, False, [], 1, False, False)
    grants = partition.reserve(mesh.ReserveRequest(ZONE, [request])).grants[0]
    assert len(grants) == 7
    assert partition.inquire([requirements]).capacities[0].uncached == 2 * MACHINE_COUNT - 7
    assert len(computed) == 4  # the machines on which the tasks were granted


def test_gossip_of_4000_machines_fits_frame_and_queue():
    fleet = _Fleet(92)
    for _ in range(2):
        fleet.send_heartbeats()
    states = fleet.partition.machine_states()
    assert len(states) == MACHINE_COUNT
    addresses = {ZONE: {machine.name: machine.address for machine in fleet.partition.machines.values()}}
    body = mesh.Gossip("n0", 0.0, {}, [], [], {ZONE: states}, {}, addresses)
    frame = mesh.envelope_encoder.encode(mesh.Envelope("n0", 1, 1, 0, body))
    # There is room for 1.5 times as many machines, with frames of twice the size.
    assert 3 * len(frame) < mesh.MAX_FRAME_BYTES < transport.MAX_QUEUED_BYTES


def _job_spec(job: str) -> dict:
    return json.loads(
        submission_body(SUBMISSION_FIELDS | {"name_id": f'"{job}"', "plays": str(MACHINE_COUNT), "vcpus": "4.0"})
    )


def test_mass_cancellation_reaches_every_machine_with_next_response():
    """This holds also during a storm of queries, whose cost does not grow with their number."""
    fleet = _Fleet(93)
    cluster, node = fleet.cluster, fleet.node
    jobs = [f"req-w{i}" for i in range(50)]
    for job in jobs:
        node.job_index.active[job] = JobEntry(parse_job(json.dumps(_job_spec(job)).encode()), "team-0", 1, 0.0)
    task_reports = {
        i: [
            {"play": f"{jobs[i % 50]}/{i}", "try": 1, "status": "running"},
            {"play": f"{jobs[(i + 1) % 50]}/{i}", "try": 1, "status": "running"},
        ]
        for i in range(MACHINE_COUNT)
    }
    for _ in range(2):
        assert fleet.send_heartbeats(task_reports) == [[200]] * MACHINE_COUNT
    for job in jobs:
        del node.job_index.active[job]
        node.job_index.ended[job] = EndedJob("cancelled", "team-0", 0.0)
    job_reads: list[str] = []
    original_handle = cluster.state.handle
    cluster.state.handle = lambda node, method, target, body, answer: (
        job_reads.append(target) if is_job_read(target) else None,
        original_handle(node, method, target, body, answer),
    )
    query_statuses: list[int] = []
    for i in range(3000):
        request = make_request("GET", f"/work/req-none-{i}", b"")
        cluster.call_later(
            i / 1000,
            lambda request=request: node.on_request(request, lambda status, *_rest: query_statuses.append(status)),
        )
    assert fleet.send_heartbeats(task_reports) == [[200]] * MACHINE_COUNT
    for number, response in enumerate(fleet.responses):
        stopped = {command["play"] for command in json.loads(response)["orders"] if command["verb"] == "kill"}
        assert stopped == {report["play"] for report in task_reports[number]}
    assert query_statuses == [404] * 3000
    assert len(job_reads) <= 0.2 * 150.0 * 5.0


def test_node_without_partitions_redirects_thousands():
    """Guards against clearing a whole table at 4,096 entries, which sent machines back to an owner they can't reach."""
    fleet = _Fleet(94, nodes=2)
    zone = next(z for z in ("za", "zb") if fleet.node.ownership.owner(partition_key(z)) != "n0")
    count = int(1.5 * MACHINE_COUNT)
    statuses: list[int] = []
    for number in range(count):
        body = _heartbeat_body(number, 0, 1, zone=zone)
        fleet.node.on_request(make_request("POST", "/v1/report", body), lambda status, *_rest: statuses.append(status))
    assert statuses == [421] * count
    assert len(fleet.node.partition_manager._redirects._redirected_at) == count > redirects.MIN_TRACKED_MACHINES
    fleet.cluster.run(5 * 15.0)
    for number in range(count, count + 10):
        fleet.node.on_request(
            make_request("POST", "/v1/report", _heartbeat_body(number, 0, 1, zone=zone)), lambda *_answer: None
        )
    for _ in range(3):  # old entries are removed when the table grows
        fleet.node.partition_manager._redirects._cleanup_threshold = redirects.MIN_TRACKED_MACHINES
        fleet.node.on_request(
            make_request("POST", "/v1/report", _heartbeat_body(1, 0, 2, zone=zone)), lambda *_answer: None
        )
    assert len(fleet.node.partition_manager._redirects._redirected_at) <= 12


def test_released_names_outlast_duplicate_heartbeats(monkeypatch):
    fleet = _Fleet(95)
    partition_manager = fleet.node.partition_manager
    names = [f"host-9{number:05d}" for number in range(2 * released_machines.MIN_REMEMBERED_MACHINES)]
    for name in names:
        partition_manager.remove_machine(name)
    statuses: list[int] = []
    for number in (0, len(names) - 1):
        request = make_request("POST", "/v1/report", _heartbeat_body(number, fleet.partition.token, 1))
        fleet.node.on_request(request, lambda status, *_rest: statuses.append(status))
    assert statuses == [503, 503]
    fleet.cluster.run(released_machines.RETENTION_LEASES * 15.0 + 1.0)
    partition_manager.remove_machine("host-one-more")
    assert len(partition_manager._released_machines) <= released_machines.MIN_REMEMBERED_MACHINES


def test_failover_calls_every_worker_within_connection_limit():
    fleet = _Fleet(96)
    cluster, effects = fleet.cluster, fleet.node.context.effects
    in_progress: list[str] = []
    concurrency: list[int] = []
    called_addresses: set[str] = set()

    def call_worker(address, method, target, body, timeout_s, answer):
        if target == "/show":
            called_addresses.add(address)
            in_progress.append(address)
            concurrency.append(len(in_progress))
            cluster.call_later(0.01, lambda: (in_progress.remove(address), answer(None, b"")))

    effects.worker = call_worker
    node = fleet.node
    worker_calls = WorkerCalls(PartitionState(node.context, ZONE, 7, node.job_index, node.machine_types, {}))
    cluster.run(10.0)
    addresses = {f"host-{i}": f"10.1.{i // 250}.{i % 250}:9000" for i in range(MACHINE_COUNT)}
    worker_calls.announce_token(addresses)
    cluster.run(8.0)
    assert called_addresses == set(addresses.values())
    assert max(concurrency) <= fleet.node.settings.params.limits.max_connections // 16


class _SmallServer:
    """A server on loopback with few connections."""

    def __init__(self, close_when_crowded: str | None) -> None:
        self.loop = Loop()
        self.server = HttpServer(
            self.loop,
            "127.0.0.1:0",
            lambda _request, reply: reply(200, b"{}"),
            max_connections=16,
            idle_s=60.0,
            close_when_crowded=close_when_crowded,
        )
        self.address = self.server._sock.getsockname()
        threading.Thread(target=self.loop.run, daemon=True).start()

    def request(self, target: str) -> tuple[socket.socket, bytes]:
        client = socket.create_connection(self.address, timeout=5.0)
        client.sendall(f"POST {target} HTTP/1.1\r\nContent-Length: 2\r\n\r\n{{}}".encode())
        return client, client.recv(4096)


def test_crowded_server_closes_heartbeat_connections():
    """Users keep theirs; a worker's is closed with a response, not while the next heartbeat is on its way."""
    server = _SmallServer("/v1/report")
    user_clients = [server.request("/work")[0] for _ in range(13)]
    worker_responses = [server.request("/v1/report") for _ in range(40)]
    assert all(b"connection: close" in response.lower() for _, response in worker_responses)
    second_responses = [client.sendall(b"GET /work HTTP/1.1\r\n\r\n") or client.recv(4096) for client in user_clients]
    assert all(b"200 OK" in response for response in second_responses)
    for client in (*user_clients, *(worker for worker, _ in worker_responses)):
        client.close()
    server.loop.stop()


def test_uncrowded_server_keeps_heartbeat_connections():
    server = _SmallServer("/v1/report")
    client, response = server.request("/v1/report")
    assert b"connection: close" not in response.lower()
    client.close()
    server.loop.stop()


@pytest.mark.parametrize("listed", [True, False])
def test_records_are_listed_when_watch_answer_never_arrives(listed, monkeypatch):
    """Guards against a node that repeats a watch whose response is too large for it, and never learns of any job."""
    if not listed:
        monkeypatch.setattr("tealhook.state_store.watcher.RELIST_AFTER_FAILURES", 10**9)
    cluster = SimulatedCluster(97, nodes=1)
    cluster.run(15.0)
    original_handle = cluster.state.handle

    def handle(node, method, target, body, answer):
        if target.startswith("/watch?starts=job/"):
            cluster.call_later(0.05, lambda: answer(None, b""))
        else:
            original_handle(node, method, target, body, answer)

    node = cluster.controllers["n0"]
    cluster.state.handle = handle
    job = cluster.submit(plays=1, expected_s=2.0, **UNIFORM_JOB)
    cluster.run(2.0 * RELIST_AFTER_FAILURES + 20.0)
    assert (node.job_index.watcher.age() < 8.0) == listed
    assert not listed or cluster.jobs[job].accepted


def test_heartbeats_of_standins_decode_as_workers_do():
    heartbeat = workers.heartbeat_decoder.decode(_heartbeat_body(1, 7, 3))
    assert Machine(heartbeat, 0.0).name == "host-900001" and heartbeat.fencing_token == 7
