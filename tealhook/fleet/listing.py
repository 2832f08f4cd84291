"""The list of machines, read from the cloud page by page."""

from __future__ import annotations

import logging

import msgspec

from tealhook.coordination import partition_key
from tealhook.fleet.cloud_calls import CloudCalls
from tealhook.fleet.machines import RentedMachine
from tealhook.loop.effects import LONG_AGO_S
from tealhook.wire import cloud as wire

log = logging.getLogger(__name__)

LIST_SHARE = 0.4  # of the calls at most: lists


class MachineListing(CloudCalls):
    """Keeps the machines as the cloud's (lagging) list shows them."""

    def _reset(self) -> None:
        super()._reset()
        self._is_listing = False
        self._listed_at = LONG_AGO_S
        self._page_count = 1  # of the last list
        self._has_listed = False

    def addresses(self) -> dict[str, dict[str, str]]:
        """Where the workers of machines that are up can be reached, by zone."""
        found: dict[str, dict[str, str]] = {}
        if self._token is not None:
            for machine in self._machines.values():
                if machine.address and machine.status == wire.MachineStatus.RUNNING:
                    found.setdefault(machine.zone, {})[machine.name] = machine.address
        return found

    def _list_when_due(self, now: float) -> None:
        """Begin a list when the last one is old enough."""
        # Lists of many pages must leave most of the calls to rentals and returns.
        every_s = max(self._list_lag_s / 3, self._page_count / (LIST_SHARE * self._bucket.rate))
        if not self._is_listing and now - self._listed_at > every_s and self._bucket.take(1, now):
            self._listed_at = now
            self._list_page("", [])

    def _list_page(self, after: str, found: list[wire.ListedMachine]) -> None:
        """Ask for the page after a machine; `found`: what the pages before it held."""
        self._is_listing = True

        def answer(status: int | None, body: bytes) -> None:
            self._calls_in_flight -= 1
            self._is_listing = False
            if status != 200:
                return
            try:
                page = wire.machine_list_decoder.decode(body)
            except msgspec.DecodeError as exc:
                log.error("cloud: bad list: %s", exc)
                return
            found.extend(page.machines)
            if page.more and page.machines:
                self._list_next_page(page.machines[-1].name, found)
            else:
                self._on_list(found)

        self._call("GET", f"/rentals?after={after}&page={wire.LIST_PAGE}", None, answer)

    def _list_next_page(self, after: str, found: list[wire.ListedMachine]) -> None:
        """The next page, once the cloud may be called: one refused page would cost the whole list."""
        now, token = self._effects.now(), self._token
        self._is_listing = True
        self._page_count = 1 + len(found) // wire.LIST_PAGE
        if self._bucket.take(1, now):
            self._list_page(after, found)
        else:
            pause = max(0.01, self._bucket.wait(1, now))
            self._effects.later(pause, lambda: self._list_next_page(after, found) if self._token == token else None)

    def _on_list(self, listed: list[wire.ListedMachine]) -> None:
        """Compare a whole list with the machines that are known."""
        now = self._effects.now()
        self._has_listed = True
        names = set()
        for item in listed:
            names.add(item.name)
            if item.name in self._released_at:
                continue
            self._ownership.add_key(partition_key(item.zone))
            machine = self._machines.get(item.name)
            if machine is None:
                # Not expected: a request executed late, or an earlier owner's. It is used like any other.
                machine = RentedMachine(item.name, item.machine_type, item.zone, item.spot, now - item.age_s)
                self._machines[item.name] = machine
            machine.listed = True
            machine.address = item.address
            machine.missing_since = None
            if item.status == wire.MachineStatus.FAILED:
                # It has stopped of its own accord; releasing it takes it off the list, and is the proof.
                self._fences.setdefault(machine.name, now)
            elif item.status == wire.MachineStatus.RUNNING and machine.status == wire.MachineStatus.STARTING:
                self._on_provisioned(machine, now)
        for name, machine in self._machines.items():
            # Taken back, or the list is an older one: alone this proves nothing.
            if machine.listed and name not in names and machine.missing_since is None:
                machine.missing_since = now
