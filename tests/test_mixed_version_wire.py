"""Mesh frames and stored records that one version writes are decoded alike by the other version."""

from __future__ import annotations

import json
from collections import defaultdict

import msgspec
import pytest

from tests.infrastructure_faults import combined_faults_run
from tests.mixed_versions import NODE_NAMES, run_wide_job
from tests.simulated_cluster import Network
from tests.standins import StateStore
from tests.versions import Version, current_version, production_version


def _tag(body: type) -> str:
    """Return the tag that identifies a type of message on the wire, the same in every version."""
    return body.__struct_config__.tag


class _Recorder:
    """The mesh frames that controllers of each version send and the values that they write to the state store."""

    def __init__(self) -> None:
        # Frames by package and message tag; keys with their values by package and kind of record.
        self.frames: dict[tuple[str, str], list[bytes]] = defaultdict(list)
        self.values: dict[tuple[str, str], list[tuple[str, object]]] = defaultdict(list)

    def record(self, patch: pytest.MonkeyPatch) -> None:
        send_frame, commit = Network.send_mesh_frame, StateStore._txn
        decoder = current_version().module("wire.mesh").envelope_decoder
        recorder = self

        def send_and_record(network: Network, sender: str, peer: str, frame: bytes) -> None:
            kind = _tag(type(decoder.decode(frame).body))
            recorder.frames[(network.cluster.running_versions[sender].package, kind)].append(frame)
            send_frame(network, sender, peer, frame)

        def commit_and_record(state: StateStore, body: dict, node: str) -> tuple:
            status, answer = commit(state, body, node)
            if status == 200:
                for op in body.get("apply", []):
                    if "write" in op:
                        kind = _record_kind(op["write"], op["v"])
                        recorder.values[(state.cluster.running_versions[node].package, kind)].append(
                            (op["write"], op["v"])
                        )
            return status, answer

        patch.setattr(Network, "send_mesh_frame", send_and_record)
        patch.setattr(StateStore, "_txn", commit_and_record)


def _record_kind(key: str, value: dict) -> str:
    """Return the kind of record that a key holds."""
    kind = key.split("/")[0]
    if kind == "job":
        return f"job {value['st']}"
    if kind == "live":
        return "live first" if key.count("/") == 2 else "live further"
    return kind


SHARES_RECORDINGS = pytest.mark.xdist_group("recorded")  # The fixture then runs once, in one process.


@pytest.fixture(scope="module")
def recorded() -> _Recorder:
    """Record runs of mixed versions with faults, in which both versions send all message types in use."""
    recorder = _Recorder()
    with pytest.MonkeyPatch.context() as patch:
        recorder.record(patch)
        for seed in range(4):
            cluster = combined_faults_run(seed, production_nodes=NODE_NAMES[:2] if seed % 2 else NODE_NAMES[2:])
            assert cluster.unfinished_jobs() == []
        for production_nodes in (NODE_NAMES, ()):
            run_wide_job(1, production_nodes, value_kb=2.0)
    return recorder


BOTH_DIRECTIONS = pytest.mark.parametrize(
    ("writer", "reader"),
    [(production_version, current_version), (current_version, production_version)],
    ids=["old to new", "new to old"],
)
# Last and with defaults, so the production version ignores them.
ADDED_FIELDS = {"ask": ("restrictions",), "gossip": ("blocked", "placed")}
JOB_RECORD_MODULES = {production_version().package: "jobs.book", current_version().package: "jobs.job_records"}
RARE_FRAMES = {"fence", "no"}  # Not every set of runs sends them.
UNUSED_FRAMES = {"ok"}


def _message_types(version: Version) -> dict[str, type]:
    return {_tag(body): body for body in version.module("wire.mesh").Body.__args__}


def test_versions_share_message_types():
    old, new = _message_types(production_version()), _message_types(current_version())
    assert old.keys() == new.keys()
    for name in old:
        assert old[name].__struct_config__.tag == new[name].__struct_config__.tag
        added = ADDED_FIELDS.get(name, ())
        assert (*old[name].__struct_encode_fields__, *added) == new[name].__struct_encode_fields__
        assert len(new[name].__struct_defaults__) >= len(added)


def _shared_values(frame: bytes, kind: str) -> list:
    """Decode a frame to its values in their order, without the fields that only one version knows."""
    *envelope, body = msgspec.msgpack.decode(frame)
    return [*envelope, [item for item in body.items() if item[0] not in ADDED_FIELDS.get(kind, ())]]


@SHARES_RECORDINGS
@BOTH_DIRECTIONS
def test_recorded_frames_decode_alike(recorded, writer, reader):
    wire, other = writer().module("wire.mesh"), reader().module("wire.mesh")
    seen = {kind for package, kind in recorded.frames if package == writer().package}
    assert _message_types(writer()).keys() - seen <= RARE_FRAMES | UNUSED_FRAMES
    for (package, kind), frames in recorded.frames.items():
        if package == writer().package:
            for frame in frames[:200]:
                own, read = wire.envelope_decoder.decode(frame), other.envelope_decoder.decode(frame)
                encoded = [wire.envelope_encoder.encode(own), other.envelope_encoder.encode(read)]
                if kind not in ADDED_FIELDS:
                    assert encoded[0] == encoded[1]
                assert _shared_values(encoded[0], kind) == _shared_values(encoded[1], kind)


@BOTH_DIRECTIONS
@pytest.mark.parametrize("name", sorted(RARE_FRAMES | UNUSED_FRAMES))
def test_rare_frames_decode_alike(writer, reader, name):
    wire, other = writer().module("wire.mesh"), reader().module("wire.mesh")
    arguments = {"fence": (["host-000001"],), "no": ("not the owner",), "ok": ()}
    body = _message_types(writer())[name](*arguments[name])
    frame = wire.envelope_encoder.encode(wire.Envelope("n0", 5, 7, 0, body))
    read = other.envelope_decoder.decode(frame)
    assert _tag(type(read.body)) == name and other.envelope_encoder.encode(read) == frame


@SHARES_RECORDINGS
@BOTH_DIRECTIONS
def test_recorded_records_decode_alike(recorded, writer, reader):
    """Records that one version writes and the other reads and encodes again are the same as written."""
    values = {kind: found for (package, kind), found in recorded.values.items() if package == writer().package}
    assert {"job active", "job done", "job cancelled", "live first", "live further", "own", "fleet"} <= values.keys()
    assert values.keys() - {"version", "versions"} <= {
        "job active", "job done", "job cancelled", "live first", "live further", "own", "fleet",
    }  # fmt: skip
    job_records, cloud = reader().module(JOB_RECORD_MODULES[reader().package]), reader().module("wire.cloud")
    for kind in ("job active", "job done", "job cancelled"):
        for _key, value in values[kind]:
            assert msgspec.to_builtins(job_records.parse_record(value)) == value
    for _key, value in values["fleet"]:
        assert msgspec.to_builtins(msgspec.convert(value, cloud.MachineTypes)) == value
    for _key, value in values["own"]:
        assert value.keys() == {"n", "b", "z"} and int(value["b"], 16) >= 0


@SHARES_RECORDINGS
@BOTH_DIRECTIONS
def test_recorded_assignment_records_decode_alike(recorded, writer, reader):
    """Both versions read the same assignments and finished tasks from a chunk and encode them to the same value."""
    for kind in ("live first", "live further"):
        found = recorded.values[(writer().package, kind)]
        assert found
        for key, value in found[:300]:
            chunk = int(key.split("/")[3]) if key.count("/") == 3 else 0
            jobs = {version.package: _load_job(version, chunk, value) for version in (writer(), reader())}
            read = {json.dumps(_read_assignments(version, jobs[version.package])) for version in (writer(), reader())}
            assert len(read) == 1
            written = [
                job.encode(chunk, sorted(job.attempts.values(), key=lambda a: a.index), 8192) for job in jobs.values()
            ]
            assert written[0] == written[1] == value


def _load_job(version: Version, chunk: int, value: dict):
    users = version.module("wire.users")
    spec = users.JobSpec("req-000001", "x", "team-0", "array", "standard", 600, 2.0, 5.4)
    entry = (
        version.module("jobs.book").Known
        if version is production_version()
        else version.module("jobs.job_entry").JobEntry
    )
    job = version.module("jobs.job").Job("req-000001", "team-0", entry(spec, "team-0", 41, 0.0), 0.0)
    if not chunk:
        setattr(job, "need" if version is production_version() else "resources", tuple(value["q"]))
    job.load(chunk, value, 5, 0.0)
    return job


def _read_assignments(version: Version, job) -> list:
    if version is production_version():
        names, counter = ("index", "number", "machine", "shift", "zone", "token", "piece"), job.counter
    else:
        names = ("index", "number", "machine", "session", "zone", "partition_token", "chunk")
        counter = job.last_attempt_number
    attempts = sorted(tuple(getattr(attempt, name) for name in names) for attempt in job.attempts.values())
    return [attempts, list(job.done), counter]
