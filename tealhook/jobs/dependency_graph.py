"""The graph of dependencies between jobs, along which priorities and deadlines are propagated."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping

from tealhook.jobs.job_entry import EndedJob, JobEntry
from tealhook.jobs.job_records import JobState
from tealhook.wire.users import PRIORITY_RANK


class DependencyGraph:
    """The edges from active jobs to the jobs that they wait for.

    The graph reads the job index's active and ended jobs. In the entries of active jobs it updates the values that
    follow from its edges: the pending dependencies, the release time, and the effective priority and deadline.
    """

    def __init__(
        self,
        active: Mapping[str, JobEntry],
        ended: Mapping[str, EndedJob],
        on_changed: Callable[[str], object],
    ) -> None:
        """Initialize a graph over the jobs of an index; `on_changed(job_id)` is called for each entry it changes."""
        self._active = active
        self._ended = ended
        self._on_changed = on_changed
        self._dependents: dict[str, dict[str, None]] = {}  # job id -> active jobs that wait for it, as an ordered set

    # -- updates

    def add_edges(self, job_id: str, entry: JobEntry, dependencies: list[str]) -> None:
        """Add the edges from an active job to some of its dependencies."""
        for dependency in dependencies:
            ended = self._ended.get(dependency)
            if ended is not None and ended.status == JobState.DONE:
                entry.pending_dependencies.pop(dependency, None)
                entry.released_at = max(entry.released_at, ended.ended_at)
            else:
                self._dependents.setdefault(dependency, {})[job_id] = None
        # The job itself is included: a new listing delivers records by id, so its dependents may already be known.
        self.propagate_priorities([job_id, *dependencies])

    def remove_edges(self, job_id: str, entry: JobEntry) -> None:
        """Remove the edges from a job that has ended to its dependencies."""
        for dependency in entry.spec.depends_on:
            dependents = self._dependents.get(dependency, {})
            dependents.pop(job_id, None)
            if not dependents:
                self._dependents.pop(dependency, None)

    def release_dependents(self, job_id: str, done_at: float) -> None:
        """Remove a done job from the pending dependencies of its dependents."""
        for dependent in self._dependents.pop(job_id, {}):
            entry = self._active.get(dependent)
            if entry is not None and job_id in entry.pending_dependencies:
                del entry.pending_dependencies[job_id]
                entry.released_at = max(entry.released_at, done_at)
                if not entry.is_blocked:
                    self._on_changed(dependent)

    def propagate_priorities(self, job_ids: Iterable[str]) -> None:
        """Propagate priorities and deadlines from the dependents of jobs to these jobs and on to their dependencies.

        A job has at least the priority of each job that depends on it. Its deadline leaves each of them enough time to
        run: it is at most the dependent's deadline less the dependent's estimated run time.
        """
        to_visit = list(job_ids)
        while to_visit:
            job_id = to_visit.pop()
            entry = self._active.get(job_id)
            if entry is None:
                continue
            dependents = [
                self._active[dependent] for dependent in self._dependents.get(job_id, {}) if dependent in self._active
            ]
            priority = max([PRIORITY_RANK[entry.spec.priority], *(other.priority for other in dependents)])
            deadline_at = min(
                [entry.own_deadline_at, *(other.deadline_at - other.spec.estimated_run_s for other in dependents)]
            )
            if (priority, deadline_at) != (entry.priority, entry.deadline_at):
                entry.priority, entry.deadline_at = priority, deadline_at
                self._on_changed(job_id)
                to_visit.extend(entry.pending_dependencies)

    # -- queries

    def dependents(self, job_id: str) -> list[str]:
        """Return the active jobs that depend on a job, directly or transitively."""
        found: dict[str, None] = {}
        to_visit = [job_id]
        while to_visit:
            for dependent in self._dependents.get(to_visit.pop(), {}):
                if dependent not in found and dependent in self._active:
                    found[dependent] = None
                    to_visit.append(dependent)
        return list(found)

    def unknown_dependencies(self, job_id: str) -> list[str]:
        """Return the direct and transitive dependencies of a job that are not in the index."""
        return [
            dependency
            for dependency in self._unfinished_dependencies(job_id)
            if dependency not in self._active and dependency not in self._ended
        ]

    def has_cancelled_dependency(self, job_id: str) -> bool:
        """Check whether a direct or transitive dependency of a job is known to be cancelled."""
        return any(self._is_cancelled(dependency) for dependency in self._unfinished_dependencies(job_id))

    def expected_release_at(self, job_id: str) -> float:
        """Return the wall-clock time at which a blocked job is expected to be released.

        It is computed from the estimated run times of the job's dependencies.
        """
        expected_at: dict[str, float] = {}
        to_visit = [job_id]
        while to_visit:
            entry = self._active.get(to_visit[-1])
            dependencies = [other for other in entry.pending_dependencies if other in self._active] if entry else []
            missing = [other for other in dependencies if other not in expected_at]
            if missing:
                to_visit.extend(missing)
                continue
            visited = to_visit.pop()
            if entry is not None:
                expected_at[visited] = max(
                    [
                        entry.released_at,
                        *(expected_at[other] + self._active[other].spec.estimated_run_s for other in dependencies),
                    ]
                )
        return expected_at.get(job_id, 0.0)

    def _unfinished_dependencies(self, job_id: str) -> Iterator[str]:
        """Yield the direct and transitive dependencies of a job that are not known to be done."""
        to_visit, visited = [job_id], {job_id}
        while to_visit:
            entry = self._active.get(to_visit.pop())
            for dependency in entry.pending_dependencies if entry is not None else ():
                if dependency not in visited:
                    visited.add(dependency)
                    to_visit.append(dependency)
                    yield dependency

    def _is_cancelled(self, job_id: str) -> bool:
        ended = self._ended.get(job_id)
        return ended is not None and ended.status == JobState.CANCELLED and job_id not in self._active
