"""Checkpoints of the active jobs, by which a controller starts without reading the records of all ended jobs."""

from __future__ import annotations

import json

import msgspec
import pytest

from tealhook.jobs.job_records import JOBS_PREFIX
from tealhook.state_store import KeyCheckpoint, key_checkpoint, scanning_watcher
from tealhook.state_store.key_checkpoint import Checkpoint
from tests.api_client import ApiClient
from tests.simulated_cluster import SimulatedCluster, random_faults_run
from tests.test_old_deployments import LONG_JOB, SHORT_JOB, add_ended_jobs, crash_all, run_until

PAGE_ROWS = 100
HEAD_KEY = "checkpoint/job"


def _active_in_store(cluster: SimulatedCluster) -> set[str]:
    return {
        key.removeprefix(JOBS_PREFIX)
        for key, (value, _revision, _lease) in cluster.state.rows.items()
        if key.startswith(JOBS_PREFIX) and value.get("st") == "active"
    }


def _assert_all_active_jobs_known(cluster: SimulatedCluster) -> None:
    active = _active_in_store(cluster)
    assert active
    for node in cluster.controllers.values():
        assert node.job_index.is_synced
        assert set(node.job_index.active) == active


def _count_pages(cluster: SimulatedCluster) -> list[str]:
    """Return the list of requested pages of job records, which grows from now on."""
    pages: list[str] = []
    handle = cluster.state.handle

    def counting_handle(node, method, target, body, answer):
        if target.startswith("/store?starts=job/&"):
            pages.append(target)
        handle(node, method, target, body, answer)

    cluster.state.handle = counting_handle
    return pages


def _client_with_checkpoint(seed: int, ended_jobs: int, **overrides) -> ApiClient:
    """Return a client of a cluster whose controllers have scanned the records of ended jobs, and saved a checkpoint."""
    client = ApiClient(seed, nodes=3, **overrides)
    cluster = client.cluster
    cluster.run(10.0)
    add_ended_jobs(cluster, ended_jobs)
    cluster.state.max_page_rows = PAGE_ROWS
    crash_all(cluster, 1.0)
    cluster.run(5.0)
    for _ in range(3):
        cluster.submit(**LONG_JOB)
    run_until(cluster, lambda: HEAD_KEY in cluster.state.rows, 60.0)
    return client


def _add_other_changes(cluster: SimulatedCluster, count: int) -> None:
    """Change keys that have nothing to do with jobs."""
    for number in range(count):
        cluster.state.apply_put(f"other/{number % 10}", {})


@pytest.mark.parametrize("ended_jobs", [6000, 18_000])
def test_start_reads_as_few_records_however_many_jobs_have_ended(ended_jobs):
    """Guards against a time to readiness that grows with the number of jobs that ever ended."""
    client = _client_with_checkpoint(1, ended_jobs)
    cluster = client.cluster
    accepted = [cluster.submit(**LONG_JOB) for _ in range(3)]
    ending = cluster.submit(**SHORT_JOB)
    run_until(cluster, lambda: cluster.jobs[ending].final_status == "done", 60.0)
    pages = _count_pages(cluster)
    crash_all(cluster, 1.0)
    cluster.run(10.0)
    assert len(pages) == scanning_watcher.PAGES_PER_CHECKPOINT_LOOKUP * len(cluster.node_names)
    _assert_all_active_jobs_known(cluster)
    assert set(accepted) <= _active_in_store(cluster)
    cluster.run(20.0)
    assert all(client.request("GET", f"/work/{job}")[1]["status"] == "running" for job in accepted)


def test_checkpoint_follows_the_changes():
    """Guards against a checkpoint that the retained changes do not reach, so that every start scans all records."""
    cluster = _client_with_checkpoint(2, 5000).cluster
    first_revision = cluster.state.rows[HEAD_KEY][0]["r"]
    cluster.state.retained_changes = key_checkpoint.SAVE_INTERVAL_CHANGES * 3
    while cluster.state.compacted_revision < first_revision:
        _add_other_changes(cluster, 50)
        cluster.run(1.0)
    pages = _count_pages(cluster)
    crash_all(cluster, 1.0)
    cluster.run(10.0)
    assert len(pages) == scanning_watcher.PAGES_PER_CHECKPOINT_LOOKUP * len(cluster.node_names)
    _assert_all_active_jobs_known(cluster)


def test_start_from_checkpoint_reads_all_dependencies_of_a_blocked_job():
    """Guards against a job that waits for ever, because a chunk of its dependencies was read before its record."""
    client = _client_with_checkpoint(6, 5000, value_kb=2.0)
    cluster = client.cluster
    blockers = [cluster.submit(**LONG_JOB) for _ in range(2)]
    run_until(cluster, lambda: all(cluster.jobs[job].accepted for job in blockers), 10.0)
    ended = sorted(key.removeprefix(JOBS_PREFIX) for key in cluster.state.rows if key.startswith("job/req-old-"))
    done = [job for job in ended if cluster.state.rows[JOBS_PREFIX + job][0]["st"] == "done"]
    blocked = [f"req-zzz-{number}" for number in range(8)]
    for job in blocked:
        waits_on = json.dumps([*done[-200:], *blockers])
        run_until(cluster, lambda job=job, waits_on=waits_on: client.submit(job, waits_on=waits_on)[0] == 201, 30.0)
    assert any(key.startswith(f"job/{blocked[0]}/") for key in cluster.state.rows)
    accepted_revision = cluster.state.revision
    while cluster.state.rows[HEAD_KEY][0]["r"] < accepted_revision:
        _add_other_changes(cluster, 50)
        cluster.run(1.0)
    crash_all(cluster, 1.0)
    cluster.run(15.0)
    for node in cluster.controllers.values():
        assert node.job_index.is_synced and not node.job_index.watcher.has_all_keys
        for job in blocked:
            entry = node.job_index.active[job]
            assert not entry.missing_chunks and set(blockers) <= set(entry.pending_dependencies)


def test_checkpoint_lists_records_that_its_writer_cannot_read():
    """Guards against forgetting an active job whose record only a later version can read."""
    client = _client_with_checkpoint(7, 5000)
    cluster = client.cluster
    cluster.state.apply_put("job/req-zzz-later", {"t": "team-0", "st": "active", "s": {"later": "format"}})
    written_revision = cluster.state.revision
    while cluster.state.rows[HEAD_KEY][0]["r"] < written_revision:
        _add_other_changes(cluster, 50)
        cluster.run(1.0)
    parts = [value for key, (value, _revision, _lease) in cluster.state.rows.items() if key.startswith(HEAD_KEY + "/")]
    assert any("req-zzz-later" in part["k"] for part in parts)


def _compact(cluster: SimulatedCluster) -> None:
    cluster.state.change_log.clear()
    cluster.state.compacted_revision = cluster.state.revision


def _tear(cluster: SimulatedCluster) -> None:
    for key, (value, revision, lease) in list(cluster.state.rows.items()):
        if key.startswith(HEAD_KEY + "/"):
            cluster.state.rows[key] = (value | {"r": value["r"] - 1, "k": []}, revision, lease)


def _delete_part(cluster: SimulatedCluster) -> None:
    del cluster.state.rows[next(key for key in cluster.state.rows if key.startswith(HEAD_KEY + "/"))]


def _garble(cluster: SimulatedCluster) -> None:
    _value, revision, lease = cluster.state.rows[HEAD_KEY]
    cluster.state.rows[HEAD_KEY] = ({"r": "yesterday"}, revision, lease)


@pytest.mark.parametrize("damage", [_compact, _tear, _delete_part, _garble])
def test_unusable_checkpoint_only_costs_a_scan(damage):
    """Guards against forgetting active jobs that a torn or outdated checkpoint lacks."""
    cluster = _client_with_checkpoint(3, 5000).cluster
    crash_all(cluster, 3.0)
    cluster.run(1.0)
    damage(cluster)
    pages = _count_pages(cluster)
    cluster.run(20.0)
    assert len(pages) > 5000 / PAGE_ROWS
    _assert_all_active_jobs_known(cluster)
    run_until(cluster, lambda: cluster.state.rows[HEAD_KEY][0]["r"] != "yesterday", 30.0)


def test_checkpoint_of_many_keys_takes_several_transactions():
    cluster = SimulatedCluster(4, nodes=1)
    cluster.run(5.0)
    node = cluster.controllers["n0"]
    checkpoint = KeyCheckpoint(node.context, node.state_client, "many/")
    keys = [f"many/req-{number:08d}" for number in range(20_000)]
    loaded: list[Checkpoint | None] = []
    for revision in (7000, 14_000, 21_000):  # both slots are used, the first one twice
        checkpoint.save_if_due(revision, lambda revision=revision: Checkpoint(revision, keys[: 27_000 - revision]))
        cluster.run(30.0)
        checkpoint.load(loaded.append)
        cluster.run(1.0)
        assert loaded[-1] == Checkpoint(revision, keys[: 27_000 - revision])
    slots = {key.split("/")[3] for key in cluster.state.rows if key.startswith("checkpoint/many/n0/")}
    assert slots == {"0", "1"}


def test_two_nodes_do_not_overwrite_each_others_checkpoint():
    """Guards against a late write of one node that tears the checkpoint that the head names."""
    cluster = SimulatedCluster(5, nodes=2)
    cluster.run(5.0)
    checkpoints = [
        KeyCheckpoint(node.context, node.state_client, "many/") for _name, node in sorted(cluster.controllers.items())
    ]
    keys = [f"many/req-{number:08d}" for number in range(15_000)]
    for number, checkpoint in enumerate(checkpoints):
        view = Checkpoint(5000 + number, keys[number:])
        checkpoint.save_if_due(5000, lambda view=view: view)
    cluster.run(40.0)
    loaded: list[Checkpoint | None] = []
    checkpoints[0].load(loaded.append)
    cluster.run(2.0)
    assert loaded in ([Checkpoint(5000, keys)], [Checkpoint(5001, keys[1:])])


def _make_checkpoints_frequent(monkeypatch) -> None:
    """Make a handful of jobs count as many, so that runs of a few minutes use checkpoints all the time."""
    monkeypatch.setattr(scanning_watcher, "SCAN_PAGE_SIZE", 3)
    monkeypatch.setattr(scanning_watcher, "PAGES_PER_CHECKPOINT_LOOKUP", 1)
    monkeypatch.setattr(scanning_watcher, "MIN_CHECKPOINT_KEYS", 3)
    monkeypatch.setattr(key_checkpoint, "SAVE_INTERVAL_CHANGES", 10)
    monkeypatch.setattr(key_checkpoint, "STAGGER_CHANGES", 5)


@pytest.mark.parametrize("seed", [*range(4), 131])  # 131: a job accepted before the first page was read
def test_rules_hold_when_controllers_start_from_checkpoints(seed, monkeypatch):
    """Guards against any answer or start that contradicts the records, in random runs that start from checkpoints."""
    _make_checkpoints_frequent(monkeypatch)
    used = []
    original = scanning_watcher.ScanningWatcher._on_checkpoint_applied

    def on_checkpoint_applied(watcher):
        used.append(watcher)
        original(watcher)

    monkeypatch.setattr(scanning_watcher.ScanningWatcher, "_on_checkpoint_applied", on_checkpoint_applied)
    cluster = random_faults_run(seed, state_loss_share=0.05 * (seed % 2))
    assert used
    assert not cluster.unfinished_jobs()
    for node in cluster.controllers.values():
        assert node.job_index.is_synced


def test_records_of_checkpoints_keep_their_encoding():
    head = key_checkpoint.CheckpointHead(1, "n0", 0, 2)
    part = key_checkpoint.CheckpointPart(1, ["req-1", "req-1/1"])
    assert msgspec.to_builtins(head) == {"r": 1, "n": "n0", "s": 0, "c": 2}
    assert msgspec.to_builtins(part) == {"r": 1, "k": ["req-1", "req-1/1"]}
