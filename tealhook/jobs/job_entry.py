"""What the job index holds of one job: an entry while it is active, and its end afterwards."""

from __future__ import annotations

import math
from typing import NamedTuple

from tealhook.wire.users import PRIORITY_RANK, JobSpec


class EndedJob(NamedTuple):
    """How a job ended; kept small, since many thousands of them are remembered."""

    status: str  # a final `JobState`
    team: str
    ended_at: float  # by the time of day; 0 where that is not on record


class JobEntry:
    """An active job as its record stands, with what its dependency graph implies for it."""

    __slots__ = (
        "spec",
        "team",
        "mod_revision",
        "accepted_at",
        "missing_chunks",
        "pending_dependencies",
        "released_at",
        "priority",
        "deadline_at",
    )

    def __init__(self, spec: JobSpec, team: str, mod_revision: int, accepted_at: float, extra_chunks: int = 0) -> None:
        """A job by its record of `mod_revision`; `extra_chunks` further records hold the rest of its dependencies."""
        self.spec = spec
        self.accepted_at = accepted_at  # by the time of day
        self.team = team
        self.mod_revision = mod_revision
        self.missing_chunks = set(range(1, extra_chunks + 1))  # dependency chunks that have not been read yet
        self.pending_dependencies = dict.fromkeys(spec.depends_on)  # those that are not known to be done, in order
        self.released_at = accepted_at  # when the last of its dependencies was done
        self.priority = PRIORITY_RANK[spec.priority]  # the highest of its own and of all jobs that depend on it
        self.deadline_at = self.own_deadline_at  # when it should be done so that its dependents can be in time

    @property
    def own_deadline_at(self) -> float:
        """When the job should be done by its own deadline, by the time of day; infinite without one."""
        return self.accepted_at + self.spec.deadline_s if self.spec.deadline_s is not None else math.inf

    @property
    def is_blocked(self) -> bool:
        """Whether the job waits for its dependencies, as far as known: none of its tasks may start."""
        return bool(self.pending_dependencies or self.missing_chunks)

    def add_chunk(self, chunk: int, names: list[str]) -> list[str]:
        """Add the dependencies of a chunk that was missing; return those that the entry did not have yet."""
        self.missing_chunks.discard(chunk)
        added = [name for name in names if name not in self.pending_dependencies]
        self.spec.depends_on = [*self.spec.depends_on, *added]
        self.pending_dependencies |= dict.fromkeys(added)
        return added
