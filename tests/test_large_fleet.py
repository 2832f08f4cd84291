"""About 4,000 machines, also all of them at one controller: rules hold, and no bounded table loses live entries.

What is counted are calls, bytes and steps, not seconds.
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
from tealhook.state_store.watcher import LIST_AFTER
from tealhook.wire import mesh, workers
from tealhook.wire.job_parser import parse_job
from tests.api_client import SUBMISSION_FIELDS, submission_body
from tests.simulated_cluster import SimulatedCluster
from tests.simulation.requests import is_job_read, make_request
from tests.user_requests import UNIFORM_JOB

MACHINES = 4000
ZONE = "za"


def _report(i: int, token: int, sequence: int, plays: list[dict] | None = None, zone: str = ZONE) -> bytes:
    body = {
        "box": f"host-9{i:05d}",
        "addr": f"10.1.{i // 250}.{i % 250}:9000",
        "rig": "small",
        "yard": zone,
        "loaners": True,
        "shift": 1,
        "tick": sequence,
        "baton": token,
        "warning_s": None,
        "plays": plays or [],
    }
    return json.dumps(body).encode()


class _Fleet:
    """One controller that owns everything, and the reports of all machines, made to it directly."""

    def __init__(self, seed: int, nodes: int = 1) -> None:
        self.cluster = SimulatedCluster(seed, nodes=nodes, report_s=2.5, lease_s=15.0, cancel_s=40.0)
        self.cluster.run(12.0)
        self.node = self.cluster.controllers["n0"]
        self.sequence = 0

    @property
    def partition(self) -> Partition:
        return self.node.partition_manager.partitions[ZONE]

    def report_all(self, plays: dict[int, list[dict]] | None = None, seconds: float = 2.0) -> list[list[int]]:
        """Each machine reports once within so many seconds; the statuses of the answers, by machine."""
        self.sequence += 1
        token = self.partition.token
        statuses: list[list[int]] = [[] for _ in range(MACHINES)]
        self.answers: list[bytes] = [b""] * MACHINES

        def report(i: int) -> None:
            def answered(status: int, data: bytes = b"{}", _after: int | None = None) -> None:
                statuses[i].append(status)
                self.answers[i] = data

            body = _report(i, token, self.sequence, (plays or {}).get(i))
            self.node.on_request(make_request("POST", "/v1/report", body), answered)

        for i in range(MACHINES):
            self.cluster.call_later(seconds * i / MACHINES, lambda i=i: report(i))
        self.cluster.run(seconds + 2.5)
        return statuses


def test_4000_machines_join_within_heartbeat_period(monkeypatch):
    """Each is answered once, and is of use after the report that shows the token; what fits is worked out once each."""
    fleet = _Fleet(91)
    worked: list[str] = []
    whole = MachineCapacity.compute_fit
    monkeypatch.setattr(
        MachineCapacity, "compute_fit", lambda self, m, need: worked.append(m.name) or whole(self, m, need)
    )
    for _ in range(2):
        assert fleet.report_all() == [[200]] * MACHINES
    part = fleet.partition
    assert sum(machine.is_reconciled for machine in fleet.partition.machines.values()) == MACHINES
    shape = mesh.TaskRequirements(4.0, 0.0, 4.0, "img", 0.6, True, (), 1, 5.0)
    assert part.inquire([shape]).capacities[0].uncached == 2 * MACHINES
    assert len(worked) == MACHINES
    worked.clear()
    want = mesh.ReservationRequest("req-000001", "team-0", shape, 7, False, False, [], 1, False, False)
    slots = part.reserve(mesh.ReserveRequest(ZONE, [want])).grants[0]
    assert len(slots) == 7
    assert part.inquire([shape]).capacities[0].uncached == 2 * MACHINES - 7
    assert len(worked) == 4  # the machines that were used


def test_gossip_of_4000_machines_fits_frame_and_queue():
    fleet = _Fleet(92)
    for _ in range(2):
        fleet.report_all()
    states = fleet.partition.machine_states()
    assert len(states) == MACHINES
    addrs = {ZONE: {machine.name: machine.address for machine in fleet.partition.machines.values()}}
    body = mesh.Gossip("n0", 0.0, {}, [], [], {ZONE: states}, {}, addrs)
    frame = mesh.envelope_encoder.encode(mesh.Envelope("n0", 1, 1, 0, body))
    # half as many machines again, and twice the room
    assert 3 * len(frame) < mesh.MAX_FRAME < transport.MAX_QUEUED_BYTES


def _spec(job: str) -> dict:
    return json.loads(
        submission_body(SUBMISSION_FIELDS | {"name_id": f'"{job}"', "plays": str(MACHINES), "vcpus": "4.0"})
    )


def test_mass_cancellation_reaches_every_machine_with_next_response():
    """Also beside a query storm, whose cost does not grow with the number of queries."""
    fleet = _Fleet(93)
    cluster, node = fleet.cluster, fleet.node
    jobs = [f"req-w{i}" for i in range(50)]
    for job in jobs:
        node.job_index.active[job] = JobEntry(parse_job(json.dumps(_spec(job)).encode()), "team-0", 1, 0.0)
    plays = {
        i: [
            {"play": f"{jobs[i % 50]}/{i}", "try": 1, "status": "running"},
            {"play": f"{jobs[(i + 1) % 50]}/{i}", "try": 1, "status": "running"},
        ]
        for i in range(MACHINES)
    }
    for _ in range(2):
        assert fleet.report_all(plays) == [[200]] * MACHINES
    for job in jobs:
        del node.job_index.active[job]
        node.job_index.ended[job] = EndedJob("cancelled", "team-0", 0.0)
    reads: list[str] = []
    whole = cluster.state.handle
    cluster.state.handle = lambda who, method, target, body, answer: (
        reads.append(target) if is_job_read(target) else None,
        whole(who, method, target, body, answer),
    )
    asked: list[int] = []
    for i in range(3000):
        request = make_request("GET", f"/work/req-none-{i}", b"")
        cluster.call_later(
            i / 1000, lambda request=request: node.on_request(request, lambda status, *_rest: asked.append(status))
        )
    assert fleet.report_all(plays) == [[200]] * MACHINES
    for i, answer in enumerate(fleet.answers):
        killed = {order["play"] for order in json.loads(answer)["orders"] if order["verb"] == "kill"}
        assert killed == {play["play"] for play in plays[i]}
    assert asked == [404] * 3000
    assert len(reads) <= 0.2 * 150.0 * 5.0


def test_node_without_partitions_redirects_thousands():
    """Guards against a table that was cleared whole at 4,096: machines were sent back to an owner they can't reach."""
    fleet = _Fleet(94, nodes=2)
    zone = next(z for z in ("za", "zb") if fleet.node.ownership.owner(partition_key(z)) != "n0")
    count = int(1.5 * MACHINES)
    answered: list[int] = []
    for i in range(count):
        body = _report(i, 0, 1, zone=zone)
        fleet.node.on_request(make_request("POST", "/v1/report", body), lambda status, *_rest: answered.append(status))
    assert answered == [421] * count
    assert len(fleet.node.partition_manager._redirects._redirected_at) == count > redirects.MIN_TRACKED_MACHINES
    fleet.cluster.run(5 * 15.0)
    for i in range(count, count + 10):
        fleet.node.on_request(make_request("POST", "/v1/report", _report(i, 0, 1, zone=zone)), lambda *_answer: None)
    for _ in range(3):  # what is old goes when the table grows
        fleet.node.partition_manager._redirects._cleanup_threshold = redirects.MIN_TRACKED_MACHINES
        fleet.node.on_request(make_request("POST", "/v1/report", _report(1, 0, 2, zone=zone)), lambda *_answer: None)
    assert len(fleet.node.partition_manager._redirects._redirected_at) <= 12


def test_released_names_outlast_duplicate_heartbeats(monkeypatch):
    fleet = _Fleet(95)
    parts = fleet.node.partition_manager
    names = [f"host-9{i:05d}" for i in range(2 * released_machines.MIN_REMEMBERED_MACHINES)]
    for name in names:
        parts.remove_machine(name)
    statuses: list[int] = []
    for i in (0, len(names) - 1):
        request = make_request("POST", "/v1/report", _report(i, fleet.partition.token, 1))
        fleet.node.on_request(request, lambda status, *_rest: statuses.append(status))
    assert statuses == [503, 503]
    fleet.cluster.run(released_machines.RETENTION_LEASES * 15.0 + 1.0)
    parts.remove_machine("host-one-more")
    assert len(parts._released) <= released_machines.MIN_REMEMBERED_MACHINES


def test_failover_calls_every_worker_within_connection_limit():
    fleet = _Fleet(96)
    cluster, effects = fleet.cluster, fleet.node.context.effects
    under_way: list[str] = []
    most: list[int] = []
    called: set[str] = set()

    def worker(addr, method, target, body, timeout, answer):
        if target == "/show":
            called.add(addr)
            under_way.append(addr)
            most.append(len(under_way))
            cluster.call_later(0.01, lambda: (under_way.remove(addr), answer(None, b"")))

    effects.worker = worker
    node = fleet.node
    calls = WorkerCalls(PartitionState(node.context, ZONE, 7, node.job_index, node.machine_types, {}))
    cluster.run(10.0)
    addrs = {f"host-{i}": f"10.1.{i // 250}.{i % 250}:9000" for i in range(MACHINES)}
    calls.announce_token(addrs)
    cluster.run(8.0)
    assert called == set(addrs.values())
    assert max(most) <= fleet.node.settings.params.limits.max_connections // 16


class _Server:
    """A server on loopback with few connections."""

    def __init__(self, short: str | None) -> None:
        self.loop = Loop()
        self.server = HttpServer(
            self.loop,
            "127.0.0.1:0",
            lambda _request, reply: reply(200, b"{}"),
            max_connections=16,
            idle_s=60.0,
            short_when_crowded=short,
        )
        self.addr = self.server._sock.getsockname()
        threading.Thread(target=self.loop.run, daemon=True).start()

    def request(self, target: str) -> tuple[socket.socket, bytes]:
        client = socket.create_connection(self.addr, timeout=5.0)
        client.sendall(f"POST {target} HTTP/1.1\r\nContent-Length: 2\r\n\r\n{{}}".encode())
        return client, client.recv(4096)


def test_crowded_server_closes_heartbeat_connections():
    """Users keep theirs; a worker's is not closed just as its next report is on its way."""
    server = _Server("/v1/report")
    users = [server.request("/work")[0] for _ in range(13)]
    told = [server.request("/v1/report") for _ in range(40)]
    assert all(b"connection: close" in answer.lower() for _, answer in told)
    again = [user.sendall(b"GET /work HTTP/1.1\r\n\r\n") or user.recv(4096) for user in users]
    assert all(b"200 OK" in answer for answer in again)
    for client in (*users, *(worker for worker, _ in told)):
        client.close()
    server.loop.stop()


def test_uncrowded_server_keeps_heartbeat_connections():
    server = _Server("/v1/report")
    client, answer = server.request("/v1/report")
    assert b"connection: close" not in answer.lower()
    client.close()
    server.loop.stop()


@pytest.mark.parametrize("listed", [True, False])
def test_records_are_listed_when_watch_answer_never_arrives(listed, monkeypatch):
    """Guards against a node that asked for ever for an answer that is too large for it, and never learned anything."""
    if not listed:
        monkeypatch.setattr("tealhook.state_store.watcher.LIST_AFTER", 10**9)
    cluster = SimulatedCluster(97, nodes=1)
    cluster.run(15.0)
    whole = cluster.state.handle

    def handle(node, method, target, body, answer):
        if target.startswith("/watch?starts=job/"):
            cluster.call_later(0.05, lambda: answer(None, b""))
        else:
            whole(node, method, target, body, answer)

    node = cluster.controllers["n0"]
    cluster.state.handle = handle
    job = cluster.submit(plays=1, expected_s=2.0, **UNIFORM_JOB)
    cluster.run(2.0 * LIST_AFTER + 20.0)
    assert (node.job_index.watcher.age() < 8.0) == listed
    assert not listed or cluster.jobs[job].accepted


def test_heartbeats_of_standins_decode_as_workers_do():
    """The stand-ins' reports are read as those of workers are."""
    report = workers.heartbeat_decoder.decode(_report(1, 7, 3))
    assert Machine(report, 0.0).name == "host-900001" and report.fencing_token == 7
