"""A job that was submitted with a mistake stops the scheduler of its team's owner for good."""

import asyncio
import os
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "harness"))

from cluster import BROKEN, HELD, NOT_RUN, Cluster, Site, run_case  # noqa: E402
from standins import Record, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ESTIMATE_S = (
    1.7976931348623157e308 if TROUBLE else 5.0
)  # the largest double, which stands for "not known" in the script
MAX_WAIT_S = 90.0  # "no job is left waiting for 90 s while a machine that fits has room"


def free_machines(cluster: Cluster) -> int:
    """Return how many machines that are up have no task at all."""
    return sum(
        worker.up and not worker.dead and not any(task["status"] != "exited" for task in worker.tasks.values())
        for worker in cluster.cloud.machines.values()
    )


async def main() -> int:
    """Play the case and return the exit code."""
    random.seed(1)
    record = Record(str(HERE / "record.txt"))
    cluster = Cluster(record, Site())
    cluster.cloud.capacity = 2
    try:
        await cluster.start([(zone, False) for zone in cluster.site.zones])
        if not await cluster.wait_for(cluster.all_owned, 20.0):
            record("the deployment did not start")
            return NOT_RUN
        mistaken = cluster.job("req-mistaken", 0, 4, 5.0, expected_s=ESTIMATE_S)
        status, body = await cluster.ask(cluster.nodes[0], "POST", "/work", mistaken)
        record(f"user: POST /work req-mistaken, expected_s {ESTIMATE_S}: {status} {body}")
        if status not in (200, 201):
            return HELD  # refused
        await asyncio.sleep(2.0)
        for _attempt in range(10):
            status, body = await cluster.ask(cluster.nodes[1], "POST", "/work/req-mistaken/abort")
            record(f"user: POST /work/req-mistaken/abort: {status} {body}")
            if status == 200:
                break
            await asyncio.sleep(1.0)
        accepted_at: dict[str, float] = {}
        for i in range(len(cluster.site.teams)):
            job_id = f"req-{i:06d}"
            if await cluster.submit(cluster.job(job_id, i, 8, 5.0), cluster.nodes):
                accepted_at[job_id] = now()
                record(f"user: {job_id} of team {i} is accepted")
        if len(accepted_at) < len(cluster.site.teams):
            return NOT_RUN
        done: set[str] = set()
        fewest_free = free_machines(cluster)
        while len(done) < len(accepted_at) and now() - max(accepted_at.values()) < MAX_WAIT_S + 2.0:
            await asyncio.sleep(3.0)
            fewest_free = min(fewest_free, free_machines(cluster))
            for job_id in accepted_at.keys() - done:
                status, body = await cluster.ask(random.choice(cluster.nodes), "GET", f"/work/{job_id}", None, 2.0)
                record(f"user: GET /work/{job_id}: {status} {body}; machines without a task: {free_machines(cluster)}")
                if body.get("status") == "done":
                    done.add(job_id)
        waiting = [
            job_id
            for job_id in accepted_at
            if job_id not in done and not cluster.zones_of.get(job_id) and now() - accepted_at[job_id] > MAX_WAIT_S
        ]
        for job_id in waiting:
            record(
                f"LEFT WAITING {job_id}: no task was started in {now() - accepted_at[job_id]:.1f} s, "
                f"although at least {fewest_free} machines had no task at any time"
            )
        record(f"done: {sorted(done)}; left waiting: {waiting}; controllers' logs:\n{cluster.logs()[:6000]}")
        return BROKEN if waiting and fewest_free else HELD
    finally:
        await cluster.stop()


if __name__ == "__main__":
    run_case(main)
