"""The machines that were released lately: a late copy of a heartbeat must not bring one back to life."""

from __future__ import annotations

from collections import OrderedDict

from tealhook.context import NodeContext

MIN_REMEMBERED_MACHINES = 20_000  # machines remembered, as long as a copy of a heartbeat may be late in any case
RETENTION_LEASES = 20.0  # beyond that number, one is forgotten after so many leases


class ReleasedMachines:
    """Remembers released machines, the earliest first."""

    def __init__(self, context: NodeContext) -> None:
        """None is remembered yet."""
        self._effects = context.effects
        self._workers = context.workers
        self._released_at: OrderedDict[str, float] = OrderedDict()  # machine -> when we heard of it

    def __contains__(self, machine: str) -> bool:
        """Whether a machine is known to be released."""
        return machine in self._released_at

    def __len__(self) -> int:
        """How many are remembered."""
        return len(self._released_at)

    def add(self, machine: str) -> None:
        """Remember a released machine, and forget those that were released long ago."""
        now = self._effects.now()
        self._released_at.setdefault(machine, now)
        since = now - RETENTION_LEASES * self._workers.lease_s
        while len(self._released_at) > MIN_REMEMBERED_MACHINES and next(iter(self._released_at.values())) < since:
            self._released_at.popitem(last=False)
