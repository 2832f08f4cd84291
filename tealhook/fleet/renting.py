"""Renting: which kind of machine, the request, and kinds that the cloud refused lately."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from tealhook.fleet.demand import slots_per_machine
from tealhook.fleet.listing import MachineListing
from tealhook.fleet.machines import RentalOption, RentedMachine, hourly_cpu_price
from tealhook.fleet.sizing import Shortage, Supply
from tealhook.wire import cloud as wire
from tealhook.wire import mesh as mesh_wire
from tealhook.wire.common import encode_json

log = logging.getLogger(__name__)

DEAR = 1.5  # times the price of a spot machine: an ordinary one is rented only for what presses


class Offer(NamedTuple):
    """What could be rented, and its cost by which offers are sorted."""

    cost: float
    option: RentalOption


@dataclass
class Refusal:
    """A kind of machine that was not to be had: it is not asked for again until then."""

    until: float
    pause: float


def _is_of_use(
    machine_type: wire.MachineType, option: RentalOption, requirements: mesh_wire.TaskRequirements, zone: str | None
) -> bool:
    """Whether a task of a shape that asks for a zone (or None) can run on such a machine."""
    return bool(
        (requirements.allows_spot or not option.spot)
        and (not requirements.machine_types or machine_type.name in requirements.machine_types)
        and (zone is None or zone == option.zone)
        and slots_per_machine(machine_type, requirements)
    )


class Renting(MachineListing):
    """Rents one kind of machine after the other: at most one request is under way."""

    def _reset(self) -> None:
        super()._reset()
        self._renting: wire.RentalRequest | None = None
        self._asked = 0
        self._refused: dict[RentalOption, Refusal] = {}

    def _rent_remaining(self) -> None:
        """A request is answered: ask for what else is missing."""
        raise NotImplementedError

    def _options(self, demand: list[mesh_wire.Demand], spot_ok: bool, now: float) -> list[Offer]:
        """What could be rented, cheapest first; what waits decides what is of use."""
        shapes = [(item.requirements, item.zone) for item in demand]
        count: dict[str, int] = {}
        self._provisioning.begin_scan()
        for machine in self._machines.values():
            count[machine.zone] = count.get(machine.zone, 0) + 1
            if machine.status == wire.MachineStatus.STARTING and machine.machine_type in self._machine_types:
                self._provisioning.record_still_starting(
                    self._machine_types[machine.machine_type], machine.zone, now - machine.requested_at
                )
        quickest = min(machine_type.boot_s for machine_type in self._machine_types.values()) or 1.0
        options: list[Offer] = []
        for machine_type in self._machine_types.values():
            for zone in machine_type.zones:
                for spot in (True, False):
                    option = RentalOption(machine_type.name, zone, spot)
                    if (spot and not spot_ok) or self._is_refused(option, now):
                        continue
                    if shapes and not any(
                        _is_of_use(machine_type, option, requirements, zone) for requirements, zone in shapes
                    ):
                        continue
                    # A machine is paid for while it boots: over a life of some ten boots that adds up.
                    boot_s = max(machine_type.boot_s, self._provisioning.expected_s(machine_type, zone, now))
                    cost = hourly_cpu_price(machine_type, spot) * (1.0 + boot_s / (10 * quickest))
                    options.append(Offer(cost * (1.0 + 0.001 * count.get(zone, 0)), option))
        options.sort()
        return options

    def _rent(self, shortage: Shortage, supply: Supply, variables: dict[str, float], now: float) -> bool:
        """Ask for one kind of machine, if one is to be had and may be asked for; whether one is on its way."""
        if self._renting is not None:
            return True
        missing = shortage.missing_cpus
        share = self._policy.value("spot_share", variables)
        spot_ok = supply.spot_cpus <= share * (supply.total_cpus + missing) and share > 0
        options = self._options(shortage.demand, spot_ok, now)
        if not options:
            return False
        option = options[0].option
        machine_type = self._machine_types[option.machine_type]
        if not option.spot and machine_type.spot_price * DEAR < machine_type.hourly_price:
            missing = min(missing, shortage.urgent_cpus)
            if missing <= 0:
                return False
        if not self._bucket.take(1, now, keep=self._bucket.burst / 4):
            return False
        count = max(1, min(wire.MAX_RENTED_AT_ONCE, int(missing / machine_type.vcpus + 0.75)))
        self._asked += 1
        ask = f"{self._ownership.node}-{self._token}-{self._asked}"  # the token makes it unique for ever
        self._send_rental(wire.RentalRequest(ask, option.machine_type, option.zone, option.spot, count))
        return True

    def _send_rental(self, rental: wire.RentalRequest) -> None:
        """Send a request for machines, the first time or again."""
        self._renting = rental

        def answer(status: int | None, body: bytes) -> None:
            self._calls_in_flight -= 1
            self._take_answer(rental, status, body)
            # An answer may be the first that a process which stood still comes to, before any timer.
            if self._renting is None and not self._ownership.is_lease_uncertain:
                self._rent_remaining()  # from elsewhere

        self._call("POST", "/rentals", encode_json(rental), answer)

    def _take_answer(self, rental: wire.RentalRequest, status: int | None, body: bytes) -> None:
        """Act on the answer to a rental; one that may have been carried out is sent again."""
        if status == 200:
            self._renting = None
            self._take_rented(rental, body)
        elif status == 503 and b"capacity" in body:
            self._renting = None
            self._refuse(rental, self._effects.now())
        elif status == 400:
            log.error("cloud: rental refused: %s", body[:200])
            self._renting = None
            self._refuse(rental, self._effects.now())
        else:
            # Perhaps executed: repeated under its own name, which can rent nothing twice.
            self._effects.later(0.5 + self._effects.rng.random(), lambda: self._repeat(rental))

    def _take_rented(self, rental: wire.RentalRequest, body: bytes) -> None:
        """Take in the machines of a rental that was carried out."""
        now = self._effects.now()
        try:
            names = wire.rental_reply_decoder.decode(body).machines
        except msgspec.DecodeError as exc:
            log.error("cloud: bad answer to a rental: %s", exc)
            return
        spot = ", spot" if rental.spot else ""
        log.info("rented %d of %d %s in %s%s", len(names), rental.count, rental.machine_type, rental.zone, spot)
        for name in names:
            if name not in self._released_at:
                machine = RentedMachine(name, rental.machine_type, rental.zone, rental.spot, now)
                self._machines.setdefault(name, machine)
        if len(names) < rental.count:
            self._refuse(rental, now)
        else:
            self._refused.pop(RentalOption(rental.machine_type, rental.zone, rental.spot), None)

    def _repeat(self, rental: wire.RentalRequest) -> None:
        """Send a rental again as soon as the cloud may be called, unless it has been given up."""
        if self._token is None or self._renting is not rental:
            return
        if not self._ownership.is_lease_uncertain and self._bucket.take(1, self._effects.now()):
            self._send_rental(rental)
        else:
            self._effects.later(0.5, lambda: self._repeat(rental))

    def _refuse(self, rental: wire.RentalRequest, now: float) -> None:
        """Leave this kind alone for a while: twice as long as the last time, within limits."""
        option = RentalOption(rental.machine_type, rental.zone, rental.spot)
        last = self._refused.get(option)
        pause = min(2 * (last.pause if last is not None else self._list_lag_s / 2), 4 * self._list_lag_s)
        self._refused[option] = Refusal(now + pause * (0.75 + 0.5 * self._effects.rng.random()), pause)

    def _is_refused(self, option: RentalOption, now: float) -> bool:
        """Whether the cloud refused this kind so lately that it is not asked for."""
        refusal = self._refused.get(option)
        return refusal is not None and refusal.until > now
