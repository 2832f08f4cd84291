"""DAG dependencies: the rules `too_early` and `orphaned`, and random pipelines of jobs."""

from __future__ import annotations

from typing import Any

from tests.simulation.errors import RuleViolationError
from tests.user_requests import UNCONSTRAINED_JOB

STEP_S = 0.25  # so often the user of a pipeline looks whether the next job may be submitted


# -- rules


def ancestors(cluster: Any, job: Any) -> list[str]:
    """All jobs that a job needs, directly or through others."""
    found: dict[str, None] = {}
    left = job.dependencies()
    while left:
        name = left.pop()
        if name not in found:
            found[name] = None
            left.extend(cluster.jobs[name].dependencies())
    return list(found)


def recorded_status(cluster: Any, name: str) -> str | None:
    row = cluster.state.rows.get(f"job/{name}")
    return row[0]["st"] if row is not None else None


def is_blocked(cluster: Any, job: Any) -> bool:
    """Whether a job that it needs is not done by its record."""
    return any(recorded_status(cluster, name) != "done" for name in job.dependencies())


def ancestor_cancelled_at(cluster: Any, job: Any) -> float | None:
    """When it was first told that a job before this one is cancelled, or this one accepted, if that came later."""
    told = [at for name in ancestors(cluster, job) if (at := cluster.jobs[name].cancelled_at) is not None]
    return max(min(told), job.accepted_at) if told else None


def is_orphaned(cluster: Any, job: Any) -> bool:
    """Whether it must be over by now for a job before it."""
    if not job.dependencies():
        return False
    since = ancestor_cancelled_at(cluster, job)
    return since is not None and cluster.now > since + cluster.settings.params.workers.cancel_s


def check_start(cluster: Any, task: str, job: Any) -> None:
    """A task starts: all that its job needs is done, and known to be."""
    for name in job.dependencies():
        if any(other not in cluster.finished_tasks for other in cluster.jobs[name].task_ids()):
            raise RuleViolationError(f"too_early: {task} starts before {name} is done")
        status = recorded_status(cluster, name)
        if status != "done":
            raise RuleViolationError(f"too_early: {task} starts while {name} is {status} on record")
    if job.dependencies() and job.started_at is None:
        cluster.event_counts["dependent job started"] += 1


def check_answer(cluster: Any, job: Any, status: str) -> None:
    """A user is told of a job."""
    job_id = job.spec["name_id"]
    if status in ("pending", "running"):
        if is_orphaned(cluster, job):
            raise RuleViolationError(f"orphaned: {job_id} is called {status}")
        if status == "running" and job.dependencies() and is_blocked(cluster, job):
            raise RuleViolationError(f"too_early: {job_id} is called running while a job that it needs is not done")
    elif status == "cancelled" and not job.cancel_requested:
        before = [name for name in ancestors(cluster, job) if cluster.jobs[name].cancel_requested]
        if not before:
            raise RuleViolationError(f"went_back: {job_id} cancelled by nobody")
        if all(recorded_status(cluster, name) != "cancelled" for name in before):
            raise RuleViolationError(f"went_back: {job_id} is called cancelled, but none of {before} is")
        cluster.event_counts["cancelled with a dependency"] += job.final_status is None


# -- pipelines drawn at random


def chain(length: int) -> list[list[int]]:
    """For each job the positions of those that it needs."""
    return [[i - 1] if i else [] for i in range(length)]


def diamond(width: int) -> list[list[int]]:
    return [[], *([0] for _ in range(width)), list(range(1, width + 1))]


def fan_out(width: int) -> list[list[int]]:
    return [[], *([0] for _ in range(width))]


def fan_in(width: int) -> list[list[int]]:
    return [*([] for _ in range(width)), list(range(width))]


class Pipeline:
    """A user who submits the jobs of a pipeline one after another, each once those that it needs are accepted."""

    def __init__(
        self,
        cluster: Any,
        shape: list[list[int]],
        *,
        late_last: bool = False,
        cancel_at: str | None = None,
        outside: float = 0.0,
        undisturbed: bool = True,
        **over: Any,
    ) -> None:
        self.cluster, self.shape, self.late_last = cluster, shape, late_last
        self.cancel_at = cancel_at  # "middle", "end", "submission": what the cancellation of one of its jobs meets
        self.outside = outside  # chance that a job names others beside those of the pipeline
        self.undisturbed, self.over = undisturbed, over
        self.ids: list[str] = []
        self.victim = cluster.rng.randrange(len(shape) - 1) if len(shape) > 1 else 0
        cluster.event_counts["pipeline"] += 1
        self._step()

    def _step(self) -> None:
        cluster = self.cluster
        if self._ready():
            self._submit()
        if len(self.ids) < len(self.shape):
            cluster.call_later(STEP_S, self._step)

    def _ready(self) -> bool:
        """Whether the next job may be submitted."""
        position = len(self.ids)
        needed = [self.cluster.jobs[self.ids[i]] for i in self.shape[position]]
        if self.late_last and position == len(self.shape) - 1:
            before = [self.cluster.jobs[job_id] for job_id in self.ids]
            if any(job.final_status is None for job in before):
                return False
            self.cluster.event_counts["last job of a pipeline submitted after the others ended"] += 1
        return all(job.accepted for job in needed)

    def _submit(self) -> None:
        cluster, rng, position = self.cluster, self.cluster.rng, len(self.ids)
        names = [self.ids[i] for i in self.shape[position]]
        if rng.random() < self.outside:
            names += self._others()
        over = {"vcpus": 1.0, "memory_gb": 1.0, "expected_s": rng.uniform(0.5, 4.0), "plays": rng.randint(1, 3)}
        if self.undisturbed:
            over |= UNCONSTRAINED_JOB
        if position == len(self.shape) - 1:
            over |= {"due_s": rng.uniform(20.0, 200.0), "urgency": rng.choice(["urgent", "standard"])}
        job_id = cluster.submit(**over | self.over, waits_on=names)
        self.ids.append(job_id)
        if self.cancel_at == "middle" and position == self.victim:
            cluster.call_later(rng.uniform(0.0, 25.0), lambda: self._cancel(job_id))
        elif self.cancel_at == "end" and position == self.victim:
            cluster.call_later(STEP_S, lambda: self._race_completion(job_id))
        elif self.cancel_at == "submission" and names and not self._is_cancelled():
            victim = names[0]
            cluster.call_later(rng.uniform(0.0, 0.05), lambda: self._cancel(victim))

    def _others(self) -> list[str]:
        """Jobs of anybody, in whatever state."""
        cluster = self.cluster
        known = sorted(job_id for job_id, job in cluster.jobs.items() if job.accepted and job_id not in self.ids)
        chosen = cluster.rng.sample(known, min(len(known), cluster.rng.randint(1, 3)))
        for job_id in chosen:
            cluster.event_counts[f"dependency on a job that is {cluster.jobs[job_id].final_status or 'active'}"] += 1
        return chosen

    def _is_cancelled(self) -> bool:
        return any(self.cluster.jobs[job_id].cancel_requested for job_id in self.ids)

    def _cancel(self, job_id: str) -> None:
        job = self.cluster.jobs[job_id]
        if not job.cancel_requested:
            self.cluster.event_counts[f"cancellation in a pipeline: {self.cancel_at}"] += 1
            self.cluster.cancel(job_id)

    def _race_completion(self, job_id: str) -> None:
        """Cancel a job about when its last task ends."""
        cluster = self.cluster
        job = cluster.jobs[job_id]
        if job.final_status is not None or job.cancel_requested:
            return
        left = [name for name in job.task_ids() if name not in cluster.finished_tasks]
        ends = [
            task.get("ends_at", float("inf")) - cluster.now
            for machine in cluster.cloud.machines.values()
            for key, task in machine.tasks.items()
            if key[0] in left and task["status"] == "running"
        ]
        if not left or len(left) == 1 and ends and min(ends) < 2 * STEP_S:
            cluster.call_later(
                (min(ends) if left else 0.0) + cluster.rng.uniform(-0.2, 0.2), lambda: self._cancel(job_id)
            )
        else:
            cluster.call_later(STEP_S, lambda: self._race_completion(job_id))


def submit_random_pipeline(cluster: Any) -> Pipeline:
    """A pipeline of any shape, about a sixth of them cancelled somewhere."""
    rng = cluster.rng
    shape = rng.choice(
        [
            lambda: chain(rng.randint(2, 6)),
            lambda: diamond(rng.randint(2, 5)),
            lambda: fan_out(rng.choice([2, 3, 5, 12, 30])),
            lambda: fan_in(rng.choice([2, 3, 5, 12])),
        ]
    )()
    cancel_at = rng.choice(["middle", "end", "submission"]) if rng.random() < 0.17 else None
    return Pipeline(
        cluster, shape, late_last=rng.random() < 0.2, cancel_at=cancel_at, outside=0.25, undisturbed=rng.random() < 0.8
    )
