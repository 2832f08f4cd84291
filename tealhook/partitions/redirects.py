"""Heartbeats of partitions that another node owns: workers are redirected there, or their heartbeats relayed."""

from __future__ import annotations

from typing import Any

from tealhook.context import NodeContext
from tealhook.coordination import Ownership, partition_key
from tealhook.http import Reply
from tealhook.loop.effects import LONG_AGO_S
from tealhook.mesh import Mesh
from tealhook.wire import mesh as mesh_wire
from tealhook.wire import workers as wire
from tealhook.wire.common import encode_json, error_body

MIN_TRACKED_MACHINES = 4096  # machines; beyond that those are forgotten of which nothing was noted for long
TRACKED_LEASES = 4.0
RELAY_LEASES = 4  # how long heartbeats are relayed before the worker is redirected once more
MAX_RELAY_S = 2.0  # an owner that has not answered a relayed heartbeat by then can't be reached


class Redirects:
    """Redirects workers to the owners of their partitions, and relays their heartbeats when they can't get there."""

    def __init__(self, context: NodeContext, ownership: Ownership, mesh: Mesh) -> None:
        """No worker has been redirected yet."""
        self._effects = context.effects
        self._workers = context.workers
        self._ownership = ownership
        self._mesh = mesh
        self._redirected_at: dict[str, float] = {}  # machine -> when it was last redirected to the owner
        self._relayed_since: dict[str, float] = {}  # machine -> since when its heartbeats are relayed
        self._cleanup_threshold = MIN_TRACKED_MACHINES  # before old entries of these are looked for

    def forget(self, machine: str) -> None:
        """The machine's heartbeats come to their owner, which is this node."""
        self._redirected_at.pop(machine, None)

    def redirect(
        self, heartbeat: wire.Heartbeat, body: bytes, reply: Reply, owner: str | None, *, relayed: bool
    ) -> None:
        """Answer a heartbeat that only `owner` may answer with 200; None: the owner is not known."""
        if owner is None:
            reply(503, error_body("owner unknown"))
            return
        if owner == self._ownership.node:
            reply(421, b"{}")
            return
        now = self._effects.now()
        if not relayed and self._cannot_reach_owner(heartbeat, now):
            self._relay(heartbeat.machine, body, reply, owner, now)
            return
        self._relayed_since.pop(heartbeat.machine, None)
        self._forget_old(self._redirected_at, now)
        self._redirected_at[heartbeat.machine] = now
        self._send_to(owner, reply)

    def _cannot_reach_owner(self, heartbeat: wire.Heartbeat, now: float) -> bool:
        """Whether a worker seems to be unable to reach the owner.

        It has the owner's token, or was redirected there and is back: it can't reach the owner, but perhaps we
        can. Now and then it is redirected all the same, to find out whether it can again.
        """
        lease_s = self._workers.lease_s
        redirected_at = self._redirected_at.get(heartbeat.machine, LONG_AGO_S)
        relayed_since = self._relayed_since.get(heartbeat.machine, now)
        owner_token = self._ownership.token(partition_key(heartbeat.zone))
        has_tried = heartbeat.fencing_token == owner_token or now - redirected_at < lease_s
        return has_tried and now - relayed_since < RELAY_LEASES * lease_s

    def _relay(self, machine: str, body: bytes, reply: Reply, owner: str, now: float) -> None:
        self._forget_old(self._relayed_since, now)
        self._relayed_since.setdefault(machine, now)

        def on_answer(answer: Any) -> None:
            if isinstance(answer, mesh_wire.RelayReply):
                reply(answer.status, answer.body)
            else:
                self._relayed_since.pop(machine, None)
                self._send_to(owner, reply)

        timeout_s = min(MAX_RELAY_S, self._workers.lease_s / 6)
        self._mesh.call(owner, mesh_wire.RelayRequest(body), timeout_s, on_answer)

    @staticmethod
    def _send_to(owner: str, reply: Reply) -> None:
        reply(421, encode_json(wire.Redirection(owner)))

    def _forget_old(self, times: dict[str, float], now: float) -> None:
        """Drop what is too old to matter from a table of machines, once it has doubled since the last time."""
        if len(times) <= self._cleanup_threshold:
            return
        since = now - TRACKED_LEASES * self._workers.lease_s
        for name in [name for name, at in times.items() if at < since]:
            del times[name]
        self._cleanup_threshold = max(MIN_TRACKED_MACHINES, 2 * len(times))
