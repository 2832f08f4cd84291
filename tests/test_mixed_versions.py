"""Controllers of the version in production and of the present one, side by side: one situation at a time."""

from __future__ import annotations

import json

import pytest

from tests import dependency_graphs
from tests.dependency_steps import LONG_JOB, SHORT_JOB, finish_in, run_until
from tests.infrastructure_faults import OWNERSHIP_PREFIXES, end_all_faults, owners, run_until_finished
from tests.mixed_versions import NAMES
from tests.simulated_cluster import SimulatedCluster, make_request
from tests.user_requests import UNCONSTRAINED_JOB
from tests.versions import MissingCommitError, archived, extract, present, production, production_commit

# -- the production version itself


def test_production_package_matches_git_history(tmp_path):
    """Nothing but the name in import statements differs from the commit that the deploy file names."""
    package = extract(production_commit(), tmp_path)
    original = {path: source.decode() for path, source in archived(production_commit()).items()}
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
    assert not (package / "jobs" / "pipelines.py").exists()  # it knows nothing of jobs that wait for others


def test_versions_do_not_import_each_other():
    for own, other in ((present(), production()), (production(), present())):
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
        extract("0" * 40, tmp_path)


# -- owners of each kind


def _settled_with_owner(seed: int, kind: str, is_old: bool) -> tuple[SimulatedCluster, str]:
    """A mixed cluster in which the owner of a kind of key runs one version and the other nodes the other one."""
    for owner in NAMES:
        world = SimulatedCluster(seed, old=[name for name in NAMES if (name == owner) == is_old])
        world.run(20.0)
        if owner in owners(world, kind):
            return world, owner
    raise AssertionError("no node owns one of this kind")


@pytest.mark.parametrize("kind", OWNERSHIP_PREFIXES)
@pytest.mark.parametrize("is_old", [True, False], ids=["old owner", "new owner"])
@pytest.mark.parametrize("seed", [1, 2])
def test_owner_of_each_kind_works_beside_other_version(kind, is_old, seed):
    world, owner = _settled_with_owner(seed, kind, is_old)
    assert (world.running[owner] is production()) == is_old
    assert {world.running[name] is production() for name in NAMES} == {True, False}
    for i in range(15):
        world.at(2.0 * i, world.submit)
    world.run(35.0)
    assert owner in owners(world, kind)
    world.crash(owner, 15.0)  # the other version takes over what it owned, among the rest
    world.run(5.0)
    assert owner not in owners(world, kind)
    run_until_finished(world, 200.0)
    assert world.unfinished() == [] and world.task_starts > 15


# -- the gate


def _come_back_old(world: SimulatedCluster, name: str) -> None:
    world.versions[name] = production()
    world.crash(name, 1.0)


def test_downgraded_node_keeps_feature_gate_closed():
    """It has said that it is new; the process that runs now has not."""
    world = SimulatedCluster(31, old=NAMES, limit=48.0)
    world.run(20.0)
    world.upgrade("n0", 1.0)
    world.run(10.0)
    assert "version/n0" in world.state.rows
    _come_back_old(world, "n0")
    world.upgrade("n1", 1.0)
    world.upgrade("n2", 1.0)
    world.run(15.0)
    assert {f"version/{name}" for name in NAMES} <= world.state.rows.keys()
    first = world.submit(**UNCONSTRAINED_JOB | LONG_JOB)
    held = world.submit(**UNCONSTRAINED_JOB | SHORT_JOB | {"waits_on": [first], "crew": "team-1"})
    world.run(20.0)
    assert world.running["n0"] is production()
    assert world.jobs[first].accepted and not world.jobs[held].accepted
    world.upgrade("n0", 1.0)
    run_until(world, lambda: world.jobs[held].accepted, 20.0)
    run_until(world, lambda: world.jobs[first].started_at is not None)
    finish_in(world, first, 2.0)
    run_until_finished(world, 120.0)
    assert [world.jobs[job].final for job in (first, held)] == ["done", "done"]
    assert world.event_counts["released"] == 1


def test_new_node_forwards_no_dependent_job_to_old_node():
    """Without the state service a node lets a peer decide; the old one would accept the job as one that starts now."""
    world = SimulatedCluster(34, old=NAMES[:2], limit=48.0)
    world.run(20.0)
    first = world.submit(**UNCONSTRAINED_JOB | LONG_JOB)
    run_until(world, lambda: world.jobs[first].accepted)
    world.state.refused_nodes = {"n2"}
    world.run(3.0)
    assert world.nodes["n2"].api.forwarder.find_stand_in() in NAMES[:2]
    spec = world.jobs[first].spec

    def submit(changes: dict) -> int:
        answers: list[int] = []
        body = json.dumps(spec | changes).encode()
        world.nodes["n2"].on_request(
            make_request("POST", "/work", body), lambda status, data=b"{}", after=None: answers.append(status)
        )
        run_until(world, lambda: bool(answers), 6.0)
        return answers[0]

    assert submit({"name_id": "req-waits", "waits_on": [first]}) == 503
    assert submit({"name_id": "req-bad", "vcpus": None}) in (400, 503)
    assert not {"job/req-waits", "job/req-bad"} & world.state.rows.keys()
    assert submit({"name_id": "req-plain"}) == 201  # which the old one decides
    assert "job/req-plain" in world.state.rows


def test_agreed_version_outlasts_every_process():
    world = SimulatedCluster(32, old=NAMES, limit=48.0)
    world.run(15.0)
    for i, name in enumerate(NAMES):
        world.at(4.0 * i, lambda name=name: world.upgrade(name, 1.0))
    world.run(20.0)
    assert world.state.rows["versions/agreed"][2] is None  # attached to no lease
    first = world.submit(**UNCONSTRAINED_JOB | LONG_JOB)
    run_until(world, lambda: world.jobs[first].accepted)
    for name in NAMES:
        world.crash(name, 0.5 if name == "n1" else 100.0)
    held = world.submit(**UNCONSTRAINED_JOB | SHORT_JOB | {"waits_on": [first], "crew": "team-1"})
    run_until(world, lambda: world.jobs[held].accepted, 40.0)  # n1 alone decides
    assert world.nodes.keys() == {"n1"} and dependency_graphs.is_blocked(world, world.jobs[held])


def test_jobs_ended_before_upgrade_stay_answerable():
    """Jobs that ended under the version in production keep their answers, and new ones may wait for them."""
    world = SimulatedCluster(33, old=NAMES, limit=48.0)
    world.run(15.0)
    before = [world.submit(**UNCONSTRAINED_JOB | SHORT_JOB) for _ in range(4)]
    run_until(world, lambda: all(world.jobs[job].accepted for job in before))
    world.cancel(before[3])
    run_until_finished(world, 60.0)
    assert [world.jobs[job].final for job in before] == ["done"] * 3 + ["cancelled"]
    for name in NAMES:
        world.upgrade(name, 1.0)
    world.run(15.0)
    for job in before:
        for name in NAMES:
            world.query(job, name)
    after = [world.submit(**UNCONSTRAINED_JOB | SHORT_JOB | {"waits_on": [job]}) for job in (before[0], before[3])]
    run_until_finished(world, 60.0)
    end_all_faults(world)
    assert [world.jobs[job].final for job in after] == ["done", "cancelled"]
