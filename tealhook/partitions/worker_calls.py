"""Direct calls of a part's owner to workers that don't come to it, or may not hear its answers."""

from __future__ import annotations

import logging
from collections import deque
from functools import partial

import msgspec

from tealhook.context import NodeContext
from tealhook.partitions.machine import Machine
from tealhook.wire import workers as wire
from tealhook.wire.common import dumps

log = logging.getLogger("tealhook.partitions")

NEVER_S = 1e9
DIRECT_S = 2.0  # a worker that has not answered a direct call by then is asked again later


def ignore(_status: int | None, _body: bytes) -> None:
    """What a worker answers to a direct call; its next report shows what came of it."""


class Calls:
    """Calls to the workers of one part, each at most once in a quarter of a lease."""

    def __init__(self, context: NodeContext, token: int, machines: dict[str, Machine]) -> None:
        """The part's owner begins to own it now, under `token`, and may know none of its `machines` yet."""
        self._effects = context.effects
        self._workers = context.workers
        self._token = token
        self._machines = machines
        self._owned_at = context.effects.now()
        self._called: dict[str, float] = {}  # machine -> when its worker was last told of our token
        self._waiting: deque[tuple[str, str]] = deque()  # machines and addresses of workers still to be told
        self._most = max(
            16, context.settings.params.limits.max_connections // 32
        )  # half of the direct calls' connections
        self._under_way = 0

    def announce_token(self, addrs: dict[str, str]) -> None:
        """Tell workers that have not come under our token of it, directly, so that they do.

        They may be with an earlier owner who can't know that it is none any more, and would answer them for
        ever. Only the token is told: commands sent this way could be executed minutes late.
        """
        now = self._effects.now()
        if now - self._owned_at < 1.5 * self._workers.report_s:
            return
        for name, addr in addrs.items():
            machine = self._machines.get(name)
            if machine is not None and machine.reconciled:
                continue
            if now - self._called.get(name, -NEVER_S) < self._workers.lease_s / 4:
                continue
            self._called[name] = now
            self._waiting.append((name, addr))
        self._call_next()

    def _call_next(self) -> None:
        """Call as many workers as there are connections for: calls beyond that would fail, a lease's quarter lost."""
        while self._waiting and self._under_way < self._most:
            name, addr = self._waiting.popleft()
            machine = self._machines.get(name)
            if machine is None or not machine.reconciled:
                self._under_way += 1
                self._effects.worker(addr, "GET", "/show", None, DIRECT_S, partial(self._shown, addr))

    def _shown(self, addr: str, status: int | None, body: bytes) -> None:
        self._under_way -= 1
        self._call_next()
        if status != 200:
            return
        try:
            report = wire.heartbeat_decoder.decode(body)
        except msgspec.DecodeError as exc:
            log.error("worker at %s: bad answer: %s", addr, exc)
            return
        if report.fencing_token < self._token:
            call = dumps(wire.CommandBatch(self._token, [], report.session))
            self._effects.worker(addr, "POST", "/orders", call, DIRECT_S, ignore)

    def probe_unresponsive(self) -> None:
        """Ask machines that did not hear whether they do now; what reaches them so would reach them otherwise."""
        now = self._effects.now()
        for machine in self._machines.values():
            if machine.commands_lost_since is None or now - machine.probed_at < self._workers.lease_s / 4:
                continue
            machine.probed_at = now

            def shown(status: int | None, _body: bytes, machine: Machine = machine) -> None:
                if status == 200 and machine.commands_lost_since is not None:
                    log.info("%s hears again", machine.name)
                    machine.commands_lost_since = None

            self._effects.worker(machine.address, "GET", "/show", None, DIRECT_S, shown)
