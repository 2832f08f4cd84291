"""The states of a job's tasks in its team's scheduler."""

from __future__ import annotations

import heapq
import math

from tealhook.jobs.assignment_record import TASK_DONE
from tealhook.jobs.attempt import Attempt, AttemptState
from tealhook.jobs.job_entry import JobEntry
from tealhook.wire.common import NO_RESOURCES
from tealhook.wire.mesh import TaskRequirements
from tealhook.wire.users import JobKind, JobSpec

FAILING_JOB_MIN_FAILURES = 3  # a job with this many consecutive failures runs only one task at a time
MAX_AVOIDED_MACHINES = 8  # a job avoids this many of the machines on which its tasks failed last


class JobTasks:
    """The tasks of a job, each of which is waiting, staged, assigned or done.

    A staged task has an attempt that is being made durable. An assigned task has a durable attempt, which may be on its
    machine.
    """

    def __init__(self, job_id: str, team: str, entry: JobEntry | None, now: float) -> None:
        """Initialize the tasks of a job; `entry` is None if it has ended, and its tasks only have to be stopped."""
        self.id = job_id
        self.team = team
        self.spec: JobSpec | None = entry.spec if entry else None
        # True while the job waits for dependencies, so that none of its tasks may start.
        self.is_blocked = entry.is_blocked if entry else False
        self.priority = entry.priority if entry else 0  # the highest rank among the job and all its dependents
        self.deadline_at = math.inf  # the latest end that also lets its dependents meet their deadlines
        self.resources = self.spec.resources if self.spec else NO_RESOURCES
        self.mod_revision = entry.mod_revision if entry else 0
        self.last_attempt_number = 0  # the highest number given out; the numbers of a job's attempts only grow
        self.task_count = self.spec.task_count if self.spec else 0
        self.done = bytearray(self.task_count)
        self.done_count = 0
        self.attempts: dict[int, Attempt] = {}  # task index -> durable attempt
        self.staged: dict[int, Attempt] = {}  # task index -> attempt that is being made durable
        self._next_new_task = 0  # the lowest task index that `take_waiting_tasks` has not reached
        self._returned_tasks: list[int] = []  # heap of tasks that are waiting again
        self.schedulable_since = now  # time from which its tasks may be scheduled
        self.stopping_since: float | None = None  # time since which its tasks have to be stopped; None if active
        self.waiting_since = now  # time since which it has had waiting tasks
        self.last_assigned_at = -math.inf  # the last assignment of a task that this scheduler knows of
        self.consecutive_failures = 0  # failed attempts since a task was last done
        self.placement_not_before = 0.0  # the earliest time of the next placement
        self.avoided_machines: list[str] = []

    @property
    def is_finished(self) -> bool:
        """True if every task is done, but the job record does not show this yet."""
        return self.spec is not None and self.done_count >= self.task_count

    @property
    def is_gang(self) -> bool:
        """True if the tasks of the job have to start together or not at all."""
        return self.spec is not None and self.spec.kind == JobKind.GANG

    def count_waiting(self) -> int:
        """Return the number of waiting tasks that may start."""
        if self.spec is None or self.is_blocked:
            return 0
        return self.task_count - self.done_count - len(self.attempts) - len(self.staged)

    def build_requirements(self) -> TaskRequirements:
        """Return the requirements of one task, as they are sent to partitions."""
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
        """Remove and return up to `count` waiting tasks, by ascending index, with returned tasks first."""
        taken: list[int] = []
        while len(taken) < count:
            if self._returned_tasks:
                index = heapq.heappop(self._returned_tasks)
            elif self._next_new_task < self.task_count:
                index = self._next_new_task
                self._next_new_task += 1
            else:
                break
            if not self.done[index] and index not in self.attempts and index not in self.staged:
                taken.append(index)
        return taken

    def return_task(self, index: int, now: float) -> None:
        """Return a task to the waiting ones."""
        if index < self.task_count and not self.done[index]:
            heapq.heappush(self._returned_tasks, index)
            if self.count_waiting() <= 1:
                self.waiting_since = now

    def unstage(self, attempts: list[Attempt], now: float) -> None:
        """Return staged tasks to the waiting ones; their reservations expire without a release."""
        for attempt in attempts:
            del self.staged[attempt.index]
            self.return_task(attempt.index, now)

    def mark_done(self, index: int) -> None:
        """Mark a task as done, so that it never waits again; this is idempotent."""
        if index < self.task_count and not self.done[index]:
            self.done[index] = TASK_DONE
            self.done_count += 1

    def record_failure(self, machine: str) -> None:
        """Record that a task failed on a machine, which the job avoids until its tasks have failed on enough others."""
        self.consecutive_failures += 1
        if machine in self.avoided_machines:
            self.avoided_machines.remove(machine)
        self.avoided_machines.append(machine)
        del self.avoided_machines[:-MAX_AVOIDED_MACHINES]

    @property
    def is_failing(self) -> bool:
        """True if several tasks have failed and none was done in between, perhaps because of a faulty submission.

        Such a job is retried one task at a time and with growing backoff, and other jobs must not lose capacity to it.
        """
        return self.consecutive_failures >= FAILING_JOB_MIN_FAILURES

    def count_running(self) -> int:
        """Return the number of tasks that their machines have reported as running."""
        return sum(1 for attempt in self.attempts.values() if attempt.state is AttemptState.RUNNING)

    def count_in_zone(self, zone: str) -> int:
        """Return the number of staged and assigned tasks in a zone."""
        return sum(1 for a in self.attempts.values() if a.zone == zone) + sum(
            1 for a in self.staged.values() if a.zone == zone
        )

    def occupied_zones(self) -> set[str]:
        """Return the zones that have staged or assigned tasks of the job."""
        return {a.zone for a in self.attempts.values()} | {a.zone for a in self.staged.values()}
