"""Status updates about a partition's machines, sent to the teams' schedulers on changes and on reconciliation."""

from __future__ import annotations

from tealhook.partitions.interfaces import PartitionObserver
from tealhook.partitions.launched_jobs import LaunchedJobs
from tealhook.partitions.machine import Machine, PublishedStatus
from tealhook.partitions.reservations import Reservations
from tealhook.partitions.state import PartitionState
from tealhook.wire import mesh
from tealhook.wire import workers as wire

MAX_SILENT_SHARE = 0.25  # share of a partition's machines; if more are silent, the network is the likely cause
REPUBLISH_PERIODS = 2  # heartbeat periods after which unsettled exits are published again
SILENT_PERIODS = 2  # heartbeat periods without a heartbeat after which a machine counts as silent
NO_HEARTBEAT_S = -1.0  # stands in a reconcile reply for a machine that has sent no heartbeat under this token


class StatusUpdates:
    """Publishes status updates, with sequence numbers that increase in the order of sending.

    A team's scheduler takes a task that is missing from an update as proved absent from the machine. An update that may
    be incomplete is therefore not sent, and replies to launch and reconcile requests share the sequence numbers.
    """

    def __init__(
        self,
        state: PartitionState,
        reservations: Reservations,
        launched_jobs: LaunchedJobs,
        observer: PartitionObserver,
    ) -> None:
        """Initialize for an `observer`, which gets the updates and the jobs of tasks that are unknown on this node."""
        self._effects = state.context.effects
        self._workers = state.context.workers
        self._state = state
        self._machines = state.machines
        self._reservations = reservations
        self._launched_jobs = launched_jobs
        self._observer = observer
        self._sequence = 0

    def next_sequence(self) -> int:
        """Return the sequence number of the next update or reply."""
        self._sequence += 1
        return self._sequence

    def publish(self, machine: Machine, now: float, forced_team: str | None = None) -> None:
        """Send each team's scheduler its tasks on a machine if they have changed or have unsettled exits.

        The scheduler of `forced_team` gets an update in any case.
        """
        # Unsettled exits are not published again with each heartbeat, since the scheduler needs time to make their
        # outcome durable.
        repeat_s = REPUBLISH_PERIODS * self._workers.report_s
        is_repeat_due = machine.has_unsettled_exits and now - machine.last_published_at >= repeat_s
        if not machine.is_reconciled or not (machine.has_unpublished_changes or is_repeat_due or forced_team):
            return
        tasks_by_team = self._collect_tasks_by_team(machine)
        if tasks_by_team is None:
            return
        machine.has_unpublished_changes = False
        machine.last_published_at = now
        for team in sorted(
            tasks_by_team.keys() | machine.published_statuses.keys() | ({forced_team} if forced_team else set())
        ):
            observed = tasks_by_team.get(team, [])
            content = (machine.session, tuple((task.job, task.index, task.attempt, task.status) for task in observed))
            last_status = machine.published_statuses.get(team)
            has_unsettled_exits = any(task.status == wire.TaskStatus.EXITED for task in observed)
            if (
                last_status is not None
                and last_status.content == content
                and team != forced_team
                and not (has_unsettled_exits and now - last_status.published_at >= repeat_s)
            ):
                continue
            sequence = self.next_sequence()
            machine.published_statuses[team] = PublishedStatus(content, now, sequence)
            self._observer.publish_status(
                team,
                mesh.StatusUpdate(
                    self._state.zone,
                    team,
                    self._state.token,
                    sequence,
                    machine.name,
                    machine.session,
                    machine.sequence,
                    observed,
                ),
            )

    def _collect_tasks_by_team(self, machine: Machine) -> dict[str, list[mesh.ObservedTask]] | None:
        """Return the tasks and launches on a machine by team, or None if the team of some task is unknown here.

        An update without that task would wrongly prove its absence. All such jobs are read at once, since any of them
        may have been cancelled: after a start, few jobs are known until the job index has been read.
        """
        tasks_by_team: dict[str, list[mesh.ObservedTask]] = {}
        unknown_jobs: dict[str, None] = {}  # an ordered set
        for task in machine.tasks.values():
            team = self._launched_jobs.team_of(task.job)
            if team is None:
                unknown_jobs[task.job] = None
                continue
            tasks_by_team.setdefault(team, []).append(
                mesh.ObservedTask(task.job, task.index, task.attempt, task.status, task.cause)
            )
        for reservation in machine.reservations.values():
            if reservation.is_assigned:
                tasks_by_team.setdefault(reservation.team, []).append(
                    mesh.ObservedTask(reservation.job, reservation.index, reservation.attempt, mesh.LAUNCHING)
                )
        for job in unknown_jobs:
            self._observer.on_unknown_job(job)
        return None if unknown_jobs else tasks_by_team

    def reconcile(self, request: mesh.ReconcileRequest) -> mesh.ReconcileReply:
        """Answer a reconcile request, and refuse launches by earlier schedulers of the team from now on."""
        now = self._effects.now()
        self._reservations.accept_team_token(request.team, request.team_token)
        silent_s = []
        for name in request.machines:
            machine = self._machines.get(name)
            if machine is None or not machine.is_reconciled:
                silent_s.append(NO_HEARTBEAT_S)
            else:
                silent_s.append(now - machine.last_heartbeat_at)
        unknown_count = sum(name not in self._machines for name in request.machines)
        max_silence_s = SILENT_PERIODS * self._workers.report_s
        silent_count = sum(now - machine.last_heartbeat_at > max_silence_s for machine in self._machines.values())
        machine_count = len(self._machines) + unknown_count
        mostly_reporting = silent_count + unknown_count <= MAX_SILENT_SHARE * machine_count
        return mesh.ReconcileReply(
            self._state.token, self.next_sequence(), silent_s, now - self._state.owned_since, mostly_reporting
        )

    def publish_requested(self, request: mesh.ReconcileRequest) -> None:
        """Publish the machines of a reconcile request whose latest update the scheduler lacks.

        The caller sends the reply first, since the sequence numbers of these updates must exceed that of the reply.
        Sending all machines again to each scheduler would grow with the number of teams times that of machines; it
        amounted to half of all status updates in a fleet of 660 machines.
        """
        now = self._effects.now()
        for name, known_sequence in zip(request.machines, request.known_sequences, strict=False):
            machine = self._machines.get(name)
            if machine is None:
                continue
            last_status = machine.published_statuses.get(request.team)
            if not known_sequence or last_status is None or last_status.sequence != known_sequence:
                self.publish(machine, now, forced_team=request.team)
