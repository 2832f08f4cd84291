"""Index of recorded attempts by machine, which holds every task that may be on a machine, reported or not."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from collections.abc import Set as AbstractSet
from typing import NamedTuple

from tealhook.jobs.attempt import Attempt
from tealhook.jobs.job import Job
from tealhook.jobs.team import TeamState


class TaskKey(NamedTuple):
    """Identifier of a task among those of all teams."""

    team: str
    job: str
    task_index: int


NO_KEYS: frozenset[TaskKey] = frozenset()


class AttemptIndex:
    """Index by machine of the recorded attempts of all teams that this node owns.

    Attempts are found in the order of team, job and task index, because seeded runs must be reproducible. They are
    resolved lazily, one by one, so that a caller may remove attempts while it iterates over them.
    """

    def __init__(self) -> None:
        """Initialize an empty index."""
        self._keys_by_machine: dict[str, set[TaskKey]] = {}

    def add(self, team_state: TeamState, job: Job, attempt: Attempt) -> None:
        """Add an attempt that has been recorded: from now on it may be on its machine."""
        keys = self._keys_by_machine.setdefault(attempt.machine, set())
        keys.add(TaskKey(team_state.name, job.id, attempt.index))

    def remove(self, team_state: TeamState, job: Job, attempt: Attempt) -> None:
        """Remove an attempt that is no longer on its machine, or whose team this node no longer owns."""
        keys = self._keys_by_machine.get(attempt.machine)
        if keys is not None:
            keys.discard(TaskKey(team_state.name, job.id, attempt.index))
            if not keys:
                del self._keys_by_machine[attempt.machine]

    def find(
        self, machine: str, team_state: TeamState, excluded: AbstractSet[TaskKey] = NO_KEYS
    ) -> Iterator[tuple[Job, Attempt]]:
        """Yield a team's attempts on a machine with their jobs, without those at the tasks in `excluded`."""
        # Excluding before sorting saves time, since a status update usually shows every attempt on its machine.
        keys = self._keys_by_machine.get(machine, NO_KEYS) - excluded
        for key in sorted(keys):
            if key.team == team_state.name:
                found = _find_current_attempt(key, machine, team_state)
                if found is not None:
                    yield found

    def find_all(self, machine: str, teams: Mapping[str, TeamState]) -> Iterator[tuple[TeamState, Job, Attempt]]:
        """Yield the attempts of all `teams` on a machine with their teams and jobs."""
        for key in sorted(self._keys_by_machine.get(machine, NO_KEYS)):
            team_state = teams.get(key.team)
            found = _find_current_attempt(key, machine, team_state) if team_state is not None else None
            if team_state is not None and found is not None:
                yield team_state, *found


def _find_current_attempt(key: TaskKey, machine: str, team_state: TeamState) -> tuple[Job, Attempt] | None:
    """Return the current attempt at a task with its job, or None if the attempt is not on the machine."""
    job = team_state.jobs.get(key.job)
    attempt = job.attempts.get(key.task_index) if job is not None else None
    if job is None or attempt is None or attempt.machine != machine:
        return None
    return job, attempt
