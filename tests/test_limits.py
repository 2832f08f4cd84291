"""Limits of the state store that are lowered without notice, and records and messages of the production version."""

from __future__ import annotations

import json
import random
from pathlib import Path

import msgspec
import pytest

from tealhook.jobs.job import Job
from tealhook.jobs.job_entry import JobEntry
from tealhook.jobs.job_records import parse_record
from tealhook.settings import SettingsError
from tealhook.settings.platform import parse_settings
from tealhook.state_store import CallPriority, StateClient, TransactionOutcome
from tealhook.wire import mesh as wire
from tealhook.wire.cloud import MachineTypes
from tealhook.wire.common import encode_json
from tealhook.wire.users import JobSpec
from tests.infrastructure_faults import combined_faults_run
from tests.simulated_cluster import SimulatedCluster, end_faults, settings_text
from tests.simulation.context import make_context
from tests.user_requests import UNCONSTRAINED_JOB

NEXT_LIMITS = {"write_rps": 21.0, "value_kb": 2.0, "txn_ops": 5}
MAX_RECORD_BYTES = int(0.97 * 2 * 1024)
PRODUCTION_DATA = json.loads((Path(__file__).parent / "fixtures" / "production.json").read_text(encoding="utf-8"))


# -- settings


def test_effective_limits_are_the_smaller_ones():
    state = parse_settings("s.toml", settings_text(0, 3, next_limits=NEXT_LIMITS | {"surprise": 1})).params.state
    assert (state.strictest.write_rps, state.strictest.value_kb, state.strictest.txn_ops) == (21.0, 2.0, 5)
    assert (state.value_kb, state.txn_ops) == (8.0, 16)
    state = parse_settings("s.toml", settings_text(0, 3, next_limits={"value_kb": 32.0, "txn_ops": 7})).params.state
    assert (state.strictest.write_rps, state.strictest.value_kb, state.strictest.txn_ops) == (40.0, 8.0, 7)
    assert parse_settings("s.toml", settings_text(0, 3)).params.state.strictest.txn_ops == 16


@pytest.mark.parametrize(
    ("next_limits", "expected"),
    [
        ({"txn_ops": 1}, "s.toml: params.state.next.txn_ops: expected at least 2, got 1"),
        ({"value_kb": 0}, "s.toml: params.state.next.value_kb: expected a number above 0, got 0.0"),
        ({"write_rps": '"few"'}, "s.toml: params.state.next.write_rps: Expected `float | null`, got `str`"),
    ],
)
def test_invalid_next_limits_name_key_and_expectation(next_limits, expected):
    with pytest.raises(SettingsError) as caught:
        parse_settings("s.toml", settings_text(0, 3, next_limits=next_limits))
    assert str(caught.value) == expected


# -- records and messages of the version in production


def _spec(name: str = "req-000001") -> JobSpec:
    return JobSpec(name, "roster-refresh", "team-0", "array", "standard", 600, 2.0, 5.4)


def _load_job(chunks: dict, order: list[str] | None = None) -> Job:
    job = Job("req-000001", "team-0", JobEntry(_spec(), "team-0", 41, 0.0), 0.0)
    for chunk in order or chunks:
        job.load(int(chunk), chunks[chunk], 5, 0.0)
    return job


def _assignments(job: Job) -> dict[int, tuple]:
    return {i: (a.number, a.machine, a.session, a.zone, a.partition_token) for i, a in job.attempts.items()}


def test_production_assignment_records_are_read_completely():
    wide = _load_job(PRODUCTION_DATA["live_250"])
    assert sorted(wide.attempts) == list(range(160, 410)) and wide.last_attempt_number == 250 and wide.done_count == 158
    assert len({a.machine for a in wide.attempts.values()}) == 250
    widest = _load_job(PRODUCTION_DATA["live_400"], ["1", "0"])
    assert sorted(widest.attempts) == list(range(400)) and widest.chunk_revisions == {0: 5, 1: 5}
    assert max(len(encode_json(value)) for value in PRODUCTION_DATA["live_400"].values()) > 2.5 * MAX_RECORD_BYTES


def test_production_job_ownership_and_type_records_are_read():
    jobs = {name: parse_record(value) for name, value in PRODUCTION_DATA["jobs"].items()}
    assert {name: record.status for name, record in jobs.items()} == {name: name for name in jobs} and len(jobs) == 3
    assert (
        jobs["active"].spec.task_count == 600
        and jobs["active"].spec.image_gb == 0.9
        and jobs["active"].status_since == 1e9
    )
    assert set(PRODUCTION_DATA["own"]) == {"n", "b", "z"} and int(PRODUCTION_DATA["own"]["b"], 16) == 0x38538D0EA8C72DB3
    assert msgspec.convert(PRODUCTION_DATA["types"], MachineTypes).machine_types[0].zones == ["za", "zb"]


# name of each message in the version in production -> its type here
FRAME_TYPES = {
    "Ask": wire.CapacityRequest,
    "AskReply": wire.CapacityReply,
    "Reserve": wire.ReserveRequest,
    "ReserveReply": wire.ReserveReply,
    "Launch": wire.LaunchRequest,
    "LaunchReply": wire.LaunchReply,
    "MachineNews": wire.StatusUpdate,
    "Look": wire.ReconcileRequest,
    "LookReply": wire.ReconcileReply,
    "Stop": wire.StopRequest,
    "Fence": wire.FenceRequest,
    "Gone": wire.MachinesReleased,
    "Drain": wire.DrainRequest,
    "Gossip": wire.Gossip,
    "Relay": wire.RelayRequest,
    "RelayReply": wire.RelayReply,
    "Forward": wire.ForwardRequest,
    "ForwardReply": wire.ForwardReply,
    "Ok": wire.Acknowledged,
    "No": wire.Refused,
}


@pytest.mark.parametrize("name", sorted(PRODUCTION_DATA["frames"]))
def test_production_mesh_frames_are_read(name):
    frame = PRODUCTION_DATA["frames"][name]
    envelope = wire.envelope_decoder.decode(bytes.fromhex(frame["hex"]))
    assert type(envelope.body) is FRAME_TYPES[name] and envelope.sender == "n0" and envelope.incarnation == 5
    if frame["body"] is not None:
        body = json.loads(json.dumps(msgspec.to_builtins(envelope.body)))
        assert all(body[key] == value for key, value in frame["body"].items())


# -- splitting of large records


def _write_chunks(job: Job, durable: dict[int, dict], max_chunks: int) -> dict[int, dict]:
    """Apply one write of a job to the durable chunks, as the state store does, and check that it is within limits."""
    written = job.lay_out_chunks(MAX_RECORD_BYTES, max_chunks)
    assert 0 < len(written) <= max_chunks and all(
        len(encode_json(value)) <= MAX_RECORD_BYTES for value in written.values()
    )
    job.dirty_chunks -= written.keys()
    for chunk, value in written.items():
        if value["m"] or not chunk:
            durable[chunk] = value
            job.chunk_revisions[chunk] = 6
        else:
            durable.pop(chunk, None)
            job.chunk_revisions.pop(chunk, None)
    job.move_attempts(job.moved_attempts, set(written))
    return written


@pytest.mark.parametrize("record", ["live_250", "live_400"])
@pytest.mark.parametrize("max_chunks", [2, 3, 5, 16])
@pytest.mark.parametrize("takeover", [False, True])
def test_no_attempt_is_lost_at_any_step_of_record_split(record, max_chunks, takeover):
    """After each write a new owner reads every attempt, in whichever order it reads the chunks."""
    durable = {int(chunk): value for chunk, value in PRODUCTION_DATA[record].items()}
    job = _load_job(durable)
    before, steps, copies = _assignments(job), 0, 0
    while (
        steps == 0 or job.dirty_chunks or max(len(encode_json(value)) for value in durable.values()) > MAX_RECORD_BYTES
    ):
        if not job.dirty_chunks:
            job.dirty_chunks |= durable.keys()
        copies += 0 not in _write_chunks(job, durable, max_chunks)
        steps += 1
        assert steps < 30
        order = list(durable)
        random.Random(steps).shuffle(order)
        again = _load_job(durable, order)
        assert (
            _assignments(again) == before == _assignments(job) and again.last_attempt_number == job.last_attempt_number
        )
        if takeover:
            job = again
    assert all(len(encode_json(value)) <= MAX_RECORD_BYTES for value in durable.values())
    assert copies > 0 if max_chunks < 5 else steps <= 4
    machine_names = [
        name for value in durable.values() for machines_of_zone in value["m"].values() for name in machines_of_zone
    ]
    assert len(machine_names) == len(set(machine_names)) == len(before)  # each attempt is recorded once


@pytest.mark.parametrize("order", [["0", "1", "2", "3"], ["3", "2", "1", "0"]])
def test_new_owner_continues_record_split(order):
    """Copied attempts stay in their new chunks, and the large chunk is marked to be rewritten without them."""
    durable = {int(chunk): value for chunk, value in PRODUCTION_DATA["live_400"].items()}
    job = _load_job(durable)
    written = _write_chunks(job, durable, 2)
    assert written.keys() == {2, 3}
    again = _load_job({str(chunk): value for chunk, value in durable.items()}, order)
    assert again.dirty_chunks == {0}
    copied = {index for index, attempt in again.attempts.items() if attempt.chunk in written}
    assert copied == {index for index, attempt in job.attempts.items() if attempt.chunk in written} and copied


def test_attempt_ending_during_copy_is_removed_from_all_chunks():
    durable = {int(chunk): value for chunk, value in PRODUCTION_DATA["live_250"].items()}
    job = _load_job(durable)
    written = job.lay_out_chunks(MAX_RECORD_BYTES, 2)
    assert 0 not in written and job.moved_attempts
    attempt, target = job.moved_attempts[0]
    del job.attempts[attempt.index]
    job.dirty_chunks.add(attempt.chunk)
    job.move_attempts(job.moved_attempts, set(written))
    assert {0, target} <= job.dirty_chunks


# -- simulated clusters


def _running_task_count(cluster: SimulatedCluster) -> int:
    return sum(len(machine.started_tasks()) for machine in cluster.cloud.machines.values())


def _assert_only_rate_refusals(cluster: SimulatedCluster) -> None:
    assert set(cluster.state.refused_writes) <= {"rate"}


def test_job_on_400_machines_keeps_running_tasks_at_lowered_limits():
    cluster = SimulatedCluster(51, cpu_limit=9000.0, write_rps=100.0, next_limits={"value_kb": 2.0, "txn_ops": 5})
    cluster.state.lower_limits()
    cluster.cloud.capacity_per_pool = 220
    job = cluster.submit(plays=400, vcpus=16.0, memory_gb=33.0, expected_s=200.0, **UNCONSTRAINED_JOB)
    cluster.run(75.0)
    before = {m.name for m in cluster.cloud.machines.values() if m.started_tasks()}
    assert len(before) > 370  # as many as with 8 KiB: some machines start late or never
    assert sum(key.startswith(f"live/{cluster.jobs[job].spec['crew']}/{job}") for key in cluster.state.rows) >= 7
    for name in cluster.node_names:
        cluster.crash(name, 0.3)
    cluster.run(10.0)
    assert before <= {m.name for m in cluster.cloud.machines.values() if m.started_tasks()}
    _assert_only_rate_refusals(cluster)


@pytest.mark.parametrize(("seed", "txn_ops"), [(0, 5), (1, 5), (2, 2), (3, 2), (4, 2)])
def test_rules_hold_when_limits_are_lowered_amid_faults(seed, txn_ops):
    """Records written within larger limits are split while controllers crash, writes come late and answers get lost."""
    next_limits = NEXT_LIMITS | ({"txn_ops": 2, "value_kb": 0.7} if txn_ops == 2 else {})
    cluster = SimulatedCluster(seed + 700, cpu_limit=2500.0, write_rps=40.0, next_limits=next_limits)
    cluster.cloud.capacity_per_pool = 50
    for node in cluster.node_names:  # until they crash, they write within the larger limits, as in production
        store = cluster.controllers[node].state_client
        store.max_operations, store.max_value_bytes = 16, 8192
    for i in range(5):
        cluster.call_later(
            3.0 * i,
            lambda: cluster.submit(plays=180, vcpus=8.0, expected_s=30.0, **UNCONSTRAINED_JOB),
        )
    cluster.run(45.0)
    large = [
        key
        for key, row in cluster.state.rows.items()
        if key.startswith("live/") and len(encode_json(row[0])) > MAX_RECORD_BYTES
    ]
    assert large
    copies, original = [], cluster.state._txn

    def txn(body: dict, node: str) -> tuple:
        status, answer = original(body, node)
        live = [op["write"] for op in body.get("apply", []) if op.get("write", "").startswith("live/")]
        if status == 200 and live and all(key.count("/") == 3 for key in live):
            copies.append(live)  # without the first chunk: its excess attempts are copied first
        return status, answer

    cluster.state._txn = txn
    for i, name in enumerate(cluster.node_names):
        cluster.call_later(4.0 * i, lambda name=name: cluster.crash(name, 1.0))
    cluster.run(14.0)
    cluster.state.lower_limits()
    cluster.network.late_write_share, cluster.network.lost_answer_share = 0.15, 0.1
    for i in range(4):
        cluster.call_later(8.0 * (i + 1), lambda: cluster.crash(cluster.rng.choice(cluster.node_names), 0.5))
    cluster.run(50.0)
    end_faults(cluster)
    cluster.network.end_faults()
    assert copies or txn_ops > 2
    assert cluster.network.event_counts["late write"] and cluster.network.event_counts["answer to a write lost"]
    cluster.run(400.0)
    assert cluster.unfinished_jobs() == []
    assert not [key for key in cluster.state.rows if key.startswith("live/")]
    _assert_only_rate_refusals(cluster)


@pytest.mark.parametrize("seed", [81, 82])
def test_rules_hold_in_combined_faults_at_lowered_limits(seed):
    cluster = combined_faults_run(seed, next_limits=NEXT_LIMITS, write_rps=30.0)
    assert cluster.unfinished_jobs() == [] and cluster.task_starts > 0


# -- rejected and refused writes


def test_rejected_write_of_one_job_does_not_block_others(caplog):
    """Guards against a job whose record is rejected at any size, by limits that the settings do not name."""
    cluster = SimulatedCluster(90)
    cluster.cloud.capacity_per_pool = 20
    rejected_job = cluster.submit(
        undisturbed=True, plays=3, crew="team-0", urgency="urgent", expected_s=2.0, spread=False, rigs=None
    )
    original, rejected = cluster.state._txn, []

    def txn(body: dict, node: str) -> tuple:
        if any(
            f"/{rejected_job}" in op.get("write", "") and op["write"].startswith("live/")
            for op in body.get("apply", [])
        ):
            rejected.append((cluster.now, len(body["apply"])))
            return 400, {"error": "value too large"}
        return original(body, node)

    cluster.state._txn = txn
    others = [
        cluster.submit(undisturbed=True, plays=2, crew="team-0", expected_s=2.0, spread=False, rigs=None)
        for _ in range(6)
    ]
    cluster.run(90.0)
    assert len(rejected) > 3 and [job for job in others if cluster.jobs[job].final_status != "done"] == []
    late = [rejected_at for rejected_at, _ in rejected if rejected_at > 30.0]
    assert len(late) <= 8  # writes are attempted less and less often
    assert any(rejected_job in record.message and "rejected" in record.message for record in caplog.records)
    cluster.state._txn = original
    cluster.run(150.0)
    assert cluster.unfinished_jobs() == []


class _Effects:
    """Effects of one client with a scripted state store."""

    def __init__(self, answer) -> None:
        self.time, self.calls, self.timers, self.answer_of = 0.0, [], [], answer
        self.rng = random.Random(1)

    def now(self) -> float:
        return self.time

    def later(self, delay, call):
        self.timers.append((self.time + delay, len(self.timers), call))

    def state(self, method, target, body, timeout, answer) -> None:
        self.calls.append((self.time, target))
        answer(self.answer_of(target), b'{"epoch":1}')

    def run(self, until: float) -> None:
        while due := sorted(timer for timer in self.timers if timer[0] <= until):
            self.timers.remove(due[0])
            self.time = max(self.time, due[0][0])
            due[0][2]()
        self.time = until


def _client(answer) -> tuple[_Effects, StateClient]:
    effects = _Effects(answer)
    return effects, StateClient(make_context(effects, parse_settings("s.toml", settings_text(0, 1))))


def _send_bookkeeping(effects: _Effects, store: StateClient, seconds: int) -> int:
    """Submit bookkeeping writes for some seconds, and return how many requests were sent."""
    sent = len(effects.calls)
    for _ in range(seconds * 50):
        store.transact({}, [{"drop": "a"}], CallPriority.BOOKKEEPING, lambda *_: None, queue_timeout_s=0.1)
        effects.run(effects.time + 0.02)
    return len(effects.calls) - sent


def test_client_backs_off_on_rate_limit_and_prioritizes_renewals():
    status = [200]
    effects, store = _client(lambda _target: status[0])
    usual_count = _send_bookkeeping(effects, store, 20)
    status[0] = 429
    _send_bookkeeping(effects, store, 20)
    slowed_count = _send_bookkeeping(effects, store, 20)
    assert 0 < slowed_count < 0.5 * usual_count
    store.transact({}, [{"drop": "k"}], CallPriority.BOOKKEEPING, lambda *_: None)
    store.transact({}, [{"drop": "c"}], CallPriority.ADMIT, lambda *_: None)
    store.renew_lease(7, 1.0, lambda _kind: None)
    sent = len(effects.calls)
    effects.run(effects.time + 2.0)
    assert effects.calls[sent][1] == "/grants/7/renew"
    status[0] = 200
    _send_bookkeeping(effects, store, 90)
    assert _send_bookkeeping(effects, store, 20) > 0.9 * usual_count


@pytest.mark.parametrize(
    ("status", "body", "expected"),
    [
        (400, b'{"error":"no such lease"}', TransactionOutcome.REFUSED),
        (400, b'{"error":"value too large"}', TransactionOutcome.REJECTED),
        (429, b"{}", TransactionOutcome.REFUSED),
        (503, b"{}", TransactionOutcome.REFUSED),
        (None, b"", TransactionOutcome.UNKNOWN),
    ],
)
def test_transaction_outcomes(status, body, expected):
    effects, store = _client(None)
    effects.state = lambda method, target, sent, timeout, answer: answer(status, body)
    outcomes = []
    store.transact({}, [{"drop": "a"}], CallPriority.RENEW, lambda result: outcomes.append(result.outcome))
    assert outcomes == [expected]
