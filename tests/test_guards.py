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


def _accept_any_proof_of_absence(monkeypatch):
    monkeypatch.setattr(AttemptTracker, "_proves_absence", staticmethod(lambda attempt, update: True))


def _assume_uncertain_commits_succeeded(monkeypatch):
    on_result = JobCommitter._on_result

    def on_result_with_guess(self, batch, outcome, revision, failed_keys):
        on_result(
            self,
            batch,
            TransactionOutcome.COMMITTED if outcome is TransactionOutcome.UNKNOWN else outcome,
            revision,
            failed_keys,
        )

    monkeypatch.setattr(JobCommitter, "_on_result", on_result_with_guess)


def _drop_conditions(prefix):
    def disable_guard(monkeypatch):
        original_transact = StateClient.transact

        def transact(self, conditions, operations, *args, **kwargs):
            kept_conditions = {key: revision for key, revision in conditions.items() if not key.startswith(prefix)}
            if not any(isinstance(operation, Put) and operation.lease_id is not None for operation in operations):
                conditions = kept_conditions  # claims of ownership keep theirs
            original_transact(self, conditions, operations, *args, **kwargs)

        monkeypatch.setattr(StateClient, "transact", transact)

    return disable_guard


def _accept_any_fencing_token(monkeypatch):
    original_on_heartbeat = Partition.on_heartbeat

    def on_heartbeat(self, heartbeat):
        heartbeat.fencing_token = self.token
        return original_on_heartbeat(self, heartbeat)

    monkeypatch.setattr(Partition, "on_heartbeat", on_heartbeat)


def _ignore_quota(monkeypatch):
    monkeypatch.setattr(TeamState, "allocated", lambda self, resource=0: 0.0)


def _ignore_zone_limits(monkeypatch):
    monkeypatch.setattr(CandidateSelector, "zone_limits", lambda self, job, spec, zones: {})


def _treat_silence_as_release(monkeypatch):
    def fence(self, machines):
        if self._token is not None:
            self._on_released(machines)

    monkeypatch.setattr(FleetManager, "fence", fence)


def _answer_polls_from_index(monkeypatch):
    read_and_answer = PollHandler.answer

    def answer(self, job, reply):
        if job in self._job_index.active:
            reply(200, self._responder.status_body(job, "active"))
        else:
            read_and_answer(self, job, reply)

    monkeypatch.setattr(PollHandler, "answer", answer)


def _answer_despite_stale_view(monkeypatch):
    original_init = PartitionManager.__init__

    def init(self, *args, **kwargs):
        original_init(self, *args, **kwargs)
        self._max_view_age_s = 1e9

    monkeypatch.setattr(PartitionManager, "__init__", init)


GUARDS = {
    "a task moves only when provably absent from its machine": (_accept_any_proof_of_absence, "ran_twice"),
    "an uncertain commit is read back": (_assume_uncertain_commits_succeeded, ""),
    "commits are conditional on ownership of the team and on the record": (
        _drop_conditions(("live/", "own/home/")),
        "two writers",
    ),
    "every task not proved absent counts against the quota": (_ignore_quota, "quota"),
    "placement constraints are checked": (_ignore_zone_limits, "wrong_place"),
    "polls read from the state service": (_answer_polls_from_index, "went_back"),
}


def lossy_run(seed: int) -> SimulatedCluster:
    """Run random faults; by the seed, half of the runs have slow links, and half lose requests to the state store."""
    return random_faults_run(
        seed, cpu_guarantee=0.0, max_delay_s=0.25 if seed % 2 else 0.01, state_loss_share=0.3 if seed % 4 > 1 else 0.0
    )


@pytest.mark.parametrize("name", GUARDS)
def test_disabled_guard_is_detected(name, monkeypatch):
    disable_guard, rule = GUARDS[name]
    disable_guard(monkeypatch)
    assert_violation_found(lossy_run, SEEDS, rule)


def _cancel_with_late_watches(seed: int) -> SimulatedCluster:
    """Cancel jobs while watches report changes late, so that owners assign or end jobs unaware of a cancellation."""
    cluster = SimulatedCluster(seed)
    original_handle = cluster.state.handle

    def handle(node, method, target, body, answer):
        if target.startswith("/watch?starts=job/"):
            original_handle(
                node, method, target, body, lambda status, data: cluster.call_later(1.5, lambda: answer(status, data))
            )
        else:
            original_handle(node, method, target, body, answer)

    cluster.state.handle = handle
    cluster.run(30.0)
    for position in range(24):
        job_id = cluster.submit(
            undisturbed=True, expected_s=4.0, plays=2, loaners=True, yard=None, rigs=None, spread=False
        )
        cluster.call_later(14.0 + 0.5 * position, lambda job_id=job_id: cluster.cancel(job_id))
    cluster.run(60.0)
    return cluster


def test_late_watches_end_no_job_twice():
    final_statuses = [job.final_status for seed in range(4) for job in _cancel_with_late_watches(seed).jobs.values()]
    assert None not in final_statuses and {"done", "cancelled"} == set(final_statuses)


def test_ending_job_without_revision_check_violates_status_order(monkeypatch):
    _drop_conditions(("job/",))(monkeypatch)
    with pytest.raises(RuleViolationError, match="went_back"):
        for seed in (7, 13, 14, 16):
            _cancel_with_late_watches(seed)


def _hang_busy_machine() -> SimulatedCluster:
    """Let a machine with tasks hang for longer than silence is tolerated, then resume it."""
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
    machine = next(candidate for candidate in cluster.cloud.machines.values() if candidate.started_tasks())
    machine.hung = True
    cluster.run(40.0)
    machine.hung = False
    cluster.run(20.0)
    return cluster


def test_tasks_of_hung_machine_move_only_after_release():
    assert _hang_busy_machine().task_starts > 9


def test_treating_silence_as_release_runs_tasks_twice(monkeypatch):
    _treat_silence_as_release(monkeypatch)
    with pytest.raises(RuleViolationError, match="ran_twice"):
        _hang_busy_machine()


def _state_after_heartbeat_of_previous_owner() -> tuple[list, int]:
    """Return the status updates and the capacity of a partition after a heartbeat with its previous fencing token."""
    cluster, updates = SimulatedCluster(1, nodes=1), []
    cluster.submit(plays=1, yard="zb", rigs=None, spread=False, together=False, loaners=True, expected_s=200.0)
    cluster.run(40.0)
    owned = next(
        partition for partition in cluster.controllers["n0"].partition_manager.partitions.values() if partition.machines
    )
    controller = cluster.controllers["n0"]
    partition = Partition(
        PartitionState(
            controller.context, owned.zone, owned.token + 1, controller.job_index, controller.machine_types, {}
        ),
        StatusUpdateRecorder(updates),
        controller.partition_manager,
    )
    worker = next(candidate for candidate in cluster.cloud.machines.values() if candidate.name in owned.machines)
    task_reports = [wire.TaskReport("req-000000/0", 1, "running")]
    partition.launched_jobs.record_launch("req-000000", "team-0", Resources(1.0, 0.0, 1.0))
    partition.on_heartbeat(
        wire.Heartbeat(
            worker.name,
            worker.addr,
            worker.machine_type["name"],
            worker.zone,
            1,
            999,
            owned.token,
            True,
            None,
            task_reports,
        )
    )
    requirements = mesh.TaskRequirements(1.0, 0.0, 1.0, "", 0.0, True, (), 1, 5.0)
    capacity = partition.inquire([requirements]).capacities[0]
    return updates, capacity.uncached + capacity.cached


def test_only_heartbeats_under_current_fencing_token_count(monkeypatch):
    assert _state_after_heartbeat_of_previous_owner() == ([], 0)
    _accept_any_fencing_token(monkeypatch)
    updates, capacity = _state_after_heartbeat_of_previous_owner()
    assert updates and capacity


def _cancel_behind_network_cut() -> SimulatedCluster:
    """Cut all partition owners from the state store and from other nodes, then cancel the jobs on their machines.

    The owners still reach their workers.
    """
    cluster = SimulatedCluster(5, write_rps=60.0)
    cluster.run(25.0)
    job_ids = [
        cluster.submit(
            expected_s=90.0, plays=4, vcpus=2.0, loaners=True, yard=None, rigs=None, spread=False, urgency="standard"
        )
        for _ in range(4)
    ]
    cluster.run(15.0)
    cluster.cloud.down = True  # so that the machines can't be released
    owners = {name for name, controller in cluster.controllers.items() if controller.partition_manager.partitions}
    for owner in owners:
        cluster.network.cut(owner, "state")
        for other in cluster.node_names:
            if other not in owners:
                cluster.network.cut(owner, other)
                for worker in cluster.cloud.machines:  # so that no new owner can call the workers
                    cluster.network.cut(other, worker)
    for job_id in job_ids:
        cluster.cancel(job_id)
    cluster.run(90.0)
    return cluster


def test_cancelled_tasks_behind_network_cut_stop_in_time(monkeypatch):
    cluster = _cancel_behind_network_cut()
    assert any(job.cancelled_at for job in cluster.jobs.values())


def test_owner_answering_on_stale_view_violates_cancellation_deadline(monkeypatch):
    _answer_despite_stale_view(monkeypatch)
    with pytest.raises(RuleViolationError, match="ran_cancelled"):
        _cancel_behind_network_cut()
