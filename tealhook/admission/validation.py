"""Validation of submitted jobs against teams, machine types and controller versions."""

from __future__ import annotations

from collections.abc import Mapping

from tealhook.context import NodeContext
from tealhook.coordination import VersionAgreement
from tealhook.settings.platform import Team
from tealhook.wire.cloud import MachineType
from tealhook.wire.users import JobKind, JobSpec


class JobValidator:
    """Validator of jobs against the existing teams and machine types."""

    def __init__(
        self, context: NodeContext, machine_types: Mapping[str, MachineType], version_agreement: VersionAgreement
    ) -> None:
        """Initialize a validator; `machine_types` is empty until they are known."""
        self._machine_types = machine_types
        self._version_agreement = version_agreement
        self._teams = {team.name: team for team in context.settings.params.teams}

    def may_accept(self, spec: JobSpec | None) -> bool:
        """Check whether the machine types are known and all nodes support the job's dependencies.

        A controller of an earlier version would start a job without waiting for its dependencies.
        """
        if not self._machine_types:
            return False
        return spec is None or not spec.depends_on or self._version_agreement.all_upgraded

    def find_infeasibility_reason(self, spec: JobSpec) -> str | None:
        """Return the reason why a job can never run, or None if it can run or the machine types are not known yet."""
        team = self._teams.get(spec.team)
        if team is None:
            return "unknown team"
        if spec.job_id in spec.depends_on:
            return "waits_on: a job can't wait for itself"
        if spec.kind == JobKind.GANG and spec.spread and spec.task_count > 1:
            return "spread: the tasks of a group start together in one zone"
        if _exceeds_limits(spec, team):
            return "the job needs more than the team's limit"
        if self._machine_types and not any(
            _can_run_on(spec, machine_type) for machine_type in self._machine_types.values()
        ):
            return "a task fits no allowed machine type"
        return None


def _exceeds_limits(spec: JobSpec, team: Team) -> bool:
    """Check whether tasks that must run at the same time need more than the limits of the team."""
    concurrent_tasks = 1 if spec.kind == JobKind.ARRAY else spec.task_count
    return 0 < team.cpus_max < concurrent_tasks * spec.vcpus or 0 < team.gpus_max < concurrent_tasks * spec.gpus


def _can_run_on(spec: JobSpec, machine_type: MachineType) -> bool:
    """Check whether tasks are allowed on machines of a type and fit on them."""
    if spec.machine_types is not None and machine_type.name not in spec.machine_types:
        return False
    if spec.zone is not None and spec.zone not in machine_type.zones:
        return False
    return machine_type.fits(spec.resources)
