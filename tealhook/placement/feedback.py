"""The paper's feedback factor of each part, learned from actual finishes (its equations 6 and 7)."""

from __future__ import annotations

from dataclasses import dataclass

FLOOR_S = 1.0  # fetch + run counts as at least this, in the divisor and in estimates
CAP = 1.0


@dataclass(slots=True)
class PlacementEstimate:
    """What a placement was based on."""

    free_at: float
    fetch_s: float
    run_s: float

    @property
    def estimate(self) -> float:
        """Seconds from start to finish that the placement assumed, at least `FLOOR_S`."""
        return max(FLOOR_S, self.fetch_s + self.run_s)


class Feedback:
    """One home's factor of one part. It starts at zero and falls back while the part idles unqueued."""

    def __init__(self, now: float) -> None:
        """No finish is known yet: the factor is zero."""
        self.factor = 0.0
        self._at = now

    def finish(self, placed: PlacementEstimate, finished_at: float, alpha: float) -> float:
        """Take an actual finish; gives (actual - estimate) / estimate, unweighted."""
        actual = finished_at - placed.free_at
        error = (actual - placed.estimate) / placed.estimate
        self.factor = max(-alpha, min(CAP, alpha * error))
        self._at = finished_at
        return error

    def idle(self, now: float, span: float) -> None:
        """The part has free room and nothing waits for it: the factor fades within a few `span`s."""
        gone = max(0.0, now - self._at)
        self._at = now
        self.factor *= max(0.0, 1.0 - gone / span) if span > 0 else 0.0
        if abs(self.factor) < 1e-3:
            self.factor = 0.0
