"""Whether the set of live nodes has been the same for long enough that keys may be handed back."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

STABLE_AFTER_LEASES = 2  # how long the set has to stay the same
LOSS_MEMORY_LEASES = 30  # how long the loss of a node is remembered
MAX_STABILITY_DOUBLINGS = 2  # of the time without changes that is required after repeated losses of one node


class MembershipStability:
    """Changes of the set of live nodes, and how long it has to stay the same after them.

    This guards against flapping: a node that loses the state store again and again would else be given its keys back
    each time. All that it owned changed owners eight times in two minutes, each time with a failover of machines and
    jobs.
    """

    def __init__(self, node_lease_ttl_s: float, now: float) -> None:
        """`node_lease_ttl_s`: of the leases in the state store under which nodes are registered."""
        self._node_lease_ttl_s = node_lease_ttl_s
        self._changed_at = now
        self._losses: dict[str, deque[float]] = {}  # node -> when its registration was lost lately

    def record_change(self, before: Iterable[str], after: Iterable[str], now: float) -> None:
        """Record the set of live nodes before and after an event; nothing happens when they are the same."""
        previous, live = set(before), set(after)
        if previous == live:
            return
        self._changed_at = now
        for node in previous - live:
            self._losses.setdefault(node, deque(maxlen=MAX_STABILITY_DOUBLINGS + 1)).append(now)

    def is_stable(self, now: float) -> bool:
        """Whether nothing has changed for long enough: twice as long with each further loss of the same node."""
        since = now - LOSS_MEMORY_LEASES * self._node_lease_ttl_s
        losses = max((sum(at >= since for at in times) for times in self._losses.values()), default=0)
        doublings = min(max(0, losses - 1), MAX_STABILITY_DOUBLINGS)
        return now - self._changed_at > STABLE_AFTER_LEASES * self._node_lease_ttl_s * 2**doublings
