"""Event loop with timers, non-blocking streams and token buckets."""

from tealhook.loop.loop import Loop, Timer
from tealhook.loop.token_bucket import TokenBucket

__all__ = ["Loop", "Timer", "TokenBucket"]
