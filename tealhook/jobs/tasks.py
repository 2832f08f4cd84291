"""One job's tasks in its home: which are done, waiting, being assigned, or may be on a machine."""

from __future__ import annotations

import heapq
import math

from tealhook.jobs.job_entry import JobEntry
from tealhook.placement import PlacementEstimate
from tealhook.wire.mesh import TaskRequirements
from tealhook.wire.users import JobKind, JobSpec
from tealhook.wire.workers import TaskStatus

PATIENT_FAILURES = 3  # failures in a row before a job is tried one task at a time
ASSIGNED = "assigned"  # the status of an attempt that its machine has not shown yet
AVOID = 8  # machines on which a job failed lately, not tried again at once


class Attempt:
    """A task's assignment to a machine, durable before it is launched."""

    __slots__ = (
        "index",
        "number",
        "machine",
        "session",
        "zone",
        "partition_token",
        "status",
        "estimate",
        "reservation_id",
        "acknowledged_sequence",
        "launch_expires_at",
        "assigned_at",
        "stopping",
        "chunk",
    )

    def __init__(self, index: int, number: int, machine: str, shift: int, zone: str, token: int, at: float) -> None:
        """Task `index`, for the `number`th time, on a machine in its present shift."""
        self.index = index
        self.number = number
        self.machine = machine
        self.session = shift
        self.zone = zone
        self.partition_token = token  # the part's, when room was reserved
        self.status: str = ASSIGNED  # or as its machine has shown it last
        self.estimate: PlacementEstimate | None = None  # only for tasks that this home placed
        self.reservation_id = 0
        # News under `token` prove absence only above this number; None: the launch is not resolved.
        self.acknowledged_sequence: int | None = None
        # Until then a launch of ours may still reach the part; from then on its reservation has expired.
        self.launch_expires_at = 0.0
        self.assigned_at = at
        self.stopping = False
        self.chunk = 0  # of the job's record that names it


class JobTasks:
    """A job's tasks. Each is done, or waits, or is staged, or is assigned: an attempt may be on its machine."""

    def __init__(self, job: str, team: str, known: JobEntry | None, now: float) -> None:
        """A job of a team; `known` is None when it is over, and only its tasks have to be cleared away."""
        self.id = job
        self.team = team
        self.spec: JobSpec | None = known.spec if known else None
        self.blocked = known.blocked if known else False  # it waits for other jobs: none of its tasks may start
        self.priority = known.priority if known else 0  # its own, or the highest of any job that needs it
        self.deadline_at = math.inf  # when it should be done, by the deadlines of the jobs that need it too
        self.resources = self.spec.resources if self.spec else (0.0, 0.0, 0.0)
        self.mod_revision = known.mod_revision if known else 0
        self.last_attempt_number = 0  # highest attempt number given out; attempts only grow
        self.task_count = self.spec.task_count if self.spec else 0
        self.done = bytearray(self.task_count)
        self.done_count = 0
        self.attempts: dict[int, Attempt] = {}
        self.staged: dict[int, Attempt] = {}  # being made durable
        self._next_fresh = 0
        self._returned: list[int] = []
        self.schedulable_since = now  # when it was first seen here
        self.ended_since: float | None = None  # since when its tasks have to go: it was cancelled
        self.waiting_since = now
        self.last_assigned_at = -math.inf  # when a task of it was last assigned, as far as this home knows
        self.failures = 0
        self.not_before = 0.0
        self.avoided_machines: list[str] = []

    @property
    def finished(self) -> bool:
        """Whether every task is done, and the job's own record does not say so yet."""
        return self.spec is not None and self.done_count >= self.task_count

    @property
    def gang(self) -> bool:
        """All tasks start together, or none does."""
        return self.spec is not None and self.spec.kind == JobKind.GANG

    def waiting_count(self) -> int:
        """Tasks that are neither done nor assigned, and may start."""
        if self.spec is None or self.blocked:
            return 0
        return self.task_count - self.done_count - len(self.attempts) - len(self.staged)

    def requirements(self) -> TaskRequirements:
        """What parts are asked for on behalf of its tasks."""
        spec = self.spec
        assert spec is not None, "nothing is placed for a job that is over"
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
        """Up to `count` waiting tasks, lowest numbers first."""
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
        """A task waits again."""
        if index < self.task_count and not self.done[index]:
            heapq.heappush(self._returned, index)
            if self.waiting_count() <= 1:
                self.waiting_since = now

    def unstage(self, attempts: list[Attempt], now: float) -> None:
        """Tasks wait again that were to be assigned; their reservations expire by themselves."""
        for attempt in attempts:
            del self.staged[attempt.index]
            self.return_task(attempt.index, now)

    def mark_done(self, index: int) -> None:
        """A task is done: it never waits again. Repeats change nothing."""
        if index < self.task_count and not self.done[index]:
            self.done[index] = 1
            self.done_count += 1

    def record_failure(self, machine: str) -> None:
        """A task failed on a machine: the job's next ones go elsewhere for a while."""
        self.failures += 1
        if machine in self.avoided_machines:
            self.avoided_machines.remove(machine)
        self.avoided_machines.append(machine)
        del self.avoided_machines[:-AVOID]

    @property
    def failing(self) -> bool:
        """Whether its tasks fail one after the other and none ends: it may have been submitted with a mistake.

        It is tried on, one task at a time and ever less often, but no other job may lose anything for it.
        """
        return self.failures >= PATIENT_FAILURES

    def running_count(self) -> int:
        """Tasks that their machines have shown to run."""
        return sum(
            1 for attempt in self.attempts.values() if attempt.status in (TaskStatus.RUNNING, TaskStatus.CHECKPOINTING)
        )

    def count_in_zone(self, zone: str) -> int:
        """Tasks that may be on machines of a zone."""
        return sum(1 for a in self.attempts.values() if a.zone == zone) + sum(
            1 for a in self.staged.values() if a.zone == zone
        )

    def zones(self) -> set[str]:
        """Zones with machines that may have tasks of it."""
        return {a.zone for a in self.attempts.values()} | {a.zone for a in self.staged.values()}
