"""Which tasks are preempted for others, and what work that throws away."""

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

MAX_RUN_RATIO = 1.5  # of the run time that a task is preempted for: the most that may be thrown away


class PreemptionScope(enum.Enum):
    """Which tasks may be preempted for a reservation request."""

    NONE = "none"
    CHECKPOINTING = "checkpointing"  # of lower priority, with checkpoints: little is lost
    ANY = "any"  # of lower priority, or beyond another team's guarantee


class PreemptionPlan(NamedTuple):
    """What it takes to fit one more task on a machine: work lost, tasks to preempt, and what is free without them."""

    lost_cpu_s: float
    victims: list[MachineTask]
    free_resources: Resources


class PreemptionPlanner:
    """Chooses tasks to preempt: of lower priority, or what another team runs beyond its guarantee."""

    def __init__(self, state: PartitionState) -> None:
        """Usage beyond guarantees is what the teams' schedulers say."""
        self._effects = state.context.effects
        self._workers = state.context.workers
        self._done_within = state.context.settings.done_within()
        self._job_index = state.job_index
        self._over_guarantee_cpus_by_team = state.over_guarantee_cpus_by_team

    def allowed_scope(self, request: mesh.ReservationRequest) -> PreemptionScope:
        """Which tasks may be preempted for a request: of all kinds if it says so, else those with checkpoints."""
        if request.may_preempt:
            return PreemptionScope.ANY
        if request.requirements.priority > self._job_index.lowest_checkpointing_priority:
            return PreemptionScope.CHECKPOINTING
        return PreemptionScope.NONE

    def plan(self, machine: Machine, pending: PendingGrant, scope: PreemptionScope) -> PreemptionPlan | None:
        """The cheapest way to fit one more task on a machine; None: there is none."""
        request, required, now = pending.request, pending.required, pending.now
        free_resources = pending.packing.free_resources(machine)
        lost_cpu_s = 0.0
        victims: list[MachineTask] = []
        over_guarantee: dict[str, float] = {}  # as it is after these victims
        preemptible = self._preemptible_within(scope, machine, request, now)
        for loss, task in sorted(((self._lost_cpu_s(task, now), task) for task in preemptible), key=itemgetter(0)):
            if fits(free_resources, required):
                break
            entry = self._job_index.active[task.job]
            if entry.priority >= request.requirements.priority:
                if scope is not PreemptionScope.ANY:
                    continue
                # Of equal or higher priority: only what its team runs beyond its guarantee, for a guarantee.
                left = over_guarantee.setdefault(entry.team, self._over_guarantee_cpus_by_team.get(entry.team, 0.0))
                if not request.within_guarantee or entry.team == request.team or not left >= entry.spec.vcpus > 0:
                    continue
                over_guarantee[entry.team] -= entry.spec.vcpus
            lost_cpu_s += loss
            victims.append(task)
            free_resources = add_resources(free_resources, entry.spec.resources)
        return (
            PreemptionPlan(lost_cpu_s, victims, free_resources) if victims and fits(free_resources, required) else None
        )

    def charge(self, request: mesh.ReservationRequest, victims: list[MachineTask]) -> None:
        """Note that these tasks are preempted, for what their teams still run beyond their guarantees."""
        for task in victims:
            entry = self._job_index.active[task.job]
            if entry.team in self._over_guarantee_cpus_by_team and entry.priority >= request.requirements.priority:
                self._over_guarantee_cpus_by_team[entry.team] -= entry.spec.vcpus

    def _preemptible_within(
        self, scope: PreemptionScope, machine: Machine, request: mesh.ReservationRequest, now: float
    ) -> list[MachineTask]:
        """Tasks on a machine that may be preempted for a request, whatever their priorities."""
        if scope is not PreemptionScope.ANY:
            return [task for task in self._checkpointing_tasks(machine) if task.job in self._job_index.active]
        # One that has run for long is nearer to its end than to its beginning: its resources are free sooner than it
        # is worth. Not so one with checkpoints: tasks of minutes once kept everything, having run for too long.
        max_run_s = max(MAX_RUN_RATIO * request.requirements.run_s, self._workers.lease_s)
        return [
            task
            for task in self._preemptible(machine)
            if self._has_checkpoints(task) or self._run_s(task, now) <= max_run_s
        ]

    def _has_checkpoints(self, task: MachineTask) -> bool:
        """Whether a task saves a checkpoint when it is stopped, so that little is lost."""
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
        """Preemptible tasks with checkpoints on a machine; looked for once, until something changes there."""
        if machine.checkpointing_tasks is None:
            machine.checkpointing_tasks = [task for task in self._preemptible(machine) if self._has_checkpoints(task)]
        return machine.checkpointing_tasks

    @staticmethod
    def _run_s(task: MachineTask, now: float) -> float:
        return now - task.running_since if task.running_since else 0.0

    def _lost_cpu_s(self, task: MachineTask, now: float) -> float:
        """CPU seconds that preempting a task throws away; all of its job's where that makes the job late.

        Without this the tasks of one job of long tasks, begun last whenever they begin anew, were preempted together
        again and again, until it was late by far.
        """
        entry = self._job_index.active[task.job]
        spec = entry.spec
        cpus = max(spec.vcpus, spec.gpus)
        if spec.checkpoint_interval_s > 0:
            return (spec.checkpoint_s + spec.image_gb) * cpus
        run_s = self._run_s(task, now)
        age_s = max(0.0, self._effects.wall() - entry.accepted_at) if entry.accepted_at > 0 else 0.0
        done_if_kept_s = age_s + max(0.0, spec.estimated_run_s - run_s)
        done_if_preempted_s = age_s + spec.estimated_run_s + self._workers.report_s
        deadlines_s = [spec.deadline_s] if spec.deadline_s else self._done_within.get(spec.job_class, ())
        becomes_late = any(done_if_kept_s <= within_s < done_if_preempted_s for within_s in deadlines_s)
        job_s = spec.task_count * spec.estimated_run_s if becomes_late else 0.0
        return (run_s + spec.image_gb + job_s) * cpus
