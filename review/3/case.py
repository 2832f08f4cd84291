"""A pipeline with a deadline on its last job makes every controller hang."""

import asyncio
import os
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "harness"))

from cluster import ACCEPTED, BROKEN, HELD, NOT_RUN, Cluster, Site, run_case  # noqa: E402
from standins import HttpClient, Record, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STAGES = 4
WIDTH = 120
LONGEST_S, SHORTEST_S = 60.0, 20.0  # estimates in each stage, the largest job first
UNANSWERED_S = 75.0  # "a job about which no question is answered for 75 s counts as forgotten"
POLL_TIMEOUT_S = 2.0  # users wait 2 s for the answer to a poll
DEADLINE_S = 3600.0


async def main() -> int:
    """Play the case and return the exit code."""
    random.seed(1)
    record = Record(str(HERE / "record.txt"))
    teams = [{"name": f"league-ops-{i:02d}", "cpus": 500.0, "cpus_max": 1800.0} for i in range(6)]
    cluster = Cluster(record, Site(teams=teams))
    cluster.cloud.capacity = 2
    started_at = now()
    try:
        await cluster.start([(zone, False) for zone in cluster.site.zones])
        agreed = await cluster.wait_for(lambda: cluster.all_owned() and "versions/agreed" in cluster.state.rows, 20.0)
        if not agreed:
            record("the deployment did not start")
            return NOT_RUN
        watched = "req-watched"
        if not await cluster.submit(cluster.job(watched, 5, 4, 600.0), cluster.nodes):
            return NOT_RUN
        previous: list[str] = []
        for stage in range(STAGES):
            names = [f"req-{stage}-{i:03d}" for i in range(WIDTH)]
            queue = list(enumerate(names))

            async def user(queue: list[tuple[int, str]], stage: int, waits_on: list[str], node: str) -> None:
                client = HttpClient(cluster.user_ports[node])
                while queue:
                    i, name = queue.pop(0)
                    estimate_s = LONGEST_S - (LONGEST_S - SHORTEST_S) * i / WIDTH
                    job = cluster.job(name, stage, 1, estimate_s, vcpus=1.0, memory_gb=3.2, waits_on=waits_on)
                    while (await client.call("POST", "/work", job, 5.0))[0] not in ACCEPTED:
                        await asyncio.sleep(1.0)
                client.close()

            waits_on = previous or [watched]
            await asyncio.gather(*(user(queue, stage, waits_on, cluster.nodes[k % 3]) for k in range(6)))
            previous = names
            record(f"users: the {WIDTH} jobs of stage {stage} are accepted, each waits on {len(waits_on)} jobs")
        last = cluster.job(
            "req-last",
            4,
            1,
            8.0,
            urgency="urgent",
            vcpus=1.0,
            memory_gb=3.2,
            waits_on=previous,
            due_s=DEADLINE_S if TROUBLE else None,
        )
        record(f"users: the last job of the pipeline is submitted, due_s {last['due_s']}")
        submission = asyncio.create_task(cluster.submit(last, cluster.nodes))
        await asyncio.sleep(0.5)
        return await ask_for_long(cluster, record, watched, submission, started_at)
    finally:
        await cluster.stop()


async def ask_for_long(
    cluster: Cluster, record: Record, job_id: str, submission: asyncio.Task, started_at: float
) -> int:
    """Ask all controllers for a running job that was accepted before, until one answers or the time is over."""
    asked_at = answered_at = now()
    longest_s = 0.0
    while now() - asked_at < UNANSWERED_S + 4.0 and now() - started_at < 114.0:
        for node in cluster.nodes:
            status, body = await cluster.ask(node, "GET", f"/work/{job_id}", None, POLL_TIMEOUT_S)
            record(f"user: GET /work/{job_id} at {node}: {status or 'no answer'} {body}")
            if status in (200, 404):
                answered_at = now()
            longest_s = max(longest_s, now() - answered_at)
        await asyncio.sleep(1.0 if longest_s else 5.0)
    alive = [node for node in cluster.nodes if cluster.processes[node].poll() is None]
    record(f"longest time without an answer: {longest_s:.1f} s; processes that still run: {', '.join(alive)}")
    record(f"last job accepted: {submission.done() and submission.result()}; tasks lost: see above")
    submission.cancel()
    return BROKEN if longest_s >= UNANSWERED_S else HELD


if __name__ == "__main__":
    run_case(main)
