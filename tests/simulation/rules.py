"""The rules of the protocol, checked against the actual state of the workers and the answers that users got."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import TYPE_CHECKING

from tests import dependency_graphs
from tests.simulation.errors import RuleViolationError
from tests.versions import active_jobs, owned_partitions

if TYPE_CHECKING:
    from tests.simulated_cluster import SimulatedCluster
    from tests.simulation.jobs import SimulatedJob
    from tests.standins import Worker

RECOVERY_ANSWER_S = 75.0  # once all faults have ended, a query of each accepted job is answered within this time
ANSWER_TIMEOUT_S = 90.0  # limit for such a query during faults, as long as most queries of other jobs are answered
MAX_WAIT_S = 90.0  # longest time that a job may wait beside free capacity, once all faults have ended


class RuleChecker:
    """A checker that raises `RuleViolationError` as soon as a rule is violated."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster = cluster
        self._begun_on: dict[tuple[str, int], str] = {}  # task and attempt -> the machine that was told to start it
        self._polls: deque[tuple[float, str, bool]] = deque()
        # Machine, task and attempt -> start of the image fetch, and whether the owner was unaware of the job's end.
        self._fetching: dict[tuple[str, str, int], tuple[float, bool]] = {}

    def check_attempt(self, machine: Worker, key: tuple[str, int]) -> None:
        """Check that a start command begins an attempt for the first time, on whichever machine."""
        if key in self._begun_on:
            raise RuleViolationError(f"started_again: {key} on {machine.name}, begun before on {self._begun_on[key]}")
        self._begun_on[key] = machine.name

    def forget_attempts(self, keys: Iterable[tuple[str, int]]) -> None:
        """Allow attempts that a machine has lost unnoticed, as it restarted, to begin once more."""
        for key in keys:
            self._begun_on.pop(key, None)

    def record_poll(self, job_id: str, answered: bool) -> None:
        """Record that a poll of a job was answered, or failed or timed out."""
        self._polls.append((self.cluster.now, job_id, answered))

    def check_start(self, machine: Worker, key: tuple[str, int]) -> None:
        """Check that a task may start on a machine now that its image is fetched."""
        self.cluster.task_starts += 1
        job_id = key[0].rpartition("/")[0]
        if job_id not in self.cluster.jobs:
            raise RuleViolationError(f"accepted_wrong: {key} runs on {machine.name}, but its job was never submitted")
        job = self.cluster.jobs[job_id]
        self._check_late_start(machine, key, job)
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
        """Check that a machine meets the placement constraints of a job, given the number of its tasks in each zone."""
        if machine.spot and not spec["loaners"]:
            raise RuleViolationError(f"wrong_place: {key} runs on spot machine {machine.name}")
        if spec["rigs"] and machine.machine_type["name"] not in spec["rigs"]:
            raise RuleViolationError(
                f"wrong_place: {key} runs on machine type {machine.machine_type['name']}, not one of {spec['rigs']}"
            )
        if spec["yard"] and machine.zone != spec["yard"]:
            raise RuleViolationError(f"wrong_place: {key} runs in zone {machine.zone}, not in {spec['yard']}")
        if spec["together"] and len(zones) > 1:
            raise RuleViolationError(f"wrong_place: {key} must share a zone with its job, whose tasks are in {zones}")
        if spec["spread"] and max(zones.values()) > (spec["plays"] + 1) // 2:
            raise RuleViolationError(
                f"wrong_place: {key} must be spread over zones, but its job's tasks are in {zones}"
            )

    def _check_late_start(self, machine: Worker, key: tuple[str, int], job: SimulatedJob) -> None:
        """Check that no task starts after a confirmed cancellation, unless its start was already in progress."""
        if job.cancelled_at is None or self.cluster.now <= job.cancelled_at:
            return
        late_s = self.cluster.now - job.cancelled_at
        fetching_since, is_owner_unaware = self._fetching.get(
            (machine.name, *key), (self.cluster.now, self._is_owner_unaware(machine, key))
        )
        kind = "pulling" if fetching_since <= job.cancelled_at else "owner unaware" if is_owner_unaware else "in flight"
        self.cluster.late_starts.append((key[0], machine.name, late_s, kind))
        if late_s > self.cluster.settings.params.workers.cancel_s:
            raise RuleViolationError(
                f"ran_cancelled: {key[0]} starts on {machine.name} {late_s:.1f} s after its cancellation"
            )

    def _is_owner_unaware(self, machine: Worker, key: tuple[str, int]) -> bool:
        """Check whether a node that considers itself the owner of a machine has not seen a task's job end."""
        job_id = key[0].rpartition("/")[0]
        return any(
            machine.name in partition.machines and job_id in active_jobs(controller)
            for controller in self.cluster.controllers.values()
            for partition in owned_partitions(controller).values()
        )

    def check(self) -> None:
        """Check the rules that hold after each step, and once a second those with long time limits."""
        self._record_fetching()
        self._check_running()
        if int(self.cluster.now * 10) % 10 == 0:
            self._check_answered()
            self._check_waiting()

    def _record_fetching(self) -> None:
        """Record when each task began to fetch its image, and whether its owner was unaware of the job's end then."""
        self._fetching = {
            attempt: self._fetching.get(attempt) or (self.cluster.now, self._is_owner_unaware(machine, key))
            for machine in self.cluster.cloud.machines.values()
            for key, task in machine.tasks.items()
            if task["status"] == "pulling"
            for attempt in [(machine.name, *key)]
        }

    def _check_running(self) -> None:
        """Check that no task outlives the cancellation of its job or of a dependency, and no team exceeds its limit."""
        used: dict[str, float] = {}
        params = self.cluster.settings.params
        for machine in self.cluster.cloud.machines.values():
            for task, _attempt in machine.started_tasks():
                job = self.cluster.jobs[task.rpartition("/")[0]]
                used[job.spec["crew"]] = used.get(job.spec["crew"], 0.0) + job.spec["vcpus"]
                if job.cancelled_at is not None and self.cluster.now > job.cancelled_at + params.workers.cancel_s:
                    raise RuleViolationError(
                        f"ran_cancelled: {task} still runs on {machine.name}, cancelled at {job.cancelled_at:.1f}"
                    )
                if dependency_graphs.is_orphaned(self.cluster, job):
                    raise RuleViolationError(
                        f"orphaned: {task} still runs on {machine.name} after the cancellation of a dependency"
                    )
        for team, cpus in used.items():
            if cpus > params.teams[0].cpus_max + 1e-6:
                raise RuleViolationError(f"quota: {team} uses {cpus} CPUs, its limit is {params.teams[0].cpus_max}")

    def _check_answered(self) -> None:
        """Check that queries of every accepted job are answered in time, during faults and after them."""
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
                    f"forgotten: no poll of {job_id} is answered since {job.unanswered_since:.1f}, "
                    f"all faults ended at {self.cluster.faults_ended_at:.1f}"
                )
            if self.cluster.now - max(job.unanswered_since, job.accepted_at) > ANSWER_TIMEOUT_S:
                others_answered = [answered for _, other, answered in self._polls if other != job_id]
                if sum(others_answered) > len(others_answered) / 2:
                    raise RuleViolationError(
                        f"forgotten: no poll of {job_id} is answered since {job.unanswered_since:.1f}, "
                        "although most polls of other jobs are"
                    )

    def _check_waiting(self) -> None:
        """Check that once all faults have ended no job starves while a suitable machine has free capacity."""
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
            is_within_limit = allocated.get(job.spec["crew"], 0.0) + job.spec["vcpus"] <= limit + 1e-6
            if (
                not waiting
                or not is_within_limit
                or not any(
                    self._has_capacity(machine, job.spec, list(zones.values()))
                    for machine in self.cluster.cloud.machines.values()
                )
            ):
                job.progressed_at = self.cluster.now
            elif self.cluster.now - max(job.progressed_at, job.accepted_at, self.cluster.faults_ended_at) > MAX_WAIT_S:
                raise RuleViolationError(
                    f"left_waiting: tasks {waiting} of {job_id} wait beside free capacity since {job.progressed_at:.1f}"
                )

    def _has_capacity(self, machine: Worker, spec: dict, zones: list[str]) -> bool:
        """Check whether a healthy machine could run one more task of a job whose other tasks are in these zones."""
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
            sum(other[resource] for other in specs) + spec[resource] <= machine.machine_type[resource] + 1e-6
            for resource in ("vcpus", "memory_gb")
        )
