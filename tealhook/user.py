"""Commands for users (submit, show, cancel), which retry as the protocol requires of a user."""

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
REQUEST_TIMEOUT_S = 5.0


class _Answer(NamedTuple):
    """Answer of a controller; status 0 stands for no usable answer."""

    status: int
    body: dict[str, Any]
    retry_after_s: float


def _send_request(addr: str, method: str, path: str, body: bytes | None) -> _Answer:
    """Send one request and return the answer, with status 0 if none comes or if it is malformed."""
    connection = http.client.HTTPConnection(addr, timeout=REQUEST_TIMEOUT_S)
    try:
        try:
            connection.request(method, path, body, {"Content-Type": "application/json"} if body else {})
        except (BrokenPipeError, ConnectionResetError):
            pass  # A controller answers a body that is too large before it has read all of it.
        response = connection.getresponse()
        data = response.read()
        retry_after = response.headers.get("Retry-After", "1")
        answer = json.loads(data or b"{}")
        body_fields = answer if isinstance(answer, dict) else {}
        return _Answer(response.status, body_fields, float(retry_after) if retry_after.isdecimal() else 1.0)
    except (OSError, http.client.HTTPException, ValueError):
        return _Answer(0, {"error": f"no answer from {addr}"}, 1.0)
    finally:
        connection.close()


class JobArgumentError(TealhookError, ValueError):
    """An unreadable job file or an invalid job id; the message is one line."""


def _read_job_file(path: str) -> bytes:
    """Return the contents of a job file, or of standard input for `-`.

    Raise JobArgumentError if they can't be read or are not JSON.
    """
    try:
        if path == "-":
            data = sys.stdin.buffer.read()
        else:
            data = Path(path).read_bytes()
        json.loads(data.decode())
    except OSError as exc:
        raise JobArgumentError(f"can't be read: {exc.strerror or exc}") from None
    except UnicodeDecodeError:
        raise JobArgumentError("can't be read: not UTF-8") from None
    except ValueError as exc:
        raise JobArgumentError(f"not JSON: {exc}") from None
    except RecursionError:
        raise JobArgumentError("not JSON: nested too deeply") from None
    return data


def _build_request(command: str, job: str) -> tuple[str, str, bytes | None]:
    """Return method, path and body of the request for a command."""
    if command == "submit":
        return "POST", "/work", _read_job_file(job)
    if not is_valid_job_id(job):
        raise JobArgumentError("expected a job id such as req-000412")
    return ("GET", f"/work/{job}", None) if command == "show" else ("POST", f"/work/{job}/abort", None)


def run_user_command(args: argparse.Namespace) -> int:
    """Run one command, print the answer as JSON, and return the exit code.

    Unanswered requests and temporary failures are retried until the timeout.
    """
    try:
        method, path, body = _build_request(args.command, args.job)
    except JobArgumentError as exc:
        job_name = args.job if args.command == "submit" else repr(args.job)
        print(f"tealhook: {job_name}: {exc}", file=sys.stderr)
        return EXIT_USAGE
    deadline = time.monotonic() + args.timeout
    while True:
        status, answer, retry_after_s = _send_request(args.api, method, path, body)
        if status in (200, 201):
            print(json.dumps(answer))
            return EXIT_OK
        if status in (400, 404, 405, 413, 422) or time.monotonic() + retry_after_s > deadline:
            print(f"tealhook: {status or 'failed'}: {answer.get('error', 'refused')}", file=sys.stderr)
            return EXIT_FAILED
        time.sleep(min(max(retry_after_s, 1.0), 30.0))
