"""One controller: the packages put together, ownership changes and mesh messages passed on between them."""

from __future__ import annotations

import logging

from tealhook.api import Api
from tealhook.fleet import FleetManager
from tealhook.gossip import GossipExchange, PeerStates
from tealhook.http import Request
from tealhook.jobs import JobIndex
from tealhook.jobs.admission import Admission
from tealhook.jobs.scheduler import TeamScheduler
from tealhook.loop.effects import Effects, every
from tealhook.mesh import Mesh
from tealhook.mesh.mesh import Reply as MeshReply
from tealhook.parts import PartitionManager
from tealhook.settings import Policy, Settings
from tealhook.store import FLEET, Ownership, StateClient, Versions, home_key
from tealhook.store.ownership import HOME, PART
from tealhook.wire import mesh as wire
from tealhook.wire.cloud import MachineType

log = logging.getLogger("tealhook")

MAX_ZONES = 256
BEGIN_S = 240.0  # the users' rule: every job begins within four minutes


PartMessage = wire.Ask | wire.Reserve | wire.Launch | wire.Look | wire.Stop | wire.Drain


class Controller:
    """Everything that one node decides. It touches the world through `Effects` alone."""

    def __init__(self, effects: Effects, settings: Settings, policy: Policy) -> None:
        """Build every part of one controller on `effects` and connect them; nothing runs before `start`."""
        self._effects = effects
        self.settings = settings
        self._workers = settings.params.workers
        self._ready_for_guarantees = any(o.kind == "guarantee" for o in settings.params.objectives)
        self._types: dict[str, MachineType] = {}
        self._progress: dict[str, tuple[int, int]] = {}
        self.store = StateClient(effects, settings)
        self.ownership = Ownership(effects, settings, self.store)
        self.mesh = Mesh(effects, settings.node, list(settings.peers), self.ownership.incarnation)
        self.mesh.handler = self._on_mesh
        self.mesh.current_incarnation = self.ownership.incarnation_of
        peers = PeerStates(effects, self.mesh, self._workers.report_s)
        self.ownership.reachable = peers.reachable
        self.ownership.listener = self._on_ownership
        self.book = JobIndex(effects, settings, self.store)
        self.book.listener = self._on_job
        self.parts = PartitionManager(
            effects,
            settings,
            self.ownership,
            self.book,
            self.mesh,
            self._types,
            self._send_status_update,
            self._on_unknown_job,
        )
        self.parts.on_zone = self._on_zone
        self.ownership.unheard = self.parts.unheard
        self.homes = TeamScheduler(
            effects, settings, policy, self.ownership, self.store, self.book, self.mesh, self._variables
        )
        self.fleet = FleetManager(
            effects,
            settings,
            policy,
            self.ownership,
            self.store,
            self.mesh,
            self._types,
            self._variables,
            self._on_machines_gone,
        )
        self.versions = Versions(effects, settings, self.store, self.ownership.incarnation)
        self.admission = Admission(effects, settings, self.store, self.book, self._types, self._progress, self.versions)
        self.gossip = GossipExchange(
            effects,
            settings,
            self.ownership,
            self.store,
            self.mesh,
            self.book,
            self.parts,
            self.homes,
            self.fleet,
            peers,
            self._progress,
        )
        self.api = Api(
            effects, settings, self.store, self.book, self.mesh, self.parts, self.admission, self.versions, peers
        )
        self.on_request = self.api.on_request  # called for every request of users, workers and health checks
        self._asked_at: dict[str, float] = {}  # job -> when we last asked for its record, for a worker that has tasks

    def start(self) -> None:
        """Begin to read the state service, to claim ownership keys, and to gossip twice per report period."""
        self.book.start()
        self.ownership.start()
        self.versions.start()
        every(self._effects, self._workers.report_s / 2, self.gossip.send)

    # -- who owns what

    def _on_ownership(self, key: str, token: int | None) -> None:
        if key == FLEET:
            self.fleet.owned(token)
        elif key.startswith(PART):
            self.parts.owned(key[len(PART) :], token)
        elif key.startswith(HOME):
            self.homes.owned(key[len(HOME) :], token)

    def _on_zone(self, zone: str) -> None:
        """A report names a zone: it gets an ownership key, unless the name is malformed or zones are too many."""
        named = 0 < len(zone) <= 64 and not any(c.isspace() or c == "/" for c in zone)
        if named and len(self.ownership.zones()) < MAX_ZONES:
            self.ownership.add(PART + zone)

    # -- jobs and machines

    def _on_job(self, job: str) -> None:
        if self.book.status(job) != "active":
            self._progress.pop(job, None)
        self.homes.job_changed(job)

    def _send_status_update(self, team: str, update: wire.MachineNews) -> None:
        owner = self.ownership.owner(home_key(team))
        if owner is not None:
            self.mesh.send(owner, update)

    def _on_machines_gone(self, machines: list[str]) -> None:
        self.mesh.broadcast(wire.Gone(machines))

    def _on_unknown_job(self, job: str) -> None:
        """A worker has a task of a job that is not in our job index: read the job's record from the state service."""
        now = self._effects.now()
        if now - self._asked_at.get(job, -1e9) < self._workers.lease_s / 8 or not self.book.synced:
            return
        if len(self._asked_at) > 1000:
            self._asked_at.clear()
        self._asked_at[job] = now
        self.admission.show(job, lambda _status, _body, _after=None: None)

    def _variables(self) -> dict[str, float]:
        params = self.settings.params
        return {
            "report_s": params.workers.report_s,
            "lease_s": params.workers.lease_s,
            "cancel_s": params.workers.cancel_s,
            "begin_s": BEGIN_S,
            "boot_s": min((rig.ready_s for rig in self._types.values()), default=0.0) or params.workers.lease_s,
            # Without an objective for starts within a guarantee, no machines are rented ahead for guaranteed work.
            "guaranteed": sum(team.cpus for team in params.teams) if self._ready_for_guarantees else 0.0,
            "limit": sum(team.cpus_max for team in params.teams),
            "machine": max((rig.vcpus for rig in self._types.values()), default=0.0),
        }

    # -- the mesh

    def _on_mesh(self, _sender: str, body: wire.Body, reply: MeshReply) -> None:
        """A message of another controller, or of this one to itself."""
        match body:
            case wire.Gossip():
                self.gossip.receive(body)
            case wire.MachineNews():
                self.homes.news(body)
            case wire.Gone(machines=machines):
                for name in machines:
                    self.parts.forget(name)
                self.homes.gone(machines)
            case wire.Fence(machines=machines):
                self.fleet.fence(machines)
            case wire.Relay(report=report):
                self.parts.report(report, lambda status, data: reply(wire.RelayReply(status, data)), relayed=True)
            case wire.Forward():
                request = Request(body.method, body.target, {}, True)
                request.body = body.body
                self.api.on_user(
                    request, lambda status, data=b"{}", after=None: reply(wire.ForwardReply(status, data, after))
                )
            case wire.Ask() | wire.Reserve() | wire.Launch() | wire.Look() | wire.Stop() | wire.Drain():
                self._on_part_message(body, reply)
            case _:
                reply(wire.No("not a request"))

    def _on_part_message(self, body: PartMessage, reply: MeshReply) -> None:
        """A message to the owner of a part, which this node may be no more."""
        part = self.parts.parts.get(body.zone)
        if part is None:
            reply(wire.No("not the owner"))
            return
        match body:
            case wire.Ask():
                reply(part.room.ask(body.shapes))
            case wire.Reserve():
                reply(part.room.reserve(body))
            case wire.Launch():
                # Reservations are numbered per owner: one made under another token is refused.
                reply(
                    part.launch(body)
                    if body.token == part.token
                    else wire.LaunchReply(part.token, 0, [start.rid for start in body.starts])
                )
            case wire.Look():
                reply(part.look(body))
                part.show(body)
            case wire.Stop():
                part.stop(body)
            case wire.Drain():
                part.drain(body.machines)
