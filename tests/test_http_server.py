"""The HTTP server on loopback: Retry-After with each 429 and 503, and error responses to malformed requests."""

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
def server_address() -> Iterator[str]:
    """Start an HTTP server that answers 503 to /busy, 429 to /over and 200 to all else, and yield its address."""

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


def test_oversized_submission_is_rejected_at_once(server_address, tmp_path, capsys):
    job = tmp_path / "job.json"
    job.write_text(json.dumps({"name_id": "req-1", "playbook": "i" * 4_000_000}))
    assert main(["submit", "--api", server_address, "--timeout", "2", str(job)]) == 1
    assert capsys.readouterr().err == "tealhook: 400: body must have at most 65536 bytes\n"


def _exchange(addr: str, request: bytes) -> bytes:
    """Send bytes unchanged and return the whole response."""
    host, port = addr.split(":")
    with socket.create_connection((host, int(port)), timeout=5.0) as connection:
        connection.sendall(request)
        answer = b""
        while b"\r\n\r\n" not in answer and (data := connection.recv(4096)):
            answer += data
    return answer


@pytest.mark.parametrize(("target", "status"), [("/busy", 503), ("/over", 429)])
def test_429_and_503_carry_retry_after(server_address, target, status):
    answer = _exchange(server_address, f"GET {target} HTTP/1.1\r\n\r\n".encode())
    assert answer.startswith(f"HTTP/1.1 {status} ".encode()) and b"\r\nRetry-After: 1\r\n" in answer


@pytest.mark.parametrize(
    ("raw_request", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET / HTTP/2.0\r\n\r\n", 505),
        (b"POST /work HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nX: " + b"a" * 20_000 + b"\r\n\r\n", 431),
    ],
)
def test_malformed_request_gets_one_error_response(server_address, raw_request, status):
    answer = _exchange(server_address, raw_request)
    assert answer.startswith(f"HTTP/1.1 {status} ".encode()) and b"\r\nConnection: close\r\n" in answer
