"""Redirection and relaying of heartbeats whose partition is owned by another node."""

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

MIN_TRACKED_MACHINES = 4096  # a table of machines is cleaned of expired entries only above this size
ENTRY_LIFETIME_LEASES = 4.0  # an entry of such a table expires after this many leases
RELAY_LEASES = 4  # heartbeats are relayed for this many leases before the worker is redirected again
MAX_RELAY_TIMEOUT_S = 2.0  # an owner that has not answered a relayed heartbeat by then counts as unreachable


class Redirects:
    """Redirects workers to the owners of their partitions, and relays heartbeats of workers that cannot reach them."""

    def __init__(self, context: NodeContext, ownership: Ownership, mesh: Mesh) -> None:
        """Start without any redirected or relayed workers; heartbeats are relayed over `mesh`."""
        self._effects = context.effects
        self._workers = context.workers
        self._ownership = ownership
        self._mesh = mesh
        self._redirected_at: dict[str, float] = {}  # machine -> time of its last redirection
        self._relayed_since: dict[str, float] = {}  # machine -> time from which its heartbeats have been relayed
        self._cleanup_threshold = MIN_TRACKED_MACHINES  # table size above which expired entries are removed

    def forget(self, machine: str) -> None:
        """Forget the redirection of a machine whose heartbeats now reach their owner, which is this node."""
        self._redirected_at.pop(machine, None)

    def redirect(
        self, heartbeat: wire.Heartbeat, body: bytes, reply: Reply, owner: str | None, *, relayed: bool
    ) -> None:
        """Redirect a heartbeat to the partition's owner or relay it there; refuse it if the owner is unknown (None).

        A heartbeat that another node has relayed (`relayed`) is not relayed again.
        """
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
        self._remove_expired(self._redirected_at, now)
        self._redirected_at[heartbeat.machine] = now
        self._reply_with_owner(owner, reply)

    def _cannot_reach_owner(self, heartbeat: wire.Heartbeat, now: float) -> bool:
        """Check whether a worker seems unable to reach the owner, which this node may still reach.

        It seems so if the worker has the owner's token, or was redirected to the owner recently and came back. It is
        redirected again from time to time, since it may be able to reach the owner by then.
        """
        lease_s = self._workers.lease_s
        redirected_at = self._redirected_at.get(heartbeat.machine, LONG_AGO_S)
        relayed_since = self._relayed_since.get(heartbeat.machine, now)
        owner_token = self._ownership.token(partition_key(heartbeat.zone))
        has_tried = heartbeat.fencing_token == owner_token or now - redirected_at < lease_s
        return has_tried and now - relayed_since < RELAY_LEASES * lease_s

    def _relay(self, machine: str, body: bytes, reply: Reply, owner: str, now: float) -> None:
        """Relay a heartbeat to the partition's owner and pass its answer back; redirect the worker if none comes."""
        self._remove_expired(self._relayed_since, now)
        self._relayed_since.setdefault(machine, now)

        def on_answer(answer: Any) -> None:
            if isinstance(answer, mesh_wire.RelayReply):
                reply(answer.status, answer.body)
            else:
                self._relayed_since.pop(machine, None)
                self._reply_with_owner(owner, reply)

        timeout_s = min(MAX_RELAY_TIMEOUT_S, self._workers.lease_s / 6)
        self._mesh.call(owner, mesh_wire.RelayRequest(body), timeout_s, on_answer)

    @staticmethod
    def _reply_with_owner(owner: str, reply: Reply) -> None:
        reply(421, encode_json(wire.Redirection(owner)))

    def _remove_expired(self, times: dict[str, float], now: float) -> None:
        """Remove expired entries from a table of machines that has doubled in size since the last cleanup."""
        if len(times) <= self._cleanup_threshold:
            return
        cutoff = now - ENTRY_LIFETIME_LEASES * self._workers.lease_s
        for name in [name for name, at in times.items() if at < cutoff]:
            del times[name]
        self._cleanup_threshold = max(MIN_TRACKED_MACHINES, 2 * len(times))
