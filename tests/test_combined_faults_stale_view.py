"""Failover of a team to an owner whose view of the jobs is older than its claim."""

import pytest

from tests.simulated_cluster import SimulatedCluster
from tests.user_requests import UNCONSTRAINED_JOB

JOB = UNCONSTRAINED_JOB | {"vcpus": 1.0, "crew": "team-0"}
OWNERSHIP_KEY = "own/home/team-0"


def _delay_job_watches(cluster: SimulatedCluster, stale_nodes: set[str]) -> list[str]:
    """Hold back answers to job watches of nodes as long as they are in `stale_nodes`, as if refused and retried.

    Return a list to which a node is added each time its answer is delayed by 0.1 s.
    """
    handle, delayed_nodes = cluster.state.handle, []

    def handle_late(node, method, target, body, answer):
        def answer_late(status, data):
            if node in stale_nodes:
                delayed_nodes.append(node)
                cluster.call_later(0.1, lambda: answer_late(status, data))
            else:
                answer(status, data)

        handle(node, method, target, body, answer_late if target.startswith("/watch?starts=job/") else answer)

    cluster.state.handle = handle_late
    return delayed_nodes


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_job_missing_from_new_owners_stale_view_is_not_ended(seed):
    """Guards against a new owner that drops the task records of an active job because its view is a second too old."""
    cluster = SimulatedCluster(seed)
    for _ in range(3):
        cluster.submit(plays=4, expected_s=6.0, **JOB)
    cluster.run(45.0)
    assert cluster.unfinished_jobs() == []
    first_owner = cluster.state.rows[OWNERSHIP_KEY][0]["n"]
    stale_nodes = set(cluster.node_names) - {first_owner}
    delayed_nodes = _delay_job_watches(cluster, stale_nodes)
    cluster.network.hold_cut_packets = False
    for node in stale_nodes:  # a query of the job would make the node read its record
        cluster.network.cut(node, "users")
    cluster.run(2.0)  # until the watches that were open before have been answered
    job_id = cluster.submit(plays=4, expected_s=8.0, **JOB)
    while not any(key.startswith("live/") and job_id in key for key in cluster.state.rows):
        cluster.run(0.02)
        assert cluster.now < 140.0
    # Stays down to the end: after a restart it would get the team back and read the records again.
    cluster.crash(first_owner, 300.0)
    while OWNERSHIP_KEY not in cluster.state.rows or cluster.state.rows[OWNERSHIP_KEY][0]["n"] == first_owner:
        cluster.run(0.02)
        assert cluster.now < 160.0
    taken_over_at, takeover_revision = cluster.now, cluster.state.revision
    assert any(key.startswith("live/") and job_id in key for key in cluster.state.rows)
    cluster.run(0.6)
    new_owner = cluster.controllers[cluster.state.rows[OWNERSHIP_KEY][0]["n"]]
    assert new_owner.job_index.watcher.viewed_at < taken_over_at - 0.5  # the view is older than the takeover
    assert delayed_nodes and cluster.now < taken_over_at + 1.0
    stale_nodes.clear()
    cluster.network.heal()
    cluster.run(60.0)
    end_revision = next(
        (
            revision
            for revision, key, _, _ in cluster.state.change_log
            if key == f"job/{job_id}" and revision > takeover_revision
        ),
        1e9,
    )
    early_drops = [
        revision
        for revision, key, _, put in cluster.state.change_log
        if key.startswith("live/") and job_id in key and not put and revision < end_revision
    ]
    assert early_drops == []  # the records hold which tasks of an active job are done, and their attempts
    assert cluster.jobs[job_id].final_status == "done"


def test_active_job_wrongly_considered_ended_is_recovered():
    """The scheduler reads the team's records again, and the job runs to its end, whatever the cause of the error."""
    cluster = SimulatedCluster(4)
    cluster.run(20.0)
    job_id = cluster.submit(plays=4, expected_s=20.0, **JOB)
    scheduler = cluster.controllers[cluster.state.rows[OWNERSHIP_KEY][0]["n"]].team_scheduler
    while job_id not in scheduler.teams["team-0"].jobs or not scheduler.teams["team-0"].jobs[job_id].attempts:
        cluster.run(0.5)
        assert cluster.now < 50.0
    team_before = scheduler.teams["team-0"]
    team_before.jobs[job_id].spec = None
    scheduler.on_job_changed(job_id)
    assert scheduler.teams["team-0"] is not team_before
    cluster.run(1.0)
    assert scheduler.teams["team-0"].jobs[job_id].spec is not None and scheduler.teams["team-0"].jobs[job_id].attempts
    cluster.run(90.0)
    assert cluster.jobs[job_id].final_status == "done"
