"""One job's tasks in its home: which are done, waiting, being assigned, or may be on a machine."""

from __future__ import annotations

import heapq
import math

from tealhook.jobs.index import JobEntry
from tealhook.placement import Placed
from tealhook.wire.mesh import Shape
from tealhook.wire.users import GANG, JobSpec

PATIENT_FAILURES = 3  # failures in a row before a job is tried one task at a time
AVOID = 8  # machines on which a job failed lately, not tried again at once


class Attempt:
    """A task's assignment to a machine, durable before it is launched."""

    __slots__ = (
        "index",
        "number",
        "machine",
        "shift",
        "zone",
        "token",
        "status",
        "placed",
        "rid",
        "ack_seq",
        "open_until",
        "at",
        "stopping",
        "piece",
    )

    def __init__(self, index: int, number: int, machine: str, shift: int, zone: str, token: int, at: float) -> None:
        """Task `index`, for the `number`th time, on a machine in its present shift."""
        self.index = index
        self.number = number
        self.machine = machine
        self.shift = shift
        self.zone = zone
        self.token = token  # the part's, when room was reserved
        self.status = "assigned"
        self.placed: Placed | None = None  # only for tasks that this home placed
        self.rid = 0
        # News under `token` prove absence only above this number; None: the launch is not resolved.
        self.ack_seq: int | None = None
        # Until then a launch of ours may still reach the part; from then on its reservation has expired.
        self.open_until = 0.0
        self.at = at
        self.stopping = False
        self.piece = 0  # of the job's record that names it


class JobTasks:
    """A job's tasks. Each is done, or waits, or is staged, or is assigned: an attempt may be on its machine."""

    def __init__(self, job: str, team: str, known: JobEntry | None, now: float) -> None:
        """A job of a team; `known` is None when it is over, and only its tasks have to be cleared away."""
        self.id = job
        self.team = team
        self.spec: JobSpec | None = known.spec if known else None
        self.blocked = known.blocked if known else False  # it waits for other jobs: none of its tasks may start
        self.urgency = known.urgency if known else 0  # its own, or the highest of any job that needs it
        self.due_at = math.inf  # when it should be done, by the deadlines of the jobs that need it too
        self.need = self.spec.need if self.spec else (0.0, 0.0, 0.0)
        self.stamp = known.stamp if known else 0
        self.counter = 0  # highest attempt number given out; attempts only grow
        self.plays = self.spec.plays if self.spec else 0
        self.done = bytearray(self.plays)
        self.done_count = 0
        self.attempts: dict[int, Attempt] = {}
        self.staged: dict[int, Attempt] = {}  # being made durable
        self._next_fresh = 0
        self._returned: list[int] = []
        self.since = now  # when it was first seen here
        self.over_since: float | None = None  # since when its tasks have to go: it was cancelled
        self.waiting_since = now
        self.placed_at = -math.inf  # when a task of it was last assigned, as far as this home knows
        self.failures = 0
        self.not_before = 0.0
        self.avoid: list[str] = []

    @property
    def finished(self) -> bool:
        """Whether every task is done, and the job's own record does not say so yet."""
        return self.spec is not None and self.done_count >= self.plays

    @property
    def gang(self) -> bool:
        """All tasks start together, or none does."""
        return self.spec is not None and self.spec.shape == GANG

    def waiting(self) -> int:
        """Tasks that are neither done nor assigned, and may start."""
        if self.spec is None or self.blocked:
            return 0
        return self.plays - self.done_count - len(self.attempts) - len(self.staged)

    def shape(self) -> Shape:
        """What parts are asked for on behalf of its tasks."""
        spec = self.spec
        assert spec is not None, "nothing is placed for a job that is over"
        return Shape(
            spec.vcpus,
            spec.cards,
            spec.memory_gb,
            spec.playbook or "",
            spec.pull_gb,
            spec.loaners,
            tuple(spec.rigs or ()),
            self.urgency,
            spec.expected_s,
        )

    def take_waiting(self, count: int) -> list[int]:
        """Up to `count` waiting tasks, lowest numbers first."""
        taken: list[int] = []
        while len(taken) < count:
            if self._returned:
                index = heapq.heappop(self._returned)
            elif self._next_fresh < self.plays:
                index = self._next_fresh
                self._next_fresh += 1
            else:
                break
            if not self.done[index] and index not in self.attempts and index not in self.staged:
                taken.append(index)
        return taken

    def give_back(self, index: int, now: float) -> None:
        """A task waits again."""
        if index < self.plays and not self.done[index]:
            heapq.heappush(self._returned, index)
            if self.waiting() <= 1:
                self.waiting_since = now

    def unstage(self, attempts: list[Attempt], now: float) -> None:
        """Tasks wait again that were to be assigned; their reservations expire by themselves."""
        for attempt in attempts:
            del self.staged[attempt.index]
            self.give_back(attempt.index, now)

    def mark_done(self, index: int) -> None:
        """A task is done: it never waits again. Repeats change nothing."""
        if index < self.plays and not self.done[index]:
            self.done[index] = 1
            self.done_count += 1

    def note_failure(self, machine: str) -> None:
        """A task failed on a machine: the job's next ones go elsewhere for a while."""
        self.failures += 1
        if machine in self.avoid:
            self.avoid.remove(machine)
        self.avoid.append(machine)
        del self.avoid[:-AVOID]

    @property
    def failing(self) -> bool:
        """Whether its tasks fail one after the other and none ends: it may have been submitted with a mistake.

        It is tried on, one task at a time and ever less often, but no other job may lose anything for it.
        """
        return self.failures >= PATIENT_FAILURES

    def running(self) -> int:
        """Tasks that their machines have shown to run."""
        return sum(1 for attempt in self.attempts.values() if attempt.status in ("running", "flushing"))

    def in_zone(self, zone: str) -> int:
        """Tasks that may be on machines of a zone."""
        return sum(1 for a in self.attempts.values() if a.zone == zone) + sum(
            1 for a in self.staged.values() if a.zone == zone
        )

    def zones(self) -> set[str]:
        """Zones with machines that may have tasks of it."""
        return {a.zone for a in self.attempts.values()} | {a.zone for a in self.staged.values()}
