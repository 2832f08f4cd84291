"""Faults combined with requests of users: bursts, cancellations at critical moments, invalid requests."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable

import pytest

from tealhook.admission.admission import Admission
from tealhook.fleet import FleetManager
from tealhook.scheduling.candidates import CandidateSelection
from tealhook.scheduling.team_scheduler import TeamState
from tests import user_requests
from tests.simulated_cluster import RuleViolationError, SimulatedCluster
from tests.standins import Worker
from tests.test_guards import _answer_from_memory, _ignore_zone_limits
from tests.user_requests import UNCONSTRAINED_JOB

SEEDS = range(3)


def _owners_of(world: SimulatedCluster, kinds: str) -> set[str]:
    """Nodes that own keys of some kinds, as the state service has it."""
    return {row[0]["n"] for key, row in world.state.rows.items() if key.startswith(tuple(kinds.split()))}


def _crash_owners(world: SimulatedCluster, back: float = 4.0) -> None:
    """Every owner of a partition, a team or the fleet crashes, one shortly after the other; then they return."""
    owners = _owners_of(world, "own/part own/home own/fleet")
    assert owners
    for i, name in enumerate(sorted(owners)):
        world.at(0.2 * i, lambda name=name: world.crash(name, back))
        world.event_counts["owner ended"] += 1


def _assert_all_finished(world: SimulatedCluster) -> None:
    assert world.unfinished() == []
    assert world.task_starts > 0


# -- bursts of requests


def _request_bursts(seed: int) -> SimulatedCluster:
    world = SimulatedCluster(seed, limit=48.0)
    world.request_burst_share = 1.0
    world.network.max_delay_s = 0.01 if seed % 2 else 0.15
    world.run(15.0)
    for i in range(14):
        world.at(2.0 * i, lambda: world.submit(plays=2, vcpus=1.0, expected_s=3.0, **UNCONSTRAINED_JOB))
    world.at(3.0, lambda: [world.cancel(job) for job in list(world.jobs)[:1]])
    world.run(110.0)
    return world


@pytest.mark.parametrize("seed", SEEDS)
def test_concurrent_requests_never_get_older_answers(seed):
    world = _request_bursts(seed)
    _assert_all_finished(world)
    for occasion in ("accepted", "ended", "done", "cancelled", "with a cancellation"):
        name = "request burst with a cancellation" if occasion.startswith("with") else f"request burst: {occasion}"
        assert world.event_counts[name] > 0, name
    assert world.event_counts["request burst: accepted"] == 14


def test_answering_from_memory_violates_status_order(monkeypatch):
    _answer_from_memory(monkeypatch)
    with pytest.raises(RuleViolationError, match="went_back"):
        for seed in SEEDS:
            _request_bursts(seed)


# -- the end of a job's last task


def _completion_races(seed: int, kind: str) -> SimulatedCluster:
    world = SimulatedCluster(seed, limit=48.0)
    world.run(15.0)
    world.completion_race_share, world.racing_requests = 1.0, (kind,)
    for i in range(30):
        world.at(0.7 * i, lambda: world.submit(plays=1 + seed % 2, vcpus=1.0, expected_s=2.0, **UNCONSTRAINED_JOB))
    world.run(70.0)
    return world


@pytest.mark.parametrize("kind", ["cancel", "question", "repeat"])
@pytest.mark.parametrize("seed", SEEDS)
def test_request_races_completion_of_last_task(seed, kind):
    world = _completion_races(seed, kind)
    _assert_all_finished(world)
    assert world.event_counts[f"{kind} at the end"] >= 25
    finals = [job.final for job in world.jobs.values()]
    if kind == "cancel":
        assert "cancelled" in finals and "done" in finals
    else:
        assert set(finals) == {"done"}
    assert world.late_starts == []


# -- one-task jobs, four a second


@pytest.mark.parametrize("seed", [0, 1])
def test_stream_of_single_task_jobs_on_small_write_budget(seed):
    world = SimulatedCluster(seed, wps=30.0, limit=48.0)
    world.cloud.capacity_per_kind = 4
    world.run(20.0)
    ids = user_requests.submit_stream(world, 120.0)
    world.run(150.0)
    _assert_all_finished(world)
    assert len(ids) == world.event_counts["job of a stream"] == 480
    assert 80 < world.event_counts["cancelled job of a stream"] < 160
    assert set(world.nodes) == set(world.names) and max(world.incarnations.values()) == len(world.names)
    took = sorted(world.jobs[job].answered_at - world.jobs[job].submitted_at for job in ids)
    assert took[len(took) * 9 // 10] < 1.0 and took[-1] < 10.0
    assert max(world.jobs[job].longest_unanswered_s for job in ids) < 20.0


# -- tasks that finish before and after a failover


def _failover_between_completions(seed: int, monkeypatch) -> SimulatedCluster:
    """Jobs of two or three tasks of which one ends before the change and one long after."""
    whole = Worker._start_task

    def launch(self, name, world):
        task = whole(self, name, world)
        if task["status"] == "pulling" and name not in world.finished:
            task["run"] = 3.0 if name.endswith("/0") else 75.0 + world.rng.uniform(0.0, 10.0)
        return task

    monkeypatch.setattr(Worker, "_start_task", launch)
    world = SimulatedCluster(seed, limit=48.0)
    world.run(15.0)
    for i in range(6):
        world.submit(plays=2 + i % 2, vcpus=1.0, expected_s=20.0, **UNCONSTRAINED_JOB)
    world.run(22.0)
    while len(world.finished) < 6 and world.now < 60.0:
        world.run(1.0)  # a machine came up late
    before = [job for job in world.jobs if f"{job}/0" in world.finished]
    assert len(before) == 6 and len(world.finished) == 6
    _crash_owners(world)
    world.run(20.0)
    assert len(world.finished) == 6 and not any(job.final for job in world.jobs.values())
    world.run(100.0)
    return world


@pytest.mark.parametrize("seed", SEEDS)
def test_tasks_finish_before_and_after_failover(seed, monkeypatch):
    world = _failover_between_completions(seed, monkeypatch)
    assert world.event_counts["owner ended"] > 0
    _assert_all_finished(world)
    assert {job.final for job in world.jobs.values()} == {"done"}
    assert world.task_starts <= 15 + 6 + 3  # at most the tasks that had ended are run again


# -- every team at its quota


def _teams_at_quota(seed: int, cut: bool) -> SimulatedCluster:
    """Every team has more work than its limit; running jobs are cancelled whose machines hang or are cut off, and
    the leader changes at once."""
    world = SimulatedCluster(seed, limit=16.0)
    world.cloud.capacity_per_kind = 6
    world.run(15.0)
    for i in range(3):  # for which more machines are rented than the others need
        world.submit(plays=7, vcpus=1.0, memory_gb=30.0, expected_s=40.0, **UNCONSTRAINED_JOB | {"crew": f"team-{i}"})
    world.run(10.0)
    for i in range(18):
        world.submit(plays=4, vcpus=2.0, expected_s=150.0, **UNCONSTRAINED_JOB | {"crew": f"team-{i % 3}"})
    world.run(75.0)
    used = dict.fromkeys(("team-0", "team-1", "team-2"), 0.0)
    for machine in world.cloud.machines.values():
        for name, _ in machine.started_tasks():
            spec = world.jobs[name.rpartition("/")[0]].spec
            used[spec["crew"]] += spec["vcpus"]
    assert all(16.0 - 2.0 < cpus <= 16.0 for cpus in used.values())  # no more of their tasks fits, in any team
    chosen = user_requests.cancel_running_jobs(world, 4, hang_s=0.0 if cut else 25.0, to_go=10.0)
    assert len(chosen) == 4
    if cut:
        for machine in world.cloud.machines.values():
            if any(name.rpartition("/")[0] in chosen for name, _ in machine.started_tasks()):
                world.event_counts["cut off under a cancelled job"] += 1
                for name in world.names:
                    world.network.cut(name, machine.name)
        world.at(25.0, world.network.heal)
    world.at(0.3, lambda: _crash_owners(world, back=1.0))
    world.run(60.0)
    assert all(world.jobs[job].final == "cancelled" for job in chosen)
    return world


@pytest.mark.parametrize("cut", [False, True], ids=["hang", "cut off"])
@pytest.mark.parametrize("seed", SEEDS)
def test_teams_at_quota_with_unreachable_machines_of_cancelled_jobs(seed, cut):
    world = _teams_at_quota(seed, cut)
    assert world.event_counts["cut off under a cancelled job" if cut else "hung under a cancelled job"] >= 2
    assert world.event_counts["owner ended"] > 0
    running = {name.rpartition("/")[0] for m in world.cloud.machines.values() for name, _ in m.started_tasks()}
    assert running and not any(world.jobs[job].final == "cancelled" for job in running)


def test_not_counting_tasks_of_cancelled_jobs_violates_quota(monkeypatch):
    def taken(self, which=0):
        return sum(
            job.resources[which] * (len(job.attempts) + len(job.staged))
            for job in self.jobs.values()
            if job.spec is not None
        )

    monkeypatch.setattr(TeamState, "allocated", taken)
    with pytest.raises(RuleViolationError, match="quota"):
        for seed in SEEDS:
            _teams_at_quota(seed, False)


def test_cancelled_tasks_on_hung_machines_stop_in_time():
    """The machines hang for longer than `cancel_s`: only their release ends what is on them."""
    world = _hung_past_deadline(1)
    assert world.event_counts["hung under a cancelled job"] >= 2


def _hung_past_deadline(seed: int) -> SimulatedCluster:
    world = SimulatedCluster(seed, limit=48.0)
    world.run(15.0)
    for _ in range(8):
        world.submit(plays=3, vcpus=2.0, expected_s=120.0, **UNCONSTRAINED_JOB)
    world.run(25.0)
    hung = user_requests.cancel_running_jobs(world, 3, hang_s=50.0, to_go=20.0)
    assert len(hung) == 3
    world.run(70.0)
    return world


def test_not_releasing_hung_machines_violates_cancellation_deadline(monkeypatch):
    monkeypatch.setattr(FleetManager, "_release", lambda self, now: None)
    with pytest.raises(RuleViolationError, match="ran_cancelled"):
        _hung_past_deadline(1)


# -- cancellations during an ownership handover


def _change_begins(world: SimulatedCluster, keys: Iterable[str], changed: Callable[[], bool]) -> None:
    """Run until one of the keys has changed or is gone, a minute at most."""
    for _ in range(600):
        world.run(0.1)
        if changed() or any(key not in world.state.rows for key in keys):
            return


def _handover(seed: int, planned: bool) -> SimulatedCluster:
    """Jobs are cancelled, one each 0.15 s, from just before the handover until the new owners have reconciled."""
    world = SimulatedCluster(seed, limit=48.0)
    world.cloud.capacity_per_kind = 4
    world.run(15.0)
    if planned:  # a node is away, the others own everything; its return is the change
        world.crash("n1", 40.0)
        world.run(12.0)
    for i in range(40):
        world.at(0.3 * i, lambda: world.submit(plays=2, vcpus=1.0, expected_s=25.0, **UNCONSTRAINED_JOB))
    world.run(20.0)
    before = {key: row[1] for key, row in world.state.rows.items() if key.startswith("own/") and "node" not in key}
    jobs = iter(list(world.jobs))

    def cancel_one() -> None:
        job = next(jobs, None)
        if job is not None:
            if world.jobs[job].final is None:
                world.event_counts["cancelled in the hand-over"] += 1
                world.cancel(job)
            world.at(0.15, cancel_one)

    def changed() -> bool:
        return any(before.get(key) != row[1] for key, row in world.state.rows.items() if key in before)

    if planned:
        _change_begins(world, before, changed)
    else:
        _crash_owners(world)
        world.run(1.0)
    cancel_one()
    for _ in range(100):
        world.run(0.1)
    assert changed()
    world.run(60.0)
    return world


@pytest.mark.parametrize("planned", [False, True], ids=["crash", "hand-over"])
@pytest.mark.parametrize("seed", SEEDS)
def test_cancellations_during_ownership_handover(seed, planned):
    world = _handover(seed, planned)
    assert world.event_counts["cancelled in the hand-over"] >= 15
    _assert_all_finished(world)
    assert not [late for late in world.late_starts if late[3] == "owner unaware"], world.late_starts
    # What was in flight, or fetching its image, as the cancellation was confirmed.
    assert all(seconds < 2.5 for _, _, seconds, _ in world.late_starts), world.late_starts


# -- overload over slow links


def _overload(seed: int) -> SimulatedCluster:
    world = SimulatedCluster(seed, limit=32.0)
    world.network.max_delay_s = 0.25
    for i in range(40):
        urgency = ("urgent", "standard", "low", "production")[i % 4]
        world.at(
            1.0 * i,
            lambda urgency=urgency: world.submit(
                plays=6, vcpus=4.0, expected_s=6.0, **UNCONSTRAINED_JOB | {"urgency": urgency}
            ),
        )
    world.run(45.0)
    waits = sum(job.started_at is None for job in world.jobs.values())
    world.event_counts["jobs that wait"] = waits
    user_requests.cancel_running_jobs(world, 5, to_go=1.0)
    for _ in range(40):
        if world.unfinished():
            world.run(10.0)
    return world


@pytest.mark.parametrize("seed", SEEDS)
def test_overload_over_slow_links_prefers_urgent_jobs(seed):
    world = _overload(seed)
    assert world.event_counts["jobs that wait"] >= 5 and world.event_counts["cancelled now"] >= 3
    _assert_all_finished(world)
    first = {
        urgency: [
            job.started_at - job.submitted_at
            for job in world.jobs.values()
            if job.spec["urgency"] == urgency and job.started_at is not None
        ]
        for urgency in ("urgent", "low")
    }
    assert sum(first["urgent"]) / len(first["urgent"]) < sum(first["low"]) / len(first["low"])


def test_largest_jobs_start_within_four_minutes():
    world = SimulatedCluster(4, limit=48.0)
    world.network.max_delay_s = 0.25
    for i in range(90):
        world.at(
            1.5 * i,
            lambda i=i: world.submit(
                plays=4, vcpus=2.0, expected_s=5.0, **UNCONSTRAINED_JOB | {"urgency": ("urgent", "standard")[i % 2]}
            ),
        )
    world.run(20.0)
    largest = [
        world.submit(
            plays=60,
            vcpus=8.0,
            memory_gb=16.0,
            expected_s=5.0,
            **UNCONSTRAINED_JOB | {"urgency": "low", "crew": f"team-{i}"},
        )
        for i in range(3)
    ]
    world.run(250.0)
    assert sum(job.started_at is not None for job in world.jobs.values()) > 60
    for job in largest:
        assert world.jobs[job].started_at is not None
        assert world.jobs[job].started_at - world.jobs[job].accepted_at < 240.0


# -- jobs bound to one zone


def _zone_bound_jobs(seed: int) -> SimulatedCluster:
    """Jobs of one zone, by name or together, lose half of its machines, and then the other half."""
    world = SimulatedCluster(seed, limit=48.0)
    world.cloud.capacity_per_kind = 3
    world.run(15.0)
    jobs = [
        world.submit(
            plays=4,
            vcpus=2.0,
            expected_s=20.0,
            **UNCONSTRAINED_JOB | {"yard": "za" if i % 2 else None, "together": i % 4 != 1, "loaners": i % 3 != 0},
        )
        for i in range(8)
    ]
    world.run(25.0)
    for _ in range(2):
        machines = [machine for machine in world.cloud.machines.values() if machine.started_tasks()]
        for machine in machines[: (len(machines) + 1) // 2]:
            world.event_counts["machine with tasks lost"] += 1
            world.event_counts["tasks lost"] += len(machine.started_tasks())
            machine.fail()
        world.run(6.0)
    assert any(world.jobs[job].final is None for job in jobs)
    world.run(220.0)
    return world


@pytest.mark.parametrize("seed", SEEDS)
def test_zone_bound_jobs_survive_machine_loss(seed):
    world = _zone_bound_jobs(seed)
    assert world.event_counts["machine with tasks lost"] >= 4 and world.event_counts["tasks lost"] >= 8
    _assert_all_finished(world)
    assert world.task_starts >= 32 + 8
    assert {job.final for job in world.jobs.values()} == {"done"}


def test_ignoring_zone_limits_violates_placement(monkeypatch):
    _ignore_zone_limits(monkeypatch)
    with pytest.raises(RuleViolationError, match="wrong_place"):
        for seed in SEEDS:
            _zone_bound_jobs(seed)


# -- invalid and other unusual requests


def test_edge_case_requests_are_answered_as_specified():
    world = SimulatedCluster(6, limit=48.0)
    world.run(15.0)
    for i in range(8):
        world.at(2.0 * i, lambda: world.submit(plays=2, vcpus=1.0, expected_s=6.0, **UNCONSTRAINED_JOB))
    world.at(5.0, lambda: user_requests.send_edge_case_requests(world, 150, 40.0))
    world.run(80.0)
    _assert_all_finished(world)
    for name in (
        "refused as 400",
        "refused as 422",
        "unknown id",
        "repeat of an unfinished job",
        "cancellation of a done job",
    ):
        assert world.event_counts[name] >= 10, name
    assert {job.final for job in world.jobs.values()} == {"done"}


NULLABLE = {"rigs", "yard", "due_s"}


@pytest.mark.parametrize("field", sorted(SimulatedCluster(0).spec("req-000000").keys() - NULLABLE))
@pytest.mark.parametrize("null", [False, True], ids=["absent", "null"])
def test_submission_with_missing_field_is_rejected(field, null):
    """By the protocol only a field that may be null may be omitted."""
    world = SimulatedCluster(7, nodes=1)
    world.run(10.0)
    spec = world.spec("req-lacking")
    assert field in spec
    if null:
        spec[field] = None
    else:
        del spec[field]
    statuses = []
    world.send_request("POST", "/work", json.dumps(spec).encode(), lambda status, data, asked: statuses.append(status))
    world.run(5.0)
    assert statuses == [400]


# -- the checker itself


def _single_job(seed: int = 1) -> tuple[SimulatedCluster, str]:
    world = SimulatedCluster(seed, limit=48.0)
    world.run(15.0)
    job = world.submit(plays=2, vcpus=1.0, expected_s=400.0, **UNCONSTRAINED_JOB)
    world.run(30.0)
    assert world.jobs[job].started_at is not None
    return world, job


def test_checker_sees_tasks_on_hung_or_cut_machines():
    for hang in (True, False):
        world, job = _single_job()
        machines = [m for m in world.cloud.machines.values() if m.started_tasks()]
        assert machines
        for machine in machines:
            if hang:
                machine.hung = True
            else:
                for name in world.names:
                    world.network.cut(name, machine.name)
        world.jobs[job].cancelled_at = world.now - 31.0  # as if its user had been told so then
        with pytest.raises(RuleViolationError, match="ran_cancelled"):
            world.run(0.2)


def test_checker_records_starts_after_confirmed_cancellation(monkeypatch):
    """Guards against a checker that misses an owner which starts tasks of a cancelled job."""
    world, job = _single_job()
    machine = next(m for m in world.cloud.machines.values() if m.started_tasks())
    world.jobs[job].cancelled_at = world.now - 10.0
    world.check_start(machine, machine.started_tasks()[0])
    assert [late[:2] for late in world.late_starts] == [(machine.started_tasks()[0][0], machine.name)]
    world.jobs[job].cancelled_at = world.now - 31.0
    with pytest.raises(RuleViolationError, match="ran_cancelled"):
        world.check_start(machine, machine.started_tasks()[0])


def test_checker_detects_starvation_beside_free_capacity(monkeypatch):
    world, _job = _single_job()
    world.faults_ended_at = world.now
    monkeypatch.setattr(CandidateSelection, "select", lambda self, now: [])
    world.submit(plays=1, vcpus=1.0, expected_s=1.0, **UNCONSTRAINED_JOB)
    with pytest.raises(RuleViolationError, match="left_waiting"):
        world.run(120.0)


@pytest.mark.parametrize("faults_ended", [True, False])
def test_checker_detects_job_whose_queries_go_unanswered(faults_ended, monkeypatch):
    world, job = _single_job()
    world.submit(plays=1, vcpus=1.0, expected_s=400.0, **UNCONSTRAINED_JOB)
    if faults_ended:
        world.faults_ended_at = world.now
    whole = Admission.answer_poll

    def show(self, asked, reply):
        if asked == job:
            self._reply_retry(reply, "not now")
        else:
            whole(self, asked, reply)

    monkeypatch.setattr(Admission, "answer_poll", show)
    world.run(60.0)
    with pytest.raises(RuleViolationError, match="forgotten"):
        world.run(40.0)


def test_checker_detects_wrongly_accepted_and_invented_jobs(monkeypatch):
    world, _job = _single_job()
    monkeypatch.setattr(Admission, "_why_never", lambda self, spec: None)
    user_requests.submit_invalid_job(world, fits_none=True)
    with pytest.raises(RuleViolationError, match="accepted_wrong"):
        world.run(5.0)
    monkeypatch.undo()
    world, _job = _single_job()
    monkeypatch.setattr(Admission, "answer_poll", lambda self, job, reply: reply(200, self._status_body(job, "done")))
    for _ in range(8):
        user_requests.query_unknown_job(world, "req-999999")
    with pytest.raises(RuleViolationError, match="invented"):
        world.run(5.0)
