"""Forwarding: users' requests that a peer decides while the state service serves that peer but not this node."""

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

FORWARD_TIMEOUT_S = 0.8  # a user gives up on a poll after 2 s; this leaves time to answer it here instead


class RequestForwarder:
    """Chooses the peer that decides users' requests, and forwards them."""

    def __init__(
        self,
        context: NodeContext,
        store: StateClient,
        mesh: Mesh,
        version_agreement: VersionAgreement,
        peers: PeerStates,
    ) -> None:
        """`peers` says who can stand in, `versions` whether any of them may decide all requests."""
        self._effects = context.effects
        self._lease_s = context.workers.lease_s
        self._store = store
        self._mesh = mesh
        self._version_agreement = version_agreement
        self._peers = peers

    def forward_or_handle(self, request: Request, reply: Reply, handle: RequestHandler) -> None:
        """Forward a request if a peer is to decide it; `handle` it here if not, or if the peer does not reply."""
        peer = self.choose_forwarding_peer()
        if peer is None or not self._is_decided_alike(request):
            handle(request, reply)
            return

        def forwarded(answer: wire.Body | None) -> None:
            if isinstance(answer, wire.ForwardReply):
                reply(answer.status, answer.body, answer.retry_after_s)
            else:
                handle(request, reply)

        self._mesh.call(
            peer, wire.ForwardRequest(request.method, request.target, request.body), FORWARD_TIMEOUT_S, forwarded
        )

    def choose_forwarding_peer(self) -> str | None:
        """The peer that decides users' requests while the state service serves it but not us; None: we decide.

        This guards against refusing users whom another controller could serve: one that is refused retries only after
        a second, and perhaps here again.
        """
        if self._store.is_served:
            return None
        now = self._effects.now()
        served_peers = [
            (served_at, peer)
            for peer, served_at in self._peers.served_at.items()
            if now - served_at < self._lease_s / 4 and self._peers.is_reachable(peer)
        ]
        return max(served_peers)[1] if served_peers else None

    def _is_decided_alike(self, request: Request) -> bool:
        """Whether any peer decides a request as this node does.

        While a peer may run an earlier version, that one would accept a job that waits for others as one that does
        not, and start it at once; or accept a submission that lacks a field.
        """
        if request.method != "POST" or request.path != SUBMIT_PATH or self._version_agreement.all_upgraded:
            return True
        try:
            return not parse_job(request.body).depends_on
        except InvalidJobError:
            return False
