"""Simulated users, who submit, query and cancel jobs and compare each answer with earlier ones."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from tests import dependency_graphs, user_requests
from tests.simulation.errors import RuleViolationError

if TYPE_CHECKING:
    from tests.simulated_cluster import SimulatedCluster


class SimulatedJob:
    """A job as its user knows it: the submission and the answers so far."""

    def __init__(self, spec: dict, always_fails: bool) -> None:
        self.spec = spec
        self.always_fails = always_fails
        self.accepted = False
        self.accepted_at = float("inf")
        self.final_status: str | None = None
        self.final_at = 0.0
        self.cancel_requested = False
        self.cancelled_at: float | None = None
        self.submitted_at = 0.0
        self.started_at: float | None = None  # start of its first task
        self.answered_at: float | None = None  # when a submission was first answered
        self.unanswered_since: float | None = None  # when the first poll was sent since one was answered
        self.longest_unanswered_s = 0.0  # longest time for which no poll was answered
        self.progressed_at = 0.0  # when one of its tasks last started, or no machine had capacity for one
        self.burst_occasions: set[str] = set()  # occasions on which its user considered a burst of requests
        self.completion_raced = False

    def task_ids(self) -> list[str]:
        return [f"{self.spec['name_id']}/{i}" for i in range(self.spec["plays"])]

    def dependencies(self) -> list[str]:
        """Return the ids of its direct dependencies without duplicates."""
        return list(dict.fromkeys(self.spec.get("waits_on") or ()))


class Users:
    """All users of a cluster."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster = cluster

    def send_request(
        self,
        method: str,
        target: str,
        body: bytes | None,
        answer: Callable,
        node: str | None = None,
    ) -> None:
        """Send a request to a node, by default a random one; a query times out after 2 s, anything else after 5 s."""
        is_answered = False
        sent_at = self.cluster.now

        def answer_once(status: int | None, data: bytes) -> None:
            nonlocal is_answered
            if not is_answered:
                is_answered = True
                answer(status, json.loads(data) if data else {}, sent_at)

        self.cluster.network.send_to_node(
            "users", node or self.cluster.rng.choice(self.cluster.node_names), method, target, body, answer_once
        )
        self.cluster.call_later(2.0 if method == "GET" else 5.0, lambda: answer_once(None, b""))

    def random_spec(self, job_id: str) -> dict:
        """Return a random submission with every field of the protocol but `waits_on`."""
        rng = self.cluster.rng
        return {
            "name_id": job_id,
            "lineup": "x",
            "crew": f"team-{rng.randrange(3)}",
            "shape": "array",
            "urgency": rng.choice(["urgent", "standard", "standard", "low"]),
            "plays": rng.randint(1, 8),
            "vcpus": float(rng.choice([1, 2, 4])),
            "cards": 0.0,
            "memory_gb": 4.0,
            "playbook": f"img-{rng.randrange(3)}",
            "pull_gb": 0.6,
            "loaners": rng.random() < 0.7,
            "expected_s": rng.uniform(1.0, 8.0),
            "snapshot_every_s": 0.0,
            "snapshot_s": 0.0,
            "due_s": None,
            "spread": rng.random() < 0.15,
            "rigs": ["large"] if rng.random() < 0.15 else None,
            "yard": rng.choice(["za", "zb"]) if rng.random() < 0.15 else None,
            "together": False,
        }

    def submit(self, undisturbed: bool = False, **overrides: Any) -> str:
        """Submit a random job; return its id.

        An undisturbed one has no tasks that always fail, and its user neither cancels nor resubmits it.
        """
        rng = self.cluster.rng
        job_id = f"req-{len(self.cluster.jobs):06d}"
        spec = self.random_spec(job_id) | overrides
        if not spec["spread"] and spec["yard"] is None and rng.random() < 0.15:
            spec["together"] = True
        if spec["spread"]:
            spec["yard"] = spec["rigs"] = None
        if spec["rigs"] and spec["yard"] == "za":
            spec["yard"] = None
        job = self.cluster.jobs[job_id] = SimulatedJob(spec, not undisturbed and rng.random() < 0.04)
        job.submitted_at = self.cluster.now
        self.resubmit(job_id)
        if job.always_fails or not undisturbed and rng.random() < 0.2:
            self.cluster.call_later(rng.uniform(0.0, 20.0), lambda: self.cancel(job_id))
        if not undisturbed and rng.random() < 0.2:
            self.cluster.call_later(rng.uniform(0.0, 60.0), lambda: self.resubmit(job_id))
        self.cluster.call_later(3.0, lambda: self.poll(job_id))
        return job_id

    def resubmit(self, job_id: str, node: str | None = None, other_body: bool = False) -> None:
        """Submit a job, for the first time or again, until it is answered.

        With `other_body` it is resubmitted with changes that make it invalid, which must not change the answer.
        """
        job = self.cluster.jobs[job_id]
        changes = {"vcpus": 1e6, "plays": job.spec["plays"] + 1, "waits_on": ["req-unheard-of"]}
        spec = job.spec | changes if other_body else job.spec
        body = json.dumps(spec).encode()

        def submit(node: str | None = None) -> None:
            if not spec.get("waits_on") or self.cluster.all_upgraded():
                self.send_request("POST", "/work", body, answered, node)
            elif upgraded := self.cluster.upgraded_nodes():
                self.send_request("POST", "/work", body, answered, self.cluster.rng.choice(upgraded))
            else:
                self.cluster.call_later(1.0, submit)

        def answered(status: int | None, data: dict, sent_at: float) -> None:
            if status in (200, 201):
                if job.answered_at is None:
                    job.answered_at = self.cluster.now
                if status == 201 and sent_at >= job.accepted_at:
                    raise RuleViolationError(f"went_back: {job_id} is accepted a second time")
                self.cluster.record_answer(job, data["status"], sent_at)
            elif status in (400, 422):
                raise RuleViolationError(f"forgotten: submission of {job_id} got {status}: {data}")
            else:
                self.cluster.call_later(1.0, submit)

        submit(node)

    def cancel(self, job_id: str, node: str | None = None) -> None:
        job = self.cluster.jobs[job_id]
        job.cancel_requested = True

        def answered(status: int | None, data: dict, sent_at: float) -> None:
            if status == 200:
                if data["status"] not in ("cancelled", "done"):
                    raise RuleViolationError(f"went_back: cancellation of {job_id} got status {data['status']}")
                self.cluster.record_answer(job, data["status"], sent_at)
            elif status == 404 and job.accepted_at <= sent_at:
                raise RuleViolationError(f"forgotten: cancellation of {job_id} got 404")
            else:
                self.cluster.call_later(1.0, lambda: self.send_request("POST", f"/work/{job_id}/abort", None, answered))

        if job.accepted:
            self.send_request("POST", f"/work/{job_id}/abort", None, answered, node)
        else:
            self.cluster.call_later(1.0, lambda: self.cancel(job_id))

    def query(self, job_id: str, node: str | None = None, then: Callable | None = None) -> None:
        """Query a job once; `then` gets the HTTP status."""
        job = self.cluster.jobs[job_id]

        def answered(status: int | None, data: dict, sent_at: float) -> None:
            if status == 200:
                self.cluster.record_answer(job, data["status"], sent_at)
            elif status == 404 and job.accepted_at <= sent_at:
                raise RuleViolationError(f"forgotten: query of {job_id} got 404")
            if then is not None:
                then(status)

        self.send_request("GET", f"/work/{job_id}", None, answered, node)

    def poll(self, job_id: str) -> None:
        """Query a job every 5 s, at least until it has finished."""
        job, sent_at = self.cluster.jobs[job_id], self.cluster.now
        if job.unanswered_since is None:
            job.unanswered_since = sent_at

        def then(status: int | None) -> None:
            self.cluster.rule_checker.record_poll(job_id, status == 200)
            if status == 200:
                job.longest_unanswered_s = max(job.longest_unanswered_s, self.cluster.now - job.unanswered_since)
                job.unanswered_since = None
            if job.final_status is None or self.cluster.rng.random() < 0.3:
                self.cluster.call_later(max(0.0, sent_at + 5.0 - self.cluster.now), lambda: self.poll(job_id))
            else:
                job.unanswered_since = None

        self.query(job_id, then=then)

    def record_answer(self, job: SimulatedJob, status: str, sent_at: float) -> None:
        """Record the status that a request sent at `sent_at` got; it must be consistent with all earlier answers."""
        job_id = job.spec["name_id"]
        if (
            job.final_status is not None
            and status != job.final_status
            and (sent_at >= job.final_at or status in ("done", "cancelled"))
        ):
            raise RuleViolationError(f"went_back: {job_id} was {job.final_status} and is now {status}")
        job.accepted, job.accepted_at = True, min(job.accepted_at, self.cluster.now)
        dependency_graphs.check_answer(self.cluster, job, status)
        if status == "done":
            unfinished = [name for name in job.task_ids() if name not in self.cluster.finished_tasks]
            if unfinished:
                raise RuleViolationError(f"not_done: {job_id} is done, but its tasks {unfinished} are not")
        if status in ("done", "cancelled") and job.final_status is None:
            job.final_status, job.final_at = status, self.cluster.now
            if status == "cancelled":
                job.cancelled_at = self.cluster.now
        self._maybe_send_burst(job, job.final_status or "accepted")

    def _maybe_send_burst(self, job: SimulatedJob, occasion: str) -> None:
        """Send a burst of requests about a job on a share of the occasions, at most once for each occasion."""
        if self.cluster.request_burst_share and occasion not in job.burst_occasions:
            job.burst_occasions.add(occasion)
            if self.cluster.rng.random() < self.cluster.request_burst_share:
                self.cluster.event_counts[f"request burst: {occasion}"] += 1
                cancel = occasion != "cancelled" and self.cluster.rng.random() < 0.3
                user_requests.send_request_burst(self.cluster, job.spec["name_id"], cancel)

    def on_task_completed(self, name: str) -> None:
        """React to a task that has just completed on its machine, before any controller knows."""
        job_id = name.rpartition("/")[0]
        job = self.cluster.jobs[job_id]
        if self.cluster.request_burst_share and all(task in self.cluster.finished_tasks for task in job.task_ids()):
            self._maybe_send_burst(job, "ended")

    def race_completions(self) -> None:
        """Send requests about some jobs just as their last task completes: cancellations, queries, resubmissions."""
        for machine in self.cluster.cloud.machines.values():
            for key in machine.started_tasks():
                remaining_s = machine.tasks[key].get("ends_at", float("inf")) - self.cluster.now
                job_id = key[0].rpartition("/")[0]
                job = self.cluster.jobs[job_id]
                if remaining_s > 0.3 or job.completion_raced or job.always_fails or job.cancel_requested:
                    continue
                if any(name not in self.cluster.finished_tasks and name != key[0] for name in job.task_ids()):
                    continue
                job.completion_raced = True
                if self.cluster.rng.random() < self.cluster.completion_race_share:
                    kind = self.cluster.rng.choice(self.cluster.racing_requests)
                    call = {"cancel": self.cancel, "query": self.query, "resubmit": self.resubmit}[kind]
                    self.cluster.event_counts[f"{kind} at the end"] += 1
                    self.cluster.call_later(
                        remaining_s + self.cluster.rng.uniform(-0.2, 0.2), lambda call=call, job_id=job_id: call(job_id)
                    )
