"""Scheduling cycles: no job starves; which tasks are preempted."""

import json

from tealhook.jobs.job_entry import JobEntry
from tealhook.partitions.machine import AttemptKey, Machine, MachineTask
from tealhook.partitions.packing import PackingOrder
from tealhook.partitions.pending_grant import PendingGrant
from tealhook.partitions.preemption import PreemptionPlanner, PreemptionScope
from tealhook.partitions.state import PartitionState
from tealhook.scheduling import candidates
from tealhook.settings.platform import Objective
from tealhook.wire import mesh, workers
from tealhook.wire.common import NO_RESOURCES
from tealhook.wire.job_parser import parse_job
from tests.simulated_cluster import SimulatedCluster, SimulatedJob
from tests.user_requests import ANY_PRIORITY_JOB, submit_periodically

JOB = ANY_PRIORITY_JOB | {"pull_gb": 0.6}


def _flood_of_short_jobs() -> SimulatedJob:
    """Short urgent jobs at more than the cluster can do, and one large job of low urgency among them."""
    cluster = SimulatedCluster(7, cpu_limit=1e6)
    submit_periodically(cluster, 0.8, urgency="urgent", plays=6, vcpus=4.0, expected_s=6.0, **JOB)
    cluster.run(30.0)
    large = cluster.jobs[cluster.submit(urgency="low", plays=60, vcpus=4.0, expected_s=30.0, **JOB)]
    cluster.run(150.0)
    return large


def test_large_job_starts_within_four_minutes_despite_short_jobs():
    large = _flood_of_short_jobs()
    assert large.started_at is not None and large.started_at - large.submitted_at < 240.0


def test_without_aging_large_job_starves(monkeypatch):
    whole = candidates.Candidate.__init__

    def unaged(self, team, job, spec, count, standing):
        whole(self, team, job, spec, count, standing._replace(starving=False, overdue=False, borrows=False))

    monkeypatch.setattr(candidates.Candidate, "__init__", unaged)
    assert _flood_of_short_jobs().started_at is None


def _preempted_jobs(due_s: float, preempt: bool = True) -> list[str]:
    """Whose task is stopped for an urgent one: a long job's, begun just now, or a short job's that has run longer."""
    cluster = SimulatedCluster(1, nodes=1)
    cluster.run(10.0)
    node = cluster.controllers["n0"]
    node.settings.params.objectives = [Objective("finished", "x", due_s)]
    machine = Machine(workers.Heartbeat("host-0", "10.1.0.1:9000", "small", "za", 1, 1, 1, True), cluster.now)
    for job, expected_s, ran_s in (("req-000001", 100.0, 5.0), ("req-000002", 20.0, 10.0)):
        spec = parse_job(
            json.dumps(
                {
                    "name_id": job,
                    "lineup": "x",
                    "crew": "team-0",
                    "shape": "array",
                    "urgency": "standard",
                    "plays": 10,
                    "vcpus": 4.0,
                    "cards": 0.0,
                    "memory_gb": 4.0,
                    "playbook": "img-0",
                    "pull_gb": 0.0,
                    "together": False,
                    "spread": False,
                    "loaners": True,
                    "expected_s": expected_s,
                    "snapshot_every_s": 0.0,
                    "snapshot_s": 0.0,
                }
            ).encode()
        )
        node.job_index.active[job] = JobEntry(spec, "team-0", 1, node.context.effects.wall() - 20.0)
        held = MachineTask(
            f"{job}/0",
            job,
            0,
            1,
            "running",
            None,
            cluster.now - ran_s,
            running_since=node.context.effects.now() - ran_s,
        )
        machine.tasks[AttemptKey(held.task_id, 1)] = held
    state = PartitionState(node.context, "za", 1, node.job_index, node.machine_types, {}, {"host-0": machine})
    shape = mesh.TaskRequirements(4.0, 0.0, 4.0, "", 0.0, True, (), 2, 20.0)
    want = mesh.ReservationRequest("req-000003", "team-1", shape, 1, False, False, [], 1, preempt, False)
    pending = PendingGrant(want, PackingOrder([machine], lambda _machine: NO_RESOURCES), node.context.effects.now())
    scope = PreemptionScope.ANY if preempt else PreemptionScope.CHECKPOINTING
    plan = PreemptionPlanner(state).plan(machine, pending, scope)
    return [held.job for held in plan.victims] if plan is not None else []


def test_task_is_not_preempted_if_its_job_would_miss_its_deadline():
    """Guards against a job of long tasks that was stopped, with all that it had begun, each time it began anew."""
    assert _preempted_jobs(due_s=118.0) == ["req-000002"]  # 100 s more would not do, what is left of them does


def test_preemption_prefers_tasks_that_lose_least_progress():
    assert _preempted_jobs(due_s=1000.0) == ["req-000001"]


def test_tasks_without_checkpoint_are_not_preempted_early():
    assert _preempted_jobs(due_s=1000.0, preempt=False) == []


def _within_guarantee(sizes: list[int]) -> list[bool]:
    """Which jobs of tasks of 8 CPUs, in the order in which they came, lie within a guarantee of 1,800 CPUs."""
    cluster = SimulatedCluster(8, nodes=1, cpu_guarantee=1800.0, cpu_limit=3000.0)
    cluster.run(10.0)
    node = cluster.controllers["n0"]
    jobs = []
    for plays in sizes:
        jobs.append(cluster.submit(crew="team-0", urgency="standard", plays=plays, vcpus=8.0, expected_s=500.0, **JOB))
        cluster.run(1.0)
    found = {
        item.job.id: item.within_guarantee
        for item in node.team_scheduler.cycle.selector.select(node.context.effects.now())
    }
    return [found[job] for job in jobs]


def test_guarantee_of_1800_cpus_is_computed_exactly():
    """Jobs count whole, in the order in which they came; one that does not fit shuts out all that come after it."""
    assert _within_guarantee([100, 75, 50]) == [True, True, True]  # 1,800 to the CPU
    assert _within_guarantee([100, 75, 51]) == [True, True, False]
    assert _within_guarantee([100, 126, 1]) == [True, False, False]


def _team_at_its_limit() -> SimulatedJob:
    """Small tasks keep a team at its limit; a job of larger ones comes among them, and machines have room for it."""
    cluster = SimulatedCluster(5, cpu_limit=16.0, guarantee_objective=False, cpu_guarantee=16.0)
    submit_periodically(cluster, 2.0, crew="team-0", urgency="standard", plays=8, vcpus=1.0, expected_s=6.0, **JOB)
    cluster.run(30.0)
    large = cluster.jobs[cluster.submit(crew="team-0", urgency="standard", plays=2, vcpus=14.0, expected_s=10.0, **JOB)]
    cluster.run(200.0)
    return large


def test_large_tasks_start_although_small_ones_fill_the_quota():
    large = _team_at_its_limit()
    assert large.started_at is not None and large.started_at - large.submitted_at < 120.0


def test_without_quota_reservation_large_tasks_starve(monkeypatch):
    monkeypatch.setattr(
        candidates.CandidateSelector, "_reserve_for_overdue", lambda self, team, jobs, now, hold_age_s: None
    )
    assert _team_at_its_limit().started_at is None
