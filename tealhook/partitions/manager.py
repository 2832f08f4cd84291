"""All partitions that this node owns, and the answers to the heartbeats of workers."""

from __future__ import annotations

import msgspec

from tealhook.context import NodeContext
from tealhook.coordination import Ownership, partition_key
from tealhook.http import Reply
from tealhook.jobs.index import JobIndex
from tealhook.loop.effects import Cancellable, every
from tealhook.mesh import Mesh
from tealhook.partitions.heartbeats import MAX_CLOCK_DRIFT_RATIO
from tealhook.partitions.interfaces import ConnectionLoad, PartitionObserver, UnlimitedConnections
from tealhook.partitions.partition import Partition
from tealhook.partitions.redirects import Redirects
from tealhook.partitions.released_machines import ReleasedMachines
from tealhook.partitions.state import PartitionState
from tealhook.wire import workers as wire
from tealhook.wire.cloud import MachineType
from tealhook.wire.common import error_body


class _OpenHeartbeat:
    """A heartbeat that is not answered yet."""

    __slots__ = ("heartbeat", "body", "reply", "timer")

    def __init__(self, heartbeat: wire.Heartbeat, body: bytes, reply: Reply, timer: Cancellable) -> None:
        self.heartbeat = heartbeat
        self.body = body
        self.reply = reply
        self.timer = timer  # answers the heartbeat when its hold-open time ends


class PartitionManager:
    """Answers heartbeats of owned partitions, and redirects or relays those of other partitions."""

    def __init__(
        self,
        context: NodeContext,
        ownership: Ownership,
        job_index: JobIndex,
        mesh: Mesh,
        machine_types: dict[str, MachineType],
        observer: PartitionObserver,
    ) -> None:
        """Initialize without partitions; `observer` is notified of what heartbeats show."""
        self._context = context
        self._effects = context.effects
        self._ownership = ownership
        self._job_index = job_index
        self._machine_types = machine_types
        self._observer = observer
        self.partitions: dict[str, Partition] = {}  # by zone
        self.over_guarantee_cpus_by_team: dict[str, float] = {}  # kept up to date by gossip
        self.connection_load: ConnectionLoad = UnlimitedConnections()  # replaced when a server is started
        self._redirects = Redirects(context, ownership, mesh)
        self._open_heartbeats: dict[str, _OpenHeartbeat] = {}  # by machine; at most its newest one
        self._released_machines = ReleasedMachines(context)
        workers = context.workers
        # With an older view of cancellations, heartbeats are not answered with 200: a task that was cancelled meanwhile
        # must end with its worker's lease, which ends at most lease_s after the worker sent the last heartbeat that
        # was answered.
        self._max_view_age_s = workers.cancel_s - MAX_CLOCK_DRIFT_RATIO * workers.lease_s - workers.report_s / 4
        every(context.effects, workers.lease_s / 8, self._probe_unresponsive)

    def _probe_unresponsive(self) -> None:
        for partition in self.partitions.values():
            partition.probe_unresponsive()

    def on_ownership_change(self, zone: str, token: int | None) -> None:
        """Begin to own a partition under a token, or stop owning it if the token is None."""
        self.partitions.pop(zone, None)
        if token is not None:
            state = PartitionState(
                self._context, zone, token, self._job_index, self._machine_types, self.over_guarantee_cpus_by_team
            )
            self.partitions[zone] = Partition(state, self._observer, self)
        for name in [
            name for name, open_heartbeat in self._open_heartbeats.items() if open_heartbeat.heartbeat.zone == zone
        ]:
            self.answer_now(name)

    def must_not_launch(self) -> bool:
        """Check whether launching is unsafe: this process was suspended, or its view of cancellations is too old.

        A node that is the only one cut off from the state store still receives launch requests from schedulers on
        other nodes, and would start tasks that have been cancelled meanwhile. By then its lease has expired anyway.
        """
        return self._ownership.is_lease_uncertain or self._job_index.watcher.age() > self._ownership.node_lease_ttl_s

    def is_silent(self, zone: str | None) -> bool:
        """Check whether no worker of an owned zone, or of any if `zone` is None, has sent a heartbeat for a lease."""
        partitions = (
            self.partitions.values() if zone is None else [self.partitions[zone]] if zone in self.partitions else []
        )
        return all(partition.is_silent for partition in partitions)

    def remove_machine(self, machine: str) -> None:
        """Remove a released machine permanently."""
        self._released_machines.add(machine)
        for partition in self.partitions.values():
            partition.remove_machine(machine)

    def on_heartbeat(self, body: bytes, reply: Reply, *, relayed: bool = False) -> None:
        """Process a worker's heartbeat, sent to this node or relayed by another, and answer it now or later."""
        try:
            heartbeat = wire.heartbeat_decoder.decode(body)
        except (msgspec.DecodeError, RecursionError) as exc:
            reply(400, error_body(str(exc)))
            return
        if heartbeat.machine in self._released_machines:
            reply(503, error_body("released"))  # a late copy of a heartbeat must not add the machine again
            return
        if heartbeat.machine in self._open_heartbeats:
            self._close_superseded(heartbeat)
        if not self._may_answer(heartbeat, body, reply, relayed=relayed):
            return
        self._redirects.forget(heartbeat.machine)
        partition = self.partitions[heartbeat.zone]
        if not partition.on_heartbeat(heartbeat):
            reply(200, partition.responses.build_body(None))
            return
        # With all workers of a large fleet on one node, open heartbeats would leave no connections for users.
        hold_s = (
            0.0 if relayed or self.connection_load.is_crowded else partition.responses.hold_open_s(heartbeat.machine)
        )
        if hold_s <= 0:
            reply(200, partition.responses.build_body(heartbeat.machine))
            return
        timer = self._effects.later(hold_s, lambda: self.answer_now(heartbeat.machine))
        self._open_heartbeats[heartbeat.machine] = _OpenHeartbeat(heartbeat, body, reply, timer)

    def _close_superseded(self, heartbeat: wire.Heartbeat) -> None:
        """Answer an open heartbeat with 503 if `heartbeat` is newer.

        The worker no longer waits for the answer to the older one, so commands in it would be lost.
        """
        older = self._open_heartbeats[heartbeat.machine]
        if (heartbeat.session, heartbeat.sequence) > (older.heartbeat.session, older.heartbeat.sequence):
            del self._open_heartbeats[heartbeat.machine]
            older.timer.cancel()
            older.reply(503, error_body("a newer report has come"))

    def answer_now(self, machine: str) -> bool:
        """Answer a machine's open heartbeat with the pending commands, and return False if none is open."""
        open_heartbeat = self._open_heartbeats.pop(machine, None)
        if open_heartbeat is None:
            return False
        open_heartbeat.timer.cancel()
        if self._may_answer(open_heartbeat.heartbeat, open_heartbeat.body, open_heartbeat.reply, relayed=False):
            open_heartbeat.reply(200, self.partitions[open_heartbeat.heartbeat.zone].responses.build_body(machine))
        return True

    def _may_answer(self, heartbeat: wire.Heartbeat, body: bytes, reply: Reply, *, relayed: bool) -> bool:
        """Check whether this node may answer a heartbeat with 200 now; if not, redirect, relay or refuse it."""
        key = partition_key(heartbeat.zone)
        partition = self.partitions.get(heartbeat.zone)
        if partition is None:
            self._observer.on_unowned_zone(heartbeat.zone)
            self._redirects.redirect(heartbeat, body, reply, self._ownership.owner(key), relayed=relayed)
            return False
        if heartbeat.fencing_token > partition.token:
            # Another node owns the partition under a higher token. The worker would drop a 200 from this node, and
            # lose time before it turns to the owner.
            owner = self._ownership.owner(key) if (self._ownership.token(key) or 0) >= heartbeat.fencing_token else None
            self._redirects.redirect(heartbeat, body, reply, owner, relayed=relayed)
            return False
        if self._job_index.watcher.age() > self._max_view_age_s:
            reply(503, error_body("cancellations unknown"))
            return False
        return True
