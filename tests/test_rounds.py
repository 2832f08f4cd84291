"""Rounds: nobody is starved."""

from tealhook.jobs import rounds
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
        whole(self, *args[:4], False, False, args[6])

    monkeypatch.setattr(rounds.Mappable, "__init__", unaged)
    assert _flooded().started_at is None
