"""The loop on `selectors`, its timers, and token buckets."""

from tealhook.loop.bucket import TokenBucket
from tealhook.loop.loop import Loop, Timer

__all__ = ["Loop", "Timer", "TokenBucket"]
