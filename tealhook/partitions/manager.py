"""All partitions that this node owns, and its answers to the heartbeats of workers."""

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
        self.timer = timer  # until it is answered in any case


class PartitionManager:
    """Answers heartbeats for owned partitions; those of other partitions are redirected or relayed."""

    def __init__(
        self,
        context: NodeContext,
        ownership: Ownership,
        job_index: JobIndex,
        mesh: Mesh,
        machine_types: dict[str, MachineType],
        observer: PartitionObserver,
    ) -> None:
        """No partition is owned yet; `observer` hears what heartbeats show."""
        self._context = context
        self._effects = context.effects
        self._ownership = ownership
        self._job_index = job_index
        self._machine_types = machine_types
        self._observer = observer
        self.partitions: dict[str, Partition] = {}
        self.over_guarantee_cpus_by_team: dict[
            str, float
        ] = {}  # team -> CPUs beyond its guarantee; kept up to date by gossip
        self.connection_load: ConnectionLoad = UnlimitedConnections()  # until a server is there
        self._redirects = Redirects(context, ownership, mesh)
        self._open_heartbeats: dict[str, _OpenHeartbeat] = {}  # machine -> its newest heartbeat, if not answered yet
        self._released = ReleasedMachines(context)
        workers = context.workers
        # Once our view of cancellations is older than this, a task that was cancelled meanwhile must be
        # left to die by its worker's lease: the lease ends at most lease_s after the last heartbeat that we
        # answered was sent.
        self._max_view_age_s = workers.cancel_s - MAX_CLOCK_DRIFT_RATIO * workers.lease_s - workers.report_s / 4
        every(context.effects, workers.lease_s / 8, self._probe)

    def _probe(self) -> None:
        for partition in self.partitions.values():
            partition.probe_unresponsive()

    def on_ownership_change(self, zone: str, token: int | None) -> None:
        """Begin to own a partition under a token, or stop to own it (None)."""
        self.partitions.pop(zone, None)
        if token is not None:
            state = PartitionState(
                self._context, zone, token, self._job_index, self._machine_types, self.over_guarantee_cpus_by_team
            )
            self.partitions[zone] = Partition(state, self._observer, self)
        for name in [name for name, waiting in self._open_heartbeats.items() if waiting.heartbeat.zone == zone]:
            self.answer_now(name)

    def must_not_launch(self) -> bool:
        """Whether we have stood still, or know too little of the latest cancellations to start anything.

        A node that the state service refuses alone goes on being told to launch by schedulers that it serves; what is
        cancelled meanwhile it would start all the same. By then its lease has run out in any case.
        """
        return self._ownership.is_lease_uncertain or self._job_index.watcher.age() > self._ownership.node_lease_ttl_s

    def is_silent(self, zone: str | None) -> bool:
        """Whether no worker of a zone that we own, or for None of any, has been heard of for longer than its lease."""
        partitions = (
            self.partitions.values() if zone is None else [self.partitions[zone]] if zone in self.partitions else []
        )
        return all(partition.is_silent for partition in partitions)

    def remove_machine(self, machine: str) -> None:
        """Forget a machine that is released: it is gone for good."""
        self._released.add(machine)
        for partition in self.partitions.values():
            partition.remove_machine(machine)

    def on_heartbeat(self, body: bytes, reply: Reply, *, relayed: bool = False) -> None:
        """Take a worker's heartbeat, made to us or relayed by another node, and answer it now or later."""
        try:
            heartbeat = wire.heartbeat_decoder.decode(body)
        except (msgspec.DecodeError, RecursionError) as exc:
            reply(400, error_body(str(exc)))
            return
        if heartbeat.machine in self._released:
            reply(503, error_body("released"))  # a late copy must not bring it back to life
            return
        if heartbeat.machine in self._open_heartbeats:
            self._abandon_older(heartbeat)
        if not self._may_answer(heartbeat, body, reply, relayed=relayed):
            return
        self._redirects.forget(heartbeat.machine)
        partition = self.partitions[heartbeat.zone]
        if not partition.on_heartbeat(heartbeat):
            reply(200, partition.responses.build_body(None))
            return
        # With all workers of a large fleet on one node, heartbeats held open would leave no connection to users.
        hold_s = 0.0 if relayed or self.connection_load.crowded else partition.responses.hold_open_s(heartbeat.machine)
        if hold_s <= 0:
            reply(200, partition.responses.build_body(heartbeat.machine))
            return
        timer = self._effects.later(hold_s, lambda: self.answer_now(heartbeat.machine))
        self._open_heartbeats[heartbeat.machine] = _OpenHeartbeat(heartbeat, body, reply, timer)

    def _abandon_older(self, heartbeat: wire.Heartbeat) -> None:
        """The worker has given up on the answer to an older heartbeat that is still open: no command may ride on it."""
        older = self._open_heartbeats[heartbeat.machine]
        if (heartbeat.session, heartbeat.sequence) > (older.heartbeat.session, older.heartbeat.sequence):
            del self._open_heartbeats[heartbeat.machine]
            older.timer.cancel()
            older.reply(503, error_body("a newer report has come"))

    def answer_now(self, machine: str) -> bool:
        """Answer a machine's open heartbeat with the commands that there are; whether one was open."""
        waiting = self._open_heartbeats.pop(machine, None)
        if waiting is None:
            return False
        waiting.timer.cancel()
        if self._may_answer(waiting.heartbeat, waiting.body, waiting.reply, relayed=False):
            waiting.reply(200, self.partitions[waiting.heartbeat.zone].responses.build_body(machine))
        return True

    def _may_answer(self, heartbeat: wire.Heartbeat, body: bytes, reply: Reply, *, relayed: bool) -> bool:
        """Whether we may answer a heartbeat with 200 now; if not, it has been answered otherwise."""
        key = partition_key(heartbeat.zone)
        partition = self.partitions.get(heartbeat.zone)
        if partition is None:
            self._observer.on_unowned_zone(heartbeat.zone)
            self._redirects.redirect(heartbeat, body, reply, self._ownership.owner(key), relayed=relayed)
            return False
        if heartbeat.fencing_token > partition.token:
            # Somebody owns the partition by a higher token: a 200 of ours would be dropped and hold the worker.
            owner = self._ownership.owner(key) if (self._ownership.token(key) or 0) >= heartbeat.fencing_token else None
            self._redirects.redirect(heartbeat, body, reply, owner, relayed=relayed)
            return False
        if self._job_index.watcher.age() > self._max_view_age_s:
            reply(503, error_body("cancellations unknown"))
            return False
        return True
