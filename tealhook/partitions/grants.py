"""Grants in answer to reserve requests of team schedulers, by packing, preemption and holds.

A partition grants only capacity on which a task can start within one heartbeat period. Nothing here is durable.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from typing import NamedTuple

from tealhook.partitions.capacity import MachineCapacity
from tealhook.partitions.capacity_holds import CapacityHolds
from tealhook.partitions.fetch_rates import FetchRates
from tealhook.partitions.inquiries import allows_machine
from tealhook.partitions.machine import Machine, MachineTask, count_fitting, subtract_resources
from tealhook.partitions.packing import PackingOrder
from tealhook.partitions.pending_grant import PendingGrant
from tealhook.partitions.preemption import PreemptionPlanner, PreemptionScope
from tealhook.partitions.reservations import Reservations
from tealhook.partitions.state import PartitionState
from tealhook.wire import mesh


class _QueuedPlan(NamedTuple):
    """A machine in a queue ordered by the work that preemption there would lose; `position` breaks ties."""

    lost_cpu_s: float
    position: int
    machine: Machine


class ReservationGranter:
    """Answers reserve requests with reservations on the machines of a partition."""

    def __init__(
        self, state: PartitionState, capacity: MachineCapacity, reservations: Reservations, fetch_rates: FetchRates
    ) -> None:
        """Initialize the granter, which adds what it grants to `reservations`."""
        self._effects = state.context.effects
        self._token = state.token
        self._capacity = capacity
        self._reservations = reservations
        self._fetch_rates = fetch_rates
        self._holds = CapacityHolds(capacity, state.context.workers.report_s)
        self._preemption_planner = PreemptionPlanner(state)

    def reserve(self, request: mesh.ReserveRequest) -> mesh.ReserveReply:
        """Reserve capacity for the items of a request, in their order, on machines that can start tasks at once."""
        now = self._effects.now()
        packing = PackingOrder(self._reservations.schedulable_machines(), self._capacity.free_resources)
        grants: list[list[mesh.ReservationGrant]] = []
        for item in request.requests:
            if not self._reservations.accept_team_token(item.team, item.team_token):
                grants.append([])
                continue
            grants.append(self._grant(PendingGrant(item, packing, now)))
        return mesh.ReserveReply(self._token, grants)

    def _grant(self, pending: PendingGrant) -> list[mesh.ReservationGrant]:
        request = pending.request
        self._grant_free(pending)
        if pending.missing_count > 0:
            scope = self._preemption_planner.allowed_scope(request)
            if scope is PreemptionScope.ANY:
                self._preempt_cheapest(pending)
            elif scope is PreemptionScope.CHECKPOINTING:
                self._preempt_checkpointing(pending)
        if request.starving and pending.missing_count > 0:
            self._holds.hold(request.job, pending.required, list(self._candidates(pending)), pending.now)
        return pending.granted

    def _candidates(self, pending: PendingGrant) -> Iterator[Machine]:
        """Return the machines that a request may use, in packing order, regardless of their free resources."""
        request, now, blocks = pending.request, pending.now, self._holds.blocks
        return (
            machine
            for machine in pending.packing.machines_in_order(request.requirements.image)
            if allows_machine(request.requirements, machine)
            and machine.name not in request.avoided_machines
            and not blocks(machine, request, now)
        )

    def _grant_free(self, pending: PendingGrant) -> None:
        """Grant resources that are free now."""
        chosen: list[tuple[Machine, int]] = []
        missing_count = pending.missing_count
        free_resources, required = pending.packing.free_resources, pending.required
        for machine in self._candidates(pending):
            if missing_count <= 0:
                break
            count = min(missing_count, count_fitting(free_resources(machine), required))
            if count:
                chosen.append((machine, count))
                missing_count -= count
        for machine, count in chosen:
            for _ in range(count):
                self._add_grant(pending, machine, [])
            pending.packing.set_free_resources(machine, subtract_resources(free_resources(machine), required, count))

    def _add_grant(self, pending: PendingGrant, machine: Machine, victims: list[MachineTask]) -> None:
        request = pending.request
        reservation = self._reservations.add(machine, request, pending.required, victims, pending.now)
        self._holds.release(machine, request.job)
        fetch_s = (
            0.0
            if machine.has_image(request.requirements.image)
            else request.requirements.image_gb / self._fetch_rates.gb_per_s(machine.machine_type)
        )
        pending.granted.append(
            mesh.ReservationGrant(reservation.reservation_id, machine.name, machine.session, fetch_s)
        )

    def _preempt_cheapest(self, pending: PendingGrant) -> None:
        """Preempt tasks of lower priority or beyond another team's guarantee, those that lose the least work first."""
        # Each choice changes only its own machine and how far teams still exceed their guarantees. So a plan is
        # computed again when it reaches the head of the queue, instead of all plans after each choice.
        queue: list[_QueuedPlan] = []
        for position, machine in enumerate(list(self._candidates(pending))):
            plan = self._preemption_planner.plan(machine, pending, PreemptionScope.ANY)
            if plan is not None:
                queue.append(_QueuedPlan(plan.lost_cpu_s, position, machine))
        heapq.heapify(queue)
        while queue and pending.missing_count > 0:
            queued = heapq.heappop(queue)
            machine = queued.machine
            plan = self._preemption_planner.plan(machine, pending, PreemptionScope.ANY)
            if plan is None:
                continue
            if plan.lost_cpu_s > queued.lost_cpu_s and queue and plan.lost_cpu_s > queue[0].lost_cpu_s:
                heapq.heappush(queue, _QueuedPlan(plan.lost_cpu_s, queued.position, machine))
                continue
            self._preemption_planner.deduct_over_guarantee(pending.request, plan.victims)
            pending.packing.set_free_resources(machine, subtract_resources(plan.free_resources, pending.required))
            self._add_grant(pending, machine, plan.victims)
            heapq.heappush(queue, queued)

    def _preempt_checkpointing(self, pending: PendingGrant) -> None:
        """Preempt checkpointing tasks of lower priority, on the first machines that have any.

        All of these tasks lose about equally little, so the plans of hundreds of machines are not compared per task.
        """
        for machine in list(self._candidates(pending)):
            while pending.missing_count > 0:
                plan = self._preemption_planner.plan(machine, pending, PreemptionScope.CHECKPOINTING)
                if plan is None:
                    break
                pending.packing.set_free_resources(machine, subtract_resources(plan.free_resources, pending.required))
                self._add_grant(pending, machine, plan.victims)
            if pending.missing_count <= 0:
                return
