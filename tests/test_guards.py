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
from tealhook.state_store import StateClient, TransactionOutcome
from tealhook.wire import mesh
from tealhook.wire import workers as wire
from tealhook.wire.common import Resources
from tealhook.wire.state import Put
from tests.fault_coverage import assert_violation_found
from tests.simulated_cluster import RuleViolationError, SimulatedCluster, random_faults_run
from tests.simulation.observer import StatusUpdateRecorder

SEEDS = range(30)


def _accept_any_proof_of_absence(patch):
    patch.setattr(AttemptTracker, "_proves_absence", staticmethod(lambda attempt, news: True))


def _assume_uncertain_commits(patch):
    whole = JobCommitter._on_result

    def guess(self, batch, outcome, epoch, failed):
        whole(
            self,
            batch,
            TransactionOutcome.COMMITTED if outcome is TransactionOutcome.UNKNOWN else outcome,
            epoch,
            failed,
        )

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
    patch.setattr(TeamState, "allocated", lambda self, resource=0: 0.0)


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
        seed, cpu_guarantee=0.0, max_delay_s=0.25 if seed % 2 else 0.01, state_loss_share=0.3 if seed % 4 > 1 else 0.0
    )


@pytest.mark.parametrize("name", GUARDS)
def test_disabled_guard_is_detected(name, monkeypatch):
    disable_guard, rule = GUARDS[name]
    disable_guard(monkeypatch)
    assert_violation_found(lossy_run, SEEDS, rule)


def _late_watches(seed: int) -> SimulatedCluster:
    """Watches tell of each change late: jobs end or are assigned by owners that can't know of a cancellation."""
    cluster = SimulatedCluster(seed)
    whole = cluster.state.handle

    def handle(node, method, target, body, answer):
        if target.startswith("/watch?starts=job/"):
            whole(
                node, method, target, body, lambda status, data: cluster.call_later(1.5, lambda: answer(status, data))
            )
        else:
            whole(node, method, target, body, answer)

    cluster.state.handle = handle
    cluster.run(30.0)
    for position in range(24):
        job = cluster.submit(
            undisturbed=True, expected_s=4.0, plays=2, loaners=True, yard=None, rigs=None, spread=False
        )
        cluster.call_later(14.0 + 0.5 * position, lambda job=job: cluster.cancel(job))
    cluster.run(60.0)
    return cluster


def test_late_watches_do_not_end_a_job_twice():
    ends = [job.final_status for seed in range(4) for job in _late_watches(seed).jobs.values()]
    assert None not in ends and {"done", "cancelled"} == set(ends)


def test_ending_job_without_revision_check_violates_status_order(monkeypatch):
    _drop_conditions(("job/",))(monkeypatch)
    with pytest.raises(RuleViolationError, match="went_back"):
        for seed in range(4):
            _late_watches(seed)


def _hung_machine_run() -> SimulatedCluster:
    """A machine with tasks hangs for longer than silence is borne, and resumes."""
    cluster = SimulatedCluster(9)
    for _ in range(3):
        cluster.submit(
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
    cluster.run(40.0)
    machine = next(m for m in cluster.cloud.machines.values() if m.started_tasks())
    machine.hung = True
    cluster.run(40.0)
    machine.hung = False
    cluster.run(20.0)
    return cluster


def test_tasks_of_hung_machine_move_only_after_release():
    assert _hung_machine_run().task_starts > 9


def test_taking_silence_as_proof_runs_tasks_twice(monkeypatch):
    _silence_is_proof(monkeypatch)
    with pytest.raises(RuleViolationError, match="ran_twice"):
        _hung_machine_run()


def _state_after_early_heartbeat() -> tuple[list, int]:
    """Status updates and capacity of a partition after a heartbeat without its owner's fencing token."""
    cluster, news = SimulatedCluster(1, nodes=1), []
    cluster.submit(plays=1, yard="zb", rigs=None, spread=False, together=False, loaners=True, expected_s=200.0)
    cluster.run(40.0)
    real = next(
        partition for partition in cluster.controllers["n0"].partition_manager.partitions.values() if partition.machines
    )
    node = cluster.controllers["n0"]
    partition = Partition(
        PartitionState(node.context, real.zone, real.token + 1, node.job_index, node.machine_types, {}),
        StatusUpdateRecorder(news),
        node.partition_manager,
    )
    worker = next(w for w in cluster.cloud.machines.values() if w.name in real.machines)
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
    cluster = SimulatedCluster(5, write_rps=60.0)
    cluster.run(25.0)
    jobs = [
        cluster.submit(
            expected_s=90.0, plays=4, vcpus=2.0, loaners=True, yard=None, rigs=None, spread=False, urgency="standard"
        )
        for _ in range(4)
    ]
    cluster.run(15.0)
    cluster.cloud.down = True  # nor can the machines be released
    owners = {name for name, node in cluster.controllers.items() if node.partition_manager.partitions}
    for owner in owners:
        cluster.network.cut(owner, "state")
        for other in cluster.node_names:
            if other not in owners:
                cluster.network.cut(owner, other)
                for worker in cluster.cloud.machines:  # nor can a new owner call its workers in
                    cluster.network.cut(other, worker)
    for job in jobs:
        cluster.cancel(job)
    cluster.run(90.0)
    return cluster


def test_cancelled_tasks_behind_network_cut_stop_in_time(monkeypatch):
    cluster = _cut_off_owner()
    assert any(job.cancelled_at for job in cluster.jobs.values())


def test_owner_answering_forever_violates_cancellation_deadline(monkeypatch):
    _answer_forever(monkeypatch)
    with pytest.raises(RuleViolationError, match="ran_cancelled"):
        _cut_off_owner()
