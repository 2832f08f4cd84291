"""Detects that this process was suspended, by a pause of the machine or of the loop."""

from __future__ import annotations

from tealhook.loop.effects import LONG_AGO_S


class SuspensionDetector:
    """Compares the clock with the last run of a frequent timer."""

    def __init__(self, limit_s: float, now: float) -> None:
        """A timer that has not run for longer than `limit_s` means that the process was suspended."""
        self._limit_s = limit_s
        self._ran_at = now
        self._detected_at = LONG_AGO_S

    def record_run(self, now: float) -> None:
        """Note that the timer runs."""
        self._ran_at = now

    def last_detected_at(self, now: float) -> float:
        """When a suspension was last detected; detects one that has just ended."""
        if now - self._ran_at > self._limit_s:
            self._ran_at = self._detected_at = now
        return self._detected_at
