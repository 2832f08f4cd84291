"""The loop on `selectors`, its timers, and token buckets."""

from tealhook.loop.loop import Loop, Timer
from tealhook.loop.token_bucket import TokenBucket

__all__ = ["Loop", "Timer", "TokenBucket"]
