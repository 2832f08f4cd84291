"""Queue of requests to the state store, with priorities and a share of the rate limits per node."""

from __future__ import annotations

import enum
import logging
from collections import deque
from dataclasses import dataclass
from functools import partial

from tealhook.context import NodeContext
from tealhook.loop import TokenBucket
from tealhook.loop.effects import LONG_AGO_S, OnAnswer

log = logging.getLogger(__name__)

USED_RATE_SHARE = 0.92  # all nodes together leave the rest of the rate limits for uneven use and clock drift
# Share of each rate limit that is divided evenly among the live nodes; the rest is divided by owned teams.
EVEN_SPLIT_REQUEST_SHARE = 0.7
EVEN_SPLIT_WRITE_SHARE = 0.35
RATE_ADJUSTMENT_INTERVAL_S = 1.0  # not adjusted more often, because the rate limits allow bursts of one second
MIN_RATE_FACTOR = 0.3
RATE_FACTOR_DECREASE = 0.8  # applied when the store answers that the rate limits are exceeded
RATE_FACTOR_INCREASE = 1.02  # applied on any other answer; small, so that nodes do not exceed the limits in turn
# Bounds of the delay until the next attempt to send queued requests.
MIN_DISPATCH_DELAY_S = 0.002
MAX_DISPATCH_DELAY_S = 0.25

# HTTP statuses that the queue handles itself.
TOO_MANY_REQUESTS = 429  # rate limits exceeded, not executed; also reported for requests that time out in the queue
UNAVAILABLE = 503  # the store has no quorum, not executed


class CallPriority(enum.IntEnum):
    """Priority of a request when the rate limits are exhausted; lower values are sent first."""

    RENEW = 0  # leases and ownership; a node without them loses all that it owns
    ADMIT = 1  # submissions, cancellations and polls, whose answers users wait for
    ASSIGN = 2  # task assignments
    BOOKKEEPING = 3  # writes that may be delayed


# Share of the token buckets that requests of each priority must leave to more urgent ones.
RESERVED_BUCKET_SHARE = {
    CallPriority.RENEW: 0.0,
    CallPriority.ADMIT: 0.1,
    CallPriority.ASSIGN: 0.25,
    CallPriority.BOOKKEEPING: 0.45,
}


@dataclass(slots=True)
class StateRequest:
    """An HTTP request to the state store.

    If it can't be sent within `queue_timeout_s`, it is dropped and `on_answer` is passed `TOO_MANY_REQUESTS`.
    """

    method: str
    target: str
    body: bytes | None
    write_count: int  # operations that count towards the write rate limit
    queue_timeout_s: float
    answer_timeout_s: float  # for the answer, from when the request is sent
    on_answer: OnAnswer


@dataclass(slots=True)
class _QueuedRequest:
    """A request that waits for tokens until `deadline` on the monotonic clock."""

    request: StateRequest
    deadline: float


class RequestQueue:
    """Priority queue that sends requests to the state store within this node's share of the rate limits."""

    def __init__(self, context: NodeContext) -> None:
        """Initialize an empty queue; at first the rate limits are divided evenly among all nodes."""
        self._effects = context.effects
        limits = context.settings.params.state.strictest
        self._max_requests_per_s, self._max_writes_per_s = limits.rps, limits.write_rps
        self._rate_factor = 1.0  # reduced while the store answers that the rate limits are exceeded
        self._rate_adjusted_at = LONG_AGO_S
        self._live_node_count = 1
        self._owned_team_share: float | None = None
        now = context.effects.now()
        self._request_bucket = TokenBucket(1.0, 1.0, now)
        self._write_bucket = TokenBucket(1.0, 1.0, now)
        self._queues: dict[CallPriority, deque[_QueuedRequest]] = {priority: deque() for priority in CallPriority}
        self._is_dispatch_scheduled = False
        self.last_answered_at = LONG_AGO_S  # last answer other than "unavailable"
        self.last_failed_at = LONG_AGO_S  # last missing answer or "unavailable"
        self.set_share(max(1, context.settings.params.nodes), None)

    def set_share(self, live_node_count: int, owned_team_share: float | None) -> None:
        """Set this node's share of the rate limits.

        The limits are shared by `live_node_count` nodes; `owned_team_share` of all teams belongs to this one (None if
        no team has an owner). Every node admits jobs and answers polls, so part of each limit is divided evenly. The
        rest is divided by owned teams, since their owners write the assignments: with an even division of everything, a
        node that has taken over the teams of others would run out of tokens.
        """
        now = self._effects.now()
        self._live_node_count, self._owned_team_share = live_node_count, owned_team_share
        even_share = 1.0 / live_node_count
        owned_share = even_share if owned_team_share is None else owned_team_share

        def node_share(even_split_share: float) -> float:
            return even_split_share / live_node_count + (1.0 - even_split_share) * owned_share

        requests_per_s = (
            self._max_requests_per_s * USED_RATE_SHARE * self._rate_factor * node_share(EVEN_SPLIT_REQUEST_SHARE)
        )
        writes_per_s = self._max_writes_per_s * USED_RATE_SHARE * self._rate_factor * node_share(EVEN_SPLIT_WRITE_SHARE)
        self._request_bucket.set_rate(requests_per_s, requests_per_s, now)
        self._write_bucket.set_rate(writes_per_s, writes_per_s, now)

    def _adjust_rate_factor(self, is_rate_limited: bool, now: float) -> None:
        """Reduce the request rate while the rate limits are exceeded, and slowly raise it again afterwards.

        The limits are exceeded when other nodes use more than their share or when the limits have been lowered.
        """
        if (
            now - self._rate_adjusted_at < RATE_ADJUSTMENT_INTERVAL_S
            or not is_rate_limited
            and self._rate_factor >= 1.0
        ):
            return
        self._rate_adjusted_at = now
        self._rate_factor = (
            max(MIN_RATE_FACTOR, RATE_FACTOR_DECREASE * self._rate_factor)
            if is_rate_limited
            else min(1.0, RATE_FACTOR_INCREASE * self._rate_factor)
        )
        self.set_share(self._live_node_count, self._owned_team_share)

    @property
    def is_served(self) -> bool:
        """True if the last completed request to the state store got an answer other than "unavailable"."""
        return self.last_answered_at > self.last_failed_at

    def available_writes(self, priority: CallPriority) -> int:
        """Return the number of write operations that could be sent at once with this priority."""
        if self._queues[priority]:
            return 0
        return int(
            self._write_bucket.level(self._effects.now()) - RESERVED_BUCKET_SHARE[priority] * self._write_bucket.burst
        )

    def estimate_write_wait_s(self, count: int, priority: CallPriority) -> float:
        """Return the seconds until `count` writes could be sent with this priority if nothing else is sent."""
        return self._write_bucket.seconds_until_available(
            count, self._effects.now(), RESERVED_BUCKET_SHARE[priority] * self._write_bucket.burst
        )

    def estimate_queue_wait_s(self, priority: CallPriority) -> float:
        """Return the seconds that a write submitted now would wait for tokens behind the queued ones."""
        queued = sum(
            entry.request.write_count for level in CallPriority if level <= priority for entry in self._queues[level]
        )
        return self.estimate_write_wait_s(queued + 1, priority)

    def submit(self, priority: CallPriority, request: StateRequest) -> None:
        """Queue a request, and send it at once if the rate limits allow it."""
        self._queues[priority].append(_QueuedRequest(request, self._effects.now() + request.queue_timeout_s))
        if not self._is_dispatch_scheduled:
            self._dispatch()

    def _dispatch(self) -> None:
        """Send the queued requests that the rate limits allow, by priority, and schedule the next attempt."""
        self._is_dispatch_scheduled = False
        now = self._effects.now()
        shortest_wait_s: float | None = None
        for priority in CallPriority:
            wait_s = self._send_queued(priority, now)
            if wait_s is not None:
                shortest_wait_s = wait_s if shortest_wait_s is None else min(shortest_wait_s, wait_s)
        if shortest_wait_s is not None:
            self._is_dispatch_scheduled = True
            self._effects.later(min(max(shortest_wait_s, MIN_DISPATCH_DELAY_S), MAX_DISPATCH_DELAY_S), self._dispatch)

    def _send_queued(self, priority: CallPriority, now: float) -> float | None:
        """Send requests of one priority; return the seconds until the next one has its tokens, or None if none is left.

        Less urgent requests are still tried after that: a read may be sent while a large write still lacks tokens.
        """
        queue = self._queues[priority]
        while queue:
            request = queue[0].request
            if queue[0].deadline < now:
                queue.popleft()
                self._effects.later(0.0, partial(request.on_answer, TOO_MANY_REQUESTS, b""))
                continue
            wait_s = self._take_tokens(request, RESERVED_BUCKET_SHARE[priority], now)
            if wait_s > 0:
                return wait_s
            queue.popleft()
            self._send(request)
        return None

    def _take_tokens(self, request: StateRequest, reserved_share: float, now: float) -> float:
        """Take a request's tokens and return 0, or take none and return the seconds until all are available."""
        reserved_requests = reserved_share * self._request_bucket.burst
        wait_s = self._request_bucket.seconds_until_available(1, now, reserved_requests)
        if not request.write_count:
            if wait_s <= 0:
                self._request_bucket.take(1, now, reserved_requests)
            return wait_s
        reserved_writes = reserved_share * self._write_bucket.burst
        wait_s = max(wait_s, self._write_bucket.seconds_until_available(request.write_count, now, reserved_writes))
        if wait_s <= 0:
            self._request_bucket.take(1, now, reserved_requests)
            self._write_bucket.take(request.write_count, now, reserved_writes)
        return wait_s

    def _send(self, request: StateRequest) -> None:
        def on_answer(status: int | None, body: bytes) -> None:
            self._record_answer(status, self._effects.now())
            request.on_answer(status, body)

        self._effects.state(request.method, request.target, request.body, request.answer_timeout_s, on_answer)

    def _record_answer(self, status: int | None, now: float) -> None:
        """Update the availability of the store and the request rate by the status of an answer."""
        if status is None or status == UNAVAILABLE:
            self.last_failed_at = now
            return
        self.last_answered_at = now
        self._adjust_rate_factor(status == TOO_MANY_REQUESTS, now)
        if status == TOO_MANY_REQUESTS:
            self._request_bucket.drain(now)
            self._write_bucket.drain(now)
            log.info("state store: request rejected because the rate limits are exceeded; token buckets emptied")
