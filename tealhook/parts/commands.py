"""What workers are told to do: launches of what was reserved, kills and clears, by answer or directly."""

from __future__ import annotations

from collections.abc import Callable

from tealhook.jobs.index import CANCELLED, DONE, JobIndex
from tealhook.loop.effects import Effects
from tealhook.parts.calls import DIRECT_S, ignore
from tealhook.parts.machine import Held, Machine, capacity, fits
from tealhook.parts.room import Room
from tealhook.parts.updates import Updates
from tealhook.wire import mesh
from tealhook.wire import workers as wire
from tealhook.wire.cloud import MachineType
from tealhook.wire.common import dumps

OVER = (CANCELLED, DONE)
MAX_ORDERS = 300  # keeps a response far below the line limit


class Commands:
    """Commands to the workers of one part.

    Launches ride on answers to reports alone: one sent directly could be executed minutes late. Kills go both ways,
    since they may be repeated and come late: attempts never return.
    """

    def __init__(
        self,
        effects: Effects,
        token: int,
        book: JobIndex,
        types: dict[str, MachineType],
        machines: dict[str, Machine],
        room: Room,
        updates: Updates,
    ) -> None:
        """Commands under `token`; answers to launches are numbered among `updates`."""
        self._fx = effects
        self._token = token
        self._book = book
        self._types = types
        self._machines = machines
        self._room = room
        self._updates = updates
        # Answer a machine's report now, if its answer is still open (see `Partition.patience`); whether it was.
        self.flush: Callable[[str], bool] = lambda _name: False
        self.doubtful: Callable[[], bool] = lambda: False  # whether we may own nothing any more, or know too little

    def orders(self, machine: Machine) -> list[wire.Order]:
        """What a machine is told in answer to its report: kills, clears, and launches for which there is room."""
        orders: list[wire.Order] = []
        status = self._book.status
        for key, held in machine.held.items():
            if held.alive:
                if status(held.job) in OVER:
                    machine.kills.setdefault(key, 0.0)
                if key in machine.kills:
                    orders.append(wire.Order(wire.KILL, held.play, held.attempt, machine.kills[key]))
            elif key in machine.clears or status(held.job) in OVER:
                orders.append(wire.Order(wire.CLEAR, held.play, held.attempt))
        rig = self._types.get(machine.rig)
        if rig is not None and not self.doubtful():
            self._add_launches(machine, rig, orders)
        return orders[:MAX_ORDERS]

    def _add_launches(self, machine: Machine, rig: MachineType, orders: list[wire.Order]) -> None:
        """Launch what fits beside the tasks that are still there, whatever was reserved."""
        room: list[float] | None = None
        for booking in machine.open_bookings():
            if not booking.launching or len(orders) >= MAX_ORDERS:
                continue
            if booking.revoked or self._book.status(booking.job) in OVER:
                booking.revoked = True
                if not booking.sends:
                    self._room.drop_booking(machine, booking)
                continue
            if room is None:
                room = self._room_left(machine, rig)
            if fits(room, booking.need):
                for i in range(3):
                    room[i] -= booking.need[i]
                booking.sends += 1
                orders.append(wire.Order(wire.LAUNCH, booking.play, booking.attempt))

    def _room_left(self, machine: Machine, rig: MachineType) -> list[float]:
        """Room besides the tasks on a machine that won't exit as soon as they are told to."""
        room = capacity(rig)
        for key, held in machine.held.items():
            if held.alive and not (key in machine.kills and self._exits_at_once(held, machine.kills[key])):
                need = self._room.need(held.job) or (rig.vcpus, rig.cards, rig.memory_gb)
                for i in range(3):
                    room[i] -= need[i]
        return room

    def _kill_now(self, machine: Machine) -> None:
        """Send a machine's kills directly: harmless to repeat or to execute late, since attempts never return.

        The worker reports such a change at once, so that the launch for which room is made rides on that
        response. (Direct clears do not make it report: tried and measured. Launches are never sent directly.)
        """
        if self.flush(machine.name):
            return  # they ride on the answer to a report
        orders = [
            wire.Order(wire.KILL, key[0], key[1], wind_down)
            for key, wind_down in machine.kills.items()
            if key in machine.held and machine.held[key].alive
        ]
        if orders:
            body = dumps(wire.Orders(self._token, orders[:MAX_ORDERS], machine.shift))
            self._fx.worker(machine.addr, "POST", "/orders", body, DIRECT_S, ignore)

    def _exits_at_once(self, held: Held, wind_down: float) -> bool:
        known = self._book.active.get(held.job)
        if known is None:
            return wind_down <= 0
        return known.spec.snapshot_every_s <= 0 or wind_down < known.spec.snapshot_s or held.status == "pulling"

    def launch(self, request: mesh.Launch) -> mesh.LaunchReply:
        """Use reservations after their assignment is durable. Each reservation serves once."""
        refused = []
        killing: dict[str, Machine] = {}
        launching: dict[str, None] = {}  # in order: seeded runs must go the same way every time
        current = self._room.raise_home(request.team, request.home_token)
        for start in request.starts:
            machine = self._room.booked_on(start.rid)
            booking = machine.bookings.get(start.rid) if machine is not None else None
            if (
                machine is None
                or booking is None
                or not current
                or booking.launching
                or booking.job != start.job
                or machine.terminating
                or self._book.status(start.job) in OVER
            ):
                if machine is not None and booking is not None and not booking.launching:
                    self._room.drop_booking(machine, booking)
                refused.append(start.rid)
                continue
            booking.index, booking.attempt, booking.launching = start.index, start.attempt, True
            machine.news = True
            launching[machine.name] = None
            self._room.note_launch(booking.job, booking.team, booking.need)
            for victim in booking.victims:
                held = machine.held.get(victim)
                known = self._book.active.get(held.job) if held else None
                machine.kills[victim] = known.spec.snapshot_s if known and known.spec.snapshot_every_s > 0 else 0.0
                killing[machine.name] = machine
        for machine in killing.values():
            self._kill_now(machine)
        for name in launching:
            self.flush(name)
        return mesh.LaunchReply(self._token, self._updates.number(), refused)

    def stop(self, request: mesh.Stop) -> None:
        """Kill or clear attempts on behalf of the home's present owner."""
        if not self._room.raise_home(request.team, request.home_token):
            return
        killing: dict[str, Machine] = {}
        for name, job, index, attempt, wind_down in request.items:
            machine = self._machines.get(name)
            if machine is None:
                continue
            key = (f"{job}/{index}", attempt)
            if wind_down < 0:
                if key in machine.held:
                    machine.clears.add(key)
            elif key in machine.held:
                if key not in machine.kills and machine.held[key].alive:
                    killing[name] = machine
                machine.kills[key] = min(wind_down, machine.kills.get(key, wind_down))
            else:
                self._revoke(machine, key)
        for machine in killing.values():
            self._kill_now(machine)

    def _revoke(self, machine: Machine, key: tuple[str, int]) -> None:
        """Launch an attempt no more; one that may have been sent stays booked until a report shows what came of it."""
        for booking in machine.open_bookings():
            if booking.launching and (booking.play, booking.attempt) == key:
                booking.revoked = True
                if not booking.sends:
                    self._room.drop_booking(machine, booking)
