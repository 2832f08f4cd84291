"""Stability of the set of live nodes, as a condition for moving keys between them."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

STABLE_AFTER_LEASES = 2  # time without a change, in node leases, after which the set counts as stable
LOSS_RETENTION_LEASES = 30  # time, in node leases, for which the loss of a node counts as recent
MAX_STABILITY_DOUBLINGS = 2  # limit of doublings of the time without a change, for a node that is lost repeatedly


class MembershipStability:
    """Recent changes of the set of live nodes, and the time without changes that they require.

    The required time grows with repeated losses of the same node. This guards against flapping: without it, a node
    that lost the state store repeatedly was given its keys back each time, and all of them changed owners eight times
    in two minutes, each time with a failover of machines and jobs.
    """

    def __init__(self, node_lease_ttl_s: float, now: float) -> None:
        """Initialize at time `now`; `node_lease_ttl_s` is the time to live of the leases under which nodes register."""
        self._node_lease_ttl_s = node_lease_ttl_s
        self._last_change_at = now
        self._losses: dict[str, deque[float]] = {}  # node -> times at which its registration was last lost

    def record_change(self, before: Iterable[str], after: Iterable[str], now: float) -> None:
        """Record the set of live nodes before and after an event; do nothing if they are equal."""
        previous, live = set(before), set(after)
        if previous == live:
            return
        self._last_change_at = now
        for node in previous - live:
            self._losses.setdefault(node, deque(maxlen=MAX_STABILITY_DOUBLINGS + 1)).append(now)

    def is_stable(self, now: float) -> bool:
        """Check whether the set has not changed for long enough.

        The required time doubles with each further recent loss of the same node, up to `MAX_STABILITY_DOUBLINGS` times.
        """
        retained_since = now - LOSS_RETENTION_LEASES * self._node_lease_ttl_s
        losses = max((sum(at >= retained_since for at in times) for times in self._losses.values()), default=0)
        doublings = min(max(0, losses - 1), MAX_STABILITY_DOUBLINGS)
        return now - self._last_change_at > STABLE_AFTER_LEASES * self._node_lease_ttl_s * 2**doublings
