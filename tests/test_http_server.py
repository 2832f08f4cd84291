"""The HTTP server on loopback: each 429 and 503 says when to come back, and what is no request is answered."""

from __future__ import annotations

import json
import socket
import threading
from collections.abc import Iterator

import pytest

from tealhook.cli import main
from tealhook.http import HttpServer
from tealhook.loop import Loop


@pytest.fixture
def served() -> Iterator[str]:
    """The address of a real HTTP server; it answers 503 below /busy, 429 below /over, else 200."""

    def handler(request, reply):
        status = {"/busy": 503, "/over": 429}.get(request.target, 200)
        reply(status, b'{"name_id":"req-1","status":"pending"}')

    loop = Loop()
    server = HttpServer(loop, "127.0.0.1:0", handler, max_connections=8, idle_s=60.0)
    thread = threading.Thread(target=loop.run, daemon=True)
    thread.start()
    yield f"127.0.0.1:{server._sock.getsockname()[1]}"
    loop.stop()
    thread.join(5.0)


def test_too_large_submission_is_rejected_at_once(served, tmp_path, capsys):
    job = tmp_path / "job.json"
    job.write_text(json.dumps({"name_id": "req-1", "playbook": "i" * 4_000_000}))
    assert main(["submit", "--api", served, "--timeout", "2", str(job)]) == 1
    assert capsys.readouterr().err == "tealhook: 400: body too large\n"


def _raw(addr: str, request: bytes) -> bytes:
    """The answer to what is sent as it is."""
    host, port = addr.split(":")
    with socket.create_connection((host, int(port)), timeout=5.0) as connection:
        connection.sendall(request)
        answer = b""
        while b"\r\n\r\n" not in answer and (data := connection.recv(4096)):
            answer += data
    return answer


@pytest.mark.parametrize(("target", "status"), [("/busy", 503), ("/over", 429)])
def test_429_and_503_carry_retry_after(served, target, status):
    answer = _raw(served, f"GET {target} HTTP/1.1\r\n\r\n".encode())
    assert answer.startswith(f"HTTP/1.1 {status} ".encode()) and b"\r\nRetry-After: 1\r\n" in answer


@pytest.mark.parametrize(
    ("request_", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET / HTTP/2.0\r\n\r\n", 505),
        (b"POST /work HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nX: " + b"a" * 20_000 + b"\r\n\r\n", 431),
    ],
)
def test_malformed_http_request_gets_one_error(served, request_, status):
    answer = _raw(served, request_)
    assert answer.startswith(f"HTTP/1.1 {status} ".encode()) and b"\r\nConnection: close\r\n" in answer
