"""A partition on the side of its owner: its components, and the requests that the controller makes of them.

Nothing here is durable: a new owner learns everything from heartbeats sent under its own token.
"""

from __future__ import annotations

from collections.abc import Sequence

from tealhook.partitions.capacity import MachineCapacity
from tealhook.partitions.commands import WorkerCommands
from tealhook.partitions.fetch_rates import FetchRates
from tealhook.partitions.grants import ReservationGranter
from tealhook.partitions.heartbeats import HeartbeatReceiver
from tealhook.partitions.inquiries import CapacityInquiries
from tealhook.partitions.interfaces import HeartbeatResponder, PartitionObserver
from tealhook.partitions.launched_jobs import LaunchedJobs
from tealhook.partitions.machine import Machine
from tealhook.partitions.machine_health import MachineHealth
from tealhook.partitions.reservations import Reservations
from tealhook.partitions.responses import HeartbeatResponses
from tealhook.partitions.state import PartitionState
from tealhook.partitions.status_updates import StatusUpdates
from tealhook.partitions.worker_calls import WorkerCalls
from tealhook.wire import mesh
from tealhook.wire import workers as wire

SILENT_PARTITION_LEASES = 1.25  # a partition without any heartbeat for this long may be unreachable from this node


class Partition:
    """All machines of one zone, under one fencing token."""

    def __init__(self, state: PartitionState, observer: PartitionObserver, responder: HeartbeatResponder) -> None:
        """Initialize the components; `state` may lack machines, which are learned from their first heartbeats."""
        self._effects = state.context.effects
        self._workers = state.context.workers
        self._state = state
        self.zone = state.zone
        self.token = state.token
        self.machines = state.machines
        self._health = MachineHealth(state)
        self.launched_jobs = LaunchedJobs(state)
        self.capacity = MachineCapacity(state, self.launched_jobs)
        self.reservations = Reservations(state)
        fetch_rates = FetchRates(state.machine_types)
        self._inquiries = CapacityInquiries(state, self.capacity, self.reservations, fetch_rates)
        self._granter = ReservationGranter(state, self.capacity, self.reservations, fetch_rates)
        self._worker_calls = WorkerCalls(state)
        self.status_updates = StatusUpdates(state, self.reservations, self.launched_jobs, observer)
        self.commands = WorkerCommands(state, self.reservations, self.launched_jobs, self.status_updates, responder)
        self.responses = HeartbeatResponses(state, self.capacity, self.commands)
        self._heartbeats = HeartbeatReceiver(state, self.reservations, fetch_rates, self._health, self.status_updates)

    # -- heartbeats

    def on_heartbeat(self, heartbeat: wire.Heartbeat) -> bool:
        """Process a heartbeat whose tokens the caller has checked, and return False if it is outdated."""
        return self._heartbeats.receive(heartbeat)

    # -- requests of the teams' schedulers

    def inquire(
        self, requirements: list[mesh.TaskRequirements], restrictions: Sequence[mesh.MachineRestrictions] = ()
    ) -> mesh.CapacityReply:
        """Return the number of tasks that fit now and the wait for the next one, for each of the requirements.

        `restrictions` has an item for each of the requirements, or none at all.
        """
        return self._inquiries.inquire(requirements, restrictions)

    def reserve(self, request: mesh.ReserveRequest) -> mesh.ReserveReply:
        """Reserve capacity for the items of a request, in their order, on machines that can start tasks at once."""
        return self._granter.reserve(request)

    def reconcile(self, request: mesh.ReconcileRequest) -> mesh.ReconcileReply:
        """Answer a reconcile request of a team's scheduler.

        From here on, launches by earlier schedulers of that team are refused.
        """
        return self.status_updates.reconcile(request)

    def publish_requested(self, request: mesh.ReconcileRequest) -> None:
        """Publish the status updates that the sender of a reconcile request lacks.

        They are sent after the reply, since their sequence numbers must exceed that of the reply.
        """
        self.status_updates.publish_requested(request)

    def launch(self, request: mesh.LaunchRequest) -> mesh.LaunchReply:
        """Launch tasks whose assignment is durable on their reservations, each of which can be used once."""
        return self.commands.launch(request)

    def stop(self, request: mesh.StopRequest) -> None:
        """Stop or forget attempts on behalf of the team's current scheduler."""
        self.commands.stop(request)

    # -- the partition as a whole, and requests of the fleet manager

    def announce_token(self, addresses: dict[str, str]) -> None:
        """Call workers that have not yet sent a heartbeat under the current token, to tell them the token."""
        self._worker_calls.announce_token(addresses)

    @property
    def is_silent(self) -> bool:
        """True if no machine has sent a heartbeat for longer than a lease, also if there are no machines."""
        since = self._effects.now() - SILENT_PARTITION_LEASES * self._workers.lease_s
        return self._state.owned_since < since and all(
            machine.last_heartbeat_at < since for machine in self.machines.values()
        )

    def probe_unresponsive(self) -> None:
        """Call machines that commands did not reach, to find out whether commands reach them again."""
        self._worker_calls.probe_unresponsive()

    def remove_machine(self, name: str) -> None:
        """Remove a machine that was released, with its reservations."""
        machine = self.machines.pop(name, None)
        if machine is not None:
            self.reservations.drop_all(machine)

    def set_drained_machines(self, names: list[str]) -> None:
        """Place nothing more on these machines, and end the draining of all others in the partition."""
        draining = set(names)
        for machine in self.machines.values():
            machine.is_draining = machine.name in draining

    def machine_states(self) -> list[mesh.MachineState]:
        """Return the states of the machines for the fleet manager."""
        now = self._effects.now()
        # A machine that is not reconciled is left out, since it may be known only from a late copy of a heartbeat.
        return [self._machine_state(machine, now) for machine in self.machines.values() if machine.is_reconciled]

    def _machine_state(self, machine: Machine, now: float) -> mesh.MachineState:
        machine_type = self._state.machine_types.get(machine.machine_type)
        free = self.capacity.free_resources(machine)
        used_cpus = max(0.0, (machine_type.vcpus - free.vcpus)) if machine_type else 0.0
        is_busy = bool(machine.tasks or machine.reservations)
        return mesh.MachineState(
            machine.name,
            machine.machine_type,
            machine.spot,
            used_cpus,
            self.capacity.estimate_empty_s(machine, now),
            now - machine.last_heartbeat_at,
            machine.is_terminating,
            (machine.is_draining or machine.is_terminating) and not is_busy,
            self._health.needs_replacement(machine, now),
        )
