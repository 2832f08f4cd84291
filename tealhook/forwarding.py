"""Forwarding of users' requests to a peer while the state store serves that peer but not this node."""

from __future__ import annotations

from tealhook.context import NodeContext
from tealhook.coordination import VersionAgreement
from tealhook.gossip import PeerStates
from tealhook.http import Reply, Request, RequestHandler
from tealhook.mesh import Mesh
from tealhook.state_store import StateClient
from tealhook.wire import mesh as wire
from tealhook.wire.job_parser import InvalidJobError, parse_job
from tealhook.wire.users import SUBMIT_PATH

FORWARD_TIMEOUT_S = 0.8  # users abandon a poll after 2 s, so this leaves time for an answer by this node


class RequestForwarder:
    """Forwarder of users' requests to a peer that the state store serves."""

    def __init__(
        self,
        context: NodeContext,
        store: StateClient,
        mesh: Mesh,
        version_agreement: VersionAgreement,
        peers: PeerStates,
    ) -> None:
        """Initialize; `peers` knows which peers the state store serves.

        Until `version_agreement` is reached, some requests are not forwarded, since a peer could misread them.
        """
        self._effects = context.effects
        self._lease_s = context.workers.lease_s
        self._store = store
        self._mesh = mesh
        self._version_agreement = version_agreement
        self._peers = peers

    def forward_or_handle(self, request: Request, reply: Reply, handle: RequestHandler) -> None:
        """Forward a request to a peer that the state store serves; `handle` it here if none can take it or replies."""
        peer = self.choose_forwarding_peer()
        if peer is None or not self._is_forwardable(request):
            handle(request, reply)
            return

        def on_answer(answer: wire.Body | None) -> None:
            if isinstance(answer, wire.ForwardReply):
                reply(answer.status, answer.body, answer.retry_after_s)
            else:
                handle(request, reply)

        self._mesh.call(
            peer, wire.ForwardRequest(request.method, request.target, request.body), FORWARD_TIMEOUT_S, on_answer
        )

    def choose_forwarding_peer(self) -> str | None:
        """Return a peer that the state store serves, or None if it serves this node or no reachable peer.

        This guards against the refusal of users whom another controller could serve: a refused user retries only after
        a second, and perhaps at this node again.
        """
        if self._store.is_served:
            return None
        now = self._effects.now()
        served_peers = [
            (store_answered_at, peer)
            for peer, store_answered_at in self._peers.store_answered_at.items()
            if now - store_answered_at < self._lease_s / 4 and self._peers.is_reachable(peer)
        ]
        return max(served_peers)[1] if served_peers else None

    def _is_forwardable(self, request: Request) -> bool:
        """Check whether every peer would handle a request as this node does.

        A peer of an earlier version would ignore the dependencies of a submitted job and start it at once, or accept a
        submission that lacks a field.
        """
        if request.method != "POST" or request.path != SUBMIT_PATH or self._version_agreement.all_upgraded:
            return True
        try:
            return not parse_job(request.body).depends_on
        except InvalidJobError:
            return False
