"""A client of the HTTP API for tests, and submissions that are composed field by field."""

from __future__ import annotations

import itertools
import json

from tests.simulated_cluster import SimulatedCluster, make_request
from tests.simulation.requests import is_job_read

MISSING = None  # value of a field that a submission leaves out
SUBMISSION_FIELDS = {  # name -> value as JSON text
    "lineup": '"train"',
    "crew": '"team-0"',
    "shape": '"array"',
    "urgency": '"standard"',
    "plays": "2",
    "vcpus": "1.0",
    "cards": "0.0",
    "memory_gb": "1.0",
    "playbook": '"img-0"',
    "pull_gb": "0.5",
    "rigs": "null",
    "yard": "null",
    "together": "false",
    "spread": "false",
    "loaners": "true",
    "expected_s": "4.0",
    "snapshot_every_s": "30.0",
    "snapshot_s": "4.0",
    "due_s": "900.0",
    "waits_on": "[]",
}


def submission_body(fields: dict) -> bytes:
    pairs = ",".join(f'"{name}":{value}' for name, value in fields.items() if value is not MISSING)
    return ("{" + pairs + "}").encode()


class ApiClient:
    """A client that sends requests to the nodes of its own simulated cluster."""

    def __init__(self, seed: int, nodes: int, **overrides) -> None:
        self.cluster = SimulatedCluster(seed, nodes=nodes, **overrides)
        self._ids = itertools.count()

    def new_id(self) -> str:
        return f"req-new-{next(self._ids)}"

    def request(self, method: str, target: str, body: bytes | None = None, node: str = "n0") -> tuple:
        """Send a request and return status, JSON body, Retry-After and the seconds until the answer."""
        answers, sent_at = [], self.cluster.now

        def reply(status: int, data: bytes = b"{}", retry_after: int | None = None) -> None:
            answers.append((status, json.loads(data), retry_after, self.cluster.now - sent_at))

        self.cluster.controllers[node].on_request(make_request(method, target, body), reply)
        while not answers and self.cluster.now < sent_at + 5.0:
            self.cluster.run(0.01)
        assert len(answers) == 1
        return answers[0]

    def submit(self, job: str, node: str = "n0", **changes) -> tuple:
        return self.request(
            "POST", "/work", submission_body({"name_id": f'"{job}"'} | SUBMISSION_FIELDS | changes), node
        )

    def cancel(self, job: str, node: str = "n0") -> tuple:
        return self.request("POST", f"/work/{job}/abort", node=node)


def delay_job_watches(cluster: SimulatedCluster) -> None:
    """Delay the answers to watches of job records by 30 s, except for reads that a user waits for.

    Then run the cluster for 30 s, until the watches that were open before have ended.
    """
    handle = cluster.state.handle

    def handle_late(node, method, target, body, answer):
        if target.startswith("/watch?starts=job/") and not is_job_read(target):
            handle(
                node, method, target, body, lambda status, data: cluster.call_later(30.0, lambda: answer(status, data))
            )
        else:
            handle(node, method, target, body, answer)

    cluster.state.handle = handle_late
    cluster.run(30.0)


def bodies_with_job_id(job: str) -> list[bytes]:
    """Return bodies that hold a readable job id and are otherwise incomplete or invalid, except for the last one."""
    complete = {"name_id": f'"{job}"'} | SUBMISSION_FIELDS
    return [
        submission_body({"name_id": f'"{job}"'}),
        submission_body({"colour": "[[]]", "name_id": f'"{job}"', "plays": "{}"}),
        *(
            submission_body(complete | change)
            for change in (
                {"plays": "0"},
                {"plays": "1e400"},
                {"plays": '1,"plays":2'},
                {"shape": "null"},
                {"due_s": "-1"},
                {"spread": "true", "together": "true"},
                {"vcpus": "99"},
                {"crew": '"nobody"'},
                {"rigs": '["none"]'},
                {"yard": '"zc"'},
                {"playbook": json.dumps("i" * 9000)},
                {},
            )
        ),
    ]


def assert_submission_status(client: ApiClient, job: str, got: int, answer: dict, status: int) -> None:
    """Assert the status of a submission, and that an accepted job can be cancelled and a refused one is unknown."""
    assert got == status, answer
    if status == 201:
        assert answer == {"name_id": job, "status": "pending", "done": 0, "running": 0}
        assert client.cancel(job)[:2] == (200, {"name_id": job, "status": "cancelled"})
    else:
        assert answer["error"]
        assert client.request("GET", f"/work/{job}")[0] == 404
