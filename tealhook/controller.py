"""One controller: the packages put together, ownership changes and mesh messages passed on between them."""

from __future__ import annotations

import logging

from tealhook.admission.admission import Admission
from tealhook.api import Api
from tealhook.coordination import FLEET_KEY, Ownership, Versions, team_key
from tealhook.coordination.ownership import PARTITION_PREFIX, TEAM_PREFIX
from tealhook.fleet import FleetManager
from tealhook.gossip import GossipExchange, PeerStates
from tealhook.http import Request
from tealhook.jobs import JobIndex
from tealhook.loop.effects import Effects, every
from tealhook.mesh import Mesh
from tealhook.mesh.mesh import Reply as MeshReply
from tealhook.partitions import PartitionManager
from tealhook.scheduling.team_scheduler import TeamScheduler
from tealhook.settings import Policy, Settings
from tealhook.state_store import StateClient
from tealhook.wire import mesh as wire
from tealhook.wire.cloud import MachineType

log = logging.getLogger("tealhook")

MAX_ZONES = 256
BEGIN_S = 240.0  # the users' rule: every job begins within four minutes


PartMessage = (
    wire.CapacityInquiry
    | wire.ReserveRequest
    | wire.LaunchRequest
    | wire.ReconcileRequest
    | wire.StopRequest
    | wire.DrainRequest
)


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
        self.state_client = StateClient(effects, settings)
        self.ownership = Ownership(effects, settings, self.state_client)
        self.mesh = Mesh(effects, settings.node, list(settings.peers), self.ownership.incarnation)
        self.mesh.handler = self._on_mesh
        self.mesh.current_incarnation = self.ownership.incarnation_of
        peers = PeerStates(effects, self.mesh, self._workers.report_s)
        self.ownership.is_reachable = peers.reachable
        self.ownership.listener = self._on_ownership
        self.job_index = JobIndex(effects, settings, self.state_client)
        self.job_index.listener = self._on_job
        self.partition_manager = PartitionManager(
            effects,
            settings,
            self.ownership,
            self.job_index,
            self.mesh,
            self._types,
            self._send_status_update,
            self._on_unknown_job,
        )
        self.partition_manager.on_zone = self._on_zone
        self.ownership.is_unheard = self.partition_manager.is_unheard
        self.team_scheduler = TeamScheduler(
            effects, settings, policy, self.ownership, self.state_client, self.job_index, self.mesh, self._variables
        )
        self.fleet_manager = FleetManager(
            effects,
            settings,
            policy,
            self.ownership,
            self.state_client,
            self.mesh,
            self._types,
            self._variables,
            self._on_machines_gone,
        )
        self.versions = Versions(effects, settings, self.state_client, self.ownership.incarnation)
        self.admission = Admission(
            effects, settings, self.state_client, self.job_index, self._types, self._progress, self.versions
        )
        self.gossip = GossipExchange(
            effects,
            settings,
            self.ownership,
            self.state_client,
            self.mesh,
            self.job_index,
            self.partition_manager,
            self.team_scheduler,
            self.fleet_manager,
            peers,
            self._progress,
        )
        self.api = Api(
            effects,
            settings,
            self.state_client,
            self.job_index,
            self.mesh,
            self.partition_manager,
            self.admission,
            self.versions,
            peers,
        )
        self.on_request = self.api.on_request  # called for every request of users, workers and health checks
        self._asked_at: dict[str, float] = {}  # job -> when we last asked for its record, for a worker that has tasks

    def start(self) -> None:
        """Begin to read the state service, to claim ownership keys, and to gossip twice per report period."""
        self.job_index.start()
        self.ownership.start()
        self.versions.start()
        every(self._effects, self._workers.report_s / 2, self.gossip.send)

    # -- who owns what

    def _on_ownership(self, key: str, token: int | None) -> None:
        if key == FLEET_KEY:
            self.fleet_manager.on_ownership_change(token)
        elif key.startswith(PARTITION_PREFIX):
            self.partition_manager.on_ownership_change(key[len(PARTITION_PREFIX) :], token)
        elif key.startswith(TEAM_PREFIX):
            self.team_scheduler.on_ownership_change(key[len(TEAM_PREFIX) :], token)

    def _on_zone(self, zone: str) -> None:
        """A report names a zone: it gets an ownership key, unless the name is malformed or zones are too many."""
        named = 0 < len(zone) <= 64 and not any(c.isspace() or c == "/" for c in zone)
        if named and len(self.ownership.zones()) < MAX_ZONES:
            self.ownership.add_key(PARTITION_PREFIX + zone)

    # -- jobs and machines

    def _on_job(self, job: str) -> None:
        if self.job_index.status(job) != "active":
            self._progress.pop(job, None)
        self.team_scheduler.on_job_changed(job)

    def _send_status_update(self, team: str, update: wire.StatusUpdate) -> None:
        owner = self.ownership.owner(team_key(team))
        if owner is not None:
            self.mesh.send(owner, update)

    def _on_machines_gone(self, machines: list[str]) -> None:
        self.mesh.broadcast(wire.MachinesReleased(machines))

    def _on_unknown_job(self, job: str) -> None:
        """A worker has a task of a job that is not in our job index: read the job's record from the state service."""
        now = self._effects.now()
        if now - self._asked_at.get(job, -1e9) < self._workers.lease_s / 8 or not self.job_index.synced:
            return
        if len(self._asked_at) > 1000:
            self._asked_at.clear()
        self._asked_at[job] = now
        self.admission.answer_poll(job, lambda _status, _body, _after=None: None)

    def _variables(self) -> dict[str, float]:
        params = self.settings.params
        return {
            "report_s": params.workers.report_s,
            "lease_s": params.workers.lease_s,
            "cancel_s": params.workers.cancel_s,
            "begin_s": BEGIN_S,
            "boot_s": min((machine_type.boot_s for machine_type in self._types.values()), default=0.0)
            or params.workers.lease_s,
            # Without an objective for starts within a guarantee, no machines are rented ahead for guaranteed work.
            "guaranteed": sum(team.cpus for team in params.teams) if self._ready_for_guarantees else 0.0,
            "limit": sum(team.cpus_max for team in params.teams),
            "machine": max((machine_type.vcpus for machine_type in self._types.values()), default=0.0),
        }

    # -- the mesh

    def _on_mesh(self, _sender: str, body: wire.Body, reply: MeshReply) -> None:
        """A message of another controller, or of this one to itself."""
        match body:
            case wire.Gossip():
                self.gossip.receive(body)
            case wire.StatusUpdate():
                self.team_scheduler.on_status_update(body)
            case wire.MachinesReleased(machines=machines):
                for name in machines:
                    self.partition_manager.forget_machine(name)
                self.team_scheduler.on_machines_released(machines)
            case wire.FenceRequest(machines=machines):
                self.fleet_manager.fence(machines)
            case wire.RelayRequest(heartbeat=report):
                self.partition_manager.on_heartbeat(
                    report, lambda status, data: reply(wire.RelayReply(status, data)), relayed=True
                )
            case wire.ForwardRequest():
                request = Request(body.method, body.target, {}, True)
                request.body = body.body
                self.api.on_user(
                    request, lambda status, data=b"{}", after=None: reply(wire.ForwardReply(status, data, after))
                )
            case (
                wire.CapacityInquiry()
                | wire.ReserveRequest()
                | wire.LaunchRequest()
                | wire.ReconcileRequest()
                | wire.StopRequest()
                | wire.DrainRequest()
            ):
                self._on_part_message(body, reply)
            case _:
                reply(wire.Refused("not a request"))

    def _on_part_message(self, body: PartMessage, reply: MeshReply) -> None:
        """A message to the owner of a part, which this node may be no more."""
        part = self.partition_manager.partitions.get(body.zone)
        if part is None:
            reply(wire.Refused("not the owner"))
            return
        match body:
            case wire.CapacityInquiry():
                reply(part.capacity.inquire(body.requirements))
            case wire.ReserveRequest():
                reply(part.capacity.reserve(body))
            case wire.LaunchRequest():
                # Reservations are numbered per owner: one made under another token is refused.
                reply(
                    part.launch(body)
                    if body.token == part.token
                    else wire.LaunchReply(part.token, 0, [start.reservation_id for start in body.starts])
                )
            case wire.ReconcileRequest():
                reply(part.reconcile(body))
                part.publish_requested(body)
            case wire.StopRequest():
                part.stop(body)
            case wire.DrainRequest():
                part.drain(body.machines)
