"""HTTP requests of users, workers and health checks, and where each of them goes."""

from __future__ import annotations

from tealhook.admission.admission import Admission
from tealhook.context import NodeContext
from tealhook.coordination import Versions
from tealhook.gossip import PeerStates
from tealhook.http import Reply, Request
from tealhook.jobs import JobIndex
from tealhook.mesh import Mesh
from tealhook.partitions import PartitionManager
from tealhook.state_store import StateClient
from tealhook.wire import mesh as wire
from tealhook.wire.common import error_body
from tealhook.wire.job_parser import InvalidJobError, parse_job
from tealhook.wire.workers import HEARTBEAT_PATH

FORWARD_S = 0.8  # a user gives up on a poll after 2 s; this leaves time to answer it here instead


class Api:
    """The HTTP interface of one controller."""

    def __init__(
        self,
        context: NodeContext,
        store: StateClient,
        job_index: JobIndex,
        mesh: Mesh,
        partition_manager: PartitionManager,
        admission: Admission,
        versions: Versions,
        peers: PeerStates,
    ) -> None:
        """`admission` answers users, `parts` workers.

        `peers` says who can stand in without the state service, `versions` whether any of them may decide all.
        """
        self._effects = context.effects
        self._workers = context.workers
        self._store = store
        self._job_index = job_index
        self._mesh = mesh
        self._partition_manager = partition_manager
        self._admission = admission
        self._versions = versions
        self._peers = peers

    def on_request(self, request: Request, reply: Reply) -> None:
        """Route a request of a user, a worker or a health check."""
        path = request.target.split("?", 1)[0]
        if path == HEARTBEAT_PATH:
            if self._method(request, "POST", reply):
                self._partition_manager.on_heartbeat(request.body, reply)
        elif path == "/healthz":
            if self._method(request, "GET", reply):
                self._healthz(reply)
        elif path == "/work" or path.startswith("/work/"):
            stand_in = self._stand_in_peer()
            if stand_in is None or not self._decided_alike(request):
                self.on_user(request, reply)
                return

            def answered(answer: wire.Body | None) -> None:
                if isinstance(answer, wire.ForwardReply):
                    reply(answer.status, answer.body, answer.retry_after_s)
                else:
                    self.on_user(request, reply)

            self._mesh.call(
                stand_in, wire.ForwardRequest(request.method, request.target, request.body), FORWARD_S, answered
            )
        else:
            reply(404, error_body("no such path"))

    def _decided_alike(self, request: Request) -> bool:
        """Whether any peer decides a request as this node does.

        While a peer may run an earlier version, that one would accept a job that waits for others as one that does
        not, and start it at once; or accept a submission that lacks a field.
        """
        if request.method != "POST" or request.target.split("?", 1)[0] != "/work" or self._versions.all_upgraded:
            return True
        try:
            return not parse_job(request.body).depends_on
        except InvalidJobError:
            return False

    def _stand_in_peer(self) -> str | None:
        """The peer that decides users' requests while the state service serves it but not us; None: we decide.

        This guards against refusing users whom another controller could serve: one that is refused tries again only
        after a second, and perhaps here again.
        """
        if self._store.is_served:
            return None
        now = self._effects.now()
        fresh = [
            (at, peer)
            for peer, at in self._peers.served_at.items()
            if now - at < self._workers.lease_s / 4 and self._peers.is_reachable(peer)
        ]
        return max(fresh)[1] if fresh else None

    def on_user(self, request: Request, reply: Reply) -> None:
        """Carry out a user's request on this node."""
        path = request.target.split("?", 1)[0]
        if path == "/work":
            if self._method(request, "POST", reply):
                self._admission.submit(request.body, reply)
        else:
            job = path[len("/work/") :]
            if job.endswith("/abort"):
                if self._method(request, "POST", reply):
                    self._admission.cancel(job[: -len("/abort")], reply)
            elif self._method(request, "GET", reply):
                self._admission.answer_poll(job, reply)

    @staticmethod
    def _method(request: Request, method: str, reply: Reply) -> bool:
        if request.method == method:
            return True
        reply(405, error_body(f"use {method}"))
        return False

    def _healthz(self, reply: Reply) -> None:
        """Answer a health check: unhealthy while this node alone has no answers from the state service.

        In an outage that all nodes see, every node stays healthy: to take them out of service would not help any user
        and would delay the recovery.
        """
        now = self._effects.now()
        silence = now - self._store.answered_at
        if self._job_index.synced and silence < self._workers.lease_s / 4:
            reply(200, b"{}")
            return
        fresh = [at for at in self._peers.served_at.values() if now - at < self._workers.lease_s / 8]
        if not self._job_index.synced or fresh:
            reply(503, error_body("no state service"), 1)
        else:
            reply(200, b"{}")
