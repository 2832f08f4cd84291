"""Machines held for starving tasks: the one that should be free first is kept from jobs that are not starving."""

from __future__ import annotations

from tealhook.partitions.capacity import MachineCapacity
from tealhook.partitions.machine import FAR_FUTURE_S, CapacityHold, Machine
from tealhook.wire import mesh
from tealhook.wire.common import Resources

HOLD_PERIODS = 2  # heartbeat periods; a hold ends soon after its job stops requesting capacity


class CapacityHolds:
    """Holds machines for starving tasks; a hold expires unless it is renewed."""

    def __init__(self, capacity: MachineCapacity, report_s: float) -> None:
        """Initialize for a heartbeat period of `report_s`."""
        self._capacity = capacity
        self._hold_s = HOLD_PERIODS * report_s

    @staticmethod
    def is_held(machine: Machine, now: float) -> bool:
        """Check whether a machine is held for a job, and remove the hold if it has expired."""
        if machine.capacity_hold is not None and machine.capacity_hold.expires_at < now:
            machine.capacity_hold = None
        return machine.capacity_hold is not None

    @classmethod
    def blocks(cls, machine: Machine, request: mesh.ReservationRequest, now: float) -> bool:
        """Check whether a machine's hold for another job blocks a request; those for starving tasks are not blocked."""
        if not cls.is_held(machine, now) or request.starving:
            return False
        return machine.capacity_hold is None or machine.capacity_hold.job != request.job

    def hold(self, job: str, required: Resources, candidates: list[Machine], now: float) -> None:
        """Hold the machine that should be free first for a starving task, or renew the hold that its job has.

        A machine on which the task is not expected to fit at any time is not held: that would only keep it from others.
        """
        for machine in candidates:
            if machine.capacity_hold is not None and machine.capacity_hold.job == job:
                machine.capacity_hold = CapacityHold(job, now + self._hold_s)
                return
        not_held = [machine for machine in candidates if machine.capacity_hold is None]
        expected = [(max(now, self._capacity.estimate_free_at(m, required)), m.name, m) for m in not_held]
        free_at, _name, first_free = min(expected, default=(FAR_FUTURE_S, "", None))
        if first_free is not None and free_at < FAR_FUTURE_S:
            first_free.capacity_hold = CapacityHold(job, now + self._hold_s)

    @staticmethod
    def release(machine: Machine, job: str) -> None:
        """End the hold of a job on a machine where the job has been granted resources."""
        if machine.capacity_hold is not None and machine.capacity_hold.job == job:
            machine.capacity_hold = None
