"""Provisioning times of machines by type and zone, learned from actual ones, with decay."""

from __future__ import annotations

import math
from typing import NamedTuple

from tealhook.wire.cloud import MachineType

# A ratio compares an actual provisioning time with the usual boot time of the machine type.
SAMPLE_WEIGHT = 0.3  # weight of one machine in the learned ratio
DECAY_BOOTS = 20.0  # time constant of the decay towards the usual boot time, as a multiple of it
FAILURE_RATIO = 4.0  # ratio recorded for a machine that did not start
OVERDUE_RATIO = 1.75  # A starting machine is overdue beyond this; usual boots take up to 1.5 times the usual time.
MAX_RATIO = 8.0  # higher ratios are recorded as this


class ProvisioningSite(NamedTuple):
    """A machine type in a zone, for which provisioning times are learned together."""

    machine_type: str
    zone: str


class _LearnedRatio:
    """A learned ratio, and when it was last updated."""

    __slots__ = ("ratio", "updated_at")

    def __init__(self, updated_at: float) -> None:
        self.ratio = 1.0
        self.updated_at = updated_at


class ProvisioningTimes:
    """The expected provisioning times of machine types in zones.

    With them, demand moves to zones where machines start, and back once they start in the others again.
    """

    def __init__(self) -> None:
        """Start with nothing learned: machines are expected to start in the usual boot time."""
        self._learned: dict[ProvisioningSite, _LearnedRatio] = {}
        self._overdue_ratios: dict[ProvisioningSite, float] = {}

    def record_provisioned(self, machine_type: MachineType, zone: str, took_s: float, now: float) -> None:
        """Record that a machine was running after `took_s` seconds."""
        self._learn(machine_type, zone, took_s / max(machine_type.boot_s, 1.0), now)

    def record_failure(self, machine_type: MachineType, zone: str, now: float) -> None:
        """Record that a machine did not start."""
        self._learn(machine_type, zone, FAILURE_RATIO, now)

    def _learn(self, machine_type: MachineType, zone: str, ratio: float, now: float) -> None:
        site = ProvisioningSite(machine_type.name, zone)
        learned = self._learned.setdefault(site, _LearnedRatio(now))
        previous_ratio = self._ratio(site, machine_type, now)
        learned.ratio = previous_ratio + SAMPLE_WEIGHT * (min(ratio, MAX_RATIO) - previous_ratio)
        learned.updated_at = now

    def clear_overdue(self) -> None:
        """Forget the overdue machines, before all starting machines are recorded again."""
        self._overdue_ratios.clear()

    def record_still_starting(self, machine_type: MachineType, zone: str, age_s: float) -> None:
        """Record that a machine has been starting for `age_s` seconds.

        An overdue machine raises the expected time of its type and zone before it is up.
        """
        ratio = age_s / max(machine_type.boot_s, 1.0)
        if ratio > OVERDUE_RATIO:
            site = ProvisioningSite(machine_type.name, zone)
            self._overdue_ratios[site] = max(self._overdue_ratios.get(site, 0.0), min(ratio, MAX_RATIO))

    def _ratio(self, site: ProvisioningSite, machine_type: MachineType, now: float) -> float:
        learned = self._learned.get(site)
        if learned is None:
            return 1.0
        remaining_share = math.exp(-max(0.0, now - learned.updated_at) / (DECAY_BOOTS * max(machine_type.boot_s, 1.0)))
        return 1.0 + remaining_share * (learned.ratio - 1.0)

    def expected_s(self, machine_type: MachineType, zone: str, now: float) -> float:
        """Return the seconds after which a machine that is rented now is expected to be up."""
        site = ProvisioningSite(machine_type.name, zone)
        return machine_type.boot_s * max(self._ratio(site, machine_type, now), self._overdue_ratios.get(site, 0.0))
