"""The context that a controller's components share: effects, settings and policy."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from tealhook.loop.effects import Effects
from tealhook.settings import Policy, Settings
from tealhook.settings.platform import WorkerTimings
from tealhook.wire.cloud import MachineType

MAX_START_DELAY_S = 240.0  # users require that every job starts within four minutes


class PolicyValues:
    """The operators' policy, evaluated with the settings and the offered machine types."""

    def __init__(self, policy: Policy, settings: Settings, machine_types: Mapping[str, MachineType]) -> None:
        """Initialize; `machine_types` is read at each evaluation, since it changes while the process runs."""
        self._policy = policy
        self._params = settings.params
        self._machine_types = machine_types
        self._has_guarantee_objective = any(objective.kind == "guarantee" for objective in settings.params.objectives)

    def value(self, rule: str, variables: Mapping[str, float] | None = None) -> float:
        """Return the current value of a rule, evaluated with `variables` or by default with `self.variables()`."""
        return self._policy.evaluate(rule, variables if variables is not None else self.variables())

    @property
    def boot_s(self) -> float:
        """The usual boot time of the offered machine type that boots fastest, or the worker lease if none is known."""
        min_boot_s = min((machine_type.boot_s for machine_type in self._machine_types.values()), default=0.0)
        return min_boot_s or self._params.workers.lease_s

    def variables(self) -> dict[str, float]:
        """Return the policy variables that are the same for all components."""
        params = self._params
        return {
            "report_s": params.workers.report_s,
            "lease_s": params.workers.lease_s,
            "cancel_s": params.workers.cancel_s,
            "begin_s": MAX_START_DELAY_S,
            "boot_s": self.boot_s,
            # Without an objective for starts within a guarantee, no machines are rented in advance for guaranteed CPUs.
            "guaranteed": sum(team.cpus for team in params.teams) if self._has_guarantee_objective else 0.0,
            "limit": sum(team.cpus_max for team in params.teams),
            "machine": max((machine_type.vcpus for machine_type in self._machine_types.values()), default=0.0),
        }


@dataclass(frozen=True, slots=True)
class NodeContext:
    """The effects, settings and policy of one controller process."""

    effects: Effects
    settings: Settings
    policy: PolicyValues
    incarnation: int  # random id that distinguishes this process from all others of the node

    @property
    def node(self) -> str:
        """The name of this controller's node."""
        return self.settings.node

    @property
    def workers(self) -> WorkerTimings:
        """The heartbeat period, lease and cancellation bound of workers."""
        return self.settings.params.workers
