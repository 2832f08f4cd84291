"""The paper's feedback factor of a partition, learned from actual finish times (its equations 6 and 7)."""

from __future__ import annotations

from dataclasses import dataclass

# Lower bound of an estimated duration (fetch + run): errors are divided by it, and must stay finite for short tasks.
MIN_ESTIMATE_S = 1.0
MAX_FACTOR = 1.0  # A higher factor after one very late finish would exclude the partition from placement.
NEGLIGIBLE_FACTOR = 1e-3  # A factor that has decayed below this becomes zero.


@dataclass(slots=True)
class PlacementEstimate:
    """The estimates on which the placement of a task was based."""

    free_at: float  # time at which the capacity was expected to be free
    fetch_s: float
    run_s: float

    @property
    def duration_s(self) -> float:
        """The estimated seconds from start to finish, at least `MIN_ESTIMATE_S`."""
        return max(MIN_ESTIMATE_S, self.fetch_s + self.run_s)


class Feedback:
    """The feedback factor of one partition for one team.

    It starts at zero, follows the latest finish, and decays while none of the team's tasks wait.
    """

    def __init__(self, now: float) -> None:
        """Start with a factor of zero: no finish is known yet."""
        self.factor = 0.0
        self._updated_at = now

    def record_finish(self, estimate: PlacementEstimate, finished_at: float, alpha: float) -> float:
        """Update the factor from an actual finish, with weight `alpha`.

        Return the relative error (actual - estimated) / estimated, without the weight.
        """
        actual = finished_at - estimate.free_at
        error = (actual - estimate.duration_s) / estimate.duration_s
        self.factor = max(-alpha, min(MAX_FACTOR, alpha * error))
        self._updated_at = finished_at
        return error

    def decay(self, now: float, full_decay_s: float) -> None:
        """Decay the factor by the time since its last update, to zero if that is `full_decay_s` or more.

        Called while no task waits, since nothing new is learned then.
        """
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = now
        self.factor *= max(0.0, 1.0 - elapsed / full_decay_s) if full_decay_s > 0 else 0.0
        if abs(self.factor) < NEGLIGIBLE_FACTOR:
            self.factor = 0.0
