"""Token buckets for calls to the state service and the cloud."""

from __future__ import annotations


class TokenBucket:
    """`rate` tokens a second, at most `burst` saved up."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        """The bucket starts full; `now` is the clock that all later calls use."""
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._at = now

    def _refill(self, now: float) -> None:
        if now > self._at:
            self._tokens = min(self.burst, self._tokens + (now - self._at) * self.rate)
            self._at = now

    def set_rate(self, rate: float, burst: float, now: float) -> None:
        """Change the rate; what was saved up is cut to the new burst."""
        self._refill(now)
        self.rate = rate
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def level(self, now: float) -> float:
        """Tokens that are in the bucket now; below zero after a request larger than the bucket."""
        self._refill(now)
        return self._tokens

    def take(self, count: float, now: float, keep: float = 0.0) -> bool:
        """Take `count` tokens unless fewer than `keep` would remain.

        A request larger than the bucket is let through once the bucket is full, and leaves a debt.
        """
        self._refill(now)
        if self._tokens - count < keep and not (count + keep > self.burst and self._tokens >= self.burst):
            return False
        self._tokens -= count
        return True

    def seconds_until_available(self, count: float, now: float, keep: float = 0.0) -> float:
        """Seconds until `take` of the same amount may succeed."""
        self._refill(now)
        goal = min(count + keep, self.burst)
        return max(0.0, (goal - self._tokens) / self.rate) if self.rate > 0 else 1.0

    def drain(self, now: float) -> None:
        """Empty the bucket, as after a 429 from the other side."""
        self._refill(now)
        self._tokens = min(self._tokens, 0.0)
