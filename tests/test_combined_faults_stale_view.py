"""Failover of a team to an owner whose view of the jobs is older than its claim."""

import pytest

from tests.simulated_cluster import SimulatedCluster
from tests.user_requests import UNCONSTRAINED_JOB

JOB = UNCONSTRAINED_JOB | {"vcpus": 1.0, "crew": "team-0"}
HOME = "own/home/team-0"


def _view_held_up(cluster: SimulatedCluster, behind: set[str]) -> list[str]:
    """For nodes that are `behind`, answers to watches of jobs are as slow as their retries after a refusal."""
    whole, held = cluster.state.handle, []

    def handle(node, method, target, body, answer):
        def late(status, data):
            if node in behind:
                held.append(node)
                cluster.call_later(0.1, lambda: late(status, data))
            else:
                answer(status, data)

        whole(node, method, target, body, late if target.startswith("/watch?starts=job/") else answer)

    cluster.state.handle = handle
    return held


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_job_missing_from_new_owners_stale_view_is_not_ended(seed):
    """Its live records are there, its record is active; only the new owner's view of records is a second too old."""
    cluster = SimulatedCluster(seed)
    for _ in range(3):
        cluster.submit(plays=4, expected_s=6.0, **JOB)
    cluster.run(45.0)
    assert cluster.unfinished_jobs() == []
    leader = cluster.state.rows[HOME][0]["n"]
    behind = set(cluster.node_names) - {leader}
    held = _view_held_up(cluster, behind)
    cluster.network.hold_cut_packets = False
    for node in behind:  # what its user asks would make it known there
        cluster.network.cut(node, "users")
    cluster.run(2.0)  # watches opened before are answered
    job = cluster.submit(plays=4, expected_s=8.0, **JOB)
    while not any(key.startswith("live/") and job in key for key in cluster.state.rows):
        cluster.run(0.02)
        assert cluster.now < 140.0
    cluster.crash(leader, 300.0)  # back, it would be given the team, and read anew
    while HOME not in cluster.state.rows or cluster.state.rows[HOME][0]["n"] == leader:
        cluster.run(0.02)
        assert cluster.now < 160.0
    taken, taken_epoch = cluster.now, cluster.state.revision
    assert any(key.startswith("live/") and job in key for key in cluster.state.rows)
    cluster.run(0.6)
    node = cluster.controllers[cluster.state.rows[HOME][0]["n"]]
    assert node.job_index.watcher.viewed_at < taken - 0.5  # the view is too old indeed
    assert held and cluster.now < taken + 1.0
    behind.clear()
    cluster.network.heal()
    cluster.run(60.0)
    ended = next(
        (epoch for epoch, key, _, _ in cluster.state.change_log if key == f"job/{job}" and epoch > taken_epoch), 1e9
    )
    dropped = [
        epoch
        for epoch, key, _, put in cluster.state.change_log
        if key.startswith("live/") and job in key and not put and epoch < ended
    ]
    assert dropped == []  # what is done of an active job, and how often it was tried, is on record
    assert cluster.jobs[job].final_status == "done"


def test_active_job_wrongly_considered_ended_is_recovered():
    """Whatever led to it: the team's records are read again, and the job runs to its end."""
    cluster = SimulatedCluster(4)
    cluster.run(20.0)
    job = cluster.submit(plays=4, expected_s=20.0, **JOB)
    keeper = cluster.controllers[cluster.state.rows[HOME][0]["n"]].team_scheduler
    while job not in keeper.teams["team-0"].jobs or not keeper.teams["team-0"].jobs[job].attempts:
        cluster.run(0.5)
        assert cluster.now < 50.0
    before = keeper.teams["team-0"]
    before.jobs[job].spec = None
    keeper.on_job_changed(job)
    assert keeper.teams["team-0"] is not before
    cluster.run(1.0)
    assert keeper.teams["team-0"].jobs[job].spec is not None and keeper.teams["team-0"].jobs[job].attempts
    cluster.run(90.0)
    assert cluster.jobs[job].final_status == "done"
