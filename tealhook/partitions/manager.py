"""All parts that this node owns, and what it answers to workers."""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import msgspec

from tealhook.context import NodeContext
from tealhook.coordination import Ownership, partition_key
from tealhook.http import Reply
from tealhook.jobs.index import JobIndex
from tealhook.loop.effects import Cancellable, every
from tealhook.mesh import Mesh
from tealhook.partitions.partition import DRIFT, Partition
from tealhook.wire import mesh as mesh_wire
from tealhook.wire import workers as wire
from tealhook.wire.cloud import MachineType
from tealhook.wire.common import dumps, error_body

log = logging.getLogger("tealhook.partitions")

NEVER_S = 1e9
LEAST_TRACKED = 4096  # machines; beyond that those are forgotten of which nothing was noted for long
TRACKED_LEASES = 4.0
LEAST_GONE = 20_000  # released machines remembered, as long as a copy of a report may be late in any case
GONE_LEASES = 20.0


class _Open:
    """A report whose answer is still open."""

    __slots__ = ("report", "body", "reply", "timer")

    def __init__(self, report: wire.Heartbeat, body: bytes, reply: Reply, timer: Cancellable) -> None:
        self.report = report
        self.body = body
        self.reply = reply
        self.timer = timer  # until it is answered in any case


class PartitionManager:
    """Answers reports for owned parts, sends workers on to other owners, relays when they can't get there."""

    def __init__(
        self,
        context: NodeContext,
        ownership: Ownership,
        job_index: JobIndex,
        mesh: Mesh,
        types: dict[str, MachineType],
        tell: Callable[[str, mesh_wire.StatusUpdate], Any],
        strangers: Callable[[str], Any],
    ) -> None:
        """No part yet; `tell` takes what homes are to hear of machines, `strangers` jobs that nobody here knows."""
        self._context = context
        self._effects = context.effects
        self._settings = context.settings
        self._ownership = ownership
        self._job_index = job_index
        self._mesh = mesh
        self._types = types
        self._publish = tell
        self._on_unknown_job = strangers
        self.partitions: dict[str, Partition] = {}
        self.over_guarantee: dict[str, float] = {}
        self._redirected_at: dict[str, float] = {}  # machine -> when it was last sent on to the owner
        self._open_heartbeats: dict[str, _Open] = {}  # machine -> its newest report, if not answered yet
        self._released: OrderedDict[str, float] = OrderedDict()  # machines that were released, and when we heard of it
        self._relaying: dict[str, float] = {}  # machine -> since when its reports are relayed
        self._most_tracked = LEAST_TRACKED  # before old entries of these are looked for
        workers = context.workers
        # Once our view of cancellations is older than this, a task that was cancelled meanwhile must be
        # left to die by its worker's lease: the lease ends at most lease_s after the last report that we
        # answered was sent.
        self._max_view_age_s = workers.cancel_s - DRIFT * workers.lease_s - workers.report_s / 4
        every(context.effects, workers.lease_s / 8, self._probe)
        self.on_zone: Callable[[str], Any] = lambda _zone: None
        self.crowded: Callable[[], bool] = lambda: False  # whether connections are scarce

    def _probe(self) -> None:
        for part in self.partitions.values():
            part.probe()

    def on_ownership_change(self, zone: str, token: int | None) -> None:
        """Ownership of a part came or went."""
        self.partitions.pop(zone, None)
        if token is not None:
            part = self.partitions[zone] = Partition(
                self._context,
                zone,
                token,
                self._job_index,
                self._types,
                self.over_guarantee,
                self._publish,
                self._on_unknown_job,
            )
            part.commands.answer_now = self._answer_now
            part.commands.may_not_launch = self._may_not_launch
        for name in [name for name, waiting in self._open_heartbeats.items() if waiting.report.zone == zone]:
            self._answer_now(name)

    def _may_not_launch(self) -> bool:
        """Whether we have stood still, or know too little of the latest cancellations to start anything.

        A node that the state service refuses alone goes on being told to launch by homes that it serves; what is
        cancelled meanwhile it would start all the same. By then its grant has run out in any case.
        """
        return self._ownership.lease_uncertain or self._job_index.watcher.age() > self._ownership.lease_ttl_s

    def is_unheard(self, zone: str | None) -> bool:
        """Whether no worker of a zone that we own, or for None of any, has been heard of for longer than its lease."""
        partitions = (
            self.partitions.values() if zone is None else [self.partitions[zone]] if zone in self.partitions else []
        )
        return all(partition.is_unheard for partition in partitions)

    def forget_machine(self, machine: str) -> None:
        """The machine is gone for good."""
        now = self._effects.now()
        self._released.setdefault(machine, now)
        since = now - GONE_LEASES * self._settings.params.workers.lease_s
        while len(self._released) > LEAST_GONE and next(iter(self._released.values())) < since:
            self._released.popitem(last=False)
        for part in self.partitions.values():
            part.forget(machine)

    def on_heartbeat(self, body: bytes, reply: Reply, *, relayed: bool = False) -> None:
        """A worker's report, made to us or relayed by another node."""
        try:
            report = wire.heartbeat_decoder.decode(body)
        except (msgspec.DecodeError, RecursionError) as exc:
            reply(400, error_body(str(exc)))
            return
        if report.machine in self._released:
            reply(503, error_body("released"))  # a late copy must not bring it back to life
            return
        former = self._open_heartbeats.get(report.machine)
        if former is not None and (report.session, report.sequence) > (former.report.session, former.report.sequence):
            # The worker has given up on that answer: nothing may ride on it.
            del self._open_heartbeats[report.machine]
            former.timer.cancel()
            former.reply(503, error_body("a newer report has come"))
        if not self._entitled(report, body, reply, relayed):
            return
        self._redirected_at.pop(report.machine, None)
        part = self.partitions[report.zone]
        if not part.on_report(report):
            reply(200, part.response(None))
            return
        # With all workers of a large fleet on one node, reports held open would leave no connection to users.
        patience = 0.0 if relayed or self.crowded() else part.hold_open_s(report.machine)
        if patience <= 0:
            reply(200, part.response(report.machine))
            return
        timer = self._effects.later(patience, lambda: self._answer_now(report.machine))
        self._open_heartbeats[report.machine] = _Open(report, body, reply, timer)

    def _forget_old(self, times: dict[str, float], now: float) -> None:
        """Drop what is too old to matter from a table of machines, once it has doubled since the last time."""
        if len(times) <= self._most_tracked:
            return
        since = now - TRACKED_LEASES * self._settings.params.workers.lease_s
        for name in [name for name, at in times.items() if at < since]:
            del times[name]
        self._most_tracked = max(LEAST_TRACKED, 2 * len(times))

    def _answer_now(self, name: str) -> bool:
        """Answer a machine's open report with what there is to tell it; whether one was open."""
        waiting = self._open_heartbeats.pop(name, None)
        if waiting is None:
            return False
        waiting.timer.cancel()
        if self._entitled(waiting.report, waiting.body, waiting.reply, False):
            waiting.reply(200, self.partitions[waiting.report.zone].response(name))
        return True

    def _entitled(self, report: wire.Heartbeat, body: bytes, reply: Reply, relayed: bool) -> bool:
        """Whether we may answer a report with 200 now; if not, it has been answered otherwise."""
        key = partition_key(report.zone)
        part = self.partitions.get(report.zone)
        if part is None:
            self.on_zone(report.zone)
            self._redirect(report, body, reply, self._ownership.owner(key), relayed)
            return False
        if report.fencing_token > part.token:
            # Somebody owns the part by a higher token: a 200 of ours would be dropped and hold the worker.
            owner = self._ownership.owner(key) if (self._ownership.token(key) or 0) >= report.fencing_token else None
            self._redirect(report, body, reply, owner, relayed)
            return False
        if self._job_index.watcher.age() > self._max_view_age_s:
            reply(503, error_body("cancellations unknown"))
            return False
        return True

    def _redirect(self, report: wire.Heartbeat, body: bytes, reply: Reply, owner: str | None, relayed: bool) -> None:
        if owner is None or owner == self._ownership.node:
            reply(503 if owner is None else 421, error_body("owner unknown") if owner is None else b"{}")
            return
        now = self._effects.now()
        lease_s = self._settings.params.workers.lease_s
        sent = self._redirected_at.get(report.machine, -NEVER_S)
        since = self._relaying.get(report.machine, now)
        # It has the owner's token, or was sent there and is back: it can't reach the owner, but perhaps we
        # can. Now and then it is sent on all the same, to find out whether it can again.
        stranded = report.fencing_token == self._ownership.token(partition_key(report.zone)) or now - sent < lease_s
        if not relayed and stranded and now - since < 4 * lease_s:
            self._forget_old(self._relaying, now)
            self._relaying.setdefault(report.machine, now)

            def answered(answer: Any) -> None:
                if isinstance(answer, mesh_wire.RelayReply):
                    reply(answer.status, answer.body)
                else:
                    self._relaying.pop(report.machine, None)
                    reply(421, dumps({"boss": owner}))

            self._mesh.call(owner, mesh_wire.RelayRequest(body), min(2.0, lease_s / 6), answered)
            return
        self._relaying.pop(report.machine, None)
        self._forget_old(self._redirected_at, now)
        self._redirected_at[report.machine] = now
        reply(421, dumps({"boss": owner}))
