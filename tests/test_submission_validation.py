"""Submissions against the protocol's table of fields: what is accepted, malformed, can never run, can't be judged yet;
and repeats of accepted jobs, which are never refused."""

import itertools
import json

import pytest

from tealhook.jobs.index import parse_record
from tealhook.wire.job_parser import parse_job
from tealhook.wire.users import JobSpec
from tests.simulated_cluster import SimJob, SimulatedCluster, make_request
from tests.simulation.requests import reads_jobs

MISSING = None
FIELDS = {
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
TEXTS = ("lineup", "crew", "shape", "urgency", "playbook")
AMOUNTS = ("vcpus", "cards", "memory_gb", "pull_gb", "expected_s", "snapshot_every_s", "snapshot_s")
FLAGS = ("together", "spread", "loaners")
INVALID_TEXTS = ("7", "1.5", "true", "[]", '["train"]', "{}", '""')
INVALID_AMOUNTS = (
    '"1.0"',
    "true",
    "false",
    "[]",
    "[1.0]",
    "{}",
    "-0.5",
    "-1",
    "1e400",
    "-1e400",
    "9" * 400,
    "9" * 5000,
    "NaN",
    "Infinity",
    "-Infinity",
    "01",
    "1.",
)
INVALID_FLAGS = ('"true"', "0", "1", "1.0", "[]", "{}")
INVALID_COUNTS = (
    '"2"',
    "true",
    "[2]",
    "{}",
    "2.5",
    "2.0",
    "16.0",
    "0",
    "-1",
    "100001",
    "18446744073709551616",
    "1e400",
    "1e2",
    "NaN",
)

# (changes of the fields above, status)
TABLE = [
    ({}, 201),
    # not null, so not to be left out
    *(({name: gone}, 400) for name in (*TEXTS, "plays", *AMOUNTS, *FLAGS) for gone in (MISSING, "null")),
    # may be null
    *(({name: gone}, 201) for name in ("rigs", "yard", "due_s", "waits_on") for gone in (MISSING, "null")),
    ({"rigs": MISSING, "yard": MISSING, "due_s": MISSING}, 201),
    # not of the field's type, or without a meaning
    *(({name: value}, 400) for name in (*TEXTS, "yard") for value in INVALID_TEXTS),
    *(({name: value}, 400) for name in (*AMOUNTS, "due_s") for value in INVALID_AMOUNTS),
    *(({name: value}, 400) for name in FLAGS for value in INVALID_FLAGS),
    *(({"plays": value}, 400) for value in INVALID_COUNTS),
    *(
        ({"rigs": value}, 400)
        for value in ('"large"', "7", "true", "{}", "[]", "[7]", "[null]", '[["large"]]', '["large",7]', '[""]')
    ),
    ({"shape": '"circle"'}, 400),
    ({"shape": '"Array"'}, 400),
    ({"urgency": '"soon"'}, 400),
    ({"urgency": '"URGENT"'}, 400),
    *(
        ({"waits_on": value}, 400)
        for value in (
            '"req-7"',
            "7",
            "true",
            "{}",
            "[7]",
            "[null]",
            '[["req-7"]]',
            '["req-7",7]',
            '[""]',
            '["req-"]',
            '["x-7"]',
        )
    ),
    ({"waits_on": '["req-never-accepted"]'}, 422),
    ({"waits_on": '["req-never-accepted","req-never-accepted"]'}, 422),
    # the names that there are, and the ends of the ranges
    *(({"urgency": f'"{name}"'}, 201) for name in ("production", "urgent", "standard", "low")),
    ({"plays": "1"}, 201),
    ({"plays": "100000"}, 201),
    ({"shape": '"array"'}, 201),
    ({"crew": '"team-1"'}, 201),
    ({"lineup": '"Ünknown class"'}, 201),
    ({"lineup": json.dumps("l" * 200)}, 201),
    ({"playbook": '"img 07/b"'}, 201),
    *(({name: "0"}, 201) for name in (*AMOUNTS[3:], "vcpus", "memory_gb", "due_s")),
    *(({name: value}, 201) for name in (*AMOUNTS[3:], "due_s") for value in ("0.0", "-0.0", "7", "1e2")),
    ({"cards": "0"}, 201),
    ({"cards": "-0.0"}, 201),
    ({"vcpus": "16"}, 201),
    ({"vcpus": "16.0", "memory_gb": "64"}, 201),
    *(({name: value}, 201) for name in ("together", "spread", "loaners") for value in ("true", "false")),
    # contradictions
    ({"vcpus": "0", "cards": "0.0", "memory_gb": "0"}, 400),
    ({"spread": "true", "together": "true"}, 400),
    ({"spread": "true", "yard": '"zb"'}, 400),
    ({"spread": "true", "together": "true", "plays": "1"}, 201),
    ({"spread": "true", "yard": '"zb"', "plays": "1"}, 201),
    ({"together": "true", "yard": '"zb"'}, 201),
    # can never run
    ({"crew": '"nobody"'}, 422),
    ({"crew": '"Team-0"'}, 422),
    ({"crew": json.dumps("t" * 200)}, 422),
    ({"vcpus": "16.5"}, 422),
    ({"memory_gb": "64.5"}, 422),
    ({"cards": "1"}, 422),  # fits no machine
    ({"vcpus": "24.5"}, 422),
    ({"vcpus": "1e300"}, 422),  # the team's limit is 24
    ({"vcpus": "16.0", "plays": "2"}, 201),  # of an array, one task has to keep to the limit
    ({"rigs": '["none"]'}, 422),
    ({"rigs": '["none","small"]'}, 201),
    ({"rigs": '["large"]'}, 201),
    ({"rigs": '["small"]', "vcpus": "9"}, 422),
    ({"rigs": '["large"]', "vcpus": "9"}, 201),
    ({"yard": '"zc"'}, 422),
    ({"yard": '"za"'}, 201),
    ({"yard": '"zb"'}, 201),
    ({"yard": '"za"', "vcpus": "9"}, 422),
    ({"yard": '"zb"', "vcpus": "9"}, 201),
    ({"yard": '"za"', "rigs": '["large"]'}, 422),
    # malformed comes before what can never run
    ({"crew": '"nobody"', "plays": "0"}, 400),
    # more than the state service keeps as one value
    ({"playbook": json.dumps("i" * 9000)}, 400),
    ({"lineup": json.dumps("l" * 9000)}, 400),
    ({"rigs": json.dumps(["small", *(f"type-{i}" for i in range(3000))])}, 400),
    # unknown fields are passed over, whatever they hold and how often
    ({"colour": "null"}, 201),
    ({"colour": '{"plays":0,"plays":[1]}'}, 201),
    ({"colour": '"\\":1"'}, 201),
    ({"colour": '1,"colour":2'}, 201),
    ({"colour": "1e400"}, 201),
    # two values for one field
    ({"plays": '2,"plays":2'}, 400),
    ({"plays": '2,"pl\\u0061ys":3'}, 400),
    ({"crew": 'null,"crew":"team-0"'}, 400),
]

INVALID_IDS = (
    MISSING,
    "null",
    "7",
    "true",
    '["req-1"]',
    "{}",
    '""',
    '"412"',
    '"req-"',
    '"REQ-1"',
    '" req-1"',
    '"req-1 "',
    '"req-a b"',
    '"req-a/b"',
    '"req-1\\n"',
    '"req-\\u00e9"',
    '"req-\\ud800"',
    json.dumps("req-" + "1" * 65),
    '"req-1","name_id":"req-1"',
    '"req-1","name_id":"req-2"',
)
NOT_JSON_OBJECTS = (
    b"",
    b" ",
    b"null",
    b"true",
    b"7",
    b"[]",
    b'"req-1"',
    b"{",
    b"}",
    b"{}",
    b"garbage",
    b"\x00",
    b"\xff\xfe",
    b'{"name_id":"req-1"',
    b'{"name_id":"req-1"}}',
    b'{"name_id":"req-1"}{"name_id":"req-1"}',
    b"{'name_id':'req-1'}",
    b'{"name_id":"req-1",}',
    b'{"name_id":"req-1","colour":"\xff"}',
    b'{"name_id":"req-1","plays":NaN}',
    b'[{"name_id":"req-1"}]',
    b"[" * 60_000,
    b'{"name_id":"req-1","colour":' + b"[" * 30_000 + b"]" * 30_000 + b"}",
    b'{"name_id":"req-1","rigs":' + b'{"a":' * 10_000 + b"1" + b"}" * 10_000 + b"}",
)


def text(fields: dict) -> bytes:
    pairs = ",".join(f'"{name}":{value}' for name, value in fields.items() if value is not MISSING)
    return ("{" + pairs + "}").encode()


class ApiClient:
    """A cluster with users who send requests to a node of their choice."""

    def __init__(self, seed: int, nodes: int, **over) -> None:
        self.world = SimulatedCluster(seed, nodes=nodes, **over)
        self._ids = itertools.count()

    def new_id(self) -> str:
        return f"req-new-{next(self._ids)}"

    def ask(self, method: str, target: str, body: bytes | None = None, node: str = "n0") -> tuple:
        """Status, JSON, Retry-After and the seconds taken."""
        answers, asked = [], self.world.now

        def reply(status: int, data: bytes = b"{}", after: int | None = None) -> None:
            answers.append((status, json.loads(data), after, self.world.now - asked))

        self.world.nodes[node].on_request(make_request(method, target, body), reply)
        while not answers and self.world.now < asked + 5.0:
            self.world.run(0.01)
        assert len(answers) == 1
        return answers[0]

    def submit(self, job: str, node: str = "n0", **changes) -> tuple:
        return self.ask("POST", "/work", text({"name_id": f'"{job}"'} | FIELDS | changes), node)

    def abort(self, job: str, node: str = "n0") -> tuple:
        return self.ask("POST", f"/work/{job}/abort", node=node)


def delay_job_updates(world: SimulatedCluster) -> None:
    """Nodes hear of changes of jobs half a minute late, once the watches that are open have ended; reads are prompt."""
    whole = world.state.handle

    def late(node, method, target, body, answer):
        if target.startswith("/watch?starts=job/") and not reads_jobs(target):
            whole(node, method, target, body, lambda status, data: world.at(30.0, lambda: answer(status, data)))
        else:
            whole(node, method, target, body, answer)

    world.state.handle = late
    world.run(30.0)


def bodies_with_job_id(job: str) -> list[bytes]:
    """Bodies from which an id can be read, and little else that is right."""
    whole = {"name_id": f'"{job}"'} | FIELDS
    return [
        text({"name_id": f'"{job}"'}),
        text({"colour": "[[]]", "name_id": f'"{job}"', "plays": "{}"}),
        *(
            text(whole | change)
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


@pytest.fixture(scope="module")
def client():
    client = ApiClient(41, nodes=1)
    client.world.run(20.0)
    assert set(client.world.nodes["n0"].machine_types) == {"small", "large"}
    return client


def _label(value) -> str:
    shown = ",".join(f"{k}={v}" for k, v in value.items()) if isinstance(value, dict) else str(value)
    return shown[:40].encode("ascii", "backslashreplace").decode()


def assert_submission_status(client: ApiClient, job: str, got: int, answer: dict, status: int) -> None:
    """A submission got the status that it should: accepted, it can be cancelled; refused, it is not known."""
    assert got == status, answer
    if status == 201:
        assert answer == {"name_id": job, "status": "pending", "done": 0, "running": 0}
        assert client.abort(job)[:2] == (200, {"name_id": job, "status": "cancelled"})
    else:
        assert answer["error"]
        assert client.ask("GET", f"/work/{job}")[0] == 404


@pytest.mark.parametrize(("changes", "status"), TABLE, ids=_label)
def test_field_validation(client, changes, status):
    job = client.new_id()
    got, answer, _after, _took = client.submit(job, **changes)
    assert_submission_status(client, job, got, answer, status)


def test_validation_table_covers_every_field():
    for name in FIELDS:
        assert {status for changes, status in TABLE if list(changes) == [name]} >= {201, 400}, name
    assert set(FIELDS) | {"name_id"} == set(JobSpec.__struct_encode_fields__)


@pytest.mark.parametrize("job", INVALID_IDS, ids=_label)
def test_body_without_valid_job_id_is_malformed(client, job):
    status, answer, _after, took = client.ask("POST", "/work", text({"name_id": job} | FIELDS))
    assert (status, took) == (400, 0.0) and answer["error"]


@pytest.mark.parametrize("body", NOT_JSON_OBJECTS, ids=lambda body: repr(body[:30]))
def test_body_that_is_not_a_json_object_is_malformed(client, body):
    status, answer, _after, took = client.ask("POST", "/work", body)
    assert (status, took) == (400, 0.0) and answer["error"]


def test_spread_job_on_single_zone_types_runs_half_at_a_time():
    """Why that is accepted, and not said never to run."""
    client = ApiClient(50, nodes=1)
    client.world.run(20.0)
    changes = {"spread": "true", "rigs": '["large"]', "plays": "4"}
    client.world.jobs["req-1"] = SimJob(json.loads(text(FIELDS | {"name_id": '"req-1"'} | changes)), False)
    assert client.submit("req-1", **changes)[0] == 201
    client.world.run(120.0)  # the world checks how many are in the zone
    assert client.ask("GET", "/work/req-1")[1]["status"] == "done"


def test_accepted_submission_is_parsed_unchanged():
    sent = {"name_id": '"req-1"'} | FIELDS | {"vcpus": "8", "rigs": '["large"]', "yard": '"zb"', "due_s": MISSING}
    assert parse_job(text(sent)) == JobSpec(
        "req-1",
        "train",
        "team-0",
        "array",
        "standard",
        2,
        8.0,
        1.0,
        0.0,
        "img-0",
        0.5,
        ["large"],
        "zb",
        False,
        False,
        True,
        4.0,
        30.0,
        4.0,
        None,
    )
    assert str(parse_job(text(sent | {"cards": "-0.0"})).gpus) == "0.0"


def test_stored_records_without_defaults_stay_readable():
    """The version in production writes them so; a submission like that is malformed."""
    kept = {
        "name_id": "req-1",
        "lineup": "x",
        "crew": "team-0",
        "shape": "array",
        "urgency": "low",
        "plays": 3,
        "vcpus": 2,
        "memory_gb": 4.0,
    }
    record = parse_record({"t": "team-0", "st": "active", "s": kept, "at": 1e9})
    assert record.spec == JobSpec("req-1", "x", "team-0", "array", "low", 3, 2.0, 4.0)
    assert record.spec.image is None and not record.spec.allows_spot and record.spec.gpus == 0.0
    with pytest.raises(ValueError, match="missing"):
        parse_job(json.dumps(kept).encode())


def _assert_resubmission_status(client: ApiClient, job: str, statuses: set[str]) -> None:
    """Every node answers every repeat with the job's state."""
    for node in client.world.names:
        for body in bodies_with_job_id(job):
            status, answer, _after, _took = client.ask("POST", "/work", body, node)
            assert (status, answer["name_id"]) == (200, job) and answer["status"] in statuses, body[:200]


def test_resubmission_of_active_job_returns_its_status_on_every_node():
    client = ApiClient(42, nodes=3)
    client.world.run(25.0)
    delay_job_updates(client.world)
    first = "req-first"
    assert client.submit(first)[0] == 201
    assert [first in node.job_index.active for node in client.world.nodes.values()] == [True, False, False]
    status, answer, _after, _took = client.ask("POST", "/work", bodies_with_job_id(first)[0], "n1")
    assert (status, answer["status"]) == (200, "pending")
    _assert_resubmission_status(client, first, {"pending", "running"})
    assert all(first in node.job_index.active for node in client.world.nodes.values())
    assert client.abort(first, "n2")[1]["status"] == "cancelled"


def test_resubmission_of_finished_job_returns_final_status():
    client = ApiClient(43, nodes=3)
    world = client.world
    world.run(20.0)
    over = {"expected_s": 1.0, "plays": 1, "loaners": True, "yard": None, "rigs": None, "spread": False}
    job, other = (world.submit(plain=True, **over) for _ in range(2))
    world.run(1.0)
    world.cancel(other)
    world.run(40.0)
    assert [world.jobs[name].final for name in (job, other)] == ["done", "cancelled"]
    for _memory in range(2):
        _assert_resubmission_status(client, job, {"done"})
        _assert_resubmission_status(client, other, {"cancelled"})
        for node in world.nodes.values():
            node.job_index.ended.clear()
            node.job_index.is_complete = False


def test_resubmission_is_not_answered_from_stale_view():
    """A node that hears late of a cancellation answers a repeat by what is durable."""
    client = ApiClient(44, nodes=3)
    world = client.world
    world.run(25.0)
    assert client.submit("req-1")[0] == 201
    world.run(2.0)
    delay_job_updates(world)
    for node, body in zip(("n1", "n2"), (bodies_with_job_id("req-1")[0], bodies_with_job_id("req-1")[-1]), strict=True):
        if node == "n1":
            assert client.abort("req-1")[1]["status"] == "cancelled"
        assert "req-1" in world.nodes[node].job_index.active
        assert client.ask("POST", "/work", body, node)[:2] == (200, {"name_id": "req-1", "status": "cancelled"})


def test_resubmission_of_active_job_writes_nothing():
    client = ApiClient(45, nodes=1)
    client.world.run(20.0)
    assert client.submit("req-1")[0] == 201
    asked = []
    store = client.world.nodes["n0"].state_client
    whole = store.transact
    store.transact = lambda when, *rest, **more: (asked.extend(when), whole(when, *rest, **more))
    assert client.submit("req-1")[0] == 200
    assert "job/req-1" not in asked


def test_unknown_machine_types_defer_only_submissions_that_need_them():
    client = ApiClient(46, nodes=1)
    client.world.cloud.down = True
    client.world.run(20.0)
    assert not client.world.nodes["n0"].machine_types
    for changes in ({}, {"yard": '"zc"'}, {"rigs": '["none"]'}, {"vcpus": "20"}):
        status, _answer, after, _took = client.submit("req-1", **changes)
        assert status == 503 and after >= 1
    assert client.submit("req-1", plays="0")[0] == 400
    assert client.submit("req-1", crew='"nobody"')[0] == client.submit("req-1", vcpus="25")[0] == 422
    client.world.cloud.down = False
    client.world.run(30.0)
    assert client.submit("req-1")[0] == 201
    client.world.nodes["n0"].machine_types.clear()
    _assert_resubmission_status(client, "req-1", {"pending", "running"})


def test_state_service_outage_rejects_only_bodies_without_id():
    client = ApiClient(47, nodes=1)
    client.world.run(20.0)
    assert client.submit("req-1")[0] == 201
    client.world.state.outage(True)
    for pause in (0.0, 2.0):  # before the node has noticed, and after
        client.world.run(pause)
        for job in ("req-1", "req-unknown"):
            for body in bodies_with_job_id(job):
                status, _answer, after, took = client.ask("POST", "/work", body)
                assert status in (429, 503) and after >= 1 and took < 2.0
            status, _answer, after, took = client.abort(job)
            assert status in (429, 503) and after >= 1 and took < 2.0
        assert client.ask("POST", "/work", b"{}")[0] == 400
    client.world.state.outage(False)
    client.world.run(5.0)
    _assert_resubmission_status(client, "req-1", {"pending", "running"})
    answers = [client.ask("POST", "/work", body)[0] for body in bodies_with_job_id("req-unknown")]
    assert answers == [400, 400, 400, 400, 400, 400, 400, 400, 422, 422, 422, 422, 400, 201]


def test_overloaded_node_rejects_malformed_bodies_before_a_read():
    """Malformed bodies are refused under overload as any other, before a read."""
    client = ApiClient(48, nodes=1)
    client.world.run(20.0)
    store = client.world.nodes["n0"].state_client
    store.backlog = lambda priority: 7.5
    store.get = lambda *args: pytest.fail("read")
    for body in bodies_with_job_id("req-1"):
        status, _answer, after, _took = client.ask("POST", "/work", body)
        assert (status, after) == (429, 8)


def test_cancellation_returns_final_status_of_the_job():
    client = ApiClient(49, nodes=3)
    world = client.world
    world.run(20.0)
    done = world.submit(plain=True, expected_s=1.0, plays=1, loaners=True, yard=None, rigs=None, spread=False)
    world.run(40.0)
    assert world.jobs[done].final == "done"
    assert client.submit("req-1", "n1")[0] == 201
    for node in world.names:
        for _repeat in range(2):
            assert client.abort(done, node)[:2] == (200, {"name_id": done, "status": "done"})
            assert client.abort("req-1", node)[:2] == (200, {"name_id": "req-1", "status": "cancelled"})
            assert client.abort("req-unknown", node)[0] == 404
            world.nodes[node].job_index.ended.clear()  # then from the state service
    world.state.outage(True)
    status, _answer, after, _took = client.abort("req-unknown")
    assert status == 503 and after >= 1  # not 404: nobody could read
