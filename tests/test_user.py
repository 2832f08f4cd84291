"""The users' commands against the real HTTP server on loopback, with a stand-in behind it."""

import json
import threading

from tealhook.cli import main
from tealhook.http import HttpServer
from tealhook.loop import Loop


def test_submit_comes_back_when_told_to_and_show_and_cancel_answer(tmp_path, capsys):
    asked = []

    def handler(request, reply):
        asked.append((request.method, request.target, request.body))
        if request.method == "POST" and len(asked) == 1:
            reply(503, b'{"error":"not yet"}', 1)
        elif request.target == "/work/req-2":
            reply(404, b'{"error":"no such job"}')
        else:
            reply(201 if request.target == "/work" else 200, b'{"name_id":"req-1","status":"pending"}')

    loop = Loop()
    server = HttpServer(loop, "127.0.0.1:0", handler, max_connections=8, idle_s=60.0)
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
    printed = capsys.readouterr()
    assert printed.out == 3 * '{"name_id": "req-1", "status": "pending"}\n'
    assert printed.err == "tealhook: 404: no such job\n"
    assert [request[:2] for request in asked] == [
        ("POST", "/work"), ("POST", "/work"), ("GET", "/work/req-1"), ("POST", "/work/req-1/abort"),
        ("GET", "/work/req-2"),
    ]
    assert asked[1][2] == b'{"name_id": "req-1"}'
