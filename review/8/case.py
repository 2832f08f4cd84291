"""A machine that failed the tasks of two jobs is never used again while a long task keeps it from being replaced."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-2"))

from world import RIG, ZONES, World, run_case  # noqa: E402

YARD = "houston-closet"
MAX_SICK_S = 6.0  # the site file lets one machine be sick for 120 s
LEFT_WAITING_S = 90.0
LONG_JOB, SHORT_JOBS, JOB = "req-000001", ("req-000002", "req-000003"), "req-000004"


async def play(world: World, has_trouble: bool) -> None:
    """Run a long task and two short jobs on the machine of a zone, which is sick meanwhile; then submit another job."""
    await world.start([(RIG, zone, False) for zone in ZONES], settle=True)
    bound = {"yard": YARD, "loaners": False, "pull_gb": 0.2}
    await world.submit(world.job(LONG_JOB, expected_s=200.0, **bound), run_s=200.0)
    while not world.is_started(LONG_JOB):
        await asyncio.sleep(0.02)
    machine = next(machine for machine in world.cloud.machines.values() if machine.yard == YARD)
    if has_trouble:
        world.log(f"trouble: machine {machine.name} ({YARD}) fails every task that it starts")
        machine.is_sick = True
    for job_id in SHORT_JOBS:
        await world.submit(world.job(job_id, vcpus=2.0, memory_gb=5.4, expected_s=2.0, **bound), run_s=2.0)
    until = world.now() + MAX_SICK_S
    while world.now() < until and not all(f"{job_id}/0" in world.ended_tasks for job_id in SHORT_JOBS):
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)
    machine.is_sick = False
    world.log("trouble over: the machine is sound")
    await world.submit(world.job(JOB, expected_s=10.0, **bound), run_s=8.0)
    await world.watch_waiting(JOB, world.now(), LEFT_WAITING_S)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, lambda: World(FOLDER, {(RIG, zone, False): 1 for zone in ZONES}), play))
