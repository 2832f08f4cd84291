"""Unusual user requests: bursts, invalid submissions, unknown ids, cancellations at critical moments."""

from __future__ import annotations

import json
from typing import Any

from tests.simulation.errors import RuleViolationError

ANY_PRIORITY_JOB = {
    "undisturbed": True,
    "yard": None,
    "rigs": None,
    "spread": False,
    "together": False,
    "loaners": True,
}
UNCONSTRAINED_JOB = ANY_PRIORITY_JOB | {"urgency": "standard"}
UNIFORM_JOB = UNCONSTRAINED_JOB | {"vcpus": 2.0}
# Changes of a valid submission that let it fit no team, zone or machine type.
UNSATISFIABLE_CHANGES = (
    {"crew": "nobody"},
    {"vcpus": 17.0},
    {"memory_gb": 65.0},
    {"rigs": ["large"], "yard": "za"},
    {"vcpus": 1e6},
    {"rigs": ["unheard-of"]},
    {"yard": "zz"},
    {"cards": 1.0},
)
# Changes of a valid submission that make it malformed.
MALFORMED_CHANGES = (
    {"plays": 0},
    {"plays": -1},
    {"plays": 100_001},
    {"plays": "4"},
    {"urgency": "soon"},
    {"shape": "heap"},
    {"vcpus": -1.0},
    {"vcpus": "2"},
    {"memory_gb": None},
    {"rigs": "small"},
    {"rigs": [1]},
    {"spread": "no"},
    {"name_id": "x-000001"},
    {"expected_s": -1.0},
)
REQUIRED_FIELDS = (
    "name_id",
    "lineup",
    "crew",
    "shape",
    "urgency",
    "plays",
    "vcpus",
    "cards",
    "memory_gb",
    "playbook",
    "pull_gb",
    "together",
    "spread",
    "loaners",
    "expected_s",
    "snapshot_every_s",
    "snapshot_s",
)
# Bodies that are no JSON objects.
NON_OBJECT_BODIES = (b"", b"[]", b"null", b'"req-000001"', b'{"name_id":', b"\xff\xfe")


class FinishedTasks(set):
    """Ids of the tasks that have completed; it calls `on_completed` with each id that is added."""

    def __init__(self, on_completed: Any) -> None:
        super().__init__()
        self._on_completed = on_completed

    def add(self, name: str) -> None:
        if name not in self:
            super().add(name)
            self._on_completed(name)


def send_request_burst(cluster: Any, job_id: str, cancel: bool = False) -> None:
    """Query a job at all nodes several times within milliseconds and resubmit it; cancel it as well if asked to."""
    rng = cluster.rng
    for node in cluster.node_names:
        for _ in range(3):
            cluster.call_later(rng.uniform(0.0, 0.005), lambda node=node: cluster.query(job_id, node))
        cluster.call_later(rng.uniform(0.0, 0.005), lambda node=node: cluster.resubmit(job_id, node=node))
    if cancel and not cluster.jobs[job_id].cancel_requested:
        cluster.call_later(rng.uniform(0.0, 0.005), lambda: cluster.cancel(job_id))
        cluster.event_counts["request burst with a cancellation"] += 1


def cancel_running_jobs(cluster: Any, count: int, hang_s: float = 0.0, min_remaining_s: float = 2.0) -> list[str]:
    """Cancel up to `count` running jobs within 0.2 s, and let up to eight of their machines hang for `hang_s`.

    Each of these jobs has a task that runs for at least `min_remaining_s` more. Return their ids.
    """
    rng = cluster.rng
    machines_of: dict[str, list[Any]] = {}
    for machine in cluster.cloud.machines.values():
        for key in machine.started_tasks():
            job_id = key[0].rpartition("/")[0]
            job = cluster.jobs[job_id]
            if (
                job.final_status is None
                and not job.cancel_requested
                and machine.tasks[key].get("ends_at", 0.0) > cluster.now + min_remaining_s
            ):
                machines_of.setdefault(job_id, []).append(machine)
    chosen = rng.sample(sorted(machines_of), min(count, len(machines_of)))
    machines = {machine.name: machine for job_id in chosen for machine in machines_of[job_id]}
    for job_id in chosen:
        cluster.call_later(rng.uniform(0.0, 0.2), lambda job_id=job_id: cluster.cancel(job_id))
        cluster.event_counts["running job cancelled"] += 1
    if hang_s > 0.0:
        for machine in list(machines.values())[:8]:
            machine.hung = True
            cluster.call_later(hang_s, lambda machine=machine: setattr(machine, "hung", False))
            cluster.event_counts["machine of a cancelled job hung"] += 1
    return chosen


def _submit_refused(cluster: Any, body: bytes, expected: int, job_id: str | None) -> None:
    """Send a submission that must be refused with the expected status, and then check that its id is unknown.

    It is sent only to nodes of the current version; the version in production accepts some that lack a field.
    """

    def answered(status: int | None, _data: Any, _sent_at: float) -> None:
        if status in (200, 201):
            raise RuleViolationError(f"accepted_wrong: {body!r} got {status}")
        if status in (400, 422):
            if status != expected:
                raise RuleViolationError(f"submission refused as {status}, expected {expected}: {body!r}")
            cluster.event_counts[f"refused as {status}"] += 1
            if job_id is not None:
                query_unknown_job(cluster, job_id)
        elif cluster.now - first_sent_at < 60.0:
            cluster.call_later(1.0, send)

    def send() -> None:
        if cluster.all_upgraded():
            cluster.send_request("POST", "/work", body, answered)
        elif upgraded := cluster.upgraded_nodes():
            cluster.send_request("POST", "/work", body, answered, cluster.rng.choice(upgraded))

    first_sent_at = cluster.now
    send()


def submit_invalid_job(cluster: Any, unsatisfiable: bool) -> None:
    """Submit a job that no machine can run, or one that is malformed, which must be refused."""
    rng = cluster.rng
    cluster.invalid_submissions += 1
    job_id = f"req-odd-{cluster.invalid_submissions:06d}"
    spec = cluster.random_spec(job_id) | {"yard": None, "rigs": None, "spread": False, "together": False}
    if unsatisfiable:
        _submit_refused(cluster, json.dumps(spec | rng.choice(UNSATISFIABLE_CHANGES)).encode(), 422, job_id)
        return
    kind = rng.randrange(3)
    if kind == 0:
        spec |= rng.choice(MALFORMED_CHANGES)
    elif kind == 1:
        del spec[rng.choice(REQUIRED_FIELDS)]
    else:
        _submit_refused(cluster, rng.choice(NON_OBJECT_BODIES), 400, None)
        return
    _submit_refused(cluster, json.dumps(spec).encode(), 400, job_id)


def query_unknown_job(cluster: Any, job_id: str) -> None:
    """Query or cancel an id that was never submitted, or whose submission was refused."""

    def answered(status: int | None, data: Any, _sent_at: float) -> None:
        if status == 200:
            raise RuleViolationError(f"invented: unknown job {job_id} got 200: {data}")
        if status not in (404, 429, None) and status < 500:
            raise RuleViolationError(f"invented: unknown job {job_id} got {status}, expected 404")
        cluster.event_counts["unknown id"] += status == 404

    if cluster.rng.random() < 0.3:
        cluster.send_request("POST", f"/work/{job_id}/abort", None, answered)
    else:
        cluster.send_request("GET", f"/work/{job_id}", None, answered)


def send_edge_case_requests(cluster: Any, count: int, seconds: float) -> None:
    """Send resubmissions, late cancellations, invalid submissions and unknown ids, at random times."""
    rng = cluster.rng

    def send_one(kind: int) -> None:
        accepted = [job_id for job_id, job in cluster.jobs.items() if job.accepted]
        unfinished = [job_id for job_id in accepted if cluster.jobs[job_id].final_status is None]
        done = [job_id for job_id in accepted if cluster.jobs[job_id].final_status == "done"]
        if kind == 0 and unfinished:
            cluster.resubmit(rng.choice(unfinished), other_body=rng.random() < 0.5)
            cluster.event_counts["unfinished job resubmitted"] += 1
        elif kind == 1 and done:
            cluster.cancel(rng.choice(done))
            cluster.event_counts["cancellation of a done job"] += 1
        elif kind == 2:
            submit_invalid_job(cluster, unsatisfiable=True)
        elif kind == 3:
            submit_invalid_job(cluster, unsatisfiable=False)
        elif kind == 4:
            query_unknown_job(
                cluster, rng.choice([f"req-{rng.randrange(900_000, 1_000_000)}", "req-", "x", "req-1%2F2"])
            )

    for i in range(count):
        cluster.call_later(rng.uniform(0.0, seconds), lambda i=i: send_one(i % 5))


def submit_stream(cluster: Any, seconds: float, jobs_per_s: float = 4.0, cancelled_share: float = 0.25) -> list[str]:
    """Submit jobs of one task at a steady rate and cancel a share of them some seconds later.

    The list that is returned grows as the jobs are submitted; it holds their ids.
    """
    ids: list[str] = []

    def submit_one() -> None:
        job_id = cluster.submit(
            plays=1, vcpus=1.0, memory_gb=1.0, expected_s=cluster.rng.uniform(0.5, 3.0), **UNCONSTRAINED_JOB
        )
        ids.append(job_id)
        cluster.event_counts["job of a stream"] += 1
        if cluster.rng.random() < cancelled_share:
            cluster.call_later(cluster.rng.uniform(0.0, 4.0), lambda: cluster.cancel(job_id))
            cluster.event_counts["cancelled job of a stream"] += 1

    for i in range(int(seconds * jobs_per_s)):
        cluster.call_later(i / jobs_per_s, submit_one)
    return ids


def submit_periodically(cluster: Any, period_s: float, **overrides: Any) -> None:
    """Submit a job now and another one with the same overrides after each period, as long as the simulation runs."""

    def submit_one() -> None:
        cluster.submit(**overrides)
        cluster.call_later(period_s, submit_one)

    submit_one()
