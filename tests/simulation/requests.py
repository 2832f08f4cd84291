"""Requests to controllers and to the state store."""

from __future__ import annotations

from typing import Any

from tests.versions import Version, current_version


def make_request(method: str, target: str, body: bytes | None, version: Version | None = None) -> Any:
    """Return a request as the HTTP server of a version (by default the current one) passes it to its controller."""
    request = (version or current_version()).request(method, target, {}, True)
    request.body = body or b""
    return request


def is_job_read(target: str) -> bool:
    """Check whether a request to the state store reads job records while a user waits for the answer."""
    return target.startswith("/store/job/") or target.startswith("/watch?starts=job/") and "wait_ms=0" in target
