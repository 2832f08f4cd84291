"""Launches of durable attempts on the reservations made for them."""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial
from typing import Any

from tealhook.context import NodeContext
from tealhook.coordination import Ownership, partition_key
from tealhook.jobs.attempt import Attempt
from tealhook.jobs.job import Job
from tealhook.jobs.team import TeamState
from tealhook.mesh import Mesh
from tealhook.wire import mesh as wire
from tealhook.wire.mesh.reservations import RESERVATION_LEASE_SHARE

log = logging.getLogger(__name__)

MAX_CLOCK_RATE_RATIO = 1.01  # upper bound on the ratio between the rates of the clocks of two machines
EXPIRY_MARGIN_S = 0.1  # added to an expiry time that another machine measures


class AttemptLauncher:
    """Launcher of the attempts of the teams that this node owns.

    A lost launch request or reply is settled by reconciliation.
    """

    def __init__(
        self,
        context: NodeContext,
        ownership: Ownership,
        mesh: Mesh,
        teams: dict[str, TeamState],
        on_refused: Callable[[TeamState, Job, Attempt], Any],
    ) -> None:
        """Initialize the launcher; `on_refused` is called with each attempt that is refused and will never start."""
        self._effects = context.effects
        self._workers = context.workers
        self._ownership = ownership
        self._mesh = mesh
        self._teams = teams
        self._on_refused = on_refused

    def launch(self, team_state: TeamState, zone: str, attempts: list[tuple[str, Attempt]]) -> None:
        """Launch durable attempts in a zone; each of `attempts` is a pair of a job's id and its attempt."""
        now = self._effects.now()
        reservation_s = RESERVATION_LEASE_SHARE * self._workers.lease_s
        attempts_by_token: dict[int, list[tuple[str, Attempt]]] = {}
        for job_id, attempt in attempts:
            job = team_state.jobs.get(job_id)
            if job is not None and job.attempts.get(attempt.index) is attempt:
                # The reservation was made before now, so by this time it has expired by the partition's clock too.
                attempt.launch_expires_at = now + MAX_CLOCK_RATE_RATIO * reservation_s + EXPIRY_MARGIN_S
                attempts_by_token.setdefault(attempt.partition_token, []).append((job_id, attempt))
        owner = self._ownership.owner(partition_key(zone))
        if owner is None:
            return  # the next reconciliation settles these launches
        for token, launched in attempts_by_token.items():
            starts = [
                wire.TaskStart(launched_attempt.reservation_id, job_id, launched_attempt.index, launched_attempt.number)
                for job_id, launched_attempt in launched
            ]
            self._mesh.call(
                owner,
                wire.LaunchRequest(zone, token, team_state.name, team_state.token, starts),
                self._workers.report_s,
                partial(self._on_launch_reply, team_state, launched),
            )

    def _on_launch_reply(self, team_state: TeamState, launched: list[tuple[str, Attempt]], reply: Any) -> None:
        if self._teams.get(team_state.name) is not team_state or not isinstance(reply, wire.LaunchReply):
            return
        refused = set(reply.refused)
        for job_id, attempt in launched:
            job = team_state.jobs.get(job_id)
            if job is None or job.attempts.get(attempt.index) is not attempt:
                continue
            if reply.token != attempt.partition_token:
                # A later owner knows nothing of what the owner before it launched. Reconciliation settles the launch.
                continue
            if attempt.reservation_id in refused:
                log.debug("task %s/%d: launch refused by the partition's owner", job_id, attempt.index)
                self._on_refused(team_state, job, attempt)
            else:
                attempt.acknowledged_sequence = reply.sequence
