"""The job index's data about one job: an entry while it is active, and its final state afterwards."""

from __future__ import annotations

import math
from typing import NamedTuple

from tealhook.wire.users import PRIORITY_RANK, JobSpec


class EndedJob(NamedTuple):
    """The final state of a job; kept small, since the index holds many thousands of them."""

    status: str  # a final `JobState`
    team: str
    ended_at: float  # wall-clock time; 0 if the record does not hold it


class JobEntry:
    """An active job as its record describes it, with the values that the dependency graph derives for it."""

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
        """Initialize an entry from the record of revision `mod_revision`.

        `extra_chunks` further records hold the rest of the job's dependencies.
        """
        self.spec = spec
        self.accepted_at = accepted_at  # wall-clock time
        self.team = team
        self.mod_revision = mod_revision
        # Numbers of the dependency chunks that have not been read yet.
        self.missing_chunks = set(range(1, extra_chunks + 1))
        self.pending_dependencies = dict.fromkeys(spec.depends_on)  # dependencies not known to be done, in order
        self.released_at = accepted_at  # time at which the last of its dependencies was done
        self.priority = PRIORITY_RANK[spec.priority]  # the highest rank among the job itself and all its dependents
        # The latest end that lets the job and its dependents meet their deadlines.
        self.deadline_at = self.own_deadline_at

    @property
    def own_deadline_at(self) -> float:
        """The wall-clock time of the job's own deadline; infinite if it has none."""
        return self.accepted_at + self.spec.deadline_s if self.spec.deadline_s is not None else math.inf

    @property
    def is_blocked(self) -> bool:
        """True if the job is known to wait for dependencies, so that none of its tasks may start."""
        return bool(self.pending_dependencies or self.missing_chunks)

    def add_chunk(self, chunk: int, dependencies: list[str]) -> list[str]:
        """Add the dependencies of a missing chunk, and return those that are new to the entry."""
        self.missing_chunks.discard(chunk)
        added = [dependency for dependency in dependencies if dependency not in self.pending_dependencies]
        self.spec.depends_on = [*self.spec.depends_on, *added]
        self.pending_dependencies |= dict.fromkeys(added)
        return added
