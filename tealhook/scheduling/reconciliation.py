"""Reconciliation of a team's attempts with its machines, and fencing of machines that stay unreachable."""

from __future__ import annotations

from functools import partial
from typing import Any

from tealhook.context import NodeContext
from tealhook.coordination import FLEET_KEY, Ownership, partition_key
from tealhook.jobs.attempt import Attempt, AttemptState
from tealhook.jobs.team import TeamState
from tealhook.mesh import Mesh
from tealhook.scheduling.attempt_index import AttemptIndex
from tealhook.scheduling.attempts import NO_UPDATE
from tealhook.wire import mesh as wire
from tealhook.wire.workers import FAILOVER_S

# An unreachable machine that may run a cancelled task is given less and less time, between these shares of the
# cancellation bound: what is left of it after the second goes into the release.
TIGHTEN_FROM = 0.4
TIGHTEN_UNTIL = 0.7
EVERYTHING = 0  # the sequence number that asks for an update again, however old it is


class Reconciliation:
    """Reconciles the teams that this node owns with their machines, and asks for the release of unreachable ones.

    An unreachable machine may run its tasks all the same: they are placed anew only once its release is confirmed.
    """

    def __init__(
        self,
        context: NodeContext,
        ownership: Ownership,
        mesh: Mesh,
        teams: dict[str, TeamState],
        attempt_index: AttemptIndex,
    ) -> None:
        """For the jobs in `teams`; `attempt_index` tells what may be on which machine."""
        self._effects = context.effects
        self._policy = context.policy
        self._ownership = ownership
        self._mesh = mesh
        self._workers = context.workers
        self._teams = teams
        self._attempt_index = attempt_index

    def reconcile(self, team_state: TeamState) -> None:
        """Ask partition owners for what is on a team's machines, and for how long those have been unreachable.

        Status updates may be lost on their way, and a launch or a stop with them: what no update shows is asked for.
        """
        for zone, sequences in sorted(self._known_sequences(team_state).items()):
            owner = self._ownership.owner(partition_key(zone))
            if owner is None:
                continue
            machines = sorted(sequences)
            known = [sequences[machine] for machine in machines]
            asked_at = self._effects.now()
            self._mesh.call(
                owner,
                wire.ReconcileRequest(zone, team_state.name, team_state.token, machines, known),
                self._workers.report_s,
                partial(self._on_reconcile_reply, team_state, machines, asked_at),
            )

    def _known_sequences(self, team_state: TeamState) -> dict[str, dict[str, int]]:
        """The machines to ask for, by zone, each with the sequence number that newer updates must exceed."""
        zones: dict[str, dict[str, int]] = {}
        for machine, zone in team_state.machines_with_orphans.items():
            zones.setdefault(zone, {})[machine] = EVERYTHING
        for job in team_state.jobs.values():
            for attempt in job.attempts.values():
                sequences = zones.setdefault(attempt.zone, {})
                token, sequence = team_state.latest_updates.get(attempt.machine, NO_UPDATE)
                if attempt.state is AttemptState.ASSIGNED or token != self._ownership.token(
                    partition_key(attempt.zone)
                ):
                    sequence = EVERYTHING  # not settled yet: the latest update may prove it absent
                sequences[attempt.machine] = min(sequence, sequences.get(attempt.machine, sequence))
        return zones

    def _on_reconcile_reply(self, team_state: TeamState, machines: list[str], asked_at: float, reply: Any) -> None:
        if not isinstance(reply, wire.ReconcileReply) or self._teams.get(team_state.name) is not team_state:
            return
        now = self._effects.now()
        fence_s = self._policy.value("fence_s")
        # A worker that is up has reported again by then, be it by way of another node; when many machines are
        # unreachable at once, it is rather the network to them that is cut, and they may come back with all tasks.
        single_s = min(fence_s, 2 * self._workers.report_s + FAILOVER_S)
        default_s = single_s if reply.mostly_reporting else fence_s
        unreachable = []
        for machine, silent_s in zip(machines, reply.silent_s, strict=False):
            allowed_s = default_s
            for job, attempt in self._attempt_index.find(machine, team_state):
                self._settle_launch(attempt, asked_at, reply)
                if job.stopping_since is not None:
                    allowed_s = min(allowed_s, self._time_before_fencing(now - job.stopping_since, default_s, single_s))
            # A machine that never reported under this token counts from when its owner took over.
            if (silent_s if silent_s >= 0 else reply.owned_s) > allowed_s:
                unreachable.append(machine)
        fleet_owner = self._ownership.owner(FLEET_KEY)
        if unreachable and fleet_owner is not None:
            self._mesh.send(fleet_owner, wire.FenceRequest(unreachable))

    @staticmethod
    def _settle_launch(attempt: Attempt, asked_at: float, reply: wire.ReconcileReply) -> None:
        """A launch that was never answered can't be taken any more once its reservation expired before we asked."""
        if (
            attempt.acknowledged_sequence is None
            and attempt.partition_token == reply.token
            and asked_at > attempt.launch_expires_at
        ):
            attempt.acknowledged_sequence = reply.sequence

    def _time_before_fencing(self, cancelled_s: float, default_s: float, single_s: float) -> float:
        """How long a machine may be unreachable that may have a task cancelled so many seconds ago.

        One that hangs keeps the task until it is released. Each new owner of the partition begins to count anew, so
        while owners change it would not be released in time if the time allowed did not shrink.
        """
        first_s, last_s = TIGHTEN_FROM * self._workers.cancel_s, TIGHTEN_UNTIL * self._workers.cancel_s
        if cancelled_s < first_s:
            return default_s
        left = max(0.0, (last_s - cancelled_s) / (last_s - first_s))
        return self._workers.report_s + left * (single_s - self._workers.report_s)
