"""The owner's side of one partition: its components, and what the controller asks of them.

Nothing in here is durable: a new owner learns everything from heartbeats made under its own token.
"""

from __future__ import annotations

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

SILENT_PARTITION_LEASES = 1.25  # a partition none of whose machines is heard of for so long may be out of our reach


class Partition:
    """All machines of one zone, under one fencing token."""

    def __init__(self, state: PartitionState, observer: PartitionObserver, responder: HeartbeatResponder) -> None:
        """No machine need be known yet: each is learned from its first heartbeat under the token."""
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
        """Take a heartbeat made to the owner; False when it is an old one. The caller has checked the tokens."""
        return self._heartbeats.receive(heartbeat)

    # -- requests of the teams' schedulers

    def inquire(self, requirements: list[mesh.TaskRequirements]) -> mesh.CapacityReply:
        """The earliest free time for tasks of each requirements: how many fit now, and when the next one should."""
        return self._inquiries.inquire(requirements)

    def reserve(self, request: mesh.ReserveRequest) -> mesh.ReserveReply:
        """Reserve capacity for each item of a request, in their order, on machines that can start the tasks at once."""
        return self._granter.reserve(request)

    def reconcile(self, request: mesh.ReconcileRequest) -> mesh.ReconcileReply:
        """Answer a team's scheduler; from here on, launches by earlier schedulers of that team are refused."""
        return self.status_updates.reconcile(request)

    def publish_requested(self, request: mesh.ReconcileRequest) -> None:
        """Publish the machines of a reconcile request; to be sent after the reply, whose number they must exceed."""
        self.status_updates.publish_requested(request)

    def launch(self, request: mesh.LaunchRequest) -> mesh.LaunchReply:
        """Use reservations after their assignment is durable. Each reservation serves once."""
        return self.commands.launch(request)

    def stop(self, request: mesh.StopRequest) -> None:
        """Stop or forget attempts on behalf of the team's present scheduler."""
        self.commands.stop(request)

    # -- the partition as a whole, and requests of the fleet manager

    def announce_token(self, addresses: dict[str, str]) -> None:
        """Tell workers that have not come under our token of it, directly, so that they do."""
        self._worker_calls.announce_token(addresses)

    @property
    def is_silent(self) -> bool:
        """Whether no machine, be there any or not, has been heard of for longer than a lease."""
        since = self._effects.now() - SILENT_PARTITION_LEASES * self._workers.lease_s
        return self._state.owned_since < since and all(
            machine.last_heartbeat_at < since for machine in self.machines.values()
        )

    def probe_unresponsive(self) -> None:
        """Call machines that commands didn't reach, to learn whether they would now."""
        self._worker_calls.probe_unresponsive()

    def remove_machine(self, name: str) -> None:
        """Forget a machine that is gone."""
        machine = self.machines.pop(name, None)
        if machine is not None:
            self.reservations.drop_all(machine)

    def set_drained_machines(self, names: list[str]) -> None:
        """Give nothing more to these machines; all others of the partition are not drained any more."""
        draining = set(names)
        for machine in self.machines.values():
            machine.is_draining = machine.name in draining

    def machine_states(self) -> list[mesh.MachineState]:
        """The machines as the fleet manager needs to know them."""
        now = self._effects.now()
        # One that is not reconciled is known from what may be a late copy: nothing to count on.
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
            self.capacity.empty_in(machine, now),
            now - machine.last_heartbeat_at,
            machine.is_terminating,
            (machine.is_draining or machine.is_terminating) and not is_busy,
            self._health.needs_replacement(machine, now),
        )
