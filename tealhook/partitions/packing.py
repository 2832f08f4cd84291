"""Packing order and free resources of a partition's machines while one reserve request is served."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable, Iterator
from operator import itemgetter

from tealhook.partitions.machine import Machine
from tealhook.wire.common import Resources

# Sort key: not a spot machine, free CPUs, time of the last heartbeat, position in the given list. A plain tuple, since
# thousands are created and compared for each request.
PackingRank = tuple[bool, float, float, int]


class PackingOrder:
    """Machines in the order in which they are filled, with the resources left on each.

    Machines that cache the image come first, then spot machines (so that the more expensive ones become idle and can be
    returned), then the fullest, as in the paper's local mapping. The machines are sorted once, and only one that was
    used moves: sorting all of them for each kind of task took most of a scheduling cycle with thousands of machines.
    """

    def __init__(self, machines: list[Machine], free_resources: Callable[[Machine], Resources]) -> None:
        """Initialize with what `free_resources` returns for each machine; later changes are tracked here only."""
        self._free_resources = {machine.name: free_resources(machine) for machine in machines}
        self._position = {machine.name: position for position, machine in enumerate(machines)}
        ranks = [(self._rank(machine), machine) for machine in machines]
        self._ranked = sorted(ranks, key=itemgetter(0))

    def _rank(self, machine: Machine) -> PackingRank:
        return (
            not machine.spot,
            self._free_resources[machine.name][0],
            machine.last_heartbeat_at,
            self._position[machine.name],
        )

    def free_resources(self, machine: Machine) -> Resources:
        """Return the resources left on a machine."""
        return self._free_resources[machine.name]

    def machines_in_order(self, image: str) -> Iterator[Machine]:
        """Yield all machines, those with the image first; `set_free_resources` must not be called meanwhile."""
        for cached in (True, False):
            for _, machine in self._ranked:
                if machine.has_image(image) is cached:
                    yield machine

    def set_free_resources(self, machine: Machine, free_resources: Resources) -> None:
        """Set the resources left on a machine and move it to its new place in the order."""
        previous_rank = self._rank(machine)
        del self._ranked[bisect_left(self._ranked, previous_rank, key=itemgetter(0))]
        self._free_resources[machine.name] = free_resources
        insort(self._ranked, (self._rank(machine), machine), key=itemgetter(0))
