"""Reachability of the other controllers, and of the state store from each of them."""

from __future__ import annotations

from tealhook.context import NodeContext
from tealhook.mesh import Mesh

REACHABLE_PERIODS = 2  # heartbeat periods since the last message of a reachable peer; gossip is sent twice in each


class PeerStates:
    """The last known state of each other controller."""

    def __init__(self, context: NodeContext, mesh: Mesh) -> None:
        """Initialize without any state; `mesh` knows when the last message of each peer arrived."""
        self._mesh = mesh
        self._max_silence_s = REACHABLE_PERIODS * context.workers.report_s
        self.store_answered_at: dict[str, float] = {}  # peer -> time at which the state store last answered it

    def is_reachable(self, node: str) -> bool:
        """Check whether a message of a peer arrived recently.

        This is only a hint for the choice of a peer: a silent one may still be running.
        """
        return node == self._mesh.node or self._mesh.seconds_since_last_message(node) < self._max_silence_s
