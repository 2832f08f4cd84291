"""Looking after the machines that may have a home's tasks: what is on them, and which have been silent for too long."""

from __future__ import annotations

from functools import partial
from typing import Any

from tealhook.context import NodeContext
from tealhook.coordination import FLEET_KEY, Ownership, partition_key
from tealhook.jobs.attempt import AttemptState
from tealhook.jobs.team import TeamState
from tealhook.mesh import Mesh
from tealhook.scheduling.attempts import Attempts
from tealhook.wire import mesh as wire
from tealhook.wire.workers import FAILOVER_S

PRESSING = (0.4, 0.7)  # of the time that a cancelled task has: a silent machine is waited for less and less


class Reconciliation:
    """Looks of the homes that this node owns, and releases asked for of machines that are silent.

    A silent machine may run its tasks all the same: they are placed anew only once its release is confirmed.
    """

    def __init__(
        self, context: NodeContext, ownership: Ownership, mesh: Mesh, teams: dict[str, TeamState], attempts: Attempts
    ) -> None:
        """For the jobs in `homes`, whose `attempts` say what may be on which machine."""
        self._effects = context.effects
        self._policy = context.policy
        self._ownership = ownership
        self._mesh = mesh
        self._workers = context.workers
        self._teams = teams
        self._attempts = attempts

    def reconcile(self, team_state: TeamState) -> None:
        """Ask the parts' owners for what is on the home's machines, and how long those have been silent.

        News may be lost on their way, and a launch or a stop with them: what no news tells is asked for.
        """
        zones: dict[str, dict[str, int]] = {}
        for machine, zone in team_state.stray_machines.items():
            zones.setdefault(zone, {})[machine] = 0
        for job in team_state.jobs.values():
            for attempt in job.attempts.values():
                heard = zones.setdefault(attempt.zone, {})
                token, seq = team_state.latest_updates.get(attempt.machine, (0, 0))
                if attempt.state is AttemptState.ASSIGNED or token != self._ownership.token(
                    partition_key(attempt.zone)
                ):
                    seq = 0  # not settled yet: what the machine lacks is asked for, however old it is
                heard[attempt.machine] = min(seq, heard.get(attempt.machine, seq))
        for zone, heard in sorted(zones.items()):
            owner = self._ownership.owner(partition_key(zone))
            if owner is None:
                continue
            names = sorted(heard)
            asked = self._effects.now()
            self._mesh.call(
                owner,
                wire.ReconcileRequest(zone, team_state.name, team_state.token, names, [heard[name] for name in names]),
                self._workers.report_s,
                partial(self._on_reconcile_reply, team_state, names, asked),
            )

    def _on_reconcile_reply(self, team_state: TeamState, names: list[str], asked: float, reply: Any) -> None:
        if not isinstance(reply, wire.ReconcileReply) or self._teams.get(team_state.name) is not team_state:
            return
        now = self._effects.now()
        fence_s = self._policy.value("fence_s")
        # A worker that is up has been heard of again by then, be it by way of another node; when many are silent
        # at once it is rather the way to them that is cut, and they may come back with all their tasks.
        alone_s = min(fence_s, 2 * self._workers.report_s + FAILOVER_S)
        silence_s = alone_s if reply.mostly_reporting else fence_s
        lost = []
        for name, silent in zip(names, reply.silent_s, strict=False):
            patience_s = silence_s
            for _team, job_id, index in sorted(self._attempts.on_machine.get(name, ())):
                job = team_state.jobs.get(job_id)
                attempt = job.attempts.get(index) if job else None
                if job is None or attempt is None or attempt.machine != name:
                    continue
                if (
                    attempt.acknowledged_sequence is None
                    and attempt.partition_token == reply.token
                    and asked > attempt.launch_expires_at
                ):
                    attempt.acknowledged_sequence = reply.sequence
                if job.ended_since is not None:
                    patience_s = min(patience_s, self._allowed_silence(now - job.ended_since, silence_s, alone_s))
            if (silent if silent >= 0 else reply.owned_s) > patience_s:
                lost.append(name)
        owner = self._ownership.owner(FLEET_KEY)
        if lost and owner is not None:
            self._mesh.send(owner, wire.FenceRequest(lost))

    def _allowed_silence(self, cancelled_s: float, silence_s: float, alone_s: float) -> float:
        """How long a machine may be silent that may hold a task cancelled so many seconds ago.

        One that hangs keeps it until it is released. Each new owner of the part begins to count the silence anew, so
        that while owners change nothing would come of it in time.
        """
        first, last = (share * self._workers.cancel_s for share in PRESSING)
        if cancelled_s < first:
            return silence_s
        left = max(0.0, (last - cancelled_s) / (last - first))
        return self._workers.report_s + left * (alone_s - self._workers.report_s)
