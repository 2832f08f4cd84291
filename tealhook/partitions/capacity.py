"""What room a partition has, and who gets it: inquiries, reservations, room held for starving tasks.

A partition gives room only for tasks that can start within one report period. Nothing in here is durable.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Iterator

from tealhook.context import NodeContext
from tealhook.jobs.index import JobIndex
from tealhook.partitions.machine import Machine, MachineTask, Reservation, Resources, capacity, fits, slots
from tealhook.partitions.packing import FreeRoom, without
from tealhook.partitions.preemption import Preemption
from tealhook.wire import mesh
from tealhook.wire.cloud import MachineType
from tealhook.wire.workers import TaskStatus

NEVER_S = 1e9
LEAST_JOBS = 4096
JOB_BYTES = 400  # about what one remembered job takes
JOBS_SHARE = 1 / 16  # of the memory
RATE_WEIGHT = 0.2  # of a measured fetch in the rate learned of a type


class _Fit:
    """Where tasks of one need fit: at one moment, for the inquiries of a fraction of a report period."""

    __slots__ = ("open", "next_s", "rate")

    def __init__(self, open_: list[tuple[Machine, int]], next_s: float, rate: float) -> None:
        self.open = open_  # machines with slots free now
        self.next_s = next_s
        self.rate = rate


class CapacityManager:
    """Free room of one part's machines, and the reservations made of it."""

    def __init__(
        self,
        context: NodeContext,
        token: int,
        job_index: JobIndex,
        types: dict[str, MachineType],
        over: dict[str, float],
        machines: dict[str, Machine],
    ) -> None:
        """`machines` is shared with the partition; `over`: a team's CPUs beyond its guarantee, as its owner says."""
        self._effects = context.effects
        self._workers = context.workers
        self._token = token
        self._job_index = job_index
        self._types = types
        self._preemption = Preemption(context, job_index, over)
        self._machines = machines
        self._team_tokens: dict[str, int] = {}
        memory_bytes = context.settings.params.limits.mem_mb * 2**20
        self._most_jobs = max(LEAST_JOBS, int(memory_bytes * JOBS_SHARE / JOB_BYTES))
        self._reserved_on: dict[int, Machine] = {}  # reservation -> its machine
        self._last_reservation_id = context.effects.rng.getrandbits(40) << 20
        self._fetch_rates: dict[str, float] = {}
        # Inquiries come several times a report period, from every home, for every waiting job: what they
        # have in common is worked out once, and kept while nothing changes.
        self._fits: dict[tuple, _Fit] = {}
        self._view: list[Machine] = []
        self._view_until = 0.0
        # Teams and needs of jobs whose tasks were launched here: the book lacks them while we are cut off from
        # the state service, and what a home is told of its tasks must not lack any on that account.
        self._launched: OrderedDict[str, tuple[str, Resources]] = OrderedDict()

    # -- what is known of tasks

    def remember_launch(self, job: str, team: str, need: Resources) -> None:
        """Remember whose job a launched task is of, and what it takes."""
        self._launched[job] = (team, need)
        self._launched.move_to_end(job)
        if len(self._launched) > self._most_jobs:
            self._launched.popitem(last=False)

    def resources_of(self, job: str) -> Resources | None:
        """What a task of a job takes of its machine; None while that is not known."""
        known = self._job_index.active.get(job)
        if known is not None:
            return known.spec.resources
        launched = self._launched.get(job)
        return launched[1] if launched else None

    def team_of(self, job: str) -> str | None:
        """A job's team; None while that is not known."""
        launched = self._launched.get(job)
        return self._job_index.team_of(job) or (launched[0] if launched else None)

    def mark_changed(self, machine: Machine) -> None:
        """Something on a machine changed."""
        machine.mark_changed()
        self._view_until = 0.0

    def free_resources(self, machine: Machine) -> list[float]:
        """Room left on a machine; tasks that yield to a reservation do not count."""
        if machine.free_resources is not None:
            return machine.free_resources
        machine_type = self._types.get(machine.machine_type)
        if machine_type is None:
            return [0.0, 0.0, 0.0]
        cpus, gpus, memory = capacity(machine_type)
        for task in machine.tasks.values():
            if task.status == TaskStatus.EXITED or task.yields_to:
                continue
            if task.resources is None:
                task.resources = self.resources_of(task.job)
                if task.resources is None:
                    return [0.0, 0.0, 0.0]  # a task that nobody here knows: give nothing until it is known
            need = task.resources
            cpus, gpus, memory = cpus - need[0], gpus - need[1], memory - need[2]
        for reservation in machine.reservations.values():
            need = reservation.resources
            cpus, gpus, memory = cpus - need[0], gpus - need[1], memory - need[2]
        machine.free_resources = [cpus, gpus, memory]
        return machine.free_resources

    def fetch_rate(self, machine_type: str) -> float:
        """GB a second at which machines of a type fetch images: measured, else as published."""
        known = self._types.get(machine_type)
        return self._fetch_rates.get(machine_type) or (known.fetch_gb_per_s if known else 1.0) or 1.0

    def learn_rate(self, machine_type: MachineType | None, image_gb: float, took_s: float) -> None:
        """A fetch was measured on a machine of a type."""
        if machine_type is None:
            return
        seen = image_gb / max(took_s, 0.05)
        rate = self.fetch_rate(machine_type.name)
        if seen < 2 * machine_type.fetch_gb_per_s:
            self._fetch_rates[machine_type.name] = rate + RATE_WEIGHT * (seen - rate)

    # -- reservations

    def accept_team_token(self, team: str, team_token: int) -> bool:
        """Note the token of a team's owner; False for an earlier one, whose reservations are dropped."""
        known = self._team_tokens.get(team, 0)
        if team_token < known:
            return False
        if team_token > known:
            self._team_tokens[team] = team_token
            for machine in self._machines.values():  # room reserved by the team's earlier home
                for reservation in machine.list_reservations():
                    if reservation.team == team and not reservation.launching:
                        self.drop_reservation(machine, reservation)
        return True

    def machine_of_reservation(self, reservation_id: int) -> Machine | None:
        """The machine on which a reservation stands."""
        machine = self._reserved_on.get(reservation_id)
        return machine if machine is not None and reservation_id in machine.reservations else None

    def settle_reservation(self, machine: Machine, reservation: Reservation) -> None:
        """A reservation has become a task that the worker reports."""
        del machine.reservations[reservation.reservation_id]
        self._reserved_on.pop(reservation.reservation_id, None)
        self.mark_changed(machine)

    def drop_all(self, machine: Machine) -> None:
        """The machine is gone, or its lease has ended: none of its reservations stands any more."""
        for reservation_id in machine.reservations:
            self._reserved_on.pop(reservation_id, None)
        machine.reservations.clear()

    def drop_reservation(self, machine: Machine, reservation: Reservation) -> None:
        """Give the room of a reservation back."""
        machine.reservations.pop(reservation.reservation_id, None)
        self._reserved_on.pop(reservation.reservation_id, None)
        self.mark_changed(machine)
        for task in machine.tasks.values():
            if task.yields_to == reservation.reservation_id:
                task.yields_to = 0

    def _usable(self) -> list[Machine]:
        now = self._effects.now()
        patience = 2.5 * self._workers.report_s
        for machine in self._machines.values():
            if machine.reservations:
                for reservation in machine.list_reservations():
                    if not reservation.launching and reservation.expires_at < now:
                        self.drop_reservation(machine, reservation)
        return [machine for machine in self._machines.values() if machine.usable(now, patience)]

    def _allowed(self, machine: Machine, shape: mesh.TaskRequirements) -> bool:
        if machine.spot and not shape.allows_spot:
            return False
        return not shape.machine_types or machine.machine_type in shape.machine_types

    def inquire(self, shapes: list[mesh.TaskRequirements]) -> mesh.CapacityReply:
        """The earliest free time for each shape: slots free now, and when the next one frees."""
        now = self._effects.now()
        if now > self._view_until:
            self._view = self._usable()
            self._fits.clear()
            self._view_until = now + self._workers.report_s / 8
        return mesh.CapacityReply(self._token, [self._room(shape, now) for shape in shapes])

    def _room(self, shape: mesh.TaskRequirements, now: float) -> mesh.Capacity:
        key = (shape.vcpus, shape.gpus, shape.memory_gb, shape.allows_spot, shape.machine_types)
        fit = self._fits.get(key)
        if fit is None:
            fit = self._fits[key] = self._fit(shape, now)
        cached = uncached = 0
        image = shape.image
        for machine, count in fit.open:
            if not image or image in machine.images:
                cached += count
            else:
                uncached += count
        return mesh.Capacity(cached, uncached, fit.next_s, fit.rate or 1.0)

    def _fit(self, shape: mesh.TaskRequirements, now: float) -> _Fit:
        need = (shape.vcpus, shape.gpus, shape.memory_gb)
        open_: list[tuple[Machine, int]] = []
        machine_types: set[str] = set()
        next_at = NEVER_S
        for machine in self._view:
            if not self._allowed(machine, shape):
                continue
            machine_types.add(machine.machine_type)
            count, free_at = machine.fit_cache.get(need) or self._fit_on(machine, need)
            if count:
                open_.append((machine, count))
            else:
                next_at = min(next_at, free_at)
        next_s = max(0.0, next_at - now) + self._workers.report_s / 2 if next_at < NEVER_S else NEVER_S
        return _Fit(open_, next_s, max(map(self.fetch_rate, machine_types), default=0.0))

    def _fit_on(self, machine: Machine, need: Resources) -> tuple[int, float]:
        """Tasks of `need` that fit a machine now; if none does, from when one should.

        Kept with the machine: otherwise one change anywhere has all machines of the part looked through anew.
        """
        count = slots(self.free_resources(machine), need)
        found = (count, 0.0 if count else self._free_at(machine, need))
        if machine.free_resources is not None:  # else it has a task that nobody here knows yet
            machine.fit_cache[need] = found
        return found

    def _expected_ends(self, machine: Machine) -> list[tuple[float, Resources]]:
        """When the tasks on a machine should end, by their own estimates, and what each frees."""
        if machine.expected_ends is None:
            machine.expected_ends = []
            for task in machine.tasks.values():
                known = self._job_index.active.get(task.job)
                if task.alive and known is not None and not task.yields_to:
                    machine.expected_ends.append(
                        ((task.running_since or task.since) + known.spec.estimated_run_s, known.spec.resources)
                    )
            machine.expected_ends.sort()
        return machine.expected_ends

    def empty_in(self, machine: Machine, now: float) -> float:
        """Estimated seconds until what is on a machine has ended."""
        ends = self._expected_ends(machine)
        left = max(0.0, ends[-1][0] - now) if ends else 0.0
        for reservation in machine.reservations.values():
            known = self._job_index.active.get(reservation.job)
            left = max(left, known.spec.estimated_run_s if known is not None else 0.0)
        return left

    def _free_at(self, machine: Machine, need: Resources) -> float:
        """When a task of `need` should fit, by the estimates of what is on the machine."""
        free = list(self.free_resources(machine))
        for at, freed in self._expected_ends(machine):
            for i in range(3):
                free[i] += freed[i]
            if fits(free, need):
                return at
        return NEVER_S

    def reserve(self, request: mesh.ReserveRequest) -> mesh.ReserveReply:
        """Hold room for wants, in their order, on machines that can start them at once."""
        now = self._effects.now()
        free = FreeRoom(self._usable(), self.free_resources)
        answer: list[list[mesh.ReservationGrant]] = []
        for want in request.requests:
            if not self.accept_team_token(want.team, want.team_token):
                answer.append([])
                continue
            answer.append(self._grant(want, free, now))
        return mesh.ReserveReply(self._token, answer)

    def _blocked(self, machine: Machine, want: mesh.ReservationRequest, now: float) -> bool:
        """Whether an aged task of another job holds the machine's room."""
        hold = machine.held_for
        if hold is None or hold[1] < now:
            machine.held_for = None
            return False
        return hold[0] != want.job and not want.starving

    def _candidates(self, want: mesh.ReservationRequest, free: FreeRoom, now: float) -> Iterator[Machine]:
        """Machines that a want may go to, in the order of packing, whatever room they have."""
        return (
            machine
            for machine in free.in_order(want.requirements.image)
            if self._allowed(machine, want.requirements)
            and machine.name not in want.avoided_machines
            and not self._blocked(machine, want, now)
        )

    def _grant(self, want: mesh.ReservationRequest, free: FreeRoom, now: float) -> list[mesh.ReservationGrant]:
        shape = want.requirements
        need = (shape.vcpus, shape.gpus, shape.memory_gb)
        chosen: list[tuple[Machine, int]] = []
        missing = want.count
        for machine in self._candidates(want, free, now):
            if missing <= 0:
                break
            count = min(missing, slots(free.left(machine), need))
            if count:
                chosen.append((machine, count))
                missing -= count
        given: list[mesh.ReservationGrant] = []
        for machine, count in chosen:
            given.extend(self._add_reservation(machine, want, need, [], now) for _ in range(count))
            free.set_left(machine, without(free.left(machine), need, count))
        if missing > 0 and self._preemption.allowed(want):
            preempt = self._preempt if want.may_preempt else self._preempt_savers
            preempt(want, need, list(self._candidates(want, free, now)), free, given, now)
        if want.starving and len(given) < want.count:
            self._hold_capacity(want, need, list(self._candidates(want, free, now)), now)
        return given

    def _add_reservation(
        self, machine: Machine, want: mesh.ReservationRequest, need: Resources, victims: list[MachineTask], now: float
    ) -> mesh.ReservationGrant:
        self._last_reservation_id += 1
        reservation = Reservation(
            self._last_reservation_id,
            want.team,
            want.job,
            need,
            want.requirements.image,
            now + self._workers.lease_s / 4,
            now,
            [(task.task, task.attempt) for task in victims],
            non_preemptible=want.non_preemptible,
        )
        for task in victims:
            task.yields_to = reservation.reservation_id
        machine.reservations[reservation.reservation_id] = reservation
        self._reserved_on[reservation.reservation_id] = machine
        self.mark_changed(machine)
        if machine.held_for is not None and machine.held_for[0] == want.job:
            machine.held_for = None
        fetch = (
            0.0
            if machine.has_image(want.requirements.image)
            else want.requirements.image_gb / self.fetch_rate(machine.machine_type)
        )
        return mesh.ReservationGrant(reservation.reservation_id, machine.name, machine.session, fetch)

    def _preempt(
        self,
        want: mesh.ReservationRequest,
        need: Resources,
        candidates: list[Machine],
        free: FreeRoom,
        given: list[mesh.ReservationGrant],
        now: float,
    ) -> None:
        """Stop less urgent tasks, or tasks beyond another team's guarantee, those begun last first."""
        # The least loss first. One choice changes its own machine, and what teams still run beyond their
        # guarantees: so an offer is worked out again when its turn comes, not all of them each time.
        offers = []
        for order, machine in enumerate(candidates):
            offer = self._preemption.offer(machine, want, need, free.left(machine), now)
            if offer is not None:
                offers.append((offer.lost, order, machine))
        heapq.heapify(offers)
        while offers and len(given) < want.count:
            lost, order, machine = heapq.heappop(offers)
            offer = self._preemption.offer(machine, want, need, free.left(machine), now)
            if offer is None:
                continue
            if offer.lost > lost and offers and offer.lost > offers[0][0]:
                heapq.heappush(offers, (offer.lost, order, machine))
                continue
            self._preemption.charge(want, offer.victims)
            free.set_left(machine, without(offer.room, need))
            given.append(self._add_reservation(machine, want, need, offer.victims, now))
            heapq.heappush(offers, (lost, order, machine))

    def _preempt_savers(
        self,
        want: mesh.ReservationRequest,
        need: Resources,
        candidates: list[Machine],
        free: FreeRoom,
        given: list[mesh.ReservationGrant],
        now: float,
    ) -> None:
        """Stop less urgent tasks that save their progress, on the first machines that have such.

        All lose about as little, so the offers of hundreds of machines are not worked out for each task.
        """
        for machine in candidates:
            while len(given) < want.count:
                offer = self._preemption.offer(machine, want, need, free.left(machine), now)
                if offer is None:
                    break
                free.set_left(machine, without(offer.room, need))
                given.append(self._add_reservation(machine, want, need, offer.victims, now))
            if len(given) >= want.count:
                return

    def _hold_capacity(
        self, want: mesh.ReservationRequest, need: Resources, candidates: list[Machine], now: float
    ) -> None:
        """An aged task holds the room of the machine that will be free for it first."""
        for machine in candidates:
            if machine.held_for is not None and machine.held_for[0] == want.job:
                machine.held_for = (want.job, now + 2 * self._workers.report_s)
                return
        open_ones = [machine for machine in candidates if machine.held_for is None]
        if open_ones:
            best = min(open_ones, key=lambda m: (max(now, self._free_at(m, need)), m.name))
            best.held_for = (want.job, now + 2 * self._workers.report_s)
