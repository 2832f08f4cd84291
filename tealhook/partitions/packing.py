"""What is free on a partition's machines while one reserve request is served, in the order of packing."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable, Iterator
from operator import itemgetter

from tealhook.partitions.machine import Machine
from tealhook.wire.common import Resources

# Not a spot machine, free CPUs, heard at, position. A plain tuple: thousands are made and compared for each request.
Rank = tuple[bool, float, float, int]


class PackingOrder:
    """Machines in the order in which they are filled, and what is left on each.

    An image that is cached comes first, then the cheaper kind (so that the dearer idles and can be returned), then the
    fullest machine, as the paper's local mapping packs them. They are sorted once, and only a machine that was used
    moves: sorting all of them for each task's resources took most of a scheduling cycle with thousands of machines.
    """

    def __init__(self, machines: list[Machine], free_resources: Callable[[Machine], Resources]) -> None:
        """`free_resources` tells what is free on a machine on its own; what is given away here is counted here."""
        self._free_resources = {machine.name: free_resources(machine) for machine in machines}
        self._position = {machine.name: position for position, machine in enumerate(machines)}
        ranks = [(self._rank(machine), machine) for machine in machines]
        self._ranked = sorted(ranks, key=itemgetter(0))

    def _rank(self, machine: Machine) -> Rank:
        return (
            not machine.spot,
            self._free_resources[machine.name][0],
            machine.last_heartbeat_at,
            self._position[machine.name],
        )

    def free_resources(self, machine: Machine) -> Resources:
        """What is left on a machine."""
        return self._free_resources[machine.name]

    def machines_in_order(self, image: str) -> Iterator[Machine]:
        """All machines, those with the image first; nothing may be taken while this is being read."""
        for cached in (True, False):
            for _, machine in self._ranked:
                if machine.has_image(image) is cached:
                    yield machine

    def set_free_resources(self, machine: Machine, free_resources: Resources) -> None:
        """Note what is left after resources were given away or freed: the machine takes its new place in the order."""
        before = self._rank(machine)
        del self._ranked[bisect_left(self._ranked, before, key=itemgetter(0))]
        self._free_resources[machine.name] = free_resources
        insort(self._ranked, (self._rank(machine), machine), key=itemgetter(0))
