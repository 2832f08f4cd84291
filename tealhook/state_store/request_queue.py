"""The queue in front of the state service: priorities, this node's share of the budgets, and the pace."""

from __future__ import annotations

import enum
import logging
from collections import deque
from functools import partial

from tealhook.context import NodeContext
from tealhook.loop import TokenBucket
from tealhook.loop.effects import Answer

log = logging.getLogger("tealhook.store")

USED_SHARE = 0.92  # of the budget; the rest allows for other nodes' unevenness and for clock drift
EVEN_REQUESTS = 0.7  # of the requests are shared evenly, the rest by homes
EVEN_WRITES = 0.35  # likewise of the changes
PACE_S = 1.0  # the pace changes once in so long: budgets allow bursts of a second
LEAST_PACE = 0.3


class CallPriority(enum.IntEnum):
    """Who goes first when tokens are short."""

    RENEW = 0
    ADMIT = 1
    ASSIGN = 2
    KEEP = 3


# Share of the buckets that a priority leaves to those before it.
RESERVED = {CallPriority.RENEW: 0.0, CallPriority.ADMIT: 0.1, CallPriority.ASSIGN: 0.25, CallPriority.KEEP: 0.45}


class _Call:
    """A request waiting for tokens: sent before `deadline` (of our clock) or not at all."""

    __slots__ = ("method", "target", "body", "writes", "deadline", "answer", "timeout")

    def __init__(
        self,
        method: str,
        target: str,
        body: bytes | None,
        writes: int,
        deadline: float,
        timeout: float,
        answer: Answer,
    ) -> None:
        self.method = method
        self.target = target
        self.body = body
        self.writes = writes
        self.deadline = deadline
        self.timeout = timeout
        self.answer = answer


class RequestQueue:
    """Sends requests to the state service within this node's share of its budgets, the most urgent first."""

    def __init__(self, context: NodeContext) -> None:
        """The budgets come from the settings; at first they are shared evenly by all nodes."""
        self._effects = context.effects
        limits = context.settings.params.state.least
        self._rps, self._wps = limits.rps, limits.write_rps
        self._pace = 1.0  # share of the budgets that is used: less while the service says that they are overused
        self._paced_at = -1e9
        self._shares: tuple[int, float | None] = (1, None)
        now = context.effects.now()
        self._requests = TokenBucket(1.0, 1.0, now)
        self._writes = TokenBucket(1.0, 1.0, now)
        self._queues: dict[CallPriority, deque[_Call]] = {priority: deque() for priority in CallPriority}
        self._pumping = False
        self.answered_at = -1e9  # when it last served us
        self.failed_at = -1e9
        self.set_share(max(1, context.settings.params.nodes), None)

    def set_share(self, nodes: int, owned_share: float | None) -> None:
        """Set this node's part of the budgets.

        It has `nodes` live nodes to share them with, and owns `owned_share` of all teams (None: nobody owns any). Any
        node admits and answers, so some of the budgets is shared evenly; assignments are the work of the teams' owners.
        An even share of all would starve one that has taken over the others' teams.
        """
        now = self._effects.now()
        self._shares = (nodes, owned_share)

        def share(even: float) -> float:
            return even / nodes + (1.0 - even) * (1.0 / nodes if owned_share is None else owned_share)

        rps = self._rps * USED_SHARE * self._pace * share(EVEN_REQUESTS)
        wps = self._wps * USED_SHARE * self._pace * share(EVEN_WRITES)
        self._requests.set_rate(rps, rps, now)
        self._writes.set_rate(wps, wps, now)

    def _keep_pace(self, over: bool, now: float) -> None:
        """Slow down while others overuse the budgets or these were lowered, and speed up again slowly."""
        if now - self._paced_at < PACE_S or not over and self._pace >= 1.0:
            return
        self._paced_at = now
        self._pace = max(LEAST_PACE, 0.8 * self._pace) if over else min(1.0, 1.02 * self._pace)
        self.set_share(*self._shares)

    @property
    def is_served(self) -> bool:
        """Whether the last call to the state service got an answer other than 503."""
        return self.answered_at > self.failed_at

    def available_writes(self, priority: CallPriority) -> int:
        """Changes that could be sent at once at this priority."""
        if self._queues[priority]:
            return 0
        return int(self._writes.level(self._effects.now()) - RESERVED[priority] * self._writes.burst)

    def write_wait(self, count: int, priority: CallPriority) -> float:
        """Seconds until `count` changes could be sent at this priority, if nothing else is sent."""
        return self._writes.wait(count, self._effects.now(), RESERVED[priority] * self._writes.burst)

    def backlog(self, priority: CallPriority) -> float:
        """Seconds that a change asked for now would wait for tokens."""
        queued = sum(call.writes for level in CallPriority if level <= priority for call in self._queues[level])
        return self.write_wait(queued + 1, priority)

    def _submit(
        self,
        priority: CallPriority,
        method: str,
        target: str,
        body: bytes | None,
        writes: int,
        wait: float,
        timeout: float,
        answer: Answer,
    ) -> None:
        call = _Call(method, target, body, writes, self._effects.now() + wait, timeout, answer)
        self._queues[priority].append(call)
        if not self._pumping:
            self._pump()

    def _pump(self) -> None:
        self._pumping = False
        now = self._effects.now()
        pause: float | None = None
        for priority in CallPriority:
            queue = self._queues[priority]
            while queue:
                call = queue[0]
                if call.deadline < now:
                    queue.popleft()
                    self._effects.later(0.0, partial(call.answer, 429, b""))
                    continue
                keep_r = RESERVED[priority] * self._requests.burst
                keep_w = RESERVED[priority] * self._writes.burst if call.writes else 0.0
                wait = self._requests.wait(1, now, keep_r)
                if call.writes:
                    wait = max(wait, self._writes.wait(call.writes, now, keep_w))
                if wait > 0:
                    pause = wait if pause is None else min(pause, wait)
                    break
                self._requests.take(1, now, keep_r)
                if call.writes:
                    self._writes.take(call.writes, now, keep_w)
                queue.popleft()
                self._send(call)
        if pause is not None:
            self._pumping = True
            self._effects.later(min(max(pause, 0.002), 0.25), self._pump)

    def _send(self, call: _Call) -> None:
        def answer(status: int | None, body: bytes) -> None:
            now = self._effects.now()
            if status is None or status == 503:
                self.failed_at = now
            else:
                self.answered_at = now
            if status is not None and status != 503:
                self._keep_pace(status == 429, now)
            if status == 429:
                self._requests.drain(now)
                self._writes.drain(now)
                log.info("state service: over budget")
            call.answer(status, body)

        self._effects.state(call.method, call.target, call.body, call.timeout, answer)
