"""A record of recently released machines, which a delayed duplicate of a heartbeat must not add again."""

from __future__ import annotations

from collections import OrderedDict

from tealhook.context import NodeContext

MIN_REMEMBERED_MACHINES = 20_000  # remembered in any case, so that no duplicate of a heartbeat outlasts the record
RETENTION_LEASES = 20.0  # above that number, a machine is forgotten this many leases after its release


class ReleasedMachines:
    """Released machines, ordered by the time of their release."""

    def __init__(self, context: NodeContext) -> None:
        """Start without any released machines."""
        self._effects = context.effects
        self._workers = context.workers
        self._released_at: OrderedDict[str, float] = OrderedDict()  # machine -> when its release became known here

    def __contains__(self, machine: str) -> bool:
        """Check whether a machine is known to be released."""
        return machine in self._released_at

    def __len__(self) -> int:
        """Return the number of remembered machines."""
        return len(self._released_at)

    def add(self, machine: str) -> None:
        """Remember a released machine, and forget those whose retention time is over."""
        now = self._effects.now()
        self._released_at.setdefault(machine, now)
        cutoff = now - RETENTION_LEASES * self._workers.lease_s
        while len(self._released_at) > MIN_REMEMBERED_MACHINES and next(iter(self._released_at.values())) < cutoff:
            self._released_at.popitem(last=False)
