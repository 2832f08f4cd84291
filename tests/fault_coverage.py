"""Checks that seeded runs had the faults that they are meant to have, and that they detect a disabled guard."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

import pytest

from tests.simulation.errors import RuleViolationError


class FaultCoverage:
    """Counts of the events of seeded runs; each required event must occur in at least one run."""

    def __init__(self, required: Iterable[str], events_of_run: Callable[[int], Counter[str]]) -> None:
        self._required = tuple(required)
        self._events_of_run = events_of_run
        self.event_counts: Counter[str] = Counter()

    def record(self, event_counts: Counter[str]) -> None:
        """Add the event counts of one run."""
        self.event_counts.update(event_counts)

    def missing(self) -> list[str]:
        """Return the required events that no run has had so far."""
        return [name for name in self._required if not self.event_counts[name]]

    def assert_complete(self, seeds: Iterable[int]) -> None:
        """Assert that every required event occurred; run further seeds as long as one is missing."""
        for seed in seeds:
            if not self.missing():
                return
            self.record(self._events_of_run(seed))
        assert self.missing() == []


def assert_violation_found(
    run: Callable[[int], object], seeds: Iterable[int], rule: str, *, tolerate_assertions: bool = False
) -> None:
    """Fail unless the run of at least one seed violates the rule.

    With `tolerate_assertions`, other failed assertions of a run, such as jobs that never finish, are ignored.
    """
    run_count = 0
    for seed in seeds:
        run_count += 1
        try:
            run(seed)
        except RuleViolationError as violation:
            if str(violation).startswith(rule):
                return
        except AssertionError:
            if not tolerate_assertions:
                raise
    pytest.fail(f"no violation of {rule or 'any rule'} in {run_count} runs")
