"""Clusters in which controllers of the production version and of the current version run side by side."""

from __future__ import annotations

import json

import pytest

from tests import dependency_graphs
from tests.dependency_steps import LONG_JOB, SHORT_JOB, finish_in, run_until
from tests.infrastructure_faults import OWNERSHIP_PREFIXES, end_all_faults, owners, run_until_finished
from tests.mixed_versions import NODE_NAMES
from tests.simulated_cluster import SimulatedCluster, make_request
from tests.user_requests import UNCONSTRAINED_JOB
from tests.versions import (
    MissingCommitError,
    archived_modules,
    current_version,
    extract_package,
    production_commit,
    production_version,
)

# -- the production version itself


def test_production_package_matches_git_history(tmp_path):
    """Only the package name in import statements differs from the commit that the deploy file names."""
    package = extract_package(production_commit(), tmp_path)
    original = {path: source.decode() for path, source in archived_modules(production_commit()).items()}
    assert {str(path.relative_to(package)) for path in package.rglob("*.py")} == original.keys()
    files = sorted(package.rglob("*.py"))
    assert len(files) > 40
    for path in files:
        source = path.read_text(encoding="utf-8")
        assert "from tealhook." not in source and "import tealhook." not in source
        for line, before in zip(
            source.splitlines(), original[str(path.relative_to(package))].splitlines(), strict=True
        ):
            assert line == before or line == before.replace(" tealhook", " tealhook_production", 1)
    # The version in production does not support dependencies of jobs.
    assert not (package / "jobs" / "pipelines.py").exists()


def test_versions_do_not_import_each_other():
    for own, other in ((current_version(), production_version()), (production_version(), current_version())):
        controller = own.module("controller")
        assert own.controller is controller.Controller and own.controller.__module__ == f"{own.package}.controller"
        assert len(own.modules()) > 40
        for name in own.modules():
            packages = {getattr(value, "__module__", None) or "" for value in vars(own.module(name)).values()}
            assert not [package_name for package_name in packages if package_name.split(".")[0] == other.package]


def test_missing_production_commit_is_reported(tmp_path):
    with pytest.raises(
        MissingCommitError, match=r"commit 0{40}, which deploy/service.toml names, failed; a full clone"
    ):
        extract_package("0" * 40, tmp_path)


# -- owners of each kind


def _settled_with_owner(seed: int, kind: str, is_old: bool) -> tuple[SimulatedCluster, str]:
    """Return a cluster in which the owner of a kind of key runs one version and all other nodes the other."""
    for owner in NODE_NAMES:
        cluster = SimulatedCluster(seed, production_nodes=[name for name in NODE_NAMES if (name == owner) == is_old])
        cluster.run(20.0)
        if owner in owners(cluster, kind):
            return cluster, owner
    raise AssertionError(f"no node owns a key of kind {kind!r}")


@pytest.mark.parametrize("kind", OWNERSHIP_PREFIXES)
@pytest.mark.parametrize("is_old", [True, False], ids=["old owner", "new owner"])
@pytest.mark.parametrize("seed", [1, 2])
def test_owner_of_each_kind_works_beside_other_version(kind, is_old, seed):
    cluster, owner = _settled_with_owner(seed, kind, is_old)
    assert (cluster.running_versions[owner] is production_version()) == is_old
    assert {cluster.running_versions[name] is production_version() for name in NODE_NAMES} == {True, False}
    for i in range(15):
        cluster.call_later(2.0 * i, cluster.submit)
    cluster.run(35.0)
    assert owner in owners(cluster, kind)
    cluster.crash(owner, 15.0)  # nodes of the other version take over its keys
    cluster.run(5.0)
    assert owner not in owners(cluster, kind)
    run_until_finished(cluster, 200.0)
    assert cluster.unfinished_jobs() == [] and cluster.task_starts > 15


# -- the feature gate


def _downgrade(cluster: SimulatedCluster, name: str) -> None:
    cluster.versions[name] = production_version()
    cluster.crash(name, 1.0)


def test_downgraded_node_keeps_feature_gate_closed():
    """A node registers the new version and is then downgraded: its old registration must not open the gate."""
    cluster = SimulatedCluster(31, production_nodes=NODE_NAMES, cpu_limit=48.0)
    cluster.run(20.0)
    cluster.upgrade("n0", 1.0)
    cluster.run(10.0)
    assert "version/n0" in cluster.state.rows
    _downgrade(cluster, "n0")
    cluster.upgrade("n1", 1.0)
    cluster.upgrade("n2", 1.0)
    cluster.run(15.0)
    assert {f"version/{name}" for name in NODE_NAMES} <= cluster.state.rows.keys()
    first = cluster.submit(**UNCONSTRAINED_JOB | LONG_JOB)
    dependent = cluster.submit(**UNCONSTRAINED_JOB | SHORT_JOB | {"waits_on": [first], "crew": "team-1"})
    cluster.run(20.0)
    assert cluster.running_versions["n0"] is production_version()
    assert cluster.jobs[first].accepted and not cluster.jobs[dependent].accepted
    cluster.upgrade("n0", 1.0)
    run_until(cluster, lambda: cluster.jobs[dependent].accepted, 20.0)
    run_until(cluster, lambda: cluster.jobs[first].started_at is not None)
    finish_in(cluster, first, 2.0)
    run_until_finished(cluster, 120.0)
    assert [cluster.jobs[job].final_status for job in (first, dependent)] == ["done", "done"]
    assert cluster.event_counts["dependent job started"] == 1


def test_new_node_forwards_no_dependent_job_to_old_node():
    """A node without the state store forwards submissions, but an old peer would ignore the job's dependencies."""
    cluster = SimulatedCluster(34, production_nodes=NODE_NAMES[:2], cpu_limit=48.0)
    cluster.run(20.0)
    first = cluster.submit(**UNCONSTRAINED_JOB | LONG_JOB)
    run_until(cluster, lambda: cluster.jobs[first].accepted)
    cluster.state.refused_nodes = {"n2"}
    cluster.run(3.0)
    assert cluster.controllers["n2"].api.forwarder.choose_forwarding_peer() in NODE_NAMES[:2]
    spec = cluster.jobs[first].spec

    def submit(changes: dict) -> int:
        answers: list[int] = []
        body = json.dumps(spec | changes).encode()
        cluster.controllers["n2"].on_request(
            make_request("POST", "/work", body), lambda status, data=b"{}", after=None: answers.append(status)
        )
        run_until(cluster, lambda: bool(answers), 6.0)
        return answers[0]

    assert submit({"name_id": "req-waits", "waits_on": [first]}) == 503
    assert submit({"name_id": "req-bad", "vcpus": None}) in (400, 503)
    assert not {"job/req-waits", "job/req-bad"} & cluster.state.rows.keys()
    assert submit({"name_id": "req-plain"}) == 201  # decided by the old node
    assert "job/req-plain" in cluster.state.rows


def test_agreed_version_outlasts_every_process():
    cluster = SimulatedCluster(32, production_nodes=NODE_NAMES, cpu_limit=48.0)
    cluster.run(15.0)
    for i, name in enumerate(NODE_NAMES):
        cluster.call_later(4.0 * i, lambda name=name: cluster.upgrade(name, 1.0))
    cluster.run(20.0)
    assert cluster.state.rows["versions/agreed"][2] is None  # attached to no lease
    first = cluster.submit(**UNCONSTRAINED_JOB | LONG_JOB)
    run_until(cluster, lambda: cluster.jobs[first].accepted)
    for name in NODE_NAMES:
        cluster.crash(name, 0.5 if name == "n1" else 100.0)
    dependent = cluster.submit(**UNCONSTRAINED_JOB | SHORT_JOB | {"waits_on": [first], "crew": "team-1"})
    run_until(cluster, lambda: cluster.jobs[dependent].accepted, 40.0)  # n1 is the only node
    assert cluster.controllers.keys() == {"n1"} and dependency_graphs.is_blocked(cluster, cluster.jobs[dependent])


def test_jobs_ended_before_upgrade_stay_answerable():
    """Jobs that ended under the production version can still be queried and named as dependencies."""
    cluster = SimulatedCluster(33, production_nodes=NODE_NAMES, cpu_limit=48.0)
    cluster.run(15.0)
    old_jobs = [cluster.submit(**UNCONSTRAINED_JOB | SHORT_JOB) for _ in range(4)]
    run_until(cluster, lambda: all(cluster.jobs[job].accepted for job in old_jobs))
    cluster.cancel(old_jobs[3])
    run_until_finished(cluster, 60.0)
    assert [cluster.jobs[job].final_status for job in old_jobs] == ["done"] * 3 + ["cancelled"]
    for name in NODE_NAMES:
        cluster.upgrade(name, 1.0)
    cluster.run(15.0)
    for job in old_jobs:
        for name in NODE_NAMES:
            cluster.query(job, name)
    new_jobs = [
        cluster.submit(**UNCONSTRAINED_JOB | SHORT_JOB | {"waits_on": [job]}) for job in (old_jobs[0], old_jobs[3])
    ]
    run_until_finished(cluster, 60.0)
    end_all_faults(cluster)
    assert [cluster.jobs[job].final_status for job in new_jobs] == ["done", "cancelled"]
