"""Capacity held for starving tasks: a machine that will be free for one of them first is given to nobody else."""

from __future__ import annotations

from tealhook.partitions.capacity import MachineCapacity
from tealhook.partitions.machine import CapacityHold, Machine
from tealhook.wire import mesh
from tealhook.wire.common import Resources

HOLD_PERIODS = 2  # heartbeat periods; the hold of a job that is not requested any more ends soon


class CapacityHolds:
    """Holds machines for starving tasks; each hold ends by itself unless it is renewed."""

    def __init__(self, capacity: MachineCapacity, report_s: float) -> None:
        """`report_s`: the heartbeat period."""
        self._capacity = capacity
        self._hold_s = HOLD_PERIODS * report_s

    @staticmethod
    def blocks(machine: Machine, request: mesh.ReservationRequest, now: float) -> bool:
        """Whether a machine is held for a starving task of another job."""
        hold = machine.capacity_hold
        if hold is None or hold.expires_at < now:
            machine.capacity_hold = None
            return False
        return hold.job != request.job and not request.starving

    def hold(self, job: str, required: Resources, candidates: list[Machine], now: float) -> None:
        """Hold the machine that will be free for a starving task first, or renew the hold that its job has."""
        for machine in candidates:
            if machine.capacity_hold is not None and machine.capacity_hold.job == job:
                machine.capacity_hold = CapacityHold(job, now + self._hold_s)
                return
        not_held = [machine for machine in candidates if machine.capacity_hold is None]
        if not_held:
            first = min(not_held, key=lambda m: (max(now, self._capacity.free_at(m, required)), m.name))
            first.capacity_hold = CapacityHold(job, now + self._hold_s)

    @staticmethod
    def release(machine: Machine, job: str) -> None:
        """End the hold of a job on a machine: it has been given resources there."""
        if machine.capacity_hold is not None and machine.capacity_hold.job == job:
            machine.capacity_hold = None
