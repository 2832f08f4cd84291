"""Renting: the choice of machines to rent, the requests to the cloud, and pauses after refusals."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from tealhook.fleet.demand import is_usable
from tealhook.fleet.listing import MachineListing
from tealhook.fleet.machines import RentalOption, RentedMachine, hourly_cpu_price
from tealhook.fleet.sizing import Shortage, Supply
from tealhook.wire import cloud as wire
from tealhook.wire import mesh as mesh_wire
from tealhook.wire.common import encode_json

log = logging.getLogger(__name__)

# An on-demand machine is expensive if its price is more than this multiple of the spot price. Expensive machines are
# rented only for urgent work. Draining compares prices in steps of this factor.
EXPENSIVE_PRICE_RATIO = 1.5


class RentalOffer(NamedTuple):
    """An option that can be rented, and the cost by which options are compared."""

    cost: float
    option: RentalOption


@dataclass
class RefusedOption:
    """The refusal of an option by the cloud: it is not requested again before `until`."""

    until: float
    pause_s: float


class Renting(MachineListing):
    """Rents machines with one request at a time."""

    def _reset(self) -> None:
        super()._reset()
        self._pending_rental: wire.RentalRequest | None = None
        self._request_count = 0
        self._refusals: dict[RentalOption, RefusedOption] = {}

    def _rent_remaining(self) -> None:
        """Rent what is still missing, after a request was answered."""
        raise NotImplementedError

    def _rental_offers(self, demand: list[mesh_wire.Demand], spot_allowed: bool, now: float) -> list[RentalOffer]:
        """Return what can be rented and used by the waiting tasks, cheapest first."""
        machines_per_zone: dict[str, int] = {}
        self._provisioning.clear_overdue()
        for machine in self._machines.values():
            machines_per_zone[machine.zone] = machines_per_zone.get(machine.zone, 0) + 1
            if machine.status == wire.MachineStatus.STARTING and machine.machine_type in self._machine_types:
                self._provisioning.record_still_starting(
                    self._machine_types[machine.machine_type], machine.zone, now - machine.requested_at
                )
        shortest_boot_s = min(machine_type.boot_s for machine_type in self._machine_types.values()) or 1.0
        offers: list[RentalOffer] = []
        for machine_type in self._machine_types.values():
            for zone in machine_type.zones:
                for spot in (True, False):
                    option = RentalOption(machine_type.name, zone, spot)
                    if (spot and not spot_allowed) or self._is_refused(option, now):
                        continue
                    if demand and not any(is_usable(machine_type, option, item) for item in demand):
                        continue
                    # A machine is paid for while it boots. A lifetime of about ten boot times is assumed.
                    boot_s = max(machine_type.boot_s, self._provisioning.expected_s(machine_type, zone, now))
                    cost = hourly_cpu_price(machine_type, spot) * (1.0 + boot_s / (10 * shortest_boot_s))
                    # Of equal costs, the zone with the fewest machines comes first.
                    offers.append(RentalOffer(cost * (1.0 + 0.001 * machines_per_zone.get(zone, 0)), option))
        offers.sort()
        return offers

    def _rent(self, shortage: Shortage, supply: Supply, variables: dict[str, float], now: float) -> bool:
        """Request machines of the cheapest usable option, and return whether a request is pending."""
        if self._pending_rental is not None:
            return True
        cpus_to_rent = shortage.missing_cpus
        max_spot_share = self._policy.value("spot_share", variables)
        spot_allowed = supply.spot_cpus <= max_spot_share * (supply.total_cpus + cpus_to_rent) and max_spot_share > 0
        offers = self._rental_offers(shortage.demand, spot_allowed, now)
        if not offers:
            return False
        option = offers[0].option
        machine_type = self._machine_types[option.machine_type]
        if not option.spot and machine_type.spot_price * EXPENSIVE_PRICE_RATIO < machine_type.hourly_price:
            cpus_to_rent = min(cpus_to_rent, shortage.urgent_cpus)
            if cpus_to_rent <= 0:
                return False
        if not self._bucket.take(1, now, keep=self._bucket.burst / 4):
            return False
        # The number of machines is rounded up from a quarter of one.
        count = max(1, min(wire.MAX_RENTED_AT_ONCE, int(cpus_to_rent / machine_type.vcpus + 0.75)))
        self._request_count += 1
        # The fencing token makes the id unique across owners of the fleet.
        request_id = f"{self._ownership.node}-{self._token}-{self._request_count}"
        self._send_rental(wire.RentalRequest(request_id, option.machine_type, option.zone, option.spot, count))
        return True

    def _send_rental(self, rental: wire.RentalRequest) -> None:
        """Send a rental request, for the first time or again."""
        self._pending_rental = rental

        def on_answer(status: int | None, body: bytes) -> None:
            self._calls_in_flight -= 1
            self._on_rental_answer(rental, status, body)
            # A process that was suspended may handle this answer before any timer, when its lease may have expired.
            if self._pending_rental is None and not self._ownership.is_lease_uncertain:
                self._rent_remaining()  # with another option if this one was refused

        self._call("POST", "/rentals", encode_json(rental), on_answer)

    def _on_rental_answer(self, rental: wire.RentalRequest, status: int | None, body: bytes) -> None:
        """Handle the answer to a rental request; a request that may have been executed is sent again."""
        if status == 200:
            self._pending_rental = None
            self._add_rented_machines(rental, body)
        elif status == 503 and b"capacity" in body:
            self._pending_rental = None
            self._record_refusal(rental, self._effects.now())
        elif status == 400:
            log.error("cloud: rental request rejected with status 400: %s", body[:200])
            self._pending_rental = None
            self._record_refusal(rental, self._effects.now())
        else:
            # The request may have been executed. Sent again under the same id, it can't rent anything twice.
            self._effects.later(0.5 + self._effects.rng.random(), lambda: self._resend_rental(rental))

    def _add_rented_machines(self, rental: wire.RentalRequest, body: bytes) -> None:
        """Add the machines of a rental that was executed."""
        now = self._effects.now()
        try:
            names = wire.rental_reply_decoder.decode(body).machines
        except msgspec.DecodeError as exc:
            log.error("cloud: malformed answer to a rental request: %s", exc)
            return
        spot = ", spot" if rental.spot else ""
        log.info(
            "fleet: rented %d of %d machines of type %s in zone %s%s",
            len(names),
            rental.count,
            rental.machine_type,
            rental.zone,
            spot,
        )
        for name in names:
            if name not in self._released_at:
                machine = RentedMachine(name, rental.machine_type, rental.zone, rental.spot, now)
                self._machines.setdefault(name, machine)
        if len(names) < rental.count:
            self._record_refusal(rental, now)
        else:
            self._refusals.pop(RentalOption(rental.machine_type, rental.zone, rental.spot), None)

    def _resend_rental(self, rental: wire.RentalRequest) -> None:
        """Send a rental request again once the cloud may be called, unless it is no longer pending."""
        if self._token is None or self._pending_rental is not rental:
            return
        if not self._ownership.is_lease_uncertain and self._bucket.take(1, self._effects.now()):
            self._send_rental(rental)
        else:
            self._effects.later(0.5, lambda: self._resend_rental(rental))

    def _record_refusal(self, rental: wire.RentalRequest, now: float) -> None:
        """Avoid the option of a rental for a while, twice as long as the last time, up to a limit."""
        option = RentalOption(rental.machine_type, rental.zone, rental.spot)
        previous = self._refusals.get(option)
        pause_s = min(2 * (previous.pause_s if previous is not None else self._list_lag_s / 2), 4 * self._list_lag_s)
        self._refusals[option] = RefusedOption(now + pause_s * (0.75 + 0.5 * self._effects.rng.random()), pause_s)

    def _is_refused(self, option: RentalOption, now: float) -> bool:
        """Check whether the cloud refused an option so recently that it is not requested."""
        refusal = self._refusals.get(option)
        return refusal is not None and refusal.until > now
