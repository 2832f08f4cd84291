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


def _owners_of(cluster: SimulatedCluster, kinds: str) -> set[str]:
    """Nodes that own keys of some kinds, as the state service has it."""
    return {row[0]["n"] for key, row in cluster.state.rows.items() if key.startswith(tuple(kinds.split()))}


def _crash_owners(cluster: SimulatedCluster, back: float = 4.0) -> None:
    """Every owner of a partition, a team or the fleet crashes, one shortly after the other; then they return."""
    owners = _owners_of(cluster, "own/part own/home own/fleet")
    assert owners
    for i, name in enumerate(sorted(owners)):
        cluster.call_later(0.2 * i, lambda name=name: cluster.crash(name, back))
        cluster.event_counts["owner ended"] += 1


# -- tasks that finish before and after a failover


def _failover_between_completions(seed: int, monkeypatch) -> SimulatedCluster:
    """Jobs of two or three tasks of which one ends before the change and one long after."""
    whole = Worker._start_task

    def launch(self, name, cluster):
        task = whole(self, name, cluster)
        if task["status"] == "pulling" and name not in cluster.finished_tasks:
            task["run_s"] = 3.0 if name.endswith("/0") else 75.0 + cluster.rng.uniform(0.0, 10.0)
        return task

    monkeypatch.setattr(Worker, "_start_task", launch)
    cluster = SimulatedCluster(seed, cpu_limit=48.0)
    cluster.run(15.0)
    for i in range(6):
        cluster.submit(plays=2 + i % 2, vcpus=1.0, expected_s=20.0, **UNCONSTRAINED_JOB)
    cluster.run(22.0)
    while len(cluster.finished_tasks) < 6 and cluster.now < 60.0:
        cluster.run(1.0)  # a machine came up late
    before = [job for job in cluster.jobs if f"{job}/0" in cluster.finished_tasks]
    assert len(before) == 6 and len(cluster.finished_tasks) == 6
    _crash_owners(cluster)
    cluster.run(20.0)
    assert len(cluster.finished_tasks) == 6 and not any(job.final_status for job in cluster.jobs.values())
    cluster.run(100.0)
    return cluster


@pytest.mark.parametrize("seed", SEEDS)
def test_tasks_finish_before_and_after_failover(seed, monkeypatch):
    cluster = _failover_between_completions(seed, monkeypatch)
    assert cluster.event_counts["owner ended"] > 0
    assert_all_finished(cluster)
    assert {job.final_status for job in cluster.jobs.values()} == {"done"}
    assert cluster.task_starts <= 15 + 6 + 3  # at most the tasks that had ended are run again


# -- every team at its quota


def _teams_at_quota(seed: int, cut: bool) -> SimulatedCluster:
    """Every team has more work than its limit; running jobs are cancelled whose machines hang or are cut off, and
    the leader changes at once."""
    cluster = SimulatedCluster(seed, cpu_limit=16.0)
    cluster.cloud.capacity_per_pool = 6
    cluster.run(15.0)
    for i in range(3):  # for which more machines are rented than the others need
        cluster.submit(plays=7, vcpus=1.0, memory_gb=30.0, expected_s=40.0, **UNCONSTRAINED_JOB | {"crew": f"team-{i}"})
    cluster.run(10.0)
    for i in range(18):
        cluster.submit(plays=4, vcpus=2.0, expected_s=150.0, **UNCONSTRAINED_JOB | {"crew": f"team-{i % 3}"})
    cluster.run(75.0)
    used = dict.fromkeys(("team-0", "team-1", "team-2"), 0.0)
    for machine in cluster.cloud.machines.values():
        for name, _ in machine.started_tasks():
            spec = cluster.jobs[name.rpartition("/")[0]].spec
            used[spec["crew"]] += spec["vcpus"]
    assert all(16.0 - 2.0 < cpus <= 16.0 for cpus in used.values())  # no more of their tasks fits, in any team
    chosen = user_requests.cancel_running_jobs(cluster, 4, hang_s=0.0 if cut else 25.0, min_remaining_s=10.0)
    assert len(chosen) == 4
    if cut:
        for machine in cluster.cloud.machines.values():
            if any(name.rpartition("/")[0] in chosen for name, _ in machine.started_tasks()):
                cluster.event_counts["machine of a cancelled job cut off"] += 1
                for name in cluster.node_names:
                    cluster.network.cut(name, machine.name)
        cluster.call_later(25.0, cluster.network.heal)
    cluster.call_later(0.3, lambda: _crash_owners(cluster, back=1.0))
    cluster.run(60.0)
    assert all(cluster.jobs[job].final_status == "cancelled" for job in chosen)
    return cluster


@pytest.mark.parametrize("cut", [False, True], ids=["hang", "cut off"])
@pytest.mark.parametrize("seed", SEEDS)
def test_teams_at_quota_with_unreachable_machines_of_cancelled_jobs(seed, cut):
    cluster = _teams_at_quota(seed, cut)
    assert cluster.event_counts["machine of a cancelled job cut off" if cut else "machine of a cancelled job hung"] >= 2
    assert cluster.event_counts["owner ended"] > 0
    running = {name.rpartition("/")[0] for m in cluster.cloud.machines.values() for name, _ in m.started_tasks()}
    assert running and not any(cluster.jobs[job].final_status == "cancelled" for job in running)


def test_not_counting_tasks_of_cancelled_jobs_violates_quota(monkeypatch):
    def taken(self, resource=0):
        return sum(
            job.resources[resource] * (len(job.attempts) + len(job.staged))
            for job in self.jobs.values()
            if job.spec is not None
        )

    monkeypatch.setattr(TeamState, "allocated", taken)
    with pytest.raises(RuleViolationError, match="quota"):
        for seed in SEEDS:
            _teams_at_quota(seed, False)


def test_cancelled_tasks_on_hung_machines_stop_in_time():
    """The machines hang for longer than `cancel_s`: only their release ends what is on them."""
    cluster = _hung_past_deadline(1)
    assert cluster.event_counts["machine of a cancelled job hung"] >= 2


def _hung_past_deadline(seed: int) -> SimulatedCluster:
    cluster = SimulatedCluster(seed, cpu_limit=48.0)
    cluster.run(15.0)
    for _ in range(8):
        cluster.submit(plays=3, vcpus=2.0, expected_s=120.0, **UNCONSTRAINED_JOB)
    cluster.run(25.0)
    hung = user_requests.cancel_running_jobs(cluster, 3, hang_s=50.0, min_remaining_s=20.0)
    assert len(hung) == 3
    cluster.run(70.0)
    return cluster


def test_not_releasing_hung_machines_violates_cancellation_deadline(monkeypatch):
    monkeypatch.setattr(FleetManager, "_release", lambda self, now: None)
    with pytest.raises(RuleViolationError, match="ran_cancelled"):
        _hung_past_deadline(1)


# -- cancellations during an ownership handover


def _change_begins(cluster: SimulatedCluster, keys: Iterable[str], changed: Callable[[], bool]) -> None:
    """Run until one of the keys has changed or is gone, a minute at most."""
    for _ in range(600):
        cluster.run(0.1)
        if changed() or any(key not in cluster.state.rows for key in keys):
            return


def _handover(seed: int, planned: bool) -> SimulatedCluster:
    """Jobs are cancelled, one each 0.15 s, from just before the handover until the new owners have reconciled."""
    cluster = SimulatedCluster(seed, cpu_limit=48.0)
    cluster.cloud.capacity_per_pool = 4
    cluster.run(15.0)
    if planned:  # a node is away, the others own everything; its return is the change
        cluster.crash("n1", 40.0)
        cluster.run(12.0)
    for i in range(40):
        cluster.call_later(0.3 * i, lambda: cluster.submit(plays=2, vcpus=1.0, expected_s=25.0, **UNCONSTRAINED_JOB))
    cluster.run(20.0)
    before = {key: row[1] for key, row in cluster.state.rows.items() if key.startswith("own/") and "node" not in key}
    jobs = iter(list(cluster.jobs))

    def cancel_one() -> None:
        job = next(jobs, None)
        if job is not None:
            if cluster.jobs[job].final_status is None:
                cluster.event_counts["cancelled in the hand-over"] += 1
                cluster.cancel(job)
            cluster.call_later(0.15, cancel_one)

    def changed() -> bool:
        return any(before.get(key) != row[1] for key, row in cluster.state.rows.items() if key in before)

    if planned:
        _change_begins(cluster, before, changed)
    else:
        _crash_owners(cluster)
        cluster.run(1.0)
    cancel_one()
    for _ in range(100):
        cluster.run(0.1)
    assert changed()
    cluster.run(60.0)
    return cluster


@pytest.mark.parametrize("planned", [False, True], ids=["crash", "hand-over"])
@pytest.mark.parametrize("seed", SEEDS)
def test_cancellations_during_ownership_handover(seed, planned):
    cluster = _handover(seed, planned)
    assert cluster.event_counts["cancelled in the hand-over"] >= 15
    assert_all_finished(cluster)
    assert not [late for late in cluster.late_starts if late[3] == "owner unaware"], cluster.late_starts
    # What was in flight, or fetching its image, as the cancellation was confirmed.
    assert all(seconds < 2.5 for _, _, seconds, _ in cluster.late_starts), cluster.late_starts


# -- overload over slow links


def _overload(seed: int) -> SimulatedCluster:
    cluster = SimulatedCluster(seed, cpu_limit=32.0)
    cluster.network.max_delay_s = 0.25
    for i in range(40):
        urgency = ("urgent", "standard", "low", "production")[i % 4]
        cluster.call_later(
            1.0 * i,
            lambda urgency=urgency: cluster.submit(
                plays=6, vcpus=4.0, expected_s=6.0, **UNCONSTRAINED_JOB | {"urgency": urgency}
            ),
        )
    cluster.run(45.0)
    waits = sum(job.started_at is None for job in cluster.jobs.values())
    cluster.event_counts["jobs that wait"] = waits
    user_requests.cancel_running_jobs(cluster, 5, min_remaining_s=1.0)
    for _ in range(40):
        if cluster.unfinished_jobs():
            cluster.run(10.0)
    return cluster


@pytest.mark.parametrize("seed", SEEDS)
def test_overload_over_slow_links_prefers_urgent_jobs(seed):
    cluster = _overload(seed)
    assert cluster.event_counts["jobs that wait"] >= 5 and cluster.event_counts["running job cancelled"] >= 3
    assert_all_finished(cluster)
    first = {
        urgency: [
            job.started_at - job.submitted_at
            for job in cluster.jobs.values()
            if job.spec["urgency"] == urgency and job.started_at is not None
        ]
        for urgency in ("urgent", "low")
    }
    assert sum(first["urgent"]) / len(first["urgent"]) < sum(first["low"]) / len(first["low"])


def test_largest_jobs_start_within_four_minutes():
    cluster = SimulatedCluster(4, cpu_limit=48.0)
    cluster.network.max_delay_s = 0.25
    for i in range(90):
        cluster.call_later(
            1.5 * i,
            lambda i=i: cluster.submit(
                plays=4, vcpus=2.0, expected_s=5.0, **UNCONSTRAINED_JOB | {"urgency": ("urgent", "standard")[i % 2]}
            ),
        )
    cluster.run(20.0)
    largest = [
        cluster.submit(
            plays=60,
            vcpus=8.0,
            memory_gb=16.0,
            expected_s=5.0,
            **UNCONSTRAINED_JOB | {"urgency": "low", "crew": f"team-{i}"},
        )
        for i in range(3)
    ]
    cluster.run(250.0)
    assert sum(job.started_at is not None for job in cluster.jobs.values()) > 60
    for job in largest:
        assert cluster.jobs[job].started_at is not None
        assert cluster.jobs[job].started_at - cluster.jobs[job].accepted_at < 240.0


# -- jobs bound to one zone


def _zone_bound_jobs(seed: int) -> SimulatedCluster:
    """Jobs of one zone, by name or together, lose half of its machines, and then the other half."""
    cluster = SimulatedCluster(seed, cpu_limit=48.0)
    cluster.cloud.capacity_per_pool = 3
    cluster.run(15.0)
    jobs = [
        cluster.submit(
            plays=4,
            vcpus=2.0,
            expected_s=20.0,
            **UNCONSTRAINED_JOB | {"yard": "za" if i % 2 else None, "together": i % 4 != 1, "loaners": i % 3 != 0},
        )
        for i in range(8)
    ]
    cluster.run(25.0)
    for _ in range(2):
        machines = [machine for machine in cluster.cloud.machines.values() if machine.started_tasks()]
        for machine in machines[: (len(machines) + 1) // 2]:
            cluster.event_counts["machine with tasks lost"] += 1
            cluster.event_counts["tasks lost"] += len(machine.started_tasks())
            machine.fail()
        cluster.run(6.0)
    assert any(cluster.jobs[job].final_status is None for job in jobs)
    cluster.run(220.0)
    return cluster


@pytest.mark.parametrize("seed", SEEDS)
def test_zone_bound_jobs_survive_machine_loss(seed):
    cluster = _zone_bound_jobs(seed)
    assert cluster.event_counts["machine with tasks lost"] >= 4 and cluster.event_counts["tasks lost"] >= 8
    assert_all_finished(cluster)
    assert cluster.task_starts >= 32 + 8
    assert {job.final_status for job in cluster.jobs.values()} == {"done"}


def test_ignoring_zone_limits_violates_placement(monkeypatch):
    _ignore_zone_limits(monkeypatch)
    with pytest.raises(RuleViolationError, match="wrong_place"):
        for seed in SEEDS:
            _zone_bound_jobs(seed)
