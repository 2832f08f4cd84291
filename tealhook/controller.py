"""A controller: the wiring of its components, and the dispatch of ownership and job changes to them."""

from __future__ import annotations

from tealhook.admission import Admission
from tealhook.api import Api
from tealhook.context import NodeContext, PolicyValues
from tealhook.coordination import FLEET_KEY, Ownership, OwnershipView, VersionAgreement, team_key
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
MAX_ZONE_NAME_LENGTH = 64
MAX_RECENT_READS = 1000  # jobs whose last read is tracked; when there are more, the tracking is cleared
INCARNATION_BITS = 62


class Controller:
    """The controller of one node; it uses the clock, the network and random numbers only through `Effects`."""

    def __init__(self, effects: Effects, settings: Settings, policy: Policy) -> None:
        """Build and connect the components of a controller; nothing runs before `start`."""
        self.settings = settings
        self.machine_types: dict[str, MachineType] = {}  # offered types by name; updated by the fleet manager
        self._progress: dict[str, wire.JobProgress] = {}  # id of an active job -> progress; updated by gossip
        self._last_read_at: dict[str, float] = {}  # job id -> time of the last read of its record by `on_unknown_job`
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
        self.version_agreement = VersionAgreement(context, self.state_client)
        self.admission = Admission(
            context, self.state_client, self.job_index, self.machine_types, self._progress, self.version_agreement
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
            RequestForwarder(context, self.state_client, self.mesh, self.version_agreement, peers),
        )
        self.on_request = self.api.on_request  # handler of all HTTP requests
        handler = MeshHandler(
            gossip_receiver, self.team_scheduler, self.partition_manager, self.fleet_manager, self.api.on_user_request
        )
        self.mesh.start(handler)

    def start(self) -> None:
        """Start reading the state store, claiming ownership keys and sending gossip twice per heartbeat period."""
        self.job_index.start(self)
        self.ownership.start(self, self.partition_manager)
        self.version_agreement.start()
        every(self.context.effects, self.context.workers.report_s / 2, self.gossip_sender.send)

    def on_ownership_change(self, key: str, token: int | None) -> None:
        """Pass a change of ownership on to the component that the key belongs to, as the observer of `Ownership`."""
        if key == FLEET_KEY:
            self.fleet_manager.on_ownership_change(token)
        elif key.startswith(PARTITION_PREFIX):
            self.partition_manager.on_ownership_change(key[len(PARTITION_PREFIX) :], token)
        elif key.startswith(TEAM_PREFIX):
            self.team_scheduler.on_ownership_change(key[len(TEAM_PREFIX) :], token)

    def on_unowned_zone(self, zone: str) -> None:
        """Add an ownership key for a heartbeat's zone, unless its name is malformed or there are too many zones."""
        is_valid = 0 < len(zone) <= MAX_ZONE_NAME_LENGTH and not any(c.isspace() or c == "/" for c in zone)
        if is_valid and len(self.ownership.zones()) < MAX_ZONES:
            self.ownership.add_key(PARTITION_PREFIX + zone)

    def on_job_changed(self, job_id: str) -> None:
        """Notify the team scheduler of a job's change in the job index, and drop the progress of an inactive job."""
        if self.job_index.status(job_id) != JobState.ACTIVE:
            self._progress.pop(job_id, None)
        self.team_scheduler.on_job_changed(job_id)

    def publish_status(self, team: str, update: wire.StatusUpdate) -> None:
        """Send a status update to the owner of a team's scheduler, or drop it if there is no known owner."""
        owner = self.ownership.owner(team_key(team))
        if owner is not None:
            self.mesh.send(owner, update)

    def _on_machines_released(self, machines: list[str]) -> None:
        self.mesh.broadcast(wire.MachinesReleased(machines))

    def on_unknown_job(self, job_id: str) -> None:
        """Read the record of a job from the state store, since a worker has a task of it but the job index lacks it."""
        now = self.context.effects.now()
        if (
            now - self._last_read_at.get(job_id, LONG_AGO_S) < self.context.workers.lease_s / 8
            or not self.job_index.can_answer
        ):
            return
        if len(self._last_read_at) > MAX_RECENT_READS:
            self._last_read_at.clear()
        self._last_read_at[job_id] = now
        self.admission.answer_poll(job_id, lambda _status, _body=b"{}", _retry_after_s=None: None)
