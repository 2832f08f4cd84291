"""The request queue in front of the state store: priorities, this node's share of the rate limits, and its pace."""

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

USED_SHARE = 0.92  # of the rate limits; the rest allows for other nodes' unevenness and for clock drift
EVEN_REQUEST_SHARE = 0.7  # of the requests: divided evenly among live nodes, the rest by the teams they own
EVEN_WRITE_SHARE = 0.35  # of the writes: likewise
PACE_INTERVAL_S = 1.0  # between two changes of the pace: the rate limits allow bursts of a second
MIN_PACE = 0.3
PACE_DECREASE = 0.8  # factor on each interval in which the store rejected a request as over its rate limits
PACE_INCREASE = 1.02  # factor on each interval without: slow, so that the nodes do not overuse the limits in turns
MIN_PUMP_DELAY_S = 0.002  # bounds of the wait until the queue is looked at again
MAX_PUMP_DELAY_S = 0.25

# HTTP statuses with a meaning of their own here.
TOO_MANY_REQUESTS = 429  # over the rate limits: not executed; also reported for requests that expired in the queue
UNAVAILABLE = 503  # the store has no quorum: not executed


class CallPriority(enum.IntEnum):
    """Which requests are sent first when the rate limits are short; lower values first."""

    RENEW = 0  # leases and ownership: without them this node loses all that it owns
    ADMIT = 1  # submissions, cancellations and polls: a user waits for the answer
    ASSIGN = 2  # task assignments
    BOOKKEEPING = 3  # what may be written later as well


# Share of the token buckets that each priority leaves to the more urgent ones.
RESERVED_SHARE = {
    CallPriority.RENEW: 0.0,
    CallPriority.ADMIT: 0.1,
    CallPriority.ASSIGN: 0.25,
    CallPriority.BOOKKEEPING: 0.45,
}


@dataclass(slots=True)
class StateRequest:
    """One HTTP request to the state store.

    It is sent within `queue_timeout_s` or not at all; then `answer` is told the status `TOO_MANY_REQUESTS`.
    """

    method: str
    target: str
    body: bytes | None
    write_count: int  # operations that count against the limit of writes
    queue_timeout_s: float
    timeout_s: float  # for the answer, from the moment at which the request is sent
    answer: OnAnswer


@dataclass(slots=True)
class _QueuedRequest:
    """A request that waits for tokens until `deadline`, of our clock."""

    request: StateRequest
    deadline: float


class RequestQueue:
    """Sends requests to the state store within this node's share of its rate limits, the most urgent first."""

    def __init__(self, context: NodeContext) -> None:
        """The rate limits come from the settings; at first they are divided evenly among all nodes."""
        self._effects = context.effects
        limits = context.settings.params.state.least
        self._rps, self._wps = limits.rps, limits.write_rps
        self._pace = 1.0  # share of the rate limits that is used: less while the store reports that they are exceeded
        self._paced_at = LONG_AGO_S
        self._live_node_count = 1
        self._owned_team_share: float | None = None
        now = context.effects.now()
        self._requests = TokenBucket(1.0, 1.0, now)
        self._writes = TokenBucket(1.0, 1.0, now)
        self._queues: dict[CallPriority, deque[_QueuedRequest]] = {priority: deque() for priority in CallPriority}
        self._pump_scheduled = False
        self.last_answered_at = LONG_AGO_S  # when the store last answered, other than that it is unavailable
        self.last_failed_at = LONG_AGO_S  # when a request last got no answer, or that the store is unavailable
        self.set_share(max(1, context.settings.params.nodes), None)

    def set_share(self, live_node_count: int, owned_team_share: float | None) -> None:
        """Set this node's share of the rate limits.

        `live_node_count` nodes use them, and this one owns `owned_team_share` of all teams (None: nobody owns any).
        Every node admits jobs and answers polls, so some of the limits is divided evenly; assignments are the work of
        the teams' owners. An even division of all would starve a node that has taken over the others' teams.
        """
        now = self._effects.now()
        self._live_node_count, self._owned_team_share = live_node_count, owned_team_share
        even = 1.0 / live_node_count
        owned = even if owned_team_share is None else owned_team_share

        def share(even_share: float) -> float:
            return even_share / live_node_count + (1.0 - even_share) * owned

        rps = self._rps * USED_SHARE * self._pace * share(EVEN_REQUEST_SHARE)
        wps = self._wps * USED_SHARE * self._pace * share(EVEN_WRITE_SHARE)
        self._requests.set_rate(rps, rps, now)
        self._writes.set_rate(wps, wps, now)

    def _adjust_pace(self, rate_limited: bool, now: float) -> None:
        """Slow down while other nodes exceed the rate limits or these were lowered, and speed up again slowly."""
        if now - self._paced_at < PACE_INTERVAL_S or not rate_limited and self._pace >= 1.0:
            return
        self._paced_at = now
        self._pace = max(MIN_PACE, PACE_DECREASE * self._pace) if rate_limited else min(1.0, PACE_INCREASE * self._pace)
        self.set_share(self._live_node_count, self._owned_team_share)

    @property
    def is_served(self) -> bool:
        """Whether the last request to the state store got an answer other than that it is unavailable."""
        return self.last_answered_at > self.last_failed_at

    def available_writes(self, priority: CallPriority) -> int:
        """Write operations that could be sent at once at this priority."""
        if self._queues[priority]:
            return 0
        return int(self._writes.level(self._effects.now()) - RESERVED_SHARE[priority] * self._writes.burst)

    def estimate_write_wait_s(self, count: int, priority: CallPriority) -> float:
        """Seconds until `count` write operations could be sent at this priority, if nothing else is sent."""
        return self._writes.seconds_until_available(
            count, self._effects.now(), RESERVED_SHARE[priority] * self._writes.burst
        )

    def estimate_queue_wait_s(self, priority: CallPriority) -> float:
        """Seconds that a write submitted now would wait for tokens."""
        queued = sum(
            entry.request.write_count for level in CallPriority if level <= priority for entry in self._queues[level]
        )
        return self.estimate_write_wait_s(queued + 1, priority)

    def submit(self, priority: CallPriority, request: StateRequest) -> None:
        """Queue a request, and send it at once if the rate limits allow that."""
        self._queues[priority].append(_QueuedRequest(request, self._effects.now() + request.queue_timeout_s))
        if not self._pump_scheduled:
            self._pump()

    def _pump(self) -> None:
        """Send what the rate limits allow, by priority, and come back when they allow more."""
        self._pump_scheduled = False
        now = self._effects.now()
        shortest: float | None = None
        for priority in CallPriority:
            wait = self._send_queued(priority, now)
            if wait is not None:
                shortest = wait if shortest is None else min(shortest, wait)
        if shortest is not None:
            self._pump_scheduled = True
            self._effects.later(min(max(shortest, MIN_PUMP_DELAY_S), MAX_PUMP_DELAY_S), self._pump)

    def _send_queued(self, priority: CallPriority, now: float) -> float | None:
        """Send requests of one priority; the wait for the tokens of the first that has to stay, None if none has.

        Less urgent requests are still tried after that: one that writes nothing may pass where a large write can't.
        """
        queue = self._queues[priority]
        while queue:
            request = queue[0].request
            if queue[0].deadline < now:
                queue.popleft()
                self._effects.later(0.0, partial(request.answer, TOO_MANY_REQUESTS, b""))
                continue
            wait = self._take_tokens(request, RESERVED_SHARE[priority], now)
            if wait > 0:
                return wait
            queue.popleft()
            self._send(request)
        return None

    def _take_tokens(self, request: StateRequest, reserved_share: float, now: float) -> float:
        """Take a request's tokens and return 0, or take none and return the seconds until all are there."""
        reserved_requests = reserved_share * self._requests.burst
        wait = self._requests.seconds_until_available(1, now, reserved_requests)
        if not request.write_count:
            if wait <= 0:
                self._requests.take(1, now, reserved_requests)
            return wait
        reserved_writes = reserved_share * self._writes.burst
        wait = max(wait, self._writes.seconds_until_available(request.write_count, now, reserved_writes))
        if wait <= 0:
            self._requests.take(1, now, reserved_requests)
            self._writes.take(request.write_count, now, reserved_writes)
        return wait

    def _send(self, request: StateRequest) -> None:
        def answer(status: int | None, body: bytes) -> None:
            self._record_answer(status, self._effects.now())
            request.answer(status, body)

        self._effects.state(request.method, request.target, request.body, request.timeout_s, answer)

    def _record_answer(self, status: int | None, now: float) -> None:
        """Learn from the status of an answer whether the store is available and whether its limits are exceeded."""
        if status is None or status == UNAVAILABLE:
            self.last_failed_at = now
            return
        self.last_answered_at = now
        self._adjust_pace(status == TOO_MANY_REQUESTS, now)
        if status == TOO_MANY_REQUESTS:
            self._requests.drain(now)
            self._writes.drain(now)
            log.info("state store: request rejected, rate limits exceeded")
