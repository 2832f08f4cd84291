"""The rules of the protocol, checked against what the workers really hold and what users were told."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from tests import dependency_graphs
from tests.simulation.errors import RuleViolationError
from tests.versions import active_jobs, owned_partitions

if TYPE_CHECKING:
    from tests.simulated_cluster import SimulatedCluster
    from tests.simulation.jobs import SimulatedJob
    from tests.standins import Worker

RECOVERY_ANSWER_S = 75.0  # within it some query of each accepted job is answered, once all faults have ended
ANSWER_TIMEOUT_S = 90.0  # and during faults within this, if most queries of other jobs are
MAX_WAIT_S = 90.0  # so long at most a job waits beside free capacity, once all faults have ended


class RuleChecker:
    """Raises `BrokenRuleError` as soon as a rule is broken."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster = cluster
        self._polls: deque[tuple[float, str, bool]] = deque()
        self._fetching: dict[tuple[str, str, int], tuple[float, bool]] = {}

    def record_poll(self, job_id: str, answered: bool) -> None:
        """A poll of a job got its answer, or was given up."""
        self._polls.append((self.cluster.now, job_id, answered))

    def check_start(self, machine: Worker, key: tuple[str, int]) -> None:
        """A task starts: it holds its image now."""
        self.cluster.task_starts += 1
        job_id = key[0].rpartition("/")[0]
        if job_id not in self.cluster.jobs:
            raise RuleViolationError(f"accepted_wrong: {key} runs")
        job = self.cluster.jobs[job_id]
        self._check_late(machine, key, job)
        job.progressed_at = self.cluster.now
        dependency_graphs.check_start(self.cluster, key[0], job)
        if job.started_at is None:
            job.started_at = self.cluster.now
        spec = job.spec
        zones: dict[str, int] = {}
        for other in self.cluster.cloud.machines.values():
            for task, attempt in other.started_tasks():
                if task == key[0] and (other is not machine or attempt != key[1]):
                    raise RuleViolationError(f"ran_twice: {key} on {machine.name}, attempt {attempt} on {other.name}")
                if task.startswith(job_id + "/"):
                    zones[other.zone] = zones.get(other.zone, 0) + 1
        self._check_placement(machine, key, spec, zones)

    def _check_placement(self, machine: Worker, key: tuple[str, int], spec: dict, zones: dict[str, int]) -> None:
        """A task's machine is one of those that its job asks for; `zones`: how many of the job's tasks are in each."""
        if machine.spot and not spec["loaners"]:
            raise RuleViolationError(f"wrong_place: {key} on a spot machine")
        if spec["rigs"] and machine.machine_type["name"] not in spec["rigs"]:
            raise RuleViolationError(f"wrong_place: {key} on {machine.machine_type['name']}")
        if spec["yard"] and machine.zone != spec["yard"]:
            raise RuleViolationError(f"wrong_place: {key} in {machine.zone}")
        if spec["together"] and len(zones) > 1:
            raise RuleViolationError(f"wrong_place: {key}: together, but in {zones}")
        if spec["spread"] and max(zones.values()) > (spec["plays"] + 1) // 2:
            raise RuleViolationError(f"wrong_place: {key}: spread, but in {zones}")

    def _check_late(self, machine: Worker, key: tuple[str, int], job: SimulatedJob) -> None:
        """No task may start after a confirmed cancellation, save one whose launch was under way."""
        if job.cancelled_at is None or self.cluster.now <= job.cancelled_at:
            return
        late = self.cluster.now - job.cancelled_at
        since, unaware = self._fetching.get((machine.name, *key), (self.cluster.now, self._unaware(machine, key)))
        kind = "pulling" if since <= job.cancelled_at else "owner unaware" if unaware else "in flight"
        self.cluster.late_starts.append((key[0], machine.name, late, kind))
        if late > self.cluster.settings.params.workers.cancel_s:
            raise RuleViolationError(
                f"ran_cancelled: {key[0]} starts on {machine.name} {late:.1f} s after its cancellation"
            )

    def _unaware(self, machine: Worker, key: tuple[str, int]) -> bool:
        """Whether some node that takes itself for the owner of a machine has not seen its task's job end."""
        job_id = key[0].rpartition("/")[0]
        return any(
            machine.name in partition.machines and job_id in active_jobs(node)
            for node in self.cluster.controllers.values()
            for partition in owned_partitions(node).values()
        )

    def check(self) -> None:
        """All that holds after each step; what takes long to come about, once a second."""
        self._note_fetching()
        self._check_running()
        if int(self.cluster.now * 10) % 10 == 0:
            self._check_answered()
            self._check_waiting()

    def _note_fetching(self) -> None:
        """Since when each task is fetching its image, and whether its machine's owner had not seen its job end."""
        self._fetching = {
            at: self._fetching.get(at) or (self.cluster.now, self._unaware(machine, key))
            for machine in self.cluster.cloud.machines.values()
            for key, task in machine.tasks.items()
            if task["status"] == "pulling"
            for at in [(machine.name, *key)]
        }

    def _check_running(self) -> None:
        """No task runs on after its job's cancellation, or another's before it; no team exceeds its limit."""
        used: dict[str, float] = {}
        params = self.cluster.settings.params
        for machine in self.cluster.cloud.machines.values():
            for task, _attempt in machine.started_tasks():
                job = self.cluster.jobs[task.rpartition("/")[0]]
                used[job.spec["crew"]] = used.get(job.spec["crew"], 0.0) + job.spec["vcpus"]
                if job.cancelled_at is not None and self.cluster.now > job.cancelled_at + params.workers.cancel_s:
                    raise RuleViolationError(f"ran_cancelled: {task} on {machine.name}")
                if dependency_graphs.is_orphaned(self.cluster, job):
                    raise RuleViolationError(f"orphaned: {task} on {machine.name}")
        for team, cpus in used.items():
            if cpus > params.teams[0].cpus_max + 1e-6:
                raise RuleViolationError(f"quota: {team} uses {cpus}")

    def _check_answered(self) -> None:
        """Queries of every accepted job are answered, at the latest once all faults have ended."""
        while self._polls and self._polls[0][0] < self.cluster.now - ANSWER_TIMEOUT_S:
            self._polls.popleft()
        for job_id, job in self.cluster.jobs.items():
            if not job.accepted or job.unanswered_since is None:
                continue
            job.longest_unanswered_s = max(job.longest_unanswered_s, self.cluster.now - job.unanswered_since)
            if (
                self.cluster.now - max(job.unanswered_since, job.accepted_at, self.cluster.faults_ended_at)
                > RECOVERY_ANSWER_S
            ):
                raise RuleViolationError(
                    f"forgotten: no question about {job_id} is answered since {job.unanswered_since:.1f}"
                )
            if self.cluster.now - max(job.unanswered_since, job.accepted_at) > ANSWER_TIMEOUT_S:
                others = [answered for _, other, answered in self._polls if other != job_id]
                if sum(others) > len(others) / 2:
                    raise RuleViolationError(
                        f"forgotten: no poll of {job_id} is answered since {job.unanswered_since:.1f}"
                    )

    def _check_waiting(self) -> None:
        """Once all faults have ended, no job starves beside a machine that fits and has free capacity."""
        if self.cluster.now < self.cluster.faults_ended_at:
            return
        zones_of: dict[str, dict[str, str]] = {}  # job -> task -> zone
        allocated: dict[str, float] = {}
        for machine in self.cluster.cloud.machines.values():
            for name, _attempt in machine.active_tasks():
                job_id = name.rpartition("/")[0]
                zones_of.setdefault(job_id, {})[name] = machine.zone
                spec = self.cluster.jobs[job_id].spec
                allocated[spec["crew"]] = allocated.get(spec["crew"], 0.0) + spec["vcpus"]
        limit = self.cluster.settings.params.teams[0].cpus_max
        for job_id, job in self.cluster.jobs.items():
            if not job.accepted or job.final_status is not None or job.cancel_requested or job.always_fails:
                continue
            if dependency_graphs.is_blocked(self.cluster, job):
                job.progressed_at = self.cluster.now
                continue
            zones = zones_of.get(job_id, {})
            waiting = [name for name in job.task_ids() if name not in self.cluster.finished_tasks and name not in zones]
            under = allocated.get(job.spec["crew"], 0.0) + job.spec["vcpus"] <= limit + 1e-6
            if (
                not waiting
                or not under
                or not any(
                    self._has_capacity(machine, job.spec, list(zones.values()))
                    for machine in self.cluster.cloud.machines.values()
                )
            ):
                job.progressed_at = self.cluster.now
            elif self.cluster.now - max(job.progressed_at, job.accepted_at, self.cluster.faults_ended_at) > MAX_WAIT_S:
                raise RuleViolationError(f"left_waiting: {job_id} lacks {waiting} since {job.progressed_at:.1f}")

    def _has_capacity(self, machine: Worker, spec: dict, zones: list[str]) -> bool:
        """Whether a machine in good order could take a task of a job whose others are in these zones."""
        net = self.cluster.network
        if not machine.up or machine.dead or machine.hung or machine.faulty or machine.termination_at is not None:
            return False
        if machine.name in net.command_blackholes or machine.name in net.heartbeat_blackholes:
            return False
        if self.cluster.now - machine.lease_renewed_at > self.cluster.settings.params.workers.lease_s / 2:
            return False
        if machine.spot and not spec["loaners"] or spec["rigs"] and machine.machine_type["name"] not in spec["rigs"]:
            return False
        if spec["yard"] and machine.zone != spec["yard"] or spec["together"] and set(zones) - {machine.zone}:
            return False
        if spec["spread"] and zones.count(machine.zone) >= (spec["plays"] + 1) // 2:
            return False
        specs = [self.cluster.jobs[name.rpartition("/")[0]].spec for name, _ in machine.active_tasks()]
        return all(
            sum(other[what] for other in specs) + spec[what] <= machine.machine_type[what] + 1e-6
            for what in ("vcpus", "memory_gb")
        )
