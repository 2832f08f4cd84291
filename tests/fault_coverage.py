"""Whether the faults that seeded runs are made for really occurred, and whether a disabled guard is noticed."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

import pytest

from tests.simulation.errors import RuleViolationError


class FaultCoverage:
    """Counts the events of seeded runs, each of which must have occurred in some run."""

    def __init__(self, required: Iterable[str], events_of_run: Callable[[int], Counter[str]]) -> None:
        self._required = tuple(required)
        self._events_of_run = events_of_run
        self.event_counts: Counter[str] = Counter()

    def record(self, event_counts: Counter[str]) -> None:
        """Add the events of a run."""
        self.event_counts.update(event_counts)

    def missing(self) -> list[str]:
        """Required events that no run has had so far."""
        return [name for name in self._required if not self.event_counts[name]]

    def assert_complete(self, seeds: Iterable[int]) -> None:
        """Every required event occurred; runs of these seeds are added while one is missing."""
        for seed in seeds:
            if not self.missing():
                return
            self.record(self._events_of_run(seed))
        assert self.missing() == []


def assert_violation_found(
    run: Callable[[int], object], seeds: Iterable[int], rule: str, *, tolerate_assertions: bool = False
) -> None:
    """Fails unless one of the runs violates that rule.

    With `tolerate_assertions`, what a run asserts of itself, or jobs that never end, do not count for anything.
    """
    count = 0
    for seed in seeds:
        count += 1
        try:
            run(seed)
        except RuleViolationError as violation:
            if str(violation).startswith(rule):
                return
        except AssertionError:
            if not tolerate_assertions:
                raise
    pytest.fail(f"no violation of {rule or 'any rule'} in {count} runs")
