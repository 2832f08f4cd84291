"""The paper's feedback factor of each partition, learned from actual finishes (its equations 6 and 7)."""

from __future__ import annotations

from dataclasses import dataclass

MIN_ESTIMATE_S = 1.0  # fetch + run counts as at least this: in the divisor, it keeps errors of short tasks finite
MAX_FACTOR = 1.0  # one very late finish must not shut a partition out
NEGLIGIBLE_FACTOR = 1e-3  # a factor that has decayed below this is zero


@dataclass(slots=True)
class PlacementEstimate:
    """What a placement was based on."""

    free_at: float
    fetch_s: float
    run_s: float

    @property
    def estimate(self) -> float:
        """Seconds from start to finish that the placement assumed, at least `MIN_ESTIMATE_S`."""
        return max(MIN_ESTIMATE_S, self.fetch_s + self.run_s)


class Feedback:
    """One team's factor of one partition. It starts at zero and decays while none of the team's tasks wait."""

    def __init__(self, now: float) -> None:
        """No finish is known yet: the factor is zero."""
        self.factor = 0.0
        self._updated_at = now

    def record_finish(self, placed: PlacementEstimate, finished_at: float, alpha: float) -> float:
        """Learn from an actual finish, with weight `alpha`; returns (actual - estimate) / estimate, unweighted."""
        actual = finished_at - placed.free_at
        error = (actual - placed.estimate) / placed.estimate
        self.factor = max(-alpha, min(MAX_FACTOR, alpha * error))
        self._updated_at = finished_at
        return error

    def decay(self, now: float, span_s: float) -> None:
        """Nothing waits, so nothing new is learned: the factor fades, to zero when `span_s` have passed at once."""
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = now
        self.factor *= max(0.0, 1.0 - elapsed / span_s) if span_s > 0 else 0.0
        if abs(self.factor) < NEGLIGIBLE_FACTOR:
            self.factor = 0.0
