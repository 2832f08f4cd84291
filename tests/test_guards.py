"""Each main guard, broken on purpose, must make the random runs fail: else they would prove nothing."""
import pytest

from tealhook.fleet import FleetKeeper
from tealhook.jobs.admission import Admission
from tealhook.jobs.homes import HomeKeeper, TeamHome
from tealhook.parts.keeper import PartKeeper
from tealhook.parts.part import Part
from tealhook.store import Outcome, StateClient
from tests.world import Broken, World, random_run

SEEDS = 30


def _break_proof(patch):
    patch.setattr(HomeKeeper, "_proves_absence", staticmethod(lambda attempt, news: True))


def _guess_commits(patch):
    whole = HomeKeeper._committed

    def guess(self, batch, outcome, epoch, failed):
        whole(self, batch, Outcome.OK if outcome is Outcome.UNSURE else outcome, epoch, failed)

    patch.setattr(HomeKeeper, "_committed", guess)


def _without_conditions(prefix):
    def break_it(patch):
        whole = StateClient.txn

        def txn(self, when, apply, *rest, **more):
            kept = {key: stamp for key, stamp in when.items() if not key.startswith(prefix)}
            if not any("hold" in op for op in apply):  # claims keep theirs
                when = kept
            whole(self, when, apply, *rest, **more)

        patch.setattr(StateClient, "txn", txn)

    return break_it


def _trust_any_report(patch):
    whole = Part.on_report

    def on_report(self, report):
        report.baton = self.token
        return whole(self, report)

    patch.setattr(Part, "on_report", on_report)


def _no_limit(patch):
    patch.setattr(TeamHome, "taken", lambda self, which=0: 0.0)


def _no_places(patch):
    patch.setattr(HomeKeeper, "_limits", lambda self, job, zones: {})


def _silence_is_proof(patch):
    def fence(self, machines):
        if self._token is not None:
            self._on_gone(machines)

    patch.setattr(FleetKeeper, "fence", fence)


def _answer_from_memory(patch):
    whole = Admission.show

    def show(self, job, reply):
        if job in self._book.active:
            reply(200, self._status_body(job, "active"))
        else:
            whole(self, job, reply)

    patch.setattr(Admission, "show", show)


GUARDS = {
    "a task moves only when provably off its machine": (_break_proof, "ran_twice"),
    "an uncertain commit is read back": (_guess_commits, ""),
    "commits hold only under the home's ownership and record": (_without_conditions(("live/", "own/home/")), ""),
    "what ends a job is conditional on its stamp": (_without_conditions(("job/",)), ""),
    "only reports under our token count": (_trust_any_report, ""),
    "every task not proved off counts against the limit": (_no_limit, "quota"),
    "places are checked": (_no_places, "wrong_place"),
    "silence is no proof": (_silence_is_proof, "ran_twice"),
    "polls are read through": (_answer_from_memory, "went_back"),
}


@pytest.mark.parametrize("name", GUARDS)
def test_a_broken_guard_is_found_out(name, monkeypatch):
    break_it, rule = GUARDS[name]
    break_it(monkeypatch)
    for seed in range(SEEDS):
        try:
            random_run(seed, guarantee=0.0)
        except Broken as broken:
            if str(broken).startswith(rule):
                return
    pytest.fail(f"not found out in {SEEDS} runs")


def _cut_off_owner() -> World:
    """The owner of every part is cut off from the state service and its peers, not from workers; then a job
    of its machines is cancelled elsewhere."""
    world = World(5, wps=60.0)
    world.run(25.0)
    jobs = [world.submit(expected_s=90.0, plays=4, vcpus=2.0, loaners=True, yard=None, rigs=None, spread=False,
                         urgency="standard") for _ in range(4)]
    world.run(15.0)
    world.cloud.down = True  # nor can the machines be released
    owners = {name for name, node in world.nodes.items() if node.parts.parts}
    for owner in owners:
        world.network.cut(owner, "state")
        for other in world.names:
            if other not in owners:
                world.network.cut(owner, other)
    for job in jobs:
        world.cancel(job)
    world.run(90.0)
    return world


def test_cancelled_tasks_behind_a_cut_die_in_time(monkeypatch):
    world = _cut_off_owner()
    assert any(job.cancelled_at for job in world.jobs.values())


def test_an_owner_that_never_stops_answering_is_found_out(monkeypatch):
    whole = PartKeeper.__init__

    def blind(self, *args, **more):
        whole(self, *args, **more)
        self._blind_s = 1e9

    monkeypatch.setattr(PartKeeper, "__init__", blind)
    with pytest.raises(Broken, match="ran_cancelled"):
        _cut_off_owner()


