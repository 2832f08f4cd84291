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
from tealhook.wire.workers import WORKER_FAILOVER_S

# The time for which a machine that may run a cancelled task may be unreachable shrinks while the time since the
# cancellation is between these shares of `cancel_s`. The rest of `cancel_s` is left for the release of the machine.
TIGHTENING_START_SHARE = 0.4
TIGHTENING_END_SHARE = 0.7
NO_KNOWN_SEQUENCE = 0  # requests the latest update of a machine again, however old it is


class Reconciliation:
    """Reconciliation of the teams that this node owns with their machines, and fencing of unreachable machines.

    An unreachable machine may still run its tasks, so they are placed again only once its release is confirmed.
    """

    def __init__(
        self,
        context: NodeContext,
        ownership: Ownership,
        mesh: Mesh,
        teams: dict[str, TeamState],
        attempt_index: AttemptIndex,
    ) -> None:
        """Initialize the reconciliation of `teams`, whose recorded attempts `attempt_index` finds by machine."""
        self._effects = context.effects
        self._policy = context.policy
        self._ownership = ownership
        self._mesh = mesh
        self._workers = context.workers
        self._teams = teams
        self._attempt_index = attempt_index

    def reconcile(self, team_state: TeamState) -> None:
        """Ask partition owners for missing status updates of a team's machines, and for how long each has been silent.

        A status update, a launch or a stop command may be lost; every attempt that no update has shown is therefore
        asked for again.
        """
        for zone, sequences in sorted(self._known_sequences(team_state).items()):
            owner = self._ownership.owner(partition_key(zone))
            if owner is None:
                continue
            machines = sorted(sequences)
            known_sequences = [sequences[machine] for machine in machines]
            asked_at = self._effects.now()
            self._mesh.call(
                owner,
                wire.ReconcileRequest(zone, team_state.name, team_state.token, machines, known_sequences),
                self._workers.report_s,
                partial(self._on_reconcile_reply, team_state, machines, asked_at),
            )

    def _known_sequences(self, team_state: TeamState) -> dict[str, dict[str, int]]:
        """Return the sequence number of the newest known update of each machine to be asked for, by zone and machine.

        It is `NO_KNOWN_SEQUENCE` for a machine whose latest update is needed again.
        """
        sequences_by_zone: dict[str, dict[str, int]] = {}
        for machine, zone in team_state.machines_with_orphans.items():
            sequences_by_zone.setdefault(zone, {})[machine] = NO_KNOWN_SEQUENCE
        for job in team_state.jobs.values():
            for attempt in job.attempts.values():
                sequences = sequences_by_zone.setdefault(attempt.zone, {})
                token, sequence = team_state.latest_updates.get(attempt.machine, NO_UPDATE)
                if attempt.state is AttemptState.ASSIGNED or token != self._ownership.token(
                    partition_key(attempt.zone)
                ):
                    # The attempt is unresolved: the latest update may prove its absence once the launch is settled.
                    sequence = NO_KNOWN_SEQUENCE
                sequences[attempt.machine] = min(sequence, sequences.get(attempt.machine, sequence))
        return sequences_by_zone

    def _on_reconcile_reply(self, team_state: TeamState, machines: list[str], asked_at: float, reply: Any) -> None:
        if not isinstance(reply, wire.ReconcileReply) or self._teams.get(team_state.name) is not team_state:
            return
        now = self._effects.now()
        fence_s = self._policy.value("fence_s")
        # Within this time a live worker has sent another heartbeat, if need be through another node. When many machines
        # are unreachable at once, the network to them has probably failed and they may return with all their tasks.
        single_machine_s = min(fence_s, 2 * self._workers.report_s + WORKER_FAILOVER_S)
        default_s = single_machine_s if reply.mostly_reporting else fence_s
        unreachable = []
        for machine, silent_s in zip(machines, reply.silent_s, strict=False):
            allowed_s = default_s
            for job, attempt in self._attempt_index.find(machine, team_state):
                self._settle_launch(attempt, asked_at, reply)
                if job.stopping_since is not None:
                    allowed_s = min(
                        allowed_s, self._time_before_fencing(now - job.stopping_since, default_s, single_machine_s)
                    )
            # A machine without a heartbeat under this token counts as silent since its partition's owner took over.
            if (silent_s if silent_s >= 0 else reply.owned_s) > allowed_s:
                unreachable.append(machine)
        fleet_owner = self._ownership.owner(FLEET_KEY)
        if unreachable and fleet_owner is not None:
            self._mesh.send(fleet_owner, wire.FenceRequest(unreachable))

    @staticmethod
    def _settle_launch(attempt: Attempt, asked_at: float, reply: wire.ReconcileReply) -> None:
        """Settle an unanswered launch whose reservation had expired before the request: it can't be accepted any more.

        Later status updates without the attempt then prove its absence.
        """
        if (
            attempt.acknowledged_sequence is None
            and attempt.partition_token == reply.token
            and asked_at > attempt.launch_expires_at
        ):
            attempt.acknowledged_sequence = reply.sequence

    def _time_before_fencing(self, since_cancelled_s: float, default_s: float, single_machine_s: float) -> float:
        """Return the seconds for which a machine that may run a cancelled task may be unreachable before it is fenced.

        A hung machine keeps the task until the machine is released. Each new owner of the partition restarts the count
        of unreachable seconds, so with a constant limit a series of failovers would delay the release past `cancel_s`;
        the limit therefore shrinks with the time since the cancellation.
        """
        start_s, end_s = TIGHTENING_START_SHARE * self._workers.cancel_s, TIGHTENING_END_SHARE * self._workers.cancel_s
        if since_cancelled_s < start_s:
            return default_s
        remaining_share = max(0.0, (end_s - since_cancelled_s) / (end_s - start_s))
        return self._workers.report_s + remaining_share * (single_machine_s - self._workers.report_s)
