"""Which other controllers are reachable, and which of them the state service serves."""

from __future__ import annotations

from tealhook.context import NodeContext
from tealhook.mesh import Mesh

REACHABLE_HEARTBEATS = 2  # periods since the last message; gossip goes out twice per period


class PeerStates:
    """What is known of the other controllers."""

    def __init__(self, context: NodeContext, mesh: Mesh) -> None:
        """`mesh` knows when each peer was last heard."""
        self._mesh = mesh
        self._reachable_s = REACHABLE_HEARTBEATS * context.workers.report_s
        self.served_at: dict[str, float] = {}  # peer -> when the state service last served it

    def is_reachable(self, node: str) -> bool:
        """Whether a message of the peer came lately. Only a hint for choosing a peer: silence proves nothing."""
        return node == self._mesh.node or self._mesh.seconds_since_last_message(node) < self._reachable_s
