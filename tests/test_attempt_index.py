"""The index of recorded attempts by machine, and the encoding of stop commands."""

import msgspec
import pytest

from tealhook.jobs.job import Attempt, Job
from tealhook.jobs.team import TeamState
from tealhook.scheduling.attempt_index import AttemptIndex, TaskKey
from tealhook.wire import mesh as wire


def _indexed_team(index: AttemptIndex, name: str, machines_by_job: dict[str, dict[int, str]]) -> TeamState:
    """Return a team with an indexed attempt on a machine for each given task of its jobs."""
    team_state = TeamState(name, 1)
    for job_id, machines in machines_by_job.items():
        job = team_state.jobs[job_id] = Job(job_id, name, None, 0.0)
        for task_index, machine in machines.items():
            job.attempts[task_index] = Attempt(task_index, task_index + 1, machine, 1, "zone", 1, 0.0)
            index.add(team_state, job, job.attempts[task_index])
    return team_state


def _found_tasks(index: AttemptIndex, machine: str, team_state: TeamState, *excluded: TaskKey) -> list[tuple[str, int]]:
    return [(job.id, attempt.index) for job, attempt in index.find(machine, team_state, frozenset(excluded))]


def test_attempts_are_found_by_machine_in_order_of_job_and_task():
    index = AttemptIndex()
    first = _indexed_team(index, "a", {"y": {10: "m", 9: "m", 2: "other"}, "x": {3: "m"}})
    second = _indexed_team(index, "b", {"w": {0: "m"}})
    assert _found_tasks(index, "m", first) == [("x", 3), ("y", 9), ("y", 10)]
    assert _found_tasks(index, "m", first, TaskKey("a", "y", 9), TaskKey("b", "y", 10)) == [("x", 3), ("y", 10)]
    assert _found_tasks(index, "none", first) == []
    all_found = [
        (team.name, job.id, attempt.index) for team, job, attempt in index.find_all("m", {"b": second, "a": first})
    ]
    assert all_found == [("a", "x", 3), ("a", "y", 9), ("a", "y", 10), ("b", "w", 0)]
    assert [job.id for _, job, _ in index.find_all("m", {"b": second})] == ["w"]


def test_attempts_may_be_removed_during_iteration():
    index = AttemptIndex()
    team_state = _indexed_team(index, "a", {"x": {0: "m", 1: "m"}, "y": {0: "m"}})
    found = []
    for job, attempt in index.find("m", team_state):
        found.append((job.id, attempt.index))
        for removed in list(team_state.jobs["x"].attempts.values()):
            index.remove(team_state, team_state.jobs["x"], removed)
        team_state.jobs["x"].attempts.clear()
    assert found == [("x", 0), ("y", 0)]
    assert _found_tasks(index, "m", team_state) == [("y", 0)]


def test_only_the_current_attempt_of_a_task_is_found():
    index = AttemptIndex()
    team_state = _indexed_team(index, "a", {"x": {0: "m"}})
    team_state.jobs["x"].attempts[0] = Attempt(0, 2, "other", 1, "zone", 1, 0.0)
    assert _found_tasks(index, "m", team_state) == []
    index.add(team_state, team_state.jobs["x"], team_state.jobs["x"].attempts[0])
    assert _found_tasks(index, "other", team_state) == [("x", 0)]


def test_task_stop_is_encoded_as_a_tuple_of_five_items():
    stop = wire.TaskStop("m", "j", 3, 4, wire.FORGET_GRACE_PERIOD_S)
    assert msgspec.msgpack.encode(stop) == msgspec.msgpack.encode(("m", "j", 3, 4, -1.0))


@pytest.mark.parametrize("items", [["m", "j", 3, 4], ["m", "j", 3, 4, 0.0, 0], ["m", "j", "3", 4, 0.0]])
def test_malformed_task_stop_is_rejected(items):
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(msgspec.msgpack.encode(items), type=wire.TaskStop)
