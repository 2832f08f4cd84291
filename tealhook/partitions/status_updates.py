"""Status updates of a partition's machines for the teams' schedulers: unasked, and when they reconcile."""

from __future__ import annotations

from tealhook.partitions.interfaces import PartitionObserver
from tealhook.partitions.launched_jobs import LaunchedJobs
from tealhook.partitions.machine import Machine, PublishedStatus
from tealhook.partitions.reservations import Reservations
from tealhook.partitions.state import PartitionState
from tealhook.wire import mesh
from tealhook.wire import workers as wire

MAX_SILENT_SHARE = 0.25  # of a partition's machines: if more are silent, it is the network rather than the machines
REPEAT_PERIODS = 2  # heartbeat periods after which exits that are not settled are published again
SILENT_PERIODS = 2  # heartbeat periods after which a machine counts as silent
NEVER_HEARD_S = -1.0  # in a reconcile reply: no heartbeat under this token has come from the machine


class StatusUpdates:
    """Numbers and publishes status updates: one with a higher number was sent later.

    A team's scheduler takes what an update lacks for a proof that it is not on the machine. So none goes out that may
    lack a task, and replies to launch and reconcile requests are numbered together with them.
    """

    def __init__(
        self,
        state: PartitionState,
        reservations: Reservations,
        launched_jobs: LaunchedJobs,
        observer: PartitionObserver,
    ) -> None:
        """Updates go to `observer`, which also hears of jobs that nobody here knows."""
        self._effects = state.context.effects
        self._workers = state.context.workers
        self._state = state
        self._machines = state.machines
        self._reservations = reservations
        self._launched_jobs = launched_jobs
        self._observer = observer
        self._sequence = 0

    def next_sequence(self) -> int:
        """The number of the next update or reply."""
        self._sequence += 1
        return self._sequence

    def publish(self, machine: Machine, now: float, force: str | None = None) -> None:
        """Send each team's scheduler what is on a machine when that changed, or while it has exits to settle.

        `force`: a team whose scheduler gets an update in any case.
        """
        # Exits not settled are published again, but not with every heartbeat: a scheduler makes their outcome durable
        # first.
        repeat_s = REPEAT_PERIODS * self._workers.report_s
        is_repeat_due = machine.has_unsettled_exits and now - machine.last_published_at >= repeat_s
        if not machine.is_reconciled or not (machine.has_unpublished_changes or is_repeat_due or force):
            return
        tasks_by_team = self._tasks_by_team(machine)
        if tasks_by_team is None:
            return
        machine.has_unpublished_changes = False
        machine.last_published_at = now
        for team in sorted(tasks_by_team.keys() | machine.published_statuses.keys() | ({force} if force else set())):
            observed = tasks_by_team.get(team, [])
            content = (machine.session, tuple((task.job, task.index, task.attempt, task.status) for task in observed))
            last = machine.published_statuses.get(team)
            has_unsettled_exits = any(task.status == wire.TaskStatus.EXITED for task in observed)
            if (
                last is not None
                and last.content == content
                and team != force
                and not (has_unsettled_exits and now - last.published_at >= repeat_s)
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

    def _tasks_by_team(self, machine: Machine) -> dict[str, list[mesh.ObservedTask]] | None:
        """What is on a machine, by team; None while nobody here knows whose some task is.

        An update without that task would pass for a proof of its absence.
        """
        teams: dict[str, list[mesh.ObservedTask]] = {}
        unknown = None
        for task in machine.tasks.values():
            team = self._launched_jobs.team_of(task.job)
            if team is None:
                unknown = task.job
                continue
            teams.setdefault(team, []).append(
                mesh.ObservedTask(task.job, task.index, task.attempt, task.status, task.cause)
            )
        for reservation in machine.reservations.values():
            if reservation.is_assigned:
                teams.setdefault(reservation.team, []).append(
                    mesh.ObservedTask(reservation.job, reservation.index, reservation.attempt, mesh.LAUNCHING)
                )
        if unknown is not None:
            self._observer.on_unknown_job(unknown)
            return None
        return teams

    def reconcile(self, request: mesh.ReconcileRequest) -> mesh.ReconcileReply:
        """Answer a team's scheduler; from here on, launches by earlier schedulers of that team are refused."""
        now = self._effects.now()
        self._reservations.accept_team_token(request.team, request.team_token)
        silent_s = []
        for name in request.machines:
            machine = self._machines.get(name)
            if machine is None or not machine.is_reconciled:
                silent_s.append(NEVER_HEARD_S)
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
        """Publish the machines of a reconcile request; to be sent after the reply, whose number they must exceed.

        Only those whose last update the scheduler lacks: sending all of them anew, to each scheduler, grows with teams
        times machines, and was half of all status updates of a fleet of 660.
        """
        now = self._effects.now()
        for name, known_sequence in zip(request.machines, request.known_sequences, strict=False):
            machine = self._machines.get(name)
            if machine is None:
                continue
            last = machine.published_statuses.get(request.team)
            if not known_sequence or last is None or last.sequence != known_sequence:
                self.publish(machine, now, force=request.team)
