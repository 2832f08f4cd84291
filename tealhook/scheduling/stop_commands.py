"""Commands to stop or forget attempts, which are sent to the owners of the partitions of their machines.

A command may be lost, so the caller repeats it until status updates of the machine show its effect.
"""

from __future__ import annotations

from tealhook.coordination import Ownership, partition_key
from tealhook.jobs.job import Job
from tealhook.jobs.team import TeamState
from tealhook.mesh import Mesh
from tealhook.wire import mesh as wire

NO_GRACE_PERIOD_S = 0.0  # grace period of a task whose progress need not be saved


class StopCommandSender:
    """Sender of stop and forget commands for the teams that this node owns."""

    def __init__(self, ownership: Ownership, mesh: Mesh) -> None:
        """Initialize the sender; commands go through `mesh` to the partition owners known to `ownership`."""
        self._ownership = ownership
        self._mesh = mesh

    def send(self, team_state: TeamState, zone: str, stops: list[wire.TaskStop]) -> None:
        """Send commands for machines of one zone to the owner of its partition; drop them if there is no owner."""
        owner = self._ownership.owner(partition_key(zone))
        if owner is not None and stops:
            self._mesh.send(owner, wire.StopRequest(zone, team_state.name, team_state.token, stops))

    def stop_all(self, team_state: TeamState, job: Job) -> None:
        """Stop every attempt of a job that may be on a machine."""
        stops_by_zone: dict[str, list[wire.TaskStop]] = {}
        for attempt in job.attempts.values():
            stop = wire.TaskStop(attempt.machine, job.id, attempt.index, attempt.number, NO_GRACE_PERIOD_S)
            stops_by_zone.setdefault(attempt.zone, []).append(stop)
        for zone, stops in stops_by_zone.items():
            self.send(team_state, zone, stops)

    def forget_finished(self, team_state: TeamState, job: Job) -> None:
        """Have workers forget tasks whose outcome is durable; earlier, a repeated launch would start them again."""
        stops_by_zone: dict[str, list[wire.TaskStop]] = {}
        for zone, machine, index, number in job.tasks_to_forget:
            stop = wire.TaskStop(machine, job.id, index, number, wire.FORGET_GRACE_PERIOD_S)
            stops_by_zone.setdefault(zone, []).append(stop)
        job.tasks_to_forget.clear()
        for zone, stops in stops_by_zone.items():
            self.send(team_state, zone, stops)
