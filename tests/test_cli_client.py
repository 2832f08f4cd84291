"""Command-line client against the real HTTP server on the loopback interface, and nodes that answer its requests."""

import json
import threading

from tealhook.cli import main
from tealhook.http import HttpServer
from tealhook.loop import Loop
from tests.simulated_cluster import SimulatedCluster, make_request


def test_submit_retries_after_delay_and_show_and_cancel_answer(tmp_path, capsys):
    requests = []

    def answer_request(request, reply):
        requests.append((request.method, request.target, request.body))
        if request.method == "POST" and len(requests) == 1:
            reply(503, b'{"error":"not yet"}', 1)
        elif request.target == "/work/req-2":
            reply(404, b'{"error":"no such job"}')
        else:
            reply(201 if request.target == "/work" else 200, b'{"name_id":"req-1","status":"pending"}')

    loop = Loop()
    server = HttpServer(loop, "127.0.0.1:0", answer_request, max_connections=8, idle_s=60.0)
    addr = f"127.0.0.1:{server._sock.getsockname()[1]}"
    thread = threading.Thread(target=loop.run, daemon=True)
    thread.start()
    job = tmp_path / "job.json"
    job.write_text(json.dumps({"name_id": "req-1"}))
    try:
        assert main(["submit", "--api", addr, str(job)]) == 0
        assert main(["show", "--api", addr, "req-1"]) == 0
        assert main(["cancel", "--api", addr, "req-1"]) == 0
        assert main(["show", "--api", addr, "req-2"]) == 1
    finally:
        loop.stop()
        thread.join(5.0)
    output = capsys.readouterr()
    assert output.out == 3 * '{"name_id": "req-1", "status": "pending"}\n'
    assert output.err == "tealhook: 404: no such job\n"
    assert [request[:2] for request in requests] == [
        ("POST", "/work"),
        ("POST", "/work"),
        ("GET", "/work/req-1"),
        ("POST", "/work/req-1/abort"),
        ("GET", "/work/req-2"),
    ]
    assert requests[1][2] == b'{"name_id": "req-1"}'


def test_node_refused_by_state_store_forwards_requests_to_peer():
    """Guards against requests that fail because they reach the one node whose calls the state store refuses."""
    cluster = SimulatedCluster(31)
    cluster.run(20.0)
    cluster.state.refused_nodes = {"n0"}
    cluster.run(3.0)
    spec = {
        "name_id": "req-forwarded",
        "lineup": "x",
        "crew": "team-0",
        "shape": "array",
        "urgency": "standard",
        "plays": 1,
        "vcpus": 1.0,
        "cards": 0.0,
        "memory_gb": 1.0,
        "playbook": "img-0",
        "pull_gb": 0.0,
        "together": False,
        "spread": False,
        "loaners": True,
        "expected_s": 1.0,
        "snapshot_every_s": 0.0,
        "snapshot_s": 0.0,
    }
    answers = []

    def send_request(method: str, target: str, body: bytes | None = None) -> None:
        cluster.network.send_to_node("users", "n0", method, target, body, lambda status, data: answers.append(status))
        cluster.run(0.9)

    send_request("POST", "/work", json.dumps(spec).encode())
    send_request("GET", "/work/req-forwarded")
    send_request("GET", "/work/req-unknown")
    send_request("POST", "/work", b"{}")
    send_request("POST", "/work/req-forwarded/abort")
    assert answers == [201, 200, 404, 400, 200]


def test_invalid_submissions_are_rejected_and_resubmissions_accepted():
    cluster = SimulatedCluster(32)
    cluster.run(20.0)
    node = cluster.controllers["n0"]
    spec = {
        "name_id": "req-large",
        "lineup": "x",
        "crew": "team-0",
        "shape": "array",
        "urgency": "standard",
        "plays": 1,
        "vcpus": 16.0,
        "cards": 0.0,
        "memory_gb": 1.0,
        "playbook": "img-0",
        "pull_gb": 0.0,
        "rigs": ["large"],
        "together": False,
        "spread": False,
        "loaners": True,
        "expected_s": 400.0,
        "snapshot_every_s": 0.0,
        "snapshot_s": 0.0,
    }

    def submit(**changed_fields) -> tuple[int, int | None, float]:
        answers = []
        request = make_request("POST", "/work", json.dumps(spec | changed_fields).encode())
        sent_at = cluster.now
        node.on_request(
            request, lambda status, data=b"{}", after=None: answers.append((status, after, cluster.now - sent_at))
        )
        cluster.run(1.5)
        return answers[0]

    assert submit(plays=0)[0] == submit(urgency="soon")[0] == 400
    assert submit(crew="nobody")[0] == submit(vcpus=25.0)[0] == submit(vcpus=20.0, crew="team-1")[0] == 422
    assert submit()[0] == 201
    node.machine_types.pop("large")  # The cloud no longer offers this type.
    assert submit(name_id="req-other")[0] == 422
    assert submit()[0] == 200
    cluster.state.set_down(True)
    cluster.run(2.0)
    status, retry_after_s, answered_after_s = submit(name_id="req-third", rigs=None, vcpus=1.0)
    assert status == 503 and retry_after_s >= 1 and answered_after_s < 0.2
