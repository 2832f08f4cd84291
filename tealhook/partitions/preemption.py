"""Choice of the tasks that are preempted for others, by the work that is lost."""

from __future__ import annotations

import enum
from operator import itemgetter
from typing import NamedTuple

from tealhook.partitions.machine import Machine, MachineTask, add_resources, fits
from tealhook.partitions.pending_grant import PendingGrant
from tealhook.partitions.state import PartitionState
from tealhook.wire import mesh
from tealhook.wire.common import Resources
from tealhook.wire.workers import TaskStatus

# The longest that a task without checkpoints may have run to be preempted, relative to the estimated run time of the
# task that replaces it.
MAX_VICTIM_RUN_RATIO = 1.5


class PreemptionScope(enum.Enum):
    """The tasks that may be preempted for a reservation request."""

    NONE = "none"
    CHECKPOINTING = "checkpointing"  # tasks of lower priority with checkpoints, which lose little
    ANY = "any"  # tasks of lower priority, or beyond another team's guarantee


class PreemptionPlan(NamedTuple):
    """The tasks to preempt so that one more task fits on a machine, the work lost, and the resources free then."""

    lost_cpu_s: float
    victims: list[MachineTask]
    free_resources: Resources


class PreemptionPlanner:
    """Chooses tasks to preempt: those of lower priority, or those that another team runs beyond its guarantee."""

    def __init__(self, state: PartitionState) -> None:
        """Initialize the planner; the usage beyond guarantees is what the team schedulers report."""
        self._effects = state.context.effects
        self._workers = state.context.workers
        self._done_within = state.context.settings.completion_objectives()
        self._job_index = state.job_index
        self._over_guarantee_cpus_by_team = state.over_guarantee_cpus_by_team

    def allowed_scope(self, request: mesh.ReservationRequest) -> PreemptionScope:
        """Return the tasks that may be preempted for a request: any if it may preempt, else those with checkpoints."""
        if request.may_preempt:
            return PreemptionScope.ANY
        if request.requirements.priority > self._job_index.lowest_checkpointing_priority:
            return PreemptionScope.CHECKPOINTING
        return PreemptionScope.NONE

    def plan(self, machine: Machine, pending: PendingGrant, scope: PreemptionScope) -> PreemptionPlan | None:
        """Return the cheapest way to fit one more task on a machine, or None if there is none."""
        request, required, now = pending.request, pending.required, pending.now
        free_resources = pending.packing.free_resources(machine)
        lost_cpu_s = 0.0
        victims: list[MachineTask] = []
        remaining_over_guarantee_cpus: dict[str, float] = {}  # by team, after the victims chosen so far
        preemptible = self._preemptible_within(scope, machine, request, now)
        for task_lost_cpu_s, task in sorted(
            ((self._lost_cpu_s(task, now), task) for task in preemptible), key=itemgetter(0)
        ):
            if fits(free_resources, required):
                break
            entry = self._job_index.active[task.job]
            if entry.priority >= request.requirements.priority:
                if scope is not PreemptionScope.ANY:
                    continue
                # A task of equal or higher priority is preempted only if its team runs it beyond its guarantee and the
                # request is within the guarantee of another team.
                over_guarantee_cpus = remaining_over_guarantee_cpus.setdefault(
                    entry.team, self._over_guarantee_cpus_by_team.get(entry.team, 0.0)
                )
                if (
                    not request.within_guarantee
                    or entry.team == request.team
                    or not over_guarantee_cpus >= entry.spec.vcpus > 0
                ):
                    continue
                remaining_over_guarantee_cpus[entry.team] -= entry.spec.vcpus
            lost_cpu_s += task_lost_cpu_s
            victims.append(task)
            free_resources = add_resources(free_resources, entry.spec.resources)
        return (
            PreemptionPlan(lost_cpu_s, victims, free_resources) if victims and fits(free_resources, required) else None
        )

    def deduct_over_guarantee(self, request: mesh.ReservationRequest, victims: list[MachineTask]) -> None:
        """Deduct preempted tasks of equal or higher priority from their teams' usage beyond guarantees."""
        for task in victims:
            entry = self._job_index.active[task.job]
            if entry.team in self._over_guarantee_cpus_by_team and entry.priority >= request.requirements.priority:
                self._over_guarantee_cpus_by_team[entry.team] -= entry.spec.vcpus

    def _preemptible_within(
        self, scope: PreemptionScope, machine: Machine, request: mesh.ReservationRequest, now: float
    ) -> list[MachineTask]:
        """Return the tasks on a machine that may be preempted for a request, regardless of their priorities."""
        if scope is not PreemptionScope.ANY:
            return [task for task in self._checkpointing_tasks(machine) if task.job in self._job_index.active]
        # A task that has run for long is closer to its end than to its beginning: its resources become free soon
        # anyway, so it is not worth losing its work. Tasks with checkpoints are exempt: under this limit, tasks of a
        # few minutes kept all machines occupied once they had run for longer than it.
        max_run_s = max(MAX_VICTIM_RUN_RATIO * request.requirements.run_s, self._workers.lease_s)
        return [
            task
            for task in self._preemptible(machine)
            if self._has_checkpoints(task) or self._run_s(task, now) <= max_run_s
        ]

    def _has_checkpoints(self, task: MachineTask) -> bool:
        """Check whether a task saves a checkpoint when it is stopped, so that little work is lost."""
        return self._job_index.active[task.job].spec.checkpoint_interval_s > 0

    def _preemptible(self, machine: Machine) -> list[MachineTask]:
        return [
            task
            for task in machine.tasks.values()
            if task.is_alive
            and not (task.preempting_reservation_id or task.non_preemptible or task.status == TaskStatus.CHECKPOINTING)
            and task.job in self._job_index.active
        ]

    def _checkpointing_tasks(self, machine: Machine) -> list[MachineTask]:
        """Return a machine's preemptible tasks with checkpoints, cached until something changes there."""
        if machine.checkpointing_tasks is None:
            machine.checkpointing_tasks = [task for task in self._preemptible(machine) if self._has_checkpoints(task)]
        return machine.checkpointing_tasks

    @staticmethod
    def _run_s(task: MachineTask, now: float) -> float:
        return now - task.running_since if task.running_since else 0.0

    def _lost_cpu_s(self, task: MachineTask, now: float) -> float:
        """Return the CPU seconds lost by preempting a task; those of its whole job if this makes the job late.

        Without that, the tasks of a job of long tasks were preempted together again and again, because after each
        restart they were the ones that had started last, until the job was far too late.
        """
        entry = self._job_index.active[task.job]
        spec = entry.spec
        cpus = max(spec.vcpus, spec.gpus)
        if spec.checkpoint_interval_s > 0:
            return (spec.checkpoint_s + spec.image_gb) * cpus
        run_s = self._run_s(task, now)
        job_age_s = max(0.0, self._effects.wall() - entry.accepted_at) if entry.accepted_at > 0 else 0.0
        done_if_kept_s = job_age_s + max(0.0, spec.estimated_run_s - run_s)
        done_if_preempted_s = job_age_s + spec.estimated_run_s + self._workers.report_s
        deadlines_s = [spec.deadline_s] if spec.deadline_s else self._done_within.get(spec.job_class, ())
        becomes_late = any(done_if_kept_s <= within_s < done_if_preempted_s for within_s in deadlines_s)
        job_s = spec.task_count * spec.estimated_run_s if becomes_late else 0.0
        return (run_s + spec.image_gb + job_s) * cpus
