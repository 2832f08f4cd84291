"""Rounds: nobody is starved, and what a lost machine would make late keeps off those that the cloud takes back."""

import json

import pytest

from tealhook.jobs import rounds
from tealhook.jobs.book import Known
from tealhook.jobs.job import Job
from tealhook.settings.platform import Objective
from tealhook.wire.users import parse_job
from tests.world import SimJob, World

ALIKE = {"plain": True, "yard": None, "rigs": None, "spread": False, "together": False, "loaners": True, "pull_gb": 0.6}


def _flooded() -> SimJob:
    """Short urgent jobs at more than the cluster can do, and one large job of low urgency among them."""
    world = World(7, limit=1e6)

    def short() -> None:
        world.submit(urgency="urgent", plays=6, vcpus=4.0, expected_s=6.0, **ALIKE)
        world.at(0.8, short)

    short()
    world.run(30.0)
    large = world.jobs[world.submit(urgency="low", plays=60, vcpus=4.0, expected_s=30.0, **ALIKE)]
    world.run(150.0)
    return large


def test_the_largest_job_begins_within_four_minutes_while_short_ones_keep_coming():
    large = _flooded()
    assert large.started_at is not None and large.started_at - large.submitted_at < 240.0


def test_without_ageing_it_would_not(monkeypatch):
    whole = rounds.Mappable.__init__

    def unaged(self, *args):
        whole(self, *args[:4], False, False, *args[6:])

    monkeypatch.setattr(rounds.Mappable, "__init__", unaged)
    assert _flooded().started_at is None


def _fragile(expected_s=190.0, plays=30, age=5.0, loss=3.0, kinds=("finished",), **over) -> bool:
    """Whether a job of a class that should be done in 250 s keeps off spot machines."""
    world = World(1, nodes=1)
    node = world.nodes["n0"]
    node.settings.params.objectives = [Objective(kind, "x", 250.0 if kind == "finished" else 20.0) for kind in kinds]
    here = rounds.Rounds(
        node.homes._fx, node.settings, world.policy, node.ownership, node.store, node.mesh, node._variables, {},
        lambda: False, lambda: None,
    )
    spec = parse_job(json.dumps({
        "name_id": "req-000001", "lineup": "x", "crew": "team-0", "shape": "array", "urgency": "standard",
        "plays": plays, "vcpus": 4.0, "memory_gb": 4.0, "expected_s": expected_s, "loaners": True,
    } | over).encode())
    job = Job("req-000001", "team-0", Known(spec, "team-0", 1, 0.0), -age)
    return here.fragile(job, 0.0, node._variables() | {"boot_s": 30.0, "spot_loss": loss})


def test_many_long_tasks_keep_off_machines_that_the_cloud_takes_back():
    assert _fragile()


@pytest.mark.parametrize("but", [
    {"expected_s": 60.0},  # can be run again in time
    {"plays": 1, "loss": 0.2},  # will hardly lose one
    {"loss": 0.0},  # no other machines can be had
    {"age": 70.0},  # too late for a second try, and for the first
    {"expected_s": 130.0, "age": 61.0},  # has waited for two boots in vain
    {"snapshot_every_s": 10.0, "snapshot_s": 1.0},  # loses little
    {"loaners": False},  # keeps off them anyway
    {"kinds": ("finished", "wait")},  # must start sooner than a machine boots
], ids=str)
def test_others_go_where_they_start_first(but):
    assert not _fragile(**but)


def _mixed() -> World:
    """Jobs that may use spot machines come all the time; one that may not is among them."""
    world = World(12, limit=1e6)
    world.cloud.room = 30
    for position in range(30):
        world.at(2.0 * position, lambda: world.submit(urgency="standard", plays=6, vcpus=4.0, expected_s=10.0, **ALIKE))
    world.run(20.0)
    world.submit(urgency="standard", plays=6, vcpus=4.0, expected_s=10.0, **ALIKE | {"loaners": False})
    world.run(120.0)
    return world


def test_jobs_kept_off_spot_machines_get_others_though_cheaper_ones_are_wanted_too():
    """Guards against renting the cheapest kind for all that waits: what may not use it had to wait for the rest."""
    steady = [job for job in _mixed().jobs.values() if not job.spec["loaners"]]
    assert [job.final for job in steady] == ["done"]
    assert steady[0].started_at - steady[0].submitted_at < 45.0
