"""The context of every component of a controller: clock, random numbers and calls, settings, and policy."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from tealhook.loop.effects import Effects
from tealhook.settings import Policy, Settings
from tealhook.settings.platform import WorkerTimings
from tealhook.wire.cloud import MachineType

BEGIN_S = 240.0  # the users' rule: every job begins within four minutes


class PolicyValues:
    """The operators' policy, evaluated over the settings and the machine types on offer."""

    def __init__(self, policy: Policy, settings: Settings, machine_types: Mapping[str, MachineType]) -> None:
        """`machine_types` is read at each evaluation: it is filled, and changes, while the process runs."""
        self._policy = policy
        self._params = settings.params
        self._machine_types = machine_types
        self._guarantees_matter = any(objective.kind == "guarantee" for objective in settings.params.objectives)

    def value(self, rule: str, variables: Mapping[str, float] | None = None) -> float:
        """The present value of a rule, over `variables` where the caller knows more than `self.variables()`."""
        return self._policy.evaluate(rule, variables if variables is not None else self.variables())

    @property
    def boot_s(self) -> float:
        """Seconds that a new machine usually needs, the least over the types on offer."""
        least = min((machine_type.boot_s for machine_type in self._machine_types.values()), default=0.0)
        return least or self._params.workers.lease_s

    def variables(self) -> dict[str, float]:
        """The variables of the policy that every component knows."""
        params = self._params
        return {
            "report_s": params.workers.report_s,
            "lease_s": params.workers.lease_s,
            "cancel_s": params.workers.cancel_s,
            "begin_s": BEGIN_S,
            "boot_s": self.boot_s,
            # Without an objective for starts within a guarantee, no machines are rented ahead for guaranteed work.
            "guaranteed": sum(team.cpus for team in params.teams) if self._guarantees_matter else 0.0,
            "limit": sum(team.cpus_max for team in params.teams),
            "machine": max((machine_type.vcpus for machine_type in self._machine_types.values()), default=0.0),
        }


@dataclass(frozen=True, slots=True)
class NodeContext:
    """The context that all components of one controller process share."""

    effects: Effects
    settings: Settings
    policy: PolicyValues
    incarnation: int  # names this process among all that ever run under the node's name

    @property
    def node(self) -> str:
        """The name of this controller."""
        return self.settings.node

    @property
    def workers(self) -> WorkerTimings:
        """Heartbeat period, lease and cancellation bound of the workers."""
        return self.settings.params.workers
