"""Which tasks are stopped to make room for others, and what that throws away."""

from __future__ import annotations

from typing import NamedTuple

from tealhook.context import NodeContext
from tealhook.jobs.index import JobIndex
from tealhook.partitions.machine import Machine, MachineTask, Resources, fits
from tealhook.wire import mesh
from tealhook.wire.workers import TaskStatus

WORTH_STOPPING = 1.5  # of the run time that a task is stopped for: the most that may be thrown away


class PreemptionOffer(NamedTuple):
    """What it takes to fit one more task on a machine: work lost, tasks to stop, and the room that they leave."""

    lost: float
    victims: list[MachineTask]
    room: list[float]


class Preemption:
    """Chooses tasks to stop: less urgent ones, or what another team runs beyond its guarantee."""

    def __init__(self, context: NodeContext, job_index: JobIndex, over: dict[str, float]) -> None:
        """`over`: a team's CPUs beyond its guarantee, as its owner says."""
        self._effects = context.effects
        self._workers = context.workers
        self._done_within = context.settings.done_within()
        self._job_index = job_index
        self._over = over

    def offer(
        self, machine: Machine, want: mesh.ReservationRequest, need: Resources, free: list[float], now: float
    ) -> PreemptionOffer | None:
        """The cheapest way to fit one more task of `want` on a machine with this much room; None: there is none."""
        room = list(free)
        lost, victims = self.victims(machine, want, need, room, now)
        return PreemptionOffer(lost, victims, room) if victims else None

    def charge(self, want: mesh.ReservationRequest, victims: list[MachineTask]) -> None:
        """Note that these tasks are stopped, for what their teams still run beyond their guarantees."""
        for task in victims:
            known = self._job_index.active[task.job]
            if known.team in self._over and known.priority >= want.requirements.priority:
                self._over[known.team] -= known.spec.vcpus

    def allowed(self, want: mesh.ReservationRequest) -> bool:
        """Whether any task may be stopped for a want: of all kinds if it says so, else less urgent ones that save."""
        return want.may_preempt or want.requirements.priority > self._job_index.lowest_checkpointing_priority

    def _saves(self, task: MachineTask) -> bool:
        """Whether a task saves its progress when it is stopped, so that little is lost."""
        return self._job_index.active[task.job].spec.checkpoint_interval_s > 0

    def _stoppable(self, machine: Machine) -> list[MachineTask]:
        return [
            task
            for task in machine.tasks.values()
            if task.alive
            and not (task.yields_to or task.non_preemptible or task.status == TaskStatus.CHECKPOINTING)
            and task.job in self._job_index.active
        ]

    def _savers(self, machine: Machine) -> list[MachineTask]:
        """Tasks on a machine that save and may be stopped; looked for once, until something changes there."""
        if machine.checkpointing_tasks is None:
            machine.checkpointing_tasks = [task for task in self._stoppable(machine) if self._saves(task)]
        return machine.checkpointing_tasks

    @staticmethod
    def _ran(task: MachineTask, now: float) -> float:
        return now - task.running_since if task.running_since else 0.0

    def _lost(self, task: MachineTask, now: float) -> float:
        """CPU seconds that stopping a task throws away; all of its job's where that makes the job late.

        Without this the tasks of one job of long tasks, begun last whenever they begin anew, were stopped together
        again and again, until it was late by far.
        """
        known = self._job_index.active[task.job]
        spec = known.spec
        cpus = max(spec.vcpus, spec.gpus)
        if spec.checkpoint_interval_s > 0:
            return (spec.checkpoint_s + spec.image_gb) * cpus
        ran = self._ran(task, now)
        age = max(0.0, self._effects.wall() - known.accepted_at) if known.accepted_at > 0 else 0.0
        goes_on = age + max(0.0, spec.estimated_run_s - ran)
        anew = age + spec.estimated_run_s + self._workers.report_s
        due = [spec.deadline_s] if spec.deadline_s else self._done_within.get(spec.job_class, ())
        late = any(goes_on <= within < anew for within in due)
        return (ran + spec.image_gb + (spec.task_count * spec.estimated_run_s if late else 0.0)) * cpus

    def victims(
        self, machine: Machine, want: mesh.ReservationRequest, need: Resources, room: list[float], now: float
    ) -> tuple[float, list[MachineTask]]:
        """Work lost and tasks to stop so that `need` fits, for which `room` is raised; no tasks: it can't be done."""
        lost = 0.0
        victims: list[MachineTask] = []
        over: dict[str, float] = {}
        if want.may_preempt:
            # One that has run for long is nearer to its end than to its beginning: room frees sooner than it is worth.
            # Not so one that saves its progress: tasks of minutes once kept all others' room, having run for too long.
            longest = max(WORTH_STOPPING * want.requirements.run_s, self._workers.lease_s)
            stoppable = [h for h in self._stoppable(machine) if self._saves(h) or self._ran(h, now) <= longest]
        else:
            stoppable = [h for h in self._savers(machine) if h.job in self._job_index.active]
        for loss, task in sorted(((self._lost(h, now), h) for h in stoppable), key=lambda pair: pair[0]):
            if fits(room, need):
                break
            known = self._job_index.active[task.job]
            if known.priority >= want.requirements.priority:
                if not want.may_preempt:
                    continue
                # Of equal or higher priority: only what its team runs beyond its guarantee, for a guarantee.
                left = over.setdefault(known.team, self._over.get(known.team, 0.0))
                if not want.within_guarantee or known.team == want.team or not left >= known.spec.vcpus > 0:
                    continue
                over[known.team] -= known.spec.vcpus
            lost += loss
            victims.append(task)
            for i in range(3):
                room[i] += known.spec.resources[i]
        return (lost, victims) if fits(room, need) else (0.0, [])
