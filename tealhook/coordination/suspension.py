"""Detection of suspensions of this process, by a pause of the machine or a blocked event loop."""

from __future__ import annotations

from tealhook.loop.effects import LONG_AGO_S


class SuspensionDetector:
    """Detector that compares the clock with the last run of a frequent timer."""

    def __init__(self, limit_s: float, now: float) -> None:
        """Initialize at time `now`; a timer that has not run for more than `limit_s` means a suspension."""
        self._limit_s = limit_s
        self._last_run_at = now
        self._last_detected_at = LONG_AGO_S

    def record_run(self, now: float) -> None:
        """Record a run of the timer."""
        self._last_run_at = now

    def last_detected_at(self, now: float) -> float:
        """Return the time at which a suspension was last detected; one that has just ended is detected by this call."""
        if now - self._last_run_at > self._limit_s:
            self._last_run_at = self._last_detected_at = now
        return self._last_detected_at
