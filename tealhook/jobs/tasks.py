"""One job's tasks in its team's scheduler: which are done, waiting, staged, or may be on a machine."""

from __future__ import annotations

import heapq
import math

from tealhook.jobs.assignment_record import DONE
from tealhook.jobs.attempt import Attempt, AttemptState
from tealhook.jobs.job_entry import JobEntry
from tealhook.wire.mesh import TaskRequirements
from tealhook.wire.users import JobKind, JobSpec

FAILING_JOB_MIN_FAILURES = 3  # failures in a row from which on a job is tried one task at a time
MAX_AVOIDED_MACHINES = 8  # machines on which a job failed lately, not tried again at once


class JobTasks:
    """A job's tasks. Each is done, or waiting, or staged, or assigned: an attempt may be on its machine."""

    def __init__(self, job: str, team: str, entry: JobEntry | None, now: float) -> None:
        """A job of a team; `entry` is None when it has ended, and only its tasks have to be removed."""
        self.id = job
        self.team = team
        self.spec: JobSpec | None = entry.spec if entry else None
        self.is_blocked = (
            entry.is_blocked if entry else False
        )  # it waits for its dependencies: none of its tasks may start
        self.priority = entry.priority if entry else 0  # the highest of its own and of all jobs that depend on it
        self.deadline_at = math.inf  # when it should be done, by the deadlines of its dependents too
        self.resources = self.spec.resources if self.spec else (0.0, 0.0, 0.0)
        self.mod_revision = entry.mod_revision if entry else 0
        self.last_attempt_number = 0  # highest attempt number given out; attempts only grow
        self.task_count = self.spec.task_count if self.spec else 0
        self.done = bytearray(self.task_count)
        self.done_count = 0
        self.attempts: dict[int, Attempt] = {}
        self.staged: dict[int, Attempt] = {}  # being made durable
        self._next_fresh = 0  # the first task that has never been staged or assigned from here
        self._returned: list[int] = []  # heap of tasks that wait again
        self.schedulable_since = now  # when it was first seen here
        self.stopping_since: float | None = None  # since when its tasks have to be stopped: it was cancelled
        self.waiting_since = now
        self.last_assigned_at = -math.inf  # when a task of it was last assigned, as far as this scheduler knows
        self.consecutive_failures = 0
        self.placement_not_before = 0.0
        self.avoided_machines: list[str] = []

    @property
    def is_finished(self) -> bool:
        """Whether every task is done, and the job's own record does not say so yet."""
        return self.spec is not None and self.done_count >= self.task_count

    @property
    def is_gang(self) -> bool:
        """Whether all tasks start together, or none does."""
        return self.spec is not None and self.spec.kind == JobKind.GANG

    def count_waiting(self) -> int:
        """Tasks that are neither done nor assigned, and may start."""
        if self.spec is None or self.is_blocked:
            return 0
        return self.task_count - self.done_count - len(self.attempts) - len(self.staged)

    def build_requirements(self) -> TaskRequirements:
        """Return what a machine must have for one of its tasks, as partitions are asked for it."""
        spec = self.spec
        assert spec is not None, "nothing is placed for a job that has ended"
        return TaskRequirements(
            spec.vcpus,
            spec.gpus,
            spec.memory_gb,
            spec.image or "",
            spec.image_gb,
            spec.allows_spot,
            tuple(spec.machine_types or ()),
            self.priority,
            spec.estimated_run_s,
        )

    def take_waiting_tasks(self, count: int) -> list[int]:
        """Remove up to `count` tasks from those waiting, returned ones first, and the lowest first; return them."""
        taken: list[int] = []
        while len(taken) < count:
            if self._returned:
                index = heapq.heappop(self._returned)
            elif self._next_fresh < self.task_count:
                index = self._next_fresh
                self._next_fresh += 1
            else:
                break
            if not self.done[index] and index not in self.attempts and index not in self.staged:
                taken.append(index)
        return taken

    def return_task(self, index: int, now: float) -> None:
        """Put a task back to those waiting."""
        if index < self.task_count and not self.done[index]:
            heapq.heappush(self._returned, index)
            if self.count_waiting() <= 1:
                self.waiting_since = now

    def unstage(self, attempts: list[Attempt], now: float) -> None:
        """Put staged tasks back to those waiting; their reservations expire by themselves."""
        for attempt in attempts:
            del self.staged[attempt.index]
            self.return_task(attempt.index, now)

    def mark_done(self, index: int) -> None:
        """Record that a task is done: it never waits again. Repeats change nothing."""
        if index < self.task_count and not self.done[index]:
            self.done[index] = DONE
            self.done_count += 1

    def record_failure(self, machine: str) -> None:
        """Record that a task failed on a machine: the job's next ones avoid it for a while."""
        self.consecutive_failures += 1
        if machine in self.avoided_machines:
            self.avoided_machines.remove(machine)
        self.avoided_machines.append(machine)
        del self.avoided_machines[:-MAX_AVOIDED_MACHINES]

    @property
    def is_failing(self) -> bool:
        """Whether its tasks fail one after the other and none ends: it may have been submitted with a mistake.

        It is retried one task at a time and ever less often, but no other job may lose anything for it.
        """
        return self.consecutive_failures >= FAILING_JOB_MIN_FAILURES

    def count_running(self) -> int:
        """Tasks that their machines have shown to run."""
        return sum(1 for attempt in self.attempts.values() if attempt.state is AttemptState.RUNNING)

    def count_in_zone(self, zone: str) -> int:
        """Tasks that may be on machines of a zone."""
        return sum(1 for a in self.attempts.values() if a.zone == zone) + sum(
            1 for a in self.staged.values() if a.zone == zone
        )

    def occupied_zones(self) -> set[str]:
        """Zones with machines that may have tasks of it."""
        return {a.zone for a in self.attempts.values()} | {a.zone for a in self.staged.values()}
