"""Commands to stop or forget attempts, sent to the owners of the partitions that their machines belong to.

They may be lost on their way: whoever sends them repeats them until the machine's reports show their effect.
"""

from __future__ import annotations

from tealhook.coordination import Ownership, partition_key
from tealhook.jobs.job import Job
from tealhook.jobs.team import TeamState
from tealhook.mesh import Mesh
from tealhook.wire import mesh as wire

AT_ONCE = 0.0  # the grace period of a task whose progress nobody needs


class StopCommands:
    """Sends stop and forget commands on behalf of the teams that this node owns."""

    def __init__(self, ownership: Ownership, mesh: Mesh) -> None:
        """Commands go by `mesh` to the partition owners that `ownership` names."""
        self._ownership = ownership
        self._mesh = mesh

    def send(self, team_state: TeamState, zone: str, stops: list[wire.TaskStop]) -> None:
        """Pass commands for machines of one zone to its owner; without an owner, nothing is sent."""
        owner = self._ownership.owner(partition_key(zone))
        if owner is not None and stops:
            self._mesh.send(owner, wire.StopRequest(zone, team_state.name, team_state.token, stops))

    def stop_all(self, team_state: TeamState, job: Job) -> None:
        """Stop whatever a job may still have on machines."""
        stops_by_zone: dict[str, list[wire.TaskStop]] = {}
        for attempt in job.attempts.values():
            stop = wire.TaskStop(attempt.machine, job.id, attempt.index, attempt.number, AT_ONCE)
            stops_by_zone.setdefault(attempt.zone, []).append(stop)
        for zone, stops in stops_by_zone.items():
            self.send(team_state, zone, stops)

    def forget_finished(self, team_state: TeamState, job: Job) -> None:
        """Have workers forget tasks whose outcome is on record: before, a repeated launch would start them anew."""
        stops_by_zone: dict[str, list[wire.TaskStop]] = {}
        for zone, machine, index, number in job.tasks_to_forget:
            stop = wire.TaskStop(machine, job.id, index, number, wire.FORGET)
            stops_by_zone.setdefault(zone, []).append(stop)
        job.tasks_to_forget.clear()
        for zone, stops in stops_by_zone.items():
            self.send(team_state, zone, stops)
