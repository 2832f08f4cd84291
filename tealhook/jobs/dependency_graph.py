"""The graph of dependencies between jobs, and the priorities and deadlines that are propagated along it."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping

from tealhook.jobs.job_entry import EndedJob, JobEntry
from tealhook.jobs.job_records import JobState
from tealhook.wire.users import PRIORITY_RANK


class DependencyGraph:
    """Which active jobs wait for which others.

    It reads the index's entries and ends, and updates what its edges imply for an entry: the pending dependencies,
    the time of release, the effective priority and deadline.
    """

    def __init__(
        self,
        active: Mapping[str, JobEntry],
        ended: Mapping[str, EndedJob],
        on_changed: Callable[[str], object],
    ) -> None:
        """A graph over the jobs of an index; `on_changed(job)` is called for each entry that the graph has changed."""
        self._active = active
        self._ended = ended
        self._on_changed = on_changed
        self._dependents: dict[str, dict[str, None]] = {}  # job -> active jobs that wait for it, in order

    # -- changes of the graph

    def register(self, job: str, entry: JobEntry, names: list[str]) -> None:
        """Add the edges from an active job to dependencies of it."""
        for name in names:
            ended = self._ended.get(name)
            if ended is not None and ended.status == JobState.DONE:
                entry.pending_dependencies.pop(name, None)
                entry.released_at = max(entry.released_at, ended.ended_at)
            else:
                self._dependents.setdefault(name, {})[job] = None
        # The job itself too: a view that is listed anew has its records by id, so its dependents may be known already.
        self.propagate_priorities([job, *names])

    def unregister(self, job: str, entry: JobEntry) -> None:
        """Remove the edges from a job that has ended to its dependencies."""
        for name in entry.spec.depends_on:
            waiting = self._dependents.get(name, {})
            waiting.pop(job, None)
            if not waiting:
                self._dependents.pop(name, None)

    def release_dependents(self, job: str, done_at: float) -> None:
        """Take a job that is done off its dependents' pending dependencies."""
        for dependent in self._dependents.pop(job, {}):
            entry = self._active.get(dependent)
            if entry is not None and job in entry.pending_dependencies:
                del entry.pending_dependencies[job]
                entry.released_at = max(entry.released_at, done_at)
                if not entry.is_blocked:
                    self._on_changed(dependent)

    def propagate_priorities(self, names: Iterable[str]) -> None:
        """Propagate priorities and deadlines to the dependencies of jobs, after a change behind these jobs.

        A job has the highest priority of any that depends on it, and has to be done so early that they can be in
        time: their deadline less what they should take themselves.
        """
        to_visit = list(names)
        while to_visit:
            name = to_visit.pop()
            entry = self._active.get(name)
            if entry is None:
                continue
            dependents = [self._active[job] for job in self._dependents.get(name, {}) if job in self._active]
            priority = max([PRIORITY_RANK[entry.spec.priority], *(other.priority for other in dependents)])
            deadline_at = min(
                [entry.own_deadline_at, *(other.deadline_at - other.spec.estimated_run_s for other in dependents)]
            )
            if (priority, deadline_at) != (entry.priority, entry.deadline_at):
                entry.priority, entry.deadline_at = priority, deadline_at
                self._on_changed(name)
                to_visit.extend(entry.pending_dependencies)

    # -- what the graph says of a job

    def dependents(self, job: str) -> list[str]:
        """Active jobs that depend on a job, directly or through others."""
        found: dict[str, None] = {}
        to_visit = [job]
        while to_visit:
            for dependent in self._dependents.get(to_visit.pop(), {}):
                if dependent not in found and dependent in self._active:
                    found[dependent] = None
                    to_visit.append(dependent)
        return list(found)

    def unknown_dependencies(self, job: str) -> list[str]:
        """Dependencies of a job, direct or not, that the index knows nothing of."""
        return [
            name for name in self._unfinished_dependencies(job) if name not in self._active and name not in self._ended
        ]

    def has_cancelled_dependency(self, job: str) -> bool:
        """Whether some dependency of a job, direct or not, is known to be cancelled."""
        return any(self._is_cancelled(name) for name in self._unfinished_dependencies(job))

    def expected_release_at(self, job: str) -> float:
        """When a blocked job should be released, by the time of day and its dependencies' estimated run times."""
        expected_at: dict[str, float] = {}
        to_visit = [job]
        while to_visit:
            entry = self._active.get(to_visit[-1])
            dependencies = [name for name in entry.pending_dependencies if name in self._active] if entry else []
            missing = [name for name in dependencies if name not in expected_at]
            if missing:
                to_visit.extend(missing)
                continue
            visited = to_visit.pop()
            if entry is not None:
                expected_at[visited] = max(
                    [
                        entry.released_at,
                        *(expected_at[name] + self._active[name].spec.estimated_run_s for name in dependencies),
                    ]
                )
        return expected_at.get(job, 0.0)

    def _unfinished_dependencies(self, job: str) -> Iterator[str]:
        """Dependencies of a job, direct or not, that are not known to be done."""
        to_visit, visited = [job], {job}
        while to_visit:
            entry = self._active.get(to_visit.pop())
            for name in entry.pending_dependencies if entry is not None else ():
                if name not in visited:
                    visited.add(name)
                    to_visit.append(name)
                    yield name

    def _is_cancelled(self, job: str) -> bool:
        ended = self._ended.get(job)
        return ended is not None and ended.status == JobState.CANCELLED and job not in self._active
