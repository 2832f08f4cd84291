"""The free room of a partition's machines while one request for reservations is served, in the order of packing."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable, Iterator
from operator import itemgetter

from tealhook.partitions.machine import Machine, Resources

Rank = tuple[bool, float, float, int]


class FreeRoom:
    """Machines in the order in which they are filled, and what is left on each.

    An image that is cached comes first, then the cheaper kind (so that the dearer idles and can be returned), then the
    fullest machine, as the paper's local mapping packs them. They are sorted once, and only a machine that was used
    moves: sorting all of them for each task's need took most of a turn with thousands of machines.
    """

    def __init__(self, machines: list[Machine], free_of: Callable[[Machine], list[float]]) -> None:
        """`free_of` gives a machine's room as it is on its own; what is given here is counted here."""
        self._free = {machine.name: list(free_of(machine)) for machine in machines}
        self._position = {machine.name: position for position, machine in enumerate(machines)}
        ranks = [(self._rank(machine), machine) for machine in machines]
        self._ranked = sorted(ranks, key=itemgetter(0))

    def _rank(self, machine: Machine) -> Rank:
        return (
            not machine.spot,
            self._free[machine.name][0],
            machine.heard_at,
            self._position[machine.name],
        )

    def left(self, machine: Machine) -> list[float]:
        """CPUs, cards and GB of memory left on a machine; not to be changed from outside."""
        return self._free[machine.name]

    def in_order(self, image: str) -> Iterator[Machine]:
        """All machines, those with the image first; nothing may be taken while this is being read."""
        for cached in (True, False):
            for _, machine in self._ranked:
                if machine.has_image(image) is cached:
                    yield machine

    def set_left(self, machine: Machine, left: list[float]) -> None:
        """Room on a machine was given away, or cleared: it takes its new place in the order."""
        before = self._rank(machine)
        del self._ranked[bisect_left(self._ranked, before, key=itemgetter(0))]
        self._free[machine.name] = left
        insort(self._ranked, (self._rank(machine), machine), key=itemgetter(0))


def without(room: list[float], need: Resources, count: int = 1) -> list[float]:
    """What is left of room when so many tasks of `need` are placed there."""
    return [have - count * used for have, used in zip(room, need, strict=True)]
