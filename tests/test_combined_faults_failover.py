"""Failovers, lost machines and overload combined with cancellations and teams at their quota."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import pytest

from tealhook.fleet import FleetManager
from tealhook.scheduling.team_scheduler import TeamState
from tests import user_requests
from tests.infrastructure_faults import assert_all_finished
from tests.simulated_cluster import RuleViolationError, SimulatedCluster
from tests.standins import Worker
from tests.test_guards import _ignore_zone_limits
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
    assert_all_finished(world)
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
    assert_all_finished(world)
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
    assert_all_finished(world)
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
    assert_all_finished(world)
    assert world.task_starts >= 32 + 8
    assert {job.final for job in world.jobs.values()} == {"done"}


def test_ignoring_zone_limits_violates_placement(monkeypatch):
    _ignore_zone_limits(monkeypatch)
    with pytest.raises(RuleViolationError, match="wrong_place"):
        for seed in SEEDS:
            _zone_bound_jobs(seed)
