"""A job with a mistaken estimate is accepted and cancelled; its controller never places a task again."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-2"))

from world import RIG, ZONES, World, run_case  # noqa: E402

MISTAKE_S = 1.7976931348623157e308  # the largest number of most languages, as a client sends it for "no estimate"
CANCEL_AFTER_S = 5.0
LEFT_WAITING_S = 90.0
MISTAKEN_JOB, JOB = "req-000001", "req-000002"


async def play(world: World, has_trouble: bool) -> None:
    """Submit a mistaken job, cancel it, and submit a usual job of the same team."""
    await world.start([(RIG, zone, False) for zone in ZONES], settle=True)
    if has_trouble:
        world.log("trouble: a job is submitted with a mistake")
        await world.submit(world.job(MISTAKEN_JOB, plays=4, expected_s=MISTAKE_S), run_s=8.0)
        await asyncio.sleep(CANCEL_AFTER_S)
        answer = await world.request("POST", f"/work/{MISTAKEN_JOB}/abort")
        world.log(f"trouble over: its user has cancelled it: {answer.status}")
    await world.submit(world.job(JOB, expected_s=10.0), run_s=8.0)
    await world.watch_waiting(JOB, world.now(), LEFT_WAITING_S)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, lambda: World(FOLDER, {(RIG, zone, False): 1 for zone in ZONES}), play))
