"""Mutation tests: each main guard, disabled on purpose, must make the random runs fail."""

import pytest

from tealhook.admission.polls import PollHandler
from tealhook.fleet import FleetManager
from tealhook.partitions.manager import PartitionManager
from tealhook.partitions.partition import Partition
from tealhook.partitions.state import PartitionState
from tealhook.scheduling.attempts import AttemptTracker
from tealhook.scheduling.candidates import CandidateSelector
from tealhook.scheduling.job_committer import JobCommitter
from tealhook.scheduling.team_scheduler import TeamState
from tealhook.state_store import Outcome, StateClient
from tealhook.wire import mesh
from tealhook.wire import workers as wire
from tealhook.wire.common import Resources
from tealhook.wire.state import Put
from tests.fault_coverage import assert_violation_found
from tests.simulated_cluster import RuleViolationError, SimulatedCluster, random_faults_run
from tests.simulation.observer import Recorder

SEEDS = range(30)


def _accept_any_proof_of_absence(patch):
    patch.setattr(AttemptTracker, "_proves_absence", staticmethod(lambda attempt, news: True))


def _assume_uncertain_commits(patch):
    whole = JobCommitter._on_result

    def guess(self, batch, outcome, epoch, failed):
        whole(self, batch, Outcome.COMMITTED if outcome is Outcome.UNKNOWN else outcome, epoch, failed)

    patch.setattr(JobCommitter, "_on_result", guess)


def _drop_conditions(prefix):
    def disable_guard(patch):
        whole = StateClient.transact

        def transact(self, when, apply, *rest, **more):
            kept = {key: stamp for key, stamp in when.items() if not key.startswith(prefix)}
            if not any(isinstance(op, Put) and op.lease is not None for op in apply):  # claims keep theirs
                when = kept
            whole(self, when, apply, *rest, **more)

        patch.setattr(StateClient, "transact", transact)

    return disable_guard


def _trust_any_heartbeat(patch):
    whole = Partition.on_heartbeat

    def on_heartbeat(self, heartbeat):
        heartbeat.fencing_token = self.token
        return whole(self, heartbeat)

    patch.setattr(Partition, "on_heartbeat", on_heartbeat)


def _ignore_quota(patch):
    patch.setattr(TeamState, "allocated", lambda self, which=0: 0.0)


def _ignore_zone_limits(patch):
    patch.setattr(CandidateSelector, "zone_limits", lambda self, job, spec, zones: {})


def _silence_is_proof(patch):
    def fence(self, machines):
        if self._token is not None:
            self._on_released(machines)

    patch.setattr(FleetManager, "fence", fence)


def _answer_from_memory(patch):
    whole = PollHandler.answer

    def show(self, job, reply):
        if job in self._job_index.active:
            reply(200, self._responder.status_body(job, "active"))
        else:
            whole(self, job, reply)

    patch.setattr(PollHandler, "answer", show)


def _answer_forever(patch):
    whole = PartitionManager.__init__

    def blind(self, *args, **more):
        whole(self, *args, **more)
        self._max_view_age_s = 1e9

    patch.setattr(PartitionManager, "__init__", blind)


GUARDS = {
    "a task moves only when provably absent from its machine": (_accept_any_proof_of_absence, "ran_twice"),
    "an uncertain commit is read back": (_assume_uncertain_commits, ""),
    "commits are conditional on ownership of the team and on the record": (
        _drop_conditions(("live/", "own/home/")),
        "two writers",
    ),
    "every task not proved absent counts against the quota": (_ignore_quota, "quota"),
    "placement constraints are checked": (_ignore_zone_limits, "wrong_place"),
    "polls read from the state service": (_answer_from_memory, "went_back"),
}


def lossy_run(seed: int) -> SimulatedCluster:
    """Random faults, half of the runs over slow links, half of them with lost requests to the state service."""
    return random_faults_run(
        seed, guarantee=0.0, max_delay_s=0.25 if seed % 2 else 0.01, state_loss_share=0.3 if seed % 4 > 1 else 0.0
    )


@pytest.mark.parametrize("name", GUARDS)
def test_disabled_guard_is_detected(name, monkeypatch):
    disable_guard, rule = GUARDS[name]
    disable_guard(monkeypatch)
    assert_violation_found(lossy_run, SEEDS, rule)


def _late_watches(seed: int) -> SimulatedCluster:
    """Watches tell of each change late: jobs end or are assigned by owners that can't know of a cancellation."""
    world = SimulatedCluster(seed)
    whole = world.state.handle

    def handle(node, method, target, body, answer):
        if target.startswith("/watch?starts=job/"):
            whole(node, method, target, body, lambda status, data: world.at(1.5, lambda: answer(status, data)))
        else:
            whole(node, method, target, body, answer)

    world.state.handle = handle
    world.run(30.0)
    for position in range(24):
        job = world.submit(plain=True, expected_s=4.0, plays=2, loaners=True, yard=None, rigs=None, spread=False)
        world.at(14.0 + 0.5 * position, lambda job=job: world.cancel(job))
    world.run(60.0)
    return world


def test_late_watches_do_not_end_a_job_twice():
    ends = [job.final for seed in range(4) for job in _late_watches(seed).jobs.values()]
    assert None not in ends and {"done", "cancelled"} == set(ends)


def test_ending_job_without_revision_check_violates_status_order(monkeypatch):
    _drop_conditions(("job/",))(monkeypatch)
    with pytest.raises(RuleViolationError, match="went_back"):
        for seed in range(4):
            _late_watches(seed)


def _hung_machine_run() -> SimulatedCluster:
    """A machine with tasks hangs for longer than silence is borne, and resumes."""
    world = SimulatedCluster(9)
    for _ in range(3):
        world.submit(
            expected_s=60.0,
            plays=3,
            vcpus=1.0,
            loaners=True,
            yard=None,
            rigs=None,
            spread=False,
            together=False,
            urgency="standard",
        )
    world.run(40.0)
    machine = next(m for m in world.cloud.machines.values() if m.started_tasks())
    machine.hung = True
    world.run(40.0)
    machine.hung = False
    world.run(20.0)
    return world


def test_tasks_of_hung_machine_move_only_after_release():
    assert _hung_machine_run().task_starts > 9


def test_taking_silence_as_proof_runs_tasks_twice(monkeypatch):
    _silence_is_proof(monkeypatch)
    with pytest.raises(RuleViolationError, match="ran_twice"):
        _hung_machine_run()


def _state_after_early_heartbeat() -> tuple[list, int]:
    """Status updates and capacity of a partition after a heartbeat without its owner's fencing token."""
    world, news = SimulatedCluster(1, nodes=1), []
    world.submit(plays=1, yard="zb", rigs=None, spread=False, together=False, loaners=True, expected_s=200.0)
    world.run(40.0)
    real = next(
        partition for partition in world.nodes["n0"].partition_manager.partitions.values() if partition.machines
    )
    node = world.nodes["n0"]
    partition = Partition(
        PartitionState(node.context, real.zone, real.token + 1, node.job_index, node.machine_types, {}),
        Recorder(news),
        node.partition_manager,
    )
    worker = next(w for w in world.cloud.machines.values() if w.name in real.machines)
    plays = [wire.TaskReport("req-000000/0", 1, "running")]
    partition.launched_jobs.record_launch("req-000000", "team-0", Resources(1.0, 0.0, 1.0))
    partition.on_heartbeat(
        wire.Heartbeat(
            worker.name, worker.addr, worker.machine_type["name"], worker.zone, 1, 999, real.token, True, None, plays
        )
    )
    shape = mesh.TaskRequirements(1.0, 0.0, 1.0, "", 0.0, True, (), 1, 5.0)
    room = partition.inquire([shape]).capacities[0]
    return news, room.uncached + room.cached


def test_only_heartbeats_under_current_fencing_token_count(monkeypatch):
    assert _state_after_early_heartbeat() == ([], 0)
    _trust_any_heartbeat(monkeypatch)
    news, room = _state_after_early_heartbeat()
    assert news and room


def _cut_off_owner() -> SimulatedCluster:
    """The owner of every part is cut off from the state service and its peers, not from workers; then a job
    of its machines is cancelled elsewhere."""
    world = SimulatedCluster(5, wps=60.0)
    world.run(25.0)
    jobs = [
        world.submit(
            expected_s=90.0, plays=4, vcpus=2.0, loaners=True, yard=None, rigs=None, spread=False, urgency="standard"
        )
        for _ in range(4)
    ]
    world.run(15.0)
    world.cloud.down = True  # nor can the machines be released
    owners = {name for name, node in world.nodes.items() if node.partition_manager.partitions}
    for owner in owners:
        world.network.cut(owner, "state")
        for other in world.names:
            if other not in owners:
                world.network.cut(owner, other)
                for worker in world.cloud.machines:  # nor can a new owner call its workers in
                    world.network.cut(other, worker)
    for job in jobs:
        world.cancel(job)
    world.run(90.0)
    return world


def test_cancelled_tasks_behind_network_cut_stop_in_time(monkeypatch):
    world = _cut_off_owner()
    assert any(job.cancelled_at for job in world.jobs.values())


def test_owner_answering_forever_violates_cancellation_deadline(monkeypatch):
    _answer_forever(monkeypatch)
    with pytest.raises(RuleViolationError, match="ran_cancelled"):
        _cut_off_owner()
