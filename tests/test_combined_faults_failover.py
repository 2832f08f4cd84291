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


def _owners_by_prefix(cluster: SimulatedCluster, prefixes: str) -> set[str]:
    """Return the nodes that own a key with one of these prefixes by the state store's records."""
    return {row[0]["n"] for key, row in cluster.state.rows.items() if key.startswith(tuple(prefixes.split()))}


def _crash_owners(cluster: SimulatedCluster, downtime_s: float = 4.0) -> None:
    """Crash all owners of partitions, teams and the fleet, 0.2 s apart; each restarts after its downtime."""
    owners = _owners_by_prefix(cluster, "own/part own/home own/fleet")
    assert owners
    for i, name in enumerate(sorted(owners)):
        cluster.call_later(0.2 * i, lambda name=name: cluster.crash(name, downtime_s))
        cluster.event_counts["owner crashed"] += 1


# -- tasks that finish before and after a failover


def _fail_over_between_completions(seed: int, monkeypatch) -> SimulatedCluster:
    """Run jobs of two or three tasks, of which one finishes before all owners crash and the others long after."""
    start_task = Worker._start_task

    def start_task_with_fixed_duration(self, task_id, cluster):
        task = start_task(self, task_id, cluster)
        if task["status"] == "pulling" and task_id not in cluster.finished_tasks:
            task["run_s"] = 3.0 if task_id.endswith("/0") else 75.0 + cluster.rng.uniform(0.0, 10.0)
        return task

    monkeypatch.setattr(Worker, "_start_task", start_task_with_fixed_duration)
    cluster = SimulatedCluster(seed, cpu_limit=48.0)
    cluster.run(15.0)
    for i in range(6):
        cluster.submit(plays=2 + i % 2, vcpus=1.0, expected_s=20.0, **UNCONSTRAINED_JOB)
    cluster.run(22.0)
    while len(cluster.finished_tasks) < 6 and cluster.now < 60.0:
        cluster.run(1.0)  # for tasks whose machine came up late
    finished_before = [job_id for job_id in cluster.jobs if f"{job_id}/0" in cluster.finished_tasks]
    assert len(finished_before) == 6 and len(cluster.finished_tasks) == 6
    _crash_owners(cluster)
    cluster.run(20.0)
    assert len(cluster.finished_tasks) == 6 and not any(job.final_status for job in cluster.jobs.values())
    cluster.run(100.0)
    return cluster


@pytest.mark.parametrize("seed", SEEDS)
def test_jobs_finish_with_tasks_done_before_and_after_failover(seed, monkeypatch):
    cluster = _fail_over_between_completions(seed, monkeypatch)
    assert cluster.event_counts["owner crashed"] > 0
    assert_all_finished(cluster)
    assert {job.final_status for job in cluster.jobs.values()} == {"done"}
    assert cluster.task_starts <= 15 + 6 + 3  # at most the tasks that had finished run again


# -- every team at its quota


def _cancel_with_teams_at_quota(seed: int, cut_off: bool) -> SimulatedCluster:
    """Cancel running jobs of teams at their limit, then crash all owners.

    The machines of the cancelled jobs hang or are cut off.
    """
    cluster = SimulatedCluster(seed, cpu_limit=16.0)
    cluster.cloud.capacity_per_pool = 6
    cluster.run(15.0)
    for i in range(3):  # large tasks, which make the fleet rent more machines than the later jobs need
        cluster.submit(plays=7, vcpus=1.0, memory_gb=30.0, expected_s=40.0, **UNCONSTRAINED_JOB | {"crew": f"team-{i}"})
    cluster.run(10.0)
    for i in range(18):
        cluster.submit(plays=4, vcpus=2.0, expected_s=150.0, **UNCONSTRAINED_JOB | {"crew": f"team-{i % 3}"})
    cluster.run(75.0)
    used_cpus = dict.fromkeys(("team-0", "team-1", "team-2"), 0.0)
    for machine in cluster.cloud.machines.values():
        for task_id, _ in machine.started_tasks():
            spec = cluster.jobs[task_id.rpartition("/")[0]].spec
            used_cpus[spec["crew"]] += spec["vcpus"]
    assert all(16.0 - 2.0 < cpus <= 16.0 for cpus in used_cpus.values())  # in no team does a further task fit
    cancelled = user_requests.cancel_running_jobs(cluster, 4, hang_s=0.0 if cut_off else 25.0, min_remaining_s=10.0)
    assert len(cancelled) == 4
    if cut_off:
        for machine in cluster.cloud.machines.values():
            if any(task_id.rpartition("/")[0] in cancelled for task_id, _ in machine.started_tasks()):
                cluster.event_counts["machine of a cancelled job cut off"] += 1
                for name in cluster.node_names:
                    cluster.network.cut(name, machine.name)
        cluster.call_later(25.0, cluster.network.heal)
    cluster.call_later(0.3, lambda: _crash_owners(cluster, downtime_s=1.0))
    cluster.run(60.0)
    assert all(cluster.jobs[job_id].final_status == "cancelled" for job_id in cancelled)
    return cluster


@pytest.mark.parametrize("cut_off", [False, True], ids=["hang", "cut off"])
@pytest.mark.parametrize("seed", SEEDS)
def test_cancelled_jobs_on_unreachable_machines_stop_with_teams_at_quota(seed, cut_off):
    cluster = _cancel_with_teams_at_quota(seed, cut_off)
    assert (
        cluster.event_counts["machine of a cancelled job cut off" if cut_off else "machine of a cancelled job hung"]
        >= 2
    )
    assert cluster.event_counts["owner crashed"] > 0
    running_jobs = {
        task_id.rpartition("/")[0]
        for machine in cluster.cloud.machines.values()
        for task_id, _ in machine.started_tasks()
    }
    assert running_jobs and not any(cluster.jobs[job_id].final_status == "cancelled" for job_id in running_jobs)


def test_not_counting_tasks_of_cancelled_jobs_violates_quota(monkeypatch):
    def allocated_to_active_jobs(self, resource=0):
        return sum(
            job.resources[resource] * (len(job.attempts) + len(job.staged))
            for job in self.jobs.values()
            if job.spec is not None
        )

    monkeypatch.setattr(TeamState, "allocated", allocated_to_active_jobs)
    with pytest.raises(RuleViolationError, match="quota"):
        for seed in SEEDS:
            _cancel_with_teams_at_quota(seed, False)


def test_cancelled_tasks_on_hung_machines_stop_in_time():
    """The machines hang for longer than `cancel_s`, so that only their release ends their tasks."""
    cluster = _cancel_on_hung_machines(1)
    assert cluster.event_counts["machine of a cancelled job hung"] >= 2


def _cancel_on_hung_machines(seed: int) -> SimulatedCluster:
    cluster = SimulatedCluster(seed, cpu_limit=48.0)
    cluster.run(15.0)
    for _ in range(8):
        cluster.submit(plays=3, vcpus=2.0, expected_s=120.0, **UNCONSTRAINED_JOB)
    cluster.run(25.0)
    cancelled = user_requests.cancel_running_jobs(cluster, 3, hang_s=50.0, min_remaining_s=20.0)
    assert len(cancelled) == 3
    cluster.run(70.0)
    return cluster


def test_not_releasing_hung_machines_violates_cancellation_deadline(monkeypatch):
    monkeypatch.setattr(FleetManager, "_release", lambda self, now: None)
    with pytest.raises(RuleViolationError, match="ran_cancelled"):
        _cancel_on_hung_machines(1)


# -- cancellations during an ownership handover


def _run_until_ownership_changes(
    cluster: SimulatedCluster, keys: Iterable[str], has_changed: Callable[[], bool]
) -> None:
    """Run until one of the keys is deleted or `has_changed` returns true, for a minute at most."""
    for _ in range(600):
        cluster.run(0.1)
        if has_changed() or any(key not in cluster.state.rows for key in keys):
            return


def _cancel_during_handover(seed: int, is_planned: bool) -> SimulatedCluster:
    """Cancel a job every 0.15 s from the start of a handover until the new owners have reconciled."""
    cluster = SimulatedCluster(seed, cpu_limit=48.0)
    cluster.cloud.capacity_per_pool = 4
    cluster.run(15.0)
    if is_planned:  # the others own everything while a node is down; its return causes the handover
        cluster.crash("n1", 40.0)
        cluster.run(12.0)
    for i in range(40):
        cluster.call_later(0.3 * i, lambda: cluster.submit(plays=2, vcpus=1.0, expected_s=25.0, **UNCONSTRAINED_JOB))
    cluster.run(20.0)
    revisions_before = {
        key: row[1] for key, row in cluster.state.rows.items() if key.startswith("own/") and "node" not in key
    }
    remaining = iter(list(cluster.jobs))

    def cancel_one() -> None:
        job_id = next(remaining, None)
        if job_id is not None:
            if cluster.jobs[job_id].final_status is None:
                cluster.event_counts["job cancelled during a handover"] += 1
                cluster.cancel(job_id)
            cluster.call_later(0.15, cancel_one)

    def has_changed() -> bool:
        return any(
            revisions_before.get(key) != row[1] for key, row in cluster.state.rows.items() if key in revisions_before
        )

    if is_planned:
        _run_until_ownership_changes(cluster, revisions_before, has_changed)
    else:
        _crash_owners(cluster)
        cluster.run(1.0)
    cancel_one()
    for _ in range(100):
        cluster.run(0.1)
    assert has_changed()
    cluster.run(60.0)
    return cluster


@pytest.mark.parametrize("is_planned", [False, True], ids=["crash", "hand-over"])
@pytest.mark.parametrize("seed", SEEDS)
def test_cancellations_hold_during_ownership_handover(seed, is_planned):
    cluster = _cancel_during_handover(seed, is_planned)
    assert cluster.event_counts["job cancelled during a handover"] >= 15
    assert_all_finished(cluster)
    assert not [late_start for late_start in cluster.late_starts if late_start[3] == "owner unaware"], (
        cluster.late_starts
    )
    # Only tasks whose start was in flight or whose image was being fetched when the cancellation was confirmed.
    assert all(seconds < 2.5 for _, _, seconds, _ in cluster.late_starts), cluster.late_starts


# -- overload over slow links


def _overload_over_slow_links(seed: int) -> SimulatedCluster:
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
    waiting_count = sum(job.started_at is None for job in cluster.jobs.values())
    cluster.event_counts["waiting job"] = waiting_count
    user_requests.cancel_running_jobs(cluster, 5, min_remaining_s=1.0)
    for _ in range(40):
        if cluster.unfinished_jobs():
            cluster.run(10.0)
    return cluster


@pytest.mark.parametrize("seed", SEEDS)
def test_overload_over_slow_links_prefers_urgent_jobs(seed):
    cluster = _overload_over_slow_links(seed)
    assert cluster.event_counts["waiting job"] >= 5 and cluster.event_counts["running job cancelled"] >= 3
    assert_all_finished(cluster)
    start_delays = {
        urgency: [
            job.started_at - job.submitted_at
            for job in cluster.jobs.values()
            if job.spec["urgency"] == urgency and job.started_at is not None
        ]
        for urgency in ("urgent", "low")
    }
    assert sum(start_delays["urgent"]) / len(start_delays["urgent"]) < sum(start_delays["low"]) / len(
        start_delays["low"]
    )


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
    largest_jobs = [
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
    for job_id in largest_jobs:
        assert cluster.jobs[job_id].started_at is not None
        assert cluster.jobs[job_id].started_at - cluster.jobs[job_id].accepted_at < 240.0


# -- jobs bound to one zone


def _lose_machines_of_zone_bound_jobs(seed: int) -> SimulatedCluster:
    """Fail half of the busy machines twice while jobs run that are bound to a zone or must share one."""
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
        busy_machines = [machine for machine in cluster.cloud.machines.values() if machine.started_tasks()]
        for machine in busy_machines[: (len(busy_machines) + 1) // 2]:
            cluster.event_counts["machine with tasks lost"] += 1
            cluster.event_counts["tasks lost"] += len(machine.started_tasks())
            machine.fail()
        cluster.run(6.0)
    assert any(cluster.jobs[job_id].final_status is None for job_id in jobs)
    cluster.run(220.0)
    return cluster


@pytest.mark.parametrize("seed", SEEDS)
def test_zone_bound_jobs_survive_machine_loss(seed):
    cluster = _lose_machines_of_zone_bound_jobs(seed)
    assert cluster.event_counts["machine with tasks lost"] >= 4 and cluster.event_counts["tasks lost"] >= 8
    assert_all_finished(cluster)
    assert cluster.task_starts >= 32 + 8
    assert {job.final_status for job in cluster.jobs.values()} == {"done"}


def test_ignoring_zone_limits_violates_placement(monkeypatch):
    _ignore_zone_limits(monkeypatch)
    with pytest.raises(RuleViolationError, match="wrong_place"):
        for seed in SEEDS:
            _lose_machines_of_zone_bound_jobs(seed)
