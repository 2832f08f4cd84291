"""Jobs with dependencies, one fault at a time: their order, and their part in quota, guarantee and aging."""

from __future__ import annotations

import json

import pytest

from tealhook.wire.users import PRIORITY_RANK
from tests import dependency_graphs
from tests.dependency_steps import (
    LONG_JOB,
    SEEDS,
    SHORT_JOB,
    TEAMS,
    final_statuses,
    finish_in,
    run_until,
    run_until_all_finished,
    run_until_started,
    running_task_ids,
    settled_cluster,
    submit_accepted,
    submit_chain,
    team_of_other_owner,
    team_owner,
)
from tests.simulated_cluster import SimulatedCluster, make_request
from tests.user_requests import UNCONSTRAINED_JOB

# -- order


def _in_order(cluster: SimulatedCluster, jobs: list[str]) -> None:
    """Beside the cluster's own checks."""
    started = [cluster.jobs[job_id].started_at for job_id in jobs]
    assert started == sorted(started)
    assert cluster.event_counts["dependent job started"] >= len(jobs) - 1
    assert set(final_statuses(cluster, jobs)) == {"done"}


@pytest.mark.parametrize("teams", [("team-0",), TEAMS], ids=["one team", "across teams"])
def test_chain_runs_in_order(teams):
    cluster = settled_cluster(1)
    jobs = submit_chain(cluster, 6, teams, plays=3)
    assert [dependency_graphs.is_blocked(cluster, cluster.jobs[job_id]) for job_id in jobs] == [False] + 5 * [True]
    run_until_all_finished(cluster)
    _in_order(cluster, jobs)


def test_job_waits_for_all_branches_of_diamond():
    cluster = settled_cluster(2)
    first = submit_accepted(cluster)
    branches = [submit_accepted(cluster, [first], crew=TEAMS[i % 3], expected_s=2.0 + 4.0 * i) for i in range(4)]
    last = submit_accepted(cluster, branches + branches[:2], crew="team-1", plays=4)  # some are named twice
    assert cluster.jobs[last].dependencies() == branches
    run_until_all_finished(cluster)
    assert set(final_statuses(cluster, [first, *branches, last])) == {"done"}
    assert cluster.event_counts["dependent job started"] == 5
    assert cluster.jobs[last].started_at > max(cluster.jobs[job_id].started_at for job_id in branches) + 2.0


def test_job_with_finished_dependencies_starts_at_once():
    cluster = settled_cluster(3)
    before = [submit_accepted(cluster) for _ in range(2)]
    run_until_all_finished(cluster)
    later = [submit_accepted(cluster, before, crew=team) for team in TEAMS]
    assert not any(dependency_graphs.is_blocked(cluster, cluster.jobs[job_id]) for job_id in later)
    run_until_all_finished(cluster)
    assert set(final_statuses(cluster, later)) == {"done"}
    for job_id in later:  # at once, as any job
        assert cluster.jobs[job_id].started_at - cluster.jobs[job_id].accepted_at < 30.0


def _takeover(cluster: SimulatedCluster, jobs: list[str]) -> None:
    """The owners of the teams crash one after the other while a job before the end of the chain runs."""
    for team in TEAMS:
        cluster.crash(team_owner(cluster, team), 25.0)
        cluster.event_counts["owner ended"] += 1
        cluster.run(12.0)


def _outage(cluster: SimulatedCluster, jobs: list[str]) -> None:
    cluster.state.set_down(True)
    cluster.run(25.0)
    assert cluster.jobs[jobs[1]].started_at is None or cluster.jobs[jobs[0]].final_status == "done"
    cluster.state.set_down(False)
    cluster.event_counts["outage"] += 1


def _late_writes(cluster: SimulatedCluster, jobs: list[str]) -> None:
    cluster.network.late_write_share = 0.5
    cluster.run(60.0)
    cluster.network.late_write_share = 0.0


def _lost_answers(cluster: SimulatedCluster, jobs: list[str]) -> None:
    cluster.network.lost_answer_share = 0.5
    cluster.run(60.0)
    cluster.network.lost_answer_share = 0.0


ORDER_FAULTS = {
    "owner ended": _takeover,
    "outage": _outage,
    "late write": _late_writes,
    "answer to a write lost": _lost_answers,
}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", ORDER_FAULTS)
def test_dependency_order_holds_during_fault(name, seed):
    cluster = settled_cluster(seed)
    jobs = submit_chain(cluster, 5, expected_s=6.0)
    run_until_started(cluster, jobs[0])
    ORDER_FAULTS[name](cluster, jobs)
    run_until_all_finished(cluster, 250.0)
    _in_order(cluster, jobs)
    assert cluster.event_counts[name] + cluster.network.event_counts[name] > 0


@pytest.mark.parametrize("seed", SEEDS)
def test_release_is_detected_by_new_owner(seed):
    """Guards against a blocked job that stays blocked: its owner crashes just as its dependency is done."""
    cluster = settled_cluster(seed)
    first = submit_accepted(cluster, crew="team-0", **LONG_JOB | {"plays": 1})
    held = submit_accepted(cluster, [first], crew=team_of_other_owner(cluster, "team-0"))
    run_until_started(cluster, first)
    finish_in(cluster, first, 3.0)
    cluster.run(2.5)
    cluster.crash(team_owner(cluster, cluster.jobs[held].spec["crew"]), 40.0)
    run_until_all_finished(cluster)
    _in_order(cluster, [first, held])


# -- shares


def test_blocked_jobs_consume_no_quota():
    cluster = settled_cluster(4, cpu_limit=4.0)
    first = submit_accepted(cluster, crew="team-0", **LONG_JOB)
    held = [submit_accepted(cluster, [first], crew="team-1", plays=4, urgency="urgent") for _ in range(3)]
    cluster.run(20.0)
    free = submit_accepted(cluster, crew="team-1", plays=4, expected_s=30.0, urgency="low")
    run_until(cluster, lambda: set(cluster.jobs[free].task_ids()) <= running_task_ids(cluster), 40.0)
    finish_in(cluster, first, 1.0)
    run_until_all_finished(cluster)
    assert set(final_statuses(cluster, [first, *held, free])) == {"done"}


def test_blocked_jobs_consume_no_guarantee():
    """A team's oldest jobs come within its guarantee, but not those that wait for others: the next gets its room."""
    cluster = settled_cluster(5, capacity_per_pool=1, cpu_guarantee=4.0, cpu_limit=200.0)
    full = submit_accepted(cluster, crew="team-2", **LONG_JOB | {"plays": 120})
    cluster.run(90.0)
    first = min(cluster.jobs[full].task_ids(), key=lambda name: name not in running_task_ids(cluster))
    assert first in running_task_ids(cluster) and len(running_task_ids(cluster)) < 120  # there is no room for more
    wait_for = submit_accepted(cluster, crew="team-0", **LONG_JOB)
    held = [submit_accepted(cluster, [wait_for], crew="team-1", plays=4) for _ in range(3)]
    free = submit_accepted(cluster, crew="team-1", **LONG_JOB | {"plays": 4})
    run_until(cluster, lambda: set(cluster.jobs[free].task_ids()) <= running_task_ids(cluster), 60.0)
    assert [cluster.jobs[job_id].started_at for job_id in held] == [None] * 3


def _held_at_the_limit() -> tuple[SimulatedCluster, str, str, str]:
    """A job that another waits for, one that fills the team's limit, and the one that waits, of the same team."""
    cluster = settled_cluster(6, cpu_limit=4.0)
    first = submit_accepted(cluster, crew="team-0", **LONG_JOB)
    full = submit_accepted(cluster, crew="team-1", **LONG_JOB | {"vcpus": 4.0})
    held = submit_accepted(cluster, [first], crew="team-1", vcpus=4.0, urgency="low", expected_s=8.0)
    run_until_started(cluster, first)
    run_until_started(cluster, full)
    return cluster, first, full, held


def _compete_for_quota(cluster: SimulatedCluster, full: str) -> str:
    """A more urgent job of the team, just before the one that fills the limit ends; its id, once all are over."""
    urgent = submit_accepted(cluster, crew="team-1", vcpus=4.0, expected_s=8.0)
    cluster.run(5.0)
    finish_in(cluster, full, 0.5)
    run_until_all_finished(cluster)
    return urgent


def test_blocked_time_does_not_age_a_job():
    """Its age counts from its release: one that was held for long does not go before more urgent work then."""
    cluster, first, full, held = _held_at_the_limit()
    cluster.run(150.0)  # more than a third of four minutes
    finish_in(cluster, first, 0.5)
    run_until(cluster, lambda: not dependency_graphs.is_blocked(cluster, cluster.jobs[held]))
    cluster.run(5.0)
    urgent = _compete_for_quota(cluster, full)
    assert cluster.jobs[urgent].started_at < cluster.jobs[held].started_at


def test_restarted_node_derives_same_priorities():
    """Guards against a view read anew, by ids, that kept the own urgency of each job read after those that need it:
    tasks of steps in the middle were stopped for work that is no more urgent."""
    cluster = settled_cluster(19)
    needs = [submit_accepted(cluster, **LONG_JOB)]
    for job_id, over in (
        ("req-900003", {"urgency": "low"}),
        ("req-900001", {"urgency": "standard"}),
        ("req-900002", {"urgency": "urgent", "due_s": 600.0}),
    ):
        spec = cluster.random_spec(job_id) | UNCONSTRAINED_JOB | SHORT_JOB | {"waits_on": needs} | over
        statuses: list[int] = []
        cluster.controllers["n0"].on_request(
            make_request("POST", "/work", json.dumps(spec).encode()),
            lambda status, _data=b"", _after=None, statuses=statuses: statuses.append(status),
        )
        run_until(cluster, lambda statuses=statuses: statuses == [201])
        needs = [job_id]

    def weights(name: str) -> dict[str, tuple[int, float]]:
        return {
            job_id: (entry.priority, entry.deadline_at)
            for job_id, entry in cluster.controllers[name].job_index.active.items()
        }

    run_until(cluster, lambda: len(weights("n1")) == 4)
    before = weights("n1")
    assert {priority for priority, _deadline_at in before.values()} == {PRIORITY_RANK["urgent"]}
    cluster.crash("n1", 5.0)
    cluster.run(20.0)
    assert weights("n1") == before


def test_aging_since_release_survives_failover():
    """The counterpart: released for long, it goes first, also after a failover of its team."""
    cluster, first, full, held = _held_at_the_limit()
    finish_in(cluster, first, 0.5)
    cluster.run(60.0)
    cluster.crash(team_owner(cluster, "team-1"), 30.0)
    cluster.run(60.0)
    urgent = _compete_for_quota(cluster, full)
    assert cluster.jobs[held].started_at < cluster.jobs[urgent].started_at
