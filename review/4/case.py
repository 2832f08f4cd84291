"""One machine fails a task once; the job of that task is never placed again, although sound machines are idle."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-2"))

from world import RIG, ZONES, World, run_case  # noqa: E402

SICK_S = 5.0  # the site file lets one machine be sick for 120 s
LEFT_WAITING_S = 90.0
JOB = "req-000001"


async def play(world: World, has_trouble: bool) -> None:
    """Submit one job of one task; the machine that gets it is sick for `SICK_S`."""
    await world.start([(RIG, zone, False) for zone in ZONES], settle=True)
    await world.submit(world.job(JOB, loaners=False, pull_gb=0.4, expected_s=10.0), run_s=8.0)
    trouble_over = world.now()
    if has_trouble:
        machine = None
        while machine is None:
            await asyncio.sleep(0.02)
            machine = next((m for m in world.cloud.machines.values() if m.alive_tasks()), None)
        world.log(f"trouble: machine {machine.name} ({machine.yard}) fails every task")
        machine.is_sick = True
        await asyncio.sleep(SICK_S)
        machine.is_sick = False
        trouble_over = world.now()
        world.log("trouble over: the machine is sound again")
    await world.watch_waiting(JOB, trouble_over, LEFT_WAITING_S)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, lambda: World(FOLDER, {(RIG, zone, False): 1 for zone in ZONES}), play))
