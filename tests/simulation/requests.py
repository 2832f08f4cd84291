"""Requests to controllers."""

from __future__ import annotations

from typing import Any

from tests.versions import Version, current_version


def make_request(method: str, target: str, body: bytes | None, version: Version | None = None) -> Any:
    """A request as the HTTP server of a version hands it to its controller."""
    request = (version or current_version()).request(method, target, {}, True)
    request.body = body or b""
    return request


def is_job_read(target: str) -> bool:
    """Whether a request asks the state service for what became of jobs, for users who wait for an answer."""
    return target.startswith("/store/job/") or target.startswith("/watch?starts=job/") and "wait_ms=0" in target
