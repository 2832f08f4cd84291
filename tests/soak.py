"""Long seeded runs that are started by hand; CI runs a few of their seeds as tests.

    target/venv/bin/python -m tests.soak late-copies 1000 2000
    target/venv/bin/python -m tests.soak placement 1000 2000

Each failing seed is printed; the exit status is 1 if there is one.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable

from tests.simulated_placement import SimulatedPlacement
from tests.simulation.errors import RuleViolationError
from tests.test_late_start_commands import late_copies_run


def _find_late_copy_fault(seed: int) -> str | None:
    cluster = late_copies_run(seed)
    if cluster.network.direct_starts:
        return f"{cluster.network.direct_starts} start commands were sent directly"
    unfinished = cluster.unfinished_jobs()
    return f"unfinished jobs: {unfinished}" if unfinished else None


def _find_placement_fault(seed: int) -> str | None:
    waiting = SimulatedPlacement(seed).find_left_waiting()
    return f"left waiting: {waiting}" if waiting else None


RUNS: dict[str, Callable[[int], str | None]] = {
    "late-copies": _find_late_copy_fault,
    "placement": _find_placement_fault,
}


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("run", choices=RUNS)
    parser.add_argument("first_seed", type=int)
    parser.add_argument("last_seed", type=int, help="not run itself")
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.first_seed, arguments.last_seed):
        try:
            fault = RUNS[arguments.run](seed)
        except RuleViolationError as violation:
            fault = str(violation)
        if fault is not None:
            failed += 1
            print(f"seed {seed}: {fault}", flush=True)
    print(f"{arguments.run}: {failed} of {arguments.last_seed - arguments.first_seed} seeds failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
