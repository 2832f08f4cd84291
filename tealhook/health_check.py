"""Health checks, which tell a load balancer whether to send requests to this controller."""

from __future__ import annotations

from http import HTTPStatus

from tealhook.context import NodeContext
from tealhook.gossip import PeerStates
from tealhook.http import Reply
from tealhook.jobs import JobIndex
from tealhook.state_store import StateClient
from tealhook.wire.common import error_body

UNHEALTHY_RETRY_AFTER_S = 1


class HealthCheck:
    """Health check that compares the state store's answers to this controller with those to its peers."""

    def __init__(self, context: NodeContext, store: StateClient, job_index: JobIndex, peers: PeerStates) -> None:
        """Initialize; `peers` knows when the state store last answered each peer."""
        self._effects = context.effects
        self._lease_s = context.workers.lease_s
        self._store = store
        self._job_index = job_index
        self._peers = peers

    def answer(self, reply: Reply) -> None:
        """Answer a health check: unhealthy while the state store answers a peer but not this node.

        A node that does not follow the changes of jobs yet is unhealthy as well. In an outage of the state store for
        all nodes every node stays healthy: taking them out of service would not help any user and would delay the
        recovery.
        """
        now = self._effects.now()
        unanswered_s = now - self._store.last_answered_at
        if self._job_index.can_answer and unanswered_s < self._lease_s / 4:
            reply(HTTPStatus.OK, b"{}")
            return
        is_any_peer_served = any(
            now - store_answered_at < self._lease_s / 8 for store_answered_at in self._peers.store_answered_at.values()
        )
        if not self._job_index.can_answer or is_any_peer_served:
            reply(HTTPStatus.SERVICE_UNAVAILABLE, error_body("no state service"), UNHEALTHY_RETRY_AFTER_S)
        else:
            reply(HTTPStatus.OK, b"{}")
