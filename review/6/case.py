"""The fleet's owner ends while machines are drained; nobody ends the draining, and a job for such a machine waits."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-2"))

from world import LARGE_RIG, NYL_ZONES, STATEMENTS, CannotRunError, World, run_case  # noqa: E402

AGE_S = 50.0  # of the machines at the start: the fleet returns no machine before it is a minute old
DRAIN_S = 6.5  # time for the draining to reach the owner of a partition
RESTART_S = 0.5  # the deploy page: a process is back after some seconds, and now and then within a fraction of one
MAX_SET_UP_S = 19.0
# Estimates of the tasks: the machine that is expected to be empty last is not drained.
EXPECTED_S = (50.0, 60.0, 40.0, 100.0)
LEFT_WAITING_S = 90.0
JOB = "req-100000"


async def play(world: World, has_trouble: bool) -> None:
    """Run one small task on the machine of each zone, end the fleet's owner, and submit a job for one of the zones."""
    await world.start([(LARGE_RIG, zone, False) for zone in NYL_ZONES], age_s=AGE_S, one_first=True)
    for i, (zone, expected_s) in enumerate(zip(NYL_ZONES, EXPECTED_S, strict=True)):
        await world.submit(job(world, f"req-{i:06d}", zone) | {"expected_s": expected_s}, run_s=60.0)
    zone, owner = await first_handed_over(world)
    await asyncio.sleep(DRAIN_S)
    fleet_owner = world.owner("own/fleet")
    if owner == fleet_owner or world.owner(f"own/part/{zone}") != owner:
        raise CannotRunError("the fleet and the partition have one owner")
    if has_trouble:
        world.log(f"trouble: {fleet_owner}, which owns the fleet, ends; {zone} belongs to another controller")
        world.kill_controller(fleet_owner)
        await asyncio.sleep(RESTART_S)
        world.start_controller(fleet_owner)
        world.log("trouble over: the controller is started again")
    node = next(i for i, name in enumerate(world.node_names) if name != fleet_owner)
    await world.submit(job(world, JOB, zone), run_s=8.0, node=node)
    await world.watch_waiting(JOB, world.now(), LEFT_WAITING_S)


async def first_handed_over(world: World) -> tuple[str, str]:
    """Return the first zone whose partition is handed over for balance, and its new owner.

    That owner keeps the partition; others may still change hands.
    """
    owners = {zone: world.owner(f"own/part/{zone}") for zone in NYL_ZONES}
    while world.now() < MAX_SET_UP_S:
        for zone in NYL_ZONES[:3]:
            owner = world.owner(f"own/part/{zone}")
            if owner not in (None, owners[zone]):
                return zone, owner
        await asyncio.sleep(0.05)
    raise CannotRunError("no partition was handed over in time")


def job(world: World, job_id: str, zone: str) -> dict:
    """Return a job of `history-merge` with one task for the ordinary machine of a zone."""
    return world.job(
        job_id,
        lineup="history-merge",
        vcpus=4.0,
        memory_gb=14.0,
        pull_gb=0.5,
        rigs=[LARGE_RIG],
        yard=zone,
        loaners=False,
        expected_s=35.0,
    )


def make_world() -> World:
    """Return a deployment with one ordinary machine of the large type in each zone, as in the operators' small day."""
    return World(FOLDER, {(LARGE_RIG, zone, False): 1 for zone in NYL_ZONES}, STATEMENTS)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, make_world, play))
