"""Scheduling cycles over partitions in memory, with random jobs and machines, and a check of what they leave waiting.

The cycle, the planner, the partitions' inquiries and grants, and the staging are the real ones. The mesh answers at
once, and a commit makes staged attempts durable and starts them.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from types import SimpleNamespace
from typing import Any

from tealhook.jobs.job import Job
from tealhook.jobs.job_entry import JobEntry
from tealhook.jobs.team import TeamState
from tealhook.partitions.inquiries import allows_machine
from tealhook.partitions.machine import (
    AttemptKey,
    CapacityHold,
    Machine,
    MachineTask,
    count_fitting,
    required_resources,
)
from tealhook.partitions.partition import Partition
from tealhook.partitions.state import PartitionState
from tealhook.scheduling.cycle import SchedulingCycle
from tealhook.wire import cloud, mesh, workers
from tealhook.wire.common import Resources
from tealhook.wire.job_parser import InvalidJobError, parse_job
from tealhook.wire.users import JobKind, JobSpec
from tests.simulated_cluster import SimulatedCluster

ZONES = ("za", "zb", "zc")
MACHINE_TYPES = {
    name: cloud.MachineType(name, vcpus, memory_gb, gpus, disk_gb=20.0, fetch_gb_per_s=0.5, zones=list(ZONES))
    for name, vcpus, memory_gb, gpus in (("small", 8.0, 32.0, 0.0), ("large", 16.0, 64.0, 0.0), ("gpu", 8.0, 64.0, 4.0))
}
OTHER_JOB = "req-held"  # holds capacity, and its tasks run until the end and can't be preempted
TEAM_LIMITS = (0.0, 24.0, 64.0)  # CPUs; 0 stands for no limit
REPORT_S = 1.0
CYCLES_S = 20.0  # time for cycles: several for each job, even at the longest pause


class SimulatedPlacement:
    """Random teams, jobs and machines of one controller that owns everything; the same seed gives the same ones."""

    def __init__(self, seed: int) -> None:
        self.cluster = SimulatedCluster(seed, nodes=1)
        self.cluster.cloud.capacity_per_pool = 0
        self.cluster.run(5.0)
        self.rng = self.cluster.rng
        controller: Any = self.cluster.controllers["n0"]
        self.context = controller.context
        self.job_index = controller.job_index
        self.is_backlogged = False
        self.teams = {f"team-{i}": self._create_team(f"team-{i}") for i in range(len(TEAM_LIMITS))}
        self.partitions = {zone: self._create_partition(zone) for zone in ZONES}
        self.jobs: dict[str, Job] = {}
        for number in range(self.rng.randint(2, 12)):
            self._add_random_job(f"req-{number:06d}")

    # -- what exists

    def _create_team(self, name: str) -> TeamState:
        team = TeamState(name, 1)
        team.is_ready = True
        team.cpu_limit = self.rng.choice(TEAM_LIMITS)
        return team

    def _create_partition(self, zone: str) -> Partition:
        state = PartitionState(self.context, zone, 1, self.job_index, MACHINE_TYPES, {})
        nothing = SimpleNamespace(
            answer_now=lambda name: False,
            must_not_launch=lambda: False,
            publish_status=lambda team, update: None,
            on_unknown_job=lambda job: None,
            on_unowned_zone=lambda zone: None,
        )
        for number in range(self.rng.randint(0, 4)):
            machine = self._create_machine(f"host-{zone}-{number}", zone)
            state.machines[machine.name] = machine
        return Partition(state, nothing, nothing)

    def _create_machine(self, name: str, zone: str) -> Machine:
        rng, now = self.rng, self.context.effects.now()
        machine_type = rng.choice(list(MACHINE_TYPES.values()))
        spot = rng.random() < 0.5
        machine = Machine(workers.Heartbeat(name, "10.1.0.1:9000", machine_type.name, zone, 1, 1, 1, spot), now)
        machine.is_reconciled = True
        machine.is_draining = rng.random() < 0.1
        machine.is_unhealthy = rng.random() < 0.1
        used = Resources(float(rng.choice((0, 0, 4, 6, 8))), 0.0, 4.0)
        if used.vcpus:
            self.start_task(machine, OTHER_JOB, 0, 1, used)
        if rng.random() < 0.2:
            machine.capacity_hold = CapacityHold(OTHER_JOB, now + 1e6)
        if rng.random() < 0.3:
            machine.add_image(f"img-{rng.randrange(3)}", 0.5, 20.0)
        return machine

    def start_task(
        self, machine: Machine, job: str, index: int, attempt: int, resources: Resources, preemptible: bool = False
    ) -> None:
        """Let a machine run a task from now on; it never ends by itself."""
        now = self.context.effects.now()
        task = MachineTask(f"{job}/{index}", job, index, attempt, workers.TaskStatus.RUNNING, None, now, now)
        task.resources = resources
        task.non_preemptible = not preemptible
        machine.tasks[AttemptKey(task.task_id, attempt)] = task
        machine.mark_changed()

    def _add_random_job(self, job_id: str) -> None:
        """Add a job with random constraints; combinations that submissions may not have are drawn again."""
        while True:
            try:
                spec = parse_job(json.dumps(self._random_spec(job_id)).encode())
            except InvalidJobError:
                continue
            if not (spec.spread and spec.kind == JobKind.GANG):  # such a gang has no legal placement in one partition
                break
        # From an age of 80 s on, a job is starving, and overdue until it begins.
        job = self.add_job(spec, age_s=self.rng.choice((0.0, 0.0, 100.0, 300.0)))
        machines = list(self.machines())
        for machine in self.rng.sample(machines, min(2, len(machines))):
            if self.rng.random() < 0.4:
                job.record_failure(machine.name)

    def _random_spec(self, job_id: str) -> dict:
        rng = self.rng
        return {
            "name_id": job_id,
            "lineup": "x",
            "crew": rng.choice(list(self.teams)),
            "shape": rng.choice(["array", "array", "array", "group", "service"]),
            "urgency": rng.choice(["urgent", "standard", "standard", "low"]),
            "plays": rng.randint(1, 8),
            "vcpus": float(rng.choice([1, 2, 4, 8])),
            "cards": float(rng.choice([0, 0, 0, 1])),
            "memory_gb": 4.0,
            "playbook": f"img-{rng.randrange(3)}",
            "pull_gb": 0.5,
            "rigs": rng.choice([None, None, ["large"], ["small", "gpu"]]),
            "yard": rng.choice([None, None, *ZONES]),
            "together": rng.random() < 0.4,
            "spread": rng.random() < 0.3,
            "loaners": rng.random() < 0.6,
            "expected_s": rng.uniform(1.0, 60.0),
            "snapshot_every_s": 0.0,
            "snapshot_s": 0.0,
        }

    def add_job(self, spec: JobSpec, age_s: float = 0.0) -> Job:
        """Add a job that has waited for `age_s` seconds."""
        now = self.context.effects.now()
        job = Job(
            spec.job_id, spec.team, JobEntry(spec, spec.team, len(self.jobs) + 1, self.context.effects.wall()), now
        )
        job.is_loaded = True
        job.schedulable_since = job.waiting_since = now - age_s
        self.jobs[job.id] = self.teams[job.team].jobs[job.id] = job
        return job

    def remove_all(self) -> None:
        """Remove all machines and jobs."""
        for partition in self.partitions.values():
            partition.machines.clear()
        self.jobs.clear()
        for team in self.teams.values():
            team.jobs.clear()

    def create_idle_machine(self, name: str, zone: str) -> Machine:
        """Add a machine of 8 CPUs that runs nothing."""
        heartbeat = workers.Heartbeat(name, "10.1.0.1:9000", "small", zone, 1, 1, 1, False)
        machine = Machine(heartbeat, self.context.effects.now())
        machine.is_reconciled = True
        self.partitions[zone].machines[name] = machine
        return machine

    def machines(self) -> Iterator[Machine]:
        for partition in self.partitions.values():
            yield from partition.machines.values()

    # -- what the cycle depends on: ownership, mesh, store and commit queue

    @staticmethod
    def zones() -> list[str]:
        return list(ZONES)

    @staticmethod
    def owner(_key: str) -> str:
        return "n0"

    @staticmethod
    def is_reachable(_node: str) -> bool:
        return True

    is_lease_uncertain = False
    is_served = True

    @staticmethod
    def available_writes(_priority: object) -> int:
        return 16

    def call(self, _peer: str, request: Any, _timeout_s: float, on_reply: Callable[[Any], None]) -> None:
        partition = self.partitions[request.zone]
        reply = (
            partition.reserve(request)
            if isinstance(request, mesh.ReserveRequest)
            else partition.inquire(request.requirements, request.restrictions)
        )
        on_reply(reply)

    def schedule_commit(self, _delay_s: float | None = None) -> None:
        """Make all staged attempts durable, and start them in place of their reservations."""
        for job in self.jobs.values():
            for index, attempt in job.staged.items():
                partition = self.partitions[attempt.zone]
                machine = partition.reservations.machine_of(attempt.reservation_id)
                assert machine is not None
                partition.reservations.settle(machine, machine.reservations[attempt.reservation_id])
                self.start_task(machine, job.id, index, attempt.number, job.resources)
                job.attempts[index] = attempt
            job.staged.clear()

    # -- running

    def start(self) -> None:
        SchedulingCycle(self.context, self, self, self, self.teams, self.job_index, self)  # type: ignore[arg-type]

    def run(self, seconds: float = CYCLES_S) -> None:
        """Run cycles while all machines send heartbeats."""
        for _ in range(int(seconds / REPORT_S)):
            for machine in self.machines():
                machine.last_heartbeat_at = self.context.effects.now()
            self.cluster.run(REPORT_S)

    def lose_random_machine(self) -> None:
        """Lose one of the machines that run tasks, with these tasks."""
        lost = self.rng.choice([machine for machine in self.machines() if machine.tasks] or [None])
        if lost is None:
            return
        for partition in self.partitions.values():
            partition.remove_machine(lost.name)
        for job in self.jobs.values():
            for index, attempt in list(job.attempts.items()):
                if attempt.machine == lost.name:
                    del job.attempts[index]
                    job.return_task(index, self.context.effects.now())

    def find_left_waiting(self) -> list[str]:
        """Run cycles, lose a machine and run more; return a line for each job left waiting before or after that."""
        self.start()
        self.run()
        left_waiting = self.placeable_jobs()
        if left_waiting:
            return left_waiting
        self.lose_random_machine()
        self.run()
        return [f"after the loss of a machine: {line}" for line in self.placeable_jobs()]

    # -- what is left waiting

    def placeable_jobs(self) -> list[str]:
        """Return a line for each job that has a waiting task for which a legal placement exists."""
        return [
            f"{job.id}: {job.count_waiting()} waiting, zones {job.occupied_zones()}, {job.avoided_machines}, {job.spec}"
            for job in self.jobs.values()
            if job.count_waiting() and any(self._count_placeable(job, zone) for zone in ZONES)
        ]

    def _count_placeable(self, job: Job, zone: str) -> int:
        """Return the number of waiting tasks that may be placed in a zone now: of a gang, all or none."""
        spec = job.spec
        assert spec is not None
        if spec.zone not in (None, zone) or spec.single_zone and job.occupied_zones() - {zone}:
            return 0
        count = job.count_waiting()
        if spec.spread:
            count = min(count, (spec.task_count + 1) // 2 - job.count_in_zone(zone))
        team = self.teams[job.team]
        if team.cpu_limit:
            # Part of the limit is reserved for overdue jobs, for as long as others have not waited for long.
            free_cpus = team.cpu_limit - team.allocated() - team.reserved_for_overdue[0]
            count = min(count, int((free_cpus + 1e-6) / spec.vcpus))
        count = min(count, sum(self._count_on(machine, job) for machine in self.partitions[zone].machines.values()))
        if job.is_gang and (count < job.count_waiting() or job.attempts):
            return 0
        return max(0, count)

    def _count_on(self, machine: Machine, job: Job) -> int:
        requirements = job.build_requirements()
        partition = next(p for p in self.partitions.values() if machine.name in p.machines)
        if (
            not machine.accepts_tasks(self.context.effects.now(), 2 * REPORT_S)
            or not allows_machine(requirements, machine)
            or machine.name in job.avoided_machines
            or machine.capacity_hold is not None
        ):
            return 0
        return count_fitting(partition.capacity.free_resources(machine), required_resources(requirements))
