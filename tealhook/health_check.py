"""Health checks: whether this controller should be sent requests."""

from __future__ import annotations

from http import HTTPStatus

from tealhook.context import NodeContext
from tealhook.gossip import PeerStates
from tealhook.http import Reply
from tealhook.jobs import JobIndex
from tealhook.state_store import StateClient
from tealhook.wire.common import error_body

RETRY_AFTER_S = 1


class HealthCheck:
    """Compares how the state service serves this controller with how it serves the others."""

    def __init__(self, context: NodeContext, store: StateClient, job_index: JobIndex, peers: PeerStates) -> None:
        """`peers` knows when the state service last served each of the others."""
        self._effects = context.effects
        self._lease_s = context.workers.lease_s
        self._store = store
        self._job_index = job_index
        self._peers = peers

    def answer(self, reply: Reply) -> None:
        """Answer a health check: unhealthy while this node alone has no answers from the state service.

        In an outage that all nodes see, every node stays healthy: to take them out of service would not help any user
        and would delay the recovery.
        """
        now = self._effects.now()
        unanswered_s = now - self._store.last_answered_at
        if self._job_index.synced and unanswered_s < self._lease_s / 4:
            reply(HTTPStatus.OK, b"{}")
            return
        any_peer_served = any(now - served_at < self._lease_s / 8 for served_at in self._peers.served_at.values())
        if not self._job_index.synced or any_peer_served:
            reply(HTTPStatus.SERVICE_UNAVAILABLE, error_body("no state service"), RETRY_AFTER_S)
        else:
            reply(HTTPStatus.OK, b"{}")
