"""Tests of the rule checker: it detects violations that are provoked in the simulated cluster."""

from __future__ import annotations

import pytest

from tealhook.admission.polls import PollHandler
from tealhook.admission.validation import JobValidator
from tealhook.scheduling.candidates import CandidateSelector
from tests import user_requests
from tests.simulated_cluster import RuleViolationError, SimulatedCluster
from tests.user_requests import UNCONSTRAINED_JOB


def _cluster_with_running_job(seed: int = 1) -> tuple[SimulatedCluster, str]:
    cluster = SimulatedCluster(seed, cpu_limit=48.0)
    cluster.run(15.0)
    job_id = cluster.submit(plays=2, vcpus=1.0, expected_s=400.0, **UNCONSTRAINED_JOB)
    cluster.run(30.0)
    assert cluster.jobs[job_id].started_at is not None
    return cluster, job_id


def test_checker_detects_cancelled_tasks_on_hung_or_cut_machines():
    for is_hung in (True, False):
        cluster, job_id = _cluster_with_running_job()
        busy_machines = [candidate for candidate in cluster.cloud.machines.values() if candidate.started_tasks()]
        assert busy_machines
        for machine in busy_machines:
            if is_hung:
                machine.hung = True
            else:
                for name in cluster.node_names:
                    cluster.network.cut(name, machine.name)
        cluster.jobs[job_id].cancelled_at = cluster.now - 31.0  # as if the cancellation had been confirmed then
        with pytest.raises(RuleViolationError, match="ran_cancelled"):
            cluster.run(0.2)


def test_checker_records_starts_after_confirmed_cancellation(monkeypatch):
    """Guards against a checker that misses an owner which starts tasks of a cancelled job."""
    cluster, job_id = _cluster_with_running_job()
    machine = next(candidate for candidate in cluster.cloud.machines.values() if candidate.started_tasks())
    cluster.jobs[job_id].cancelled_at = cluster.now - 10.0
    cluster.check_start(machine, machine.started_tasks()[0])
    assert [late_start[:2] for late_start in cluster.late_starts] == [(machine.started_tasks()[0][0], machine.name)]
    cluster.jobs[job_id].cancelled_at = cluster.now - 31.0
    with pytest.raises(RuleViolationError, match="ran_cancelled"):
        cluster.check_start(machine, machine.started_tasks()[0])


def test_checker_detects_starvation_beside_free_capacity(monkeypatch):
    cluster, _job_id = _cluster_with_running_job()
    cluster.faults_ended_at = cluster.now
    monkeypatch.setattr(CandidateSelector, "select", lambda self, now: [])
    cluster.submit(plays=1, vcpus=1.0, expected_s=1.0, **UNCONSTRAINED_JOB)
    with pytest.raises(RuleViolationError, match="left_waiting"):
        cluster.run(120.0)


@pytest.mark.parametrize("faults_ended", [True, False])
def test_checker_detects_job_with_unanswered_queries(faults_ended, monkeypatch):
    cluster, job_id = _cluster_with_running_job()
    cluster.submit(plays=1, vcpus=1.0, expected_s=400.0, **UNCONSTRAINED_JOB)
    if faults_ended:
        cluster.faults_ended_at = cluster.now
    original_answer = PollHandler.answer

    def answer(self, asked_id, reply):
        if asked_id == job_id:
            self._responder.reply_retry(reply, "not now")
        else:
            original_answer(self, asked_id, reply)

    monkeypatch.setattr(PollHandler, "answer", answer)
    cluster.run(60.0)
    with pytest.raises(RuleViolationError, match="forgotten"):
        cluster.run(40.0)


def test_checker_detects_wrongly_accepted_and_invented_jobs(monkeypatch):
    cluster, _job_id = _cluster_with_running_job()
    monkeypatch.setattr(JobValidator, "find_infeasibility_reason", lambda self, spec: None)
    user_requests.submit_invalid_job(cluster, unsatisfiable=True)
    with pytest.raises(RuleViolationError, match="accepted_wrong"):
        cluster.run(5.0)
    monkeypatch.undo()
    cluster, _job_id = _cluster_with_running_job()
    monkeypatch.setattr(
        PollHandler, "answer", lambda self, job_id, reply: reply(200, self._responder.status_body(job_id, "done"))
    )
    for _ in range(8):
        user_requests.query_unknown_job(cluster, "req-999999")
    with pytest.raises(RuleViolationError, match="invented"):
        cluster.run(5.0)
