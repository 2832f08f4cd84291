"""How long machines take to come up, by type and zone: learned from actual boots, and forgotten again."""

from __future__ import annotations

import math
from typing import NamedTuple

from tealhook.wire.cloud import MachineType

WEIGHT = 0.3  # of one boot in what is learned
MEMORY_BOOTS = 20.0  # usual boot times after which most of what was learned is forgotten
FAILED = 4.0  # times the usual time: as what a machine counts that never came up
OVERDUE = 1.75  # times the usual time: usual boots take up to 1.5 times as long
LONGEST = 8.0  # times the usual time: the most that is believed


class ProvisioningSite(NamedTuple):
    """Where machines boot alike: a type in a zone."""

    machine_type: str
    zone: str


class _Learned:
    """A ratio of actual to usual boot times, and when it was last learned from."""

    __slots__ = ("ratio", "at")

    def __init__(self, at: float) -> None:
        self.ratio = 1.0
        self.at = at


class ProvisioningTimes:
    """Ratios of actual to usual boot times. Demand goes where machines come up, and back once they do again."""

    def __init__(self) -> None:
        """Nothing is known yet: machines are taken to come up in the usual time."""
        self._learned: dict[ProvisioningSite, _Learned] = {}
        self._overdue_ratios: dict[ProvisioningSite, float] = {}

    def record_provisioned(self, machine_type: MachineType, zone: str, took_s: float, now: float) -> None:
        """A machine came up after so many seconds."""
        self._learn(machine_type, zone, took_s / max(machine_type.boot_s, 1.0), now)

    def record_failure(self, machine_type: MachineType, zone: str, now: float) -> None:
        """A machine was given up on."""
        self._learn(machine_type, zone, FAILED, now)

    def _learn(self, machine_type: MachineType, zone: str, ratio: float, now: float) -> None:
        site = ProvisioningSite(machine_type.name, zone)
        known = self._learned.setdefault(site, _Learned(now))
        before = self._ratio(site, machine_type, now)
        known.ratio = before + WEIGHT * (min(ratio, LONGEST) - before)
        known.at = now

    def begin_scan(self) -> None:
        """The machines that are starting are looked at anew."""
        self._overdue_ratios.clear()

    def record_still_starting(self, machine_type: MachineType, zone: str, age_s: float) -> None:
        """A machine has been starting for so long: one that is overdue tells of the others there before it is up."""
        ratio = age_s / max(machine_type.boot_s, 1.0)
        if ratio > OVERDUE:
            site = ProvisioningSite(machine_type.name, zone)
            self._overdue_ratios[site] = max(self._overdue_ratios.get(site, 0.0), min(ratio, LONGEST))

    def _ratio(self, site: ProvisioningSite, machine_type: MachineType, now: float) -> float:
        known = self._learned.get(site)
        if known is None:
            return 1.0
        left = math.exp(-max(0.0, now - known.at) / (MEMORY_BOOTS * max(machine_type.boot_s, 1.0)))
        return 1.0 + left * (known.ratio - 1.0)

    def expected_s(self, machine_type: MachineType, zone: str, now: float) -> float:
        """Seconds that a machine rented now should take to come up."""
        site = ProvisioningSite(machine_type.name, zone)
        return machine_type.boot_s * max(self._ratio(site, machine_type, now), self._overdue_ratios.get(site, 0.0))
