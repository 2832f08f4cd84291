"""Routing of HTTP requests from users, workers and health checks."""

from __future__ import annotations

from http import HTTPStatus

from tealhook.admission import Admission
from tealhook.forwarding import RequestForwarder
from tealhook.health_check import HealthCheck
from tealhook.http import Reply, Request
from tealhook.partitions import PartitionManager
from tealhook.wire.common import error_body
from tealhook.wire.users import CANCEL_SUFFIX, JOB_PATH_PREFIX, SUBMIT_PATH
from tealhook.wire.workers import HEARTBEAT_PATH

HEALTH_PATH = "/healthz"


class Api:
    """The HTTP interface of one controller."""

    def __init__(
        self,
        partition_manager: PartitionManager,
        admission: Admission,
        health_check: HealthCheck,
        forwarder: RequestForwarder,
    ) -> None:
        """Initialize the interface.

        `partition_manager` answers workers. `forwarder` sends users' requests to a peer or leaves them to `admission`.
        """
        self._partition_manager = partition_manager
        self._admission = admission
        self._health_check = health_check
        self.forwarder = forwarder

    def on_request(self, request: Request, reply: Reply) -> None:
        """Route a request from a user, a worker or a health check."""
        path = request.path
        if path == HEARTBEAT_PATH:
            if _has_method(request, "POST", reply):
                self._partition_manager.on_heartbeat(request.body, reply)
        elif path == HEALTH_PATH:
            if _has_method(request, "GET", reply):
                self._health_check.answer(reply)
        elif path == SUBMIT_PATH or path.startswith(JOB_PATH_PREFIX):
            self.forwarder.forward_or_handle(request, reply, self.on_user_request)
        else:
            reply(HTTPStatus.NOT_FOUND, error_body("no such path"))

    def on_user_request(self, request: Request, reply: Reply) -> None:
        """Handle a user's request on this node."""
        path = request.path
        if path == SUBMIT_PATH:
            if _has_method(request, "POST", reply):
                self._admission.submit(request.body, reply)
            return
        job_id = path[len(JOB_PATH_PREFIX) :]
        if job_id.endswith(CANCEL_SUFFIX):
            if _has_method(request, "POST", reply):
                self._admission.cancel(job_id[: -len(CANCEL_SUFFIX)], reply)
        elif _has_method(request, "GET", reply):
            self._admission.answer_poll(job_id, reply)


def _has_method(request: Request, method: str, reply: Reply) -> bool:
    """Check whether a request has the method that its path allows, and reject the request if it has not."""
    if request.method == method:
        return True
    reply(HTTPStatus.METHOD_NOT_ALLOWED, error_body(f"use {method}"))
    return False
