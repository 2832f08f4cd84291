"""One controller: its components, who depends on whom, and how ownership and job changes reach them."""

from __future__ import annotations

from tealhook.admission import Admission
from tealhook.api import Api
from tealhook.context import NodeContext, PolicyValues
from tealhook.coordination import FLEET_KEY, Ownership, OwnershipView, Versions, team_key
from tealhook.coordination.ownership_keys import PARTITION_PREFIX, TEAM_PREFIX
from tealhook.fleet import FleetManager
from tealhook.forwarding import RequestForwarder
from tealhook.gossip import FleetInputs, GossipReceiver, GossipSender, GossipSources, PeerStates
from tealhook.health_check import HealthCheck
from tealhook.jobs import JobIndex, JobState
from tealhook.loop.effects import LONG_AGO_S, Effects, every
from tealhook.mesh import Mesh
from tealhook.mesh_handler import MeshHandler
from tealhook.partitions import PartitionManager
from tealhook.scheduling import TeamScheduler
from tealhook.settings import Policy, Settings
from tealhook.state_store import StateClient
from tealhook.wire import mesh as wire
from tealhook.wire.cloud import MachineType

MAX_ZONES = 256
MAX_ZONE_LENGTH = 64
MAX_RECENT_READS = 1000  # of jobs that are not in the job index; beyond that all are forgotten
INCARNATION_BITS = 62


class Controller:
    """Everything that one node decides. It touches the world through `Effects` alone."""

    def __init__(self, effects: Effects, settings: Settings, policy: Policy) -> None:
        """Build every component of one controller on `effects` and connect them; nothing runs before `start`."""
        self.settings = settings
        self.machine_types: dict[str, MachineType] = {}  # on offer; kept up to date by the fleet manager
        self._progress: dict[str, wire.JobProgress] = {}  # of active jobs; kept up to date by gossip
        self._last_read_at: dict[str, float] = {}  # job -> when its record was last read for a worker that has tasks
        context = self.context = NodeContext(
            effects,
            settings,
            PolicyValues(policy, settings, self.machine_types),
            effects.rng.getrandbits(INCARNATION_BITS),
        )
        self.state_client = StateClient(context)
        ownership_view = OwnershipView(context, self.state_client)
        self.mesh = Mesh(context, ownership_view)
        peers = PeerStates(context, self.mesh)
        self.ownership = Ownership(context, self.state_client, ownership_view, peers)
        self.job_index = JobIndex(context, self.state_client)
        self.partition_manager = PartitionManager(
            context,
            self.ownership,
            self.job_index,
            self.mesh,
            self.machine_types,
            observer=self,
        )
        self.team_scheduler = TeamScheduler(context, self.ownership, self.state_client, self.job_index, self.mesh)
        self.fleet_manager = FleetManager(
            context, self.ownership, self.state_client, self.mesh, self.machine_types, self._on_machines_released
        )
        self.versions = Versions(context, self.state_client)
        self.admission = Admission(
            context, self.state_client, self.job_index, self.machine_types, self._progress, self.versions
        )
        fleet_inputs = FleetInputs(context, self.ownership)
        gossip_receiver = GossipReceiver(
            context, self.ownership, self.job_index, self.partition_manager, peers, fleet_inputs, self._progress
        )
        gossip_sources = GossipSources(
            self.ownership, self.state_client, self.partition_manager, self.team_scheduler, self.fleet_manager
        )
        self.gossip_sender = GossipSender(context, self.mesh, gossip_sources, gossip_receiver, fleet_inputs)
        self.api = Api(
            self.partition_manager,
            self.admission,
            HealthCheck(context, self.state_client, self.job_index, peers),
            RequestForwarder(context, self.state_client, self.mesh, self.versions, peers),
        )
        self.on_request = self.api.on_request  # called for every request of users, workers and health checks
        handler = MeshHandler(
            gossip_receiver, self.team_scheduler, self.partition_manager, self.fleet_manager, self.api.on_user
        )
        self.mesh.start(handler)

    def start(self) -> None:
        """Begin to read the state store, to claim ownership keys, and to gossip twice per heartbeat period."""
        self.job_index.start(self)
        self.ownership.start(self, self.partition_manager)
        self.versions.start()
        every(self.context.effects, self.context.workers.report_s / 2, self.gossip_sender.send)

    def on_ownership_change(self, key: str, token: int | None) -> None:
        """Tell the component to which a key belongs; this is the OwnershipObserver of `Ownership`."""
        if key == FLEET_KEY:
            self.fleet_manager.on_ownership_change(token)
        elif key.startswith(PARTITION_PREFIX):
            self.partition_manager.on_ownership_change(key[len(PARTITION_PREFIX) :], token)
        elif key.startswith(TEAM_PREFIX):
            self.team_scheduler.on_ownership_change(key[len(TEAM_PREFIX) :], token)

    def on_unowned_zone(self, zone: str) -> None:
        """A heartbeat names a zone: it gets an ownership key, unless the name is malformed or zones are too many."""
        is_valid = 0 < len(zone) <= MAX_ZONE_LENGTH and not any(c.isspace() or c == "/" for c in zone)
        if is_valid and len(self.ownership.zones()) < MAX_ZONES:
            self.ownership.add_key(PARTITION_PREFIX + zone)

    def on_job_changed(self, job_id: str) -> None:
        """The job index has a change of a job: it is passed to the team's scheduler, if that is here."""
        if self.job_index.status(job_id) != JobState.ACTIVE:
            self._progress.pop(job_id, None)
        self.team_scheduler.on_job_changed(job_id)

    def publish_status(self, team: str, update: wire.StatusUpdate) -> None:
        """Send a status update to the node that owns a team's scheduler; none is sent while no node does."""
        owner = self.ownership.owner(team_key(team))
        if owner is not None:
            self.mesh.send(owner, update)

    def _on_machines_released(self, machines: list[str]) -> None:
        self.mesh.broadcast(wire.MachinesReleased(machines))

    def on_unknown_job(self, job: str) -> None:
        """A worker has a task of a job that is not in our job index: read the job's record from the state service."""
        now = self.context.effects.now()
        if (
            now - self._last_read_at.get(job, LONG_AGO_S) < self.context.workers.lease_s / 8
            or not self.job_index.is_synced
        ):
            return
        if len(self._last_read_at) > MAX_RECENT_READS:
            self._last_read_at.clear()
        self._last_read_at[job] = now
        self.admission.answer_poll(job, lambda _status, _body=b"{}", _retry_after_s=None: None)
