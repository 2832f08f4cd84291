"""Whether the set of live nodes has been the same for long enough that keys may be handed back."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

SETTLED_LEASES = 2  # so long the set has to stay the same
MEMORY_LEASES = 30  # so long the loss of a node is remembered
MOST_DOUBLINGS = 2  # of the time that the set has to stay the same, for a node that is lost again and again


class Stability:
    """Changes of the set of live nodes, and how long it has to stay the same after them.

    A node that loses the state service again and again would else be given its keys back each time: all that it owned
    changed hands eight times in two minutes, and each time machines and jobs were taken over anew.
    """

    def __init__(self, lease_s: float, now: float) -> None:
        """`lease_s`: of the state service's lease, by which nodes are registered."""
        self._lease_s = lease_s
        self._changed_at = now
        self._losses: dict[str, deque[float]] = {}  # node -> when its registration was lost lately

    def record_change(self, before: Iterable[str], after: Iterable[str], now: float) -> None:
        """The set of live nodes was seen to be another one."""
        was, live = set(before), set(after)
        if was == live:
            return
        self._changed_at = now
        for node in was - live:
            self._losses.setdefault(node, deque(maxlen=MOST_DOUBLINGS + 1)).append(now)

    def is_settled(self, now: float) -> bool:
        """Whether nothing has changed for long enough: twice as long with each further loss of the same node."""
        since = now - MEMORY_LEASES * self._lease_s
        losses = max((sum(at >= since for at in times) for times in self._losses.values()), default=0)
        doublings = min(max(0, losses - 1), MOST_DOUBLINGS)
        return now - self._changed_at > SETTLED_LEASES * self._lease_s * 2**doublings
