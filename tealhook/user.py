"""The users' commands: submit, show and cancel, repeated as the protocol asks of a user."""

from __future__ import annotations

import argparse
import http.client
import json
import sys
import time
from pathlib import Path
from typing import Any, NamedTuple

from tealhook.errors import TealhookError
from tealhook.wire.users import is_valid_job_id

EXIT_OK, EXIT_FAILED, EXIT_USAGE = 0, 1, 2
CALL_TIMEOUT_S = 5.0


class _Answer(NamedTuple):
    """A controller's answer; status 0: none came."""

    status: int
    body: dict[str, Any]
    retry_after_s: float


def _call(addr: str, method: str, path: str, body: bytes | None) -> _Answer:
    """Send one request; never raises for a controller that does not answer, or answers badly."""
    connection = http.client.HTTPConnection(addr, timeout=CALL_TIMEOUT_S)
    try:
        try:
            connection.request(method, path, body, {"Content-Type": "application/json"} if body else {})
        except (BrokenPipeError, ConnectionResetError):
            pass  # what is too large is refused before all of it is sent
        response = connection.getresponse()
        data = response.read()
        wait = response.headers.get("Retry-After", "1")
        answer = json.loads(data or b"{}")
        body_fields = answer if isinstance(answer, dict) else {}
        return _Answer(response.status, body_fields, float(wait) if wait.isdecimal() else 1.0)
    except (OSError, http.client.HTTPException, ValueError):
        return _Answer(0, {"error": f"no answer from {addr}"}, 1.0)
    finally:
        connection.close()


class UnusableJobError(TealhookError, ValueError):
    """The job that a command names can't be used: one line says why."""


def _job_file(path: str) -> bytes:
    """The JSON that a job file, or standard input, holds."""
    try:
        if path == "-":
            data = sys.stdin.buffer.read()
        else:
            data = Path(path).read_bytes()
        json.loads(data.decode())
    except OSError as exc:
        raise UnusableJobError(f"can't be read: {exc.strerror or exc}") from None
    except UnicodeDecodeError:
        raise UnusableJobError("can't be read: not UTF-8") from None
    except ValueError as exc:
        raise UnusableJobError(f"not JSON: {exc}") from None
    except RecursionError:
        raise UnusableJobError("not JSON: nested too deeply") from None
    return data


def _request(command: str, job: str) -> tuple[str, str, bytes | None]:
    """Method, path and body of a command's request."""
    if command == "submit":
        return "POST", "/work", _job_file(job)
    if not is_valid_job_id(job):
        raise UnusableJobError("expected a job id such as req-000412")
    return ("GET", f"/work/{job}", None) if command == "show" else ("POST", f"/work/{job}/abort", None)


def run_user_command(args: argparse.Namespace) -> int:
    """Runs one command; prints the answer as JSON."""
    try:
        method, path, body = _request(args.command, args.job)
    except UnusableJobError as exc:
        shown = args.job if args.command == "submit" else repr(args.job)
        print(f"tealhook: {shown}: {exc}", file=sys.stderr)
        return EXIT_USAGE
    until = time.monotonic() + args.timeout
    while True:
        status, answer, wait = _call(args.api, method, path, body)
        if status in (200, 201):
            print(json.dumps(answer))
            return EXIT_OK
        if status in (400, 404, 405, 413, 422) or time.monotonic() + wait > until:
            print(f"tealhook: {status or 'failed'}: {answer.get('error', 'refused')}", file=sys.stderr)
            return EXIT_FAILED
        time.sleep(min(max(wait, 1.0), 30.0))
