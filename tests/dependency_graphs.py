"""DAG dependencies between jobs: the rules `too_early` and `orphaned`, and random pipelines."""

from __future__ import annotations

from typing import Any

from tests.simulation.errors import RuleViolationError
from tests.user_requests import UNCONSTRAINED_JOB

CHECK_INTERVAL_S = 0.25  # interval at which the user of a pipeline checks whether the next job may be submitted


# -- rules


def ancestors(cluster: Any, job: Any) -> list[str]:
    """Return the ids of a job's direct and transitive dependencies."""
    found: dict[str, None] = {}
    pending = job.dependencies()
    while pending:
        name = pending.pop()
        if name not in found:
            found[name] = None
            pending.extend(cluster.jobs[name].dependencies())
    return list(found)


def recorded_status(cluster: Any, name: str) -> str | None:
    row = cluster.state.rows.get(f"job/{name}")
    return row[0]["st"] if row is not None else None


def is_blocked(cluster: Any, job: Any) -> bool:
    """Check whether a direct dependency of a job is not done on record."""
    return any(recorded_status(cluster, name) != "done" for name in job.dependencies())


def ancestor_cancelled_at(cluster: Any, job: Any) -> float | None:
    """Return when the first cancellation of an ancestor was confirmed, or the job accepted if that came later."""
    times = [at for name in ancestors(cluster, job) if (at := cluster.jobs[name].cancelled_at) is not None]
    return max(min(times), job.accepted_at) if times else None


def is_orphaned(cluster: Any, job: Any) -> bool:
    """Check whether a job must have ended by now because one of its ancestors is cancelled."""
    if not job.dependencies():
        return False
    since = ancestor_cancelled_at(cluster, job)
    return since is not None and cluster.now > since + cluster.settings.params.workers.cancel_s


def check_start(cluster: Any, task: str, job: Any) -> None:
    """Check that all dependencies of a job are done, also on record, when one of its tasks starts."""
    for name in job.dependencies():
        if any(other not in cluster.finished_tasks for other in cluster.jobs[name].task_ids()):
            raise RuleViolationError(f"too_early: {task} starts before its dependency {name} is done")
        status = recorded_status(cluster, name)
        if status != "done":
            raise RuleViolationError(f"too_early: {task} starts while its dependency {name} is {status} on record")
    if job.dependencies() and job.started_at is None:
        cluster.event_counts["dependent job started"] += 1


def check_answer(cluster: Any, job: Any, status: str) -> None:
    """Check a status that a user got against the dependencies of the job."""
    job_id = job.spec["name_id"]
    if status in ("pending", "running"):
        if is_orphaned(cluster, job):
            raise RuleViolationError(f"orphaned: status of {job_id} is {status} after the cancellation of a dependency")
        if status == "running" and job.dependencies() and is_blocked(cluster, job):
            raise RuleViolationError(f"too_early: status of {job_id} is running while a dependency is not done")
    elif status == "cancelled" and not job.cancel_requested:
        cancelled = [name for name in ancestors(cluster, job) if cluster.jobs[name].cancel_requested]
        if not cancelled:
            raise RuleViolationError(f"went_back: {job_id} is cancelled, but nobody cancelled it or a dependency")
        if all(recorded_status(cluster, name) != "cancelled" for name in cancelled):
            raise RuleViolationError(
                f"went_back: status of {job_id} is cancelled, but none of {cancelled} is cancelled on record"
            )
        cluster.event_counts["cancelled with a dependency"] += job.final_status is None


# -- random pipelines


def chain(length: int) -> list[list[int]]:
    """Return the positions of the dependencies of each job in a chain; the other shapes have the same form."""
    return [[i - 1] if i else [] for i in range(length)]


def diamond(width: int) -> list[list[int]]:
    return [[], *([0] for _ in range(width)), list(range(1, width + 1))]


def fan_out(width: int) -> list[list[int]]:
    return [[], *([0] for _ in range(width))]


def fan_in(width: int) -> list[list[int]]:
    return [*([] for _ in range(width)), list(range(width))]


class Pipeline:
    """A user who submits the jobs of a pipeline one after another, each once its dependencies are accepted."""

    def __init__(
        self,
        cluster: Any,
        shape: list[list[int]],
        *,
        submit_last_late: bool = False,
        cancel_at: str | None = None,
        outside_share: float = 0.0,
        undisturbed: bool = True,
        **overrides: Any,
    ) -> None:
        # A late last job is submitted once all others have ended.
        self.cluster, self.shape, self.submit_last_late = cluster, shape, submit_last_late
        self.cancel_at = cancel_at  # "middle", "end", "submission": the moment at which one of its jobs is cancelled
        self.outside_share = outside_share  # share of jobs that also depend on jobs outside the pipeline
        self.undisturbed, self.overrides = undisturbed, overrides
        self.ids: list[str] = []
        self.cancelled_position = cluster.rng.randrange(len(shape) - 1) if len(shape) > 1 else 0
        cluster.event_counts["pipeline"] += 1
        self._step()

    def _step(self) -> None:
        cluster = self.cluster
        if self._is_next_ready():
            self._submit()
        if len(self.ids) < len(self.shape):
            cluster.call_later(CHECK_INTERVAL_S, self._step)

    def _is_next_ready(self) -> bool:
        """Check whether the next job may be submitted."""
        position = len(self.ids)
        dependencies = [self.cluster.jobs[self.ids[i]] for i in self.shape[position]]
        if self.submit_last_late and position == len(self.shape) - 1:
            others = [self.cluster.jobs[job_id] for job_id in self.ids]
            if any(job.final_status is None for job in others):
                return False
            self.cluster.event_counts["last job of a pipeline submitted after the others ended"] += 1
        return all(job.accepted for job in dependencies)

    def _submit(self) -> None:
        cluster, rng, position = self.cluster, self.cluster.rng, len(self.ids)
        dependencies = [self.ids[i] for i in self.shape[position]]
        if rng.random() < self.outside_share:
            dependencies += self._outside_jobs()
        fields = {"vcpus": 1.0, "memory_gb": 1.0, "expected_s": rng.uniform(0.5, 4.0), "plays": rng.randint(1, 3)}
        if self.undisturbed:
            fields |= UNCONSTRAINED_JOB
        if position == len(self.shape) - 1:
            fields |= {"due_s": rng.uniform(20.0, 200.0), "urgency": rng.choice(["urgent", "standard"])}
        job_id = cluster.submit(**fields | self.overrides, waits_on=dependencies)
        self.ids.append(job_id)
        if self.cancel_at == "middle" and position == self.cancelled_position:
            cluster.call_later(rng.uniform(0.0, 25.0), lambda: self._cancel(job_id))
        elif self.cancel_at == "end" and position == self.cancelled_position:
            cluster.call_later(CHECK_INTERVAL_S, lambda: self._race_completion(job_id))
        elif self.cancel_at == "submission" and dependencies and not self._is_cancelled():
            dependency = dependencies[0]
            cluster.call_later(rng.uniform(0.0, 0.05), lambda: self._cancel(dependency))

    def _outside_jobs(self) -> list[str]:
        """Return up to three random accepted jobs outside the pipeline, in any state."""
        cluster = self.cluster
        accepted = sorted(job_id for job_id, job in cluster.jobs.items() if job.accepted and job_id not in self.ids)
        chosen = cluster.rng.sample(accepted, min(len(accepted), cluster.rng.randint(1, 3)))
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
        unfinished = [name for name in job.task_ids() if name not in cluster.finished_tasks]
        remaining_s = [
            task.get("ends_at", float("inf")) - cluster.now
            for machine in cluster.cloud.machines.values()
            for key, task in machine.tasks.items()
            if key[0] in unfinished and task["status"] == "running"
        ]
        if not unfinished or len(unfinished) == 1 and remaining_s and min(remaining_s) < 2 * CHECK_INTERVAL_S:
            cluster.call_later(
                (min(remaining_s) if unfinished else 0.0) + cluster.rng.uniform(-0.2, 0.2),
                lambda: self._cancel(job_id),
            )
        else:
            cluster.call_later(CHECK_INTERVAL_S, lambda: self._race_completion(job_id))


def submit_random_pipeline(cluster: Any) -> Pipeline:
    """Submit a pipeline of a random shape; in about a sixth of the cases one of its jobs is cancelled."""
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
        cluster,
        shape,
        submit_last_late=rng.random() < 0.2,
        cancel_at=cancel_at,
        outside_share=0.25,
        undisturbed=rng.random() < 0.8,
    )
