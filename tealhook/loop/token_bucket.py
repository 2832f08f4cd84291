"""Token buckets that limit the rates of calls to the state store and the cloud."""

from __future__ import annotations


class TokenBucket:
    """A token bucket that gains `rate` tokens per second and holds at most `burst`."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        """Initialize a full bucket; `now` and the times of all later calls are of one clock."""
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._refilled_at = now

    def _refill(self, now: float) -> None:
        if now > self._refilled_at:
            self._tokens = min(self.burst, self._tokens + (now - self._refilled_at) * self.rate)
            self._refilled_at = now

    def set_rate(self, rate: float, burst: float, now: float) -> None:
        """Change the rate and the capacity; tokens beyond the new capacity are lost."""
        self._refill(now)
        self.rate = rate
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def level(self, now: float) -> float:
        """Return the number of tokens in the bucket; it is negative after a request larger than the bucket."""
        self._refill(now)
        return self._tokens

    def take(self, count: float, now: float, keep: float = 0.0) -> bool:
        """Take `count` tokens unless fewer than `keep` would remain, and return whether they were taken.

        A request larger than the bucket is admitted once the bucket is full, and makes the level negative.
        """
        self._refill(now)
        if self._tokens - count < keep and not (count + keep > self.burst and self._tokens >= self.burst):
            return False
        self._tokens -= count
        return True

    def seconds_until_available(self, count: float, now: float, keep: float = 0.0) -> float:
        """Return the seconds until `take` with the same arguments may succeed; with a rate of 0, always return 1."""
        self._refill(now)
        required = min(count + keep, self.burst)
        return max(0.0, (required - self._tokens) / self.rate) if self.rate > 0 else 1.0

    def drain(self, now: float) -> None:
        """Empty the bucket, such as when the server has answered that its rate limit is exceeded."""
        self._refill(now)
        self._tokens = min(self._tokens, 0.0)
