"""Validation of submissions field by field: accepted, malformed, or never able to run."""

import json

import pytest

from tealhook.jobs.job_records import parse_record
from tealhook.wire.job_parser import parse_job
from tealhook.wire.users import JobSpec
from tests.api_client import MISSING, SUBMISSION_FIELDS, ApiClient, assert_submission_status, submission_body
from tests.simulated_cluster import SimulatedJob

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


# (changes to the fields of a valid submission, expected status)
FIELD_CASES = [
    ({}, 201),
    # required fields, which must not be null
    *(({name: absent}, 400) for name in (*TEXTS, "plays", *AMOUNTS, *FLAGS) for absent in (MISSING, "null")),
    # optional fields
    *(({name: absent}, 201) for name in ("rigs", "yard", "due_s", "waits_on") for absent in (MISSING, "null")),
    ({"rigs": MISSING, "yard": MISSING, "due_s": MISSING}, 201),
    # values of another type, or outside the allowed range
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
    # the known names, and the bounds of the ranges
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
    # contradictory fields
    ({"vcpus": "0", "cards": "0.0", "memory_gb": "0"}, 400),
    ({"spread": "true", "together": "true"}, 400),
    ({"spread": "true", "yard": '"zb"'}, 400),
    ({"spread": "true", "together": "true", "plays": "1"}, 201),
    ({"spread": "true", "yard": '"zb"', "plays": "1"}, 201),
    ({"together": "true", "yard": '"zb"'}, 201),
    # jobs that can never run
    ({"crew": '"nobody"'}, 422),
    ({"crew": '"Team-0"'}, 422),
    ({"crew": json.dumps("t" * 200)}, 422),
    ({"shape": '"group"', "spread": "true", "plays": "2"}, 422),  # starts together, in one zone
    ({"shape": '"group"', "spread": "true", "plays": "1"}, 201),
    ({"vcpus": "16.5"}, 422),  # fits no machine type
    ({"memory_gb": "64.5"}, 422),  # fits no machine type
    ({"cards": "1"}, 422),  # fits no machine type
    ({"vcpus": "24.5"}, 422),  # exceeds the team's limit of 24
    ({"vcpus": "1e300"}, 422),  # exceeds the team's limit of 24
    ({"vcpus": "16.0", "plays": "2"}, 201),  # for an array, only a single task has to fit the limit
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
    # a malformed field takes precedence over a job that can never run
    ({"crew": '"nobody"', "plays": "0"}, 400),
    # larger than a value of the state store
    ({"playbook": json.dumps("i" * 9000)}, 400),
    ({"lineup": json.dumps("l" * 9000)}, 400),
    ({"rigs": json.dumps(["small", *(f"type-{i}" for i in range(3000))])}, 400),
    # unknown fields are ignored, whatever their values, even if repeated
    ({"colour": "null"}, 201),
    ({"colour": '{"plays":0,"plays":[1]}'}, 201),
    ({"colour": '"\\":1"'}, 201),
    ({"colour": '1,"colour":2'}, 201),
    ({"colour": "1e400"}, 201),
    # duplicate fields
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


@pytest.fixture(scope="module")
def client():
    client = ApiClient(41, nodes=1)
    client.cluster.run(20.0)
    assert set(client.cluster.controllers["n0"].machine_types) == {"small", "large"}
    return client


def _label(value) -> str:
    shown = ",".join(f"{k}={v}" for k, v in value.items()) if isinstance(value, dict) else str(value)
    return shown[:40].encode("ascii", "backslashreplace").decode()


@pytest.mark.parametrize(("changes", "status"), FIELD_CASES, ids=_label)
def test_field_validation(client, changes, status):
    job = client.new_id()
    actual, answer, _after, _took = client.submit(job, **changes)
    assert_submission_status(client, job, actual, answer, status)


def test_validation_cases_cover_every_field():
    for name in SUBMISSION_FIELDS:
        assert {status for changes, status in FIELD_CASES if list(changes) == [name]} >= {201, 400}, name
    assert set(SUBMISSION_FIELDS) | {"name_id"} == set(JobSpec.__struct_encode_fields__)


@pytest.mark.parametrize("job", INVALID_IDS, ids=_label)
def test_body_without_valid_job_id_is_malformed(client, job):
    status, answer, _after, took = client.request(
        "POST", "/work", submission_body({"name_id": job} | SUBMISSION_FIELDS)
    )
    assert (status, took) == (400, 0.0) and answer["error"]


@pytest.mark.parametrize("body", NOT_JSON_OBJECTS, ids=lambda body: repr(body[:30]))
def test_body_that_is_not_a_json_object_is_malformed(client, body):
    status, answer, _after, took = client.request("POST", "/work", body)
    assert (status, took) == (400, 0.0) and answer["error"]


def test_spread_job_on_single_zone_types_runs_half_at_a_time():
    """The job is accepted, because it can run in parts even if all its machine types are in one zone."""
    client = ApiClient(50, nodes=1)
    client.cluster.run(20.0)
    changes = {"spread": "true", "rigs": '["large"]', "plays": "4"}
    client.cluster.jobs["req-1"] = SimulatedJob(
        json.loads(submission_body(SUBMISSION_FIELDS | {"name_id": '"req-1"'} | changes)), False
    )
    assert client.submit("req-1", **changes)[0] == 201
    client.cluster.run(120.0)  # the rule checker verifies how many run in one zone
    assert client.request("GET", "/work/req-1")[1]["status"] == "done"


def test_accepted_submission_is_parsed_unchanged():
    fields = (
        {"name_id": '"req-1"'}
        | SUBMISSION_FIELDS
        | {"vcpus": "8", "rigs": '["large"]', "yard": '"zb"', "due_s": MISSING}
    )
    assert parse_job(submission_body(fields)) == JobSpec(
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
    assert str(parse_job(submission_body(fields | {"cards": "-0.0"})).gpus) == "0.0"


def test_stored_records_without_defaults_stay_readable():
    """Records of the production version omit defaults, whereas a submission without these fields is malformed."""
    stored_spec = {
        "name_id": "req-1",
        "lineup": "x",
        "crew": "team-0",
        "shape": "array",
        "urgency": "low",
        "plays": 3,
        "vcpus": 2,
        "memory_gb": 4.0,
    }
    record = parse_record({"t": "team-0", "st": "active", "s": stored_spec, "at": 1e9})
    assert record.spec == JobSpec("req-1", "x", "team-0", "array", "low", 3, 2.0, 4.0)
    assert record.spec.image is None and not record.spec.allows_spot and record.spec.gpus == 0.0
    with pytest.raises(ValueError, match="missing"):
        parse_job(json.dumps(stored_spec).encode())
