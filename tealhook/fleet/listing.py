"""The cloud's list of machines, fetched page by page."""

from __future__ import annotations

import logging

import msgspec

from tealhook.coordination import partition_key
from tealhook.fleet.cloud_calls import CloudCalls
from tealhook.fleet.machines import RentedMachine
from tealhook.loop.effects import LONG_AGO_S
from tealhook.wire import cloud as wire

log = logging.getLogger(__name__)

LIST_CALL_SHARE = 0.4  # largest share of the calls to the cloud that is used for lists


class MachineListing(CloudCalls):
    """Updates the machines from the cloud's list, which lags behind."""

    def _reset(self) -> None:
        super()._reset()
        self._is_listing = False
        self._listed_at = LONG_AGO_S
        self._page_count = 1  # of the latest list
        self._has_listed = False

    def addresses(self) -> dict[str, dict[str, str]]:
        """Return the addresses of the workers on running machines, by zone and machine."""
        addresses: dict[str, dict[str, str]] = {}
        if self._token is not None:
            for machine in self._machines.values():
                if machine.address and machine.status == wire.MachineStatus.RUNNING:
                    addresses.setdefault(machine.zone, {})[machine.name] = machine.address
        return addresses

    def _list_when_due(self, now: float) -> None:
        """Start to fetch the list if the latest one is old enough."""
        # Lists of many pages must leave most of the calls to rentals and releases.
        period_s = max(self._list_lag_s / 3, self._page_count / (LIST_CALL_SHARE * self._bucket.rate))
        if not self._is_listing and now - self._listed_at > period_s and self._bucket.take(1, now):
            self._listed_at = now
            self._list_page("", [])

    def _list_page(self, after: str, listed: list[wire.ListedMachine]) -> None:
        """Fetch the page after a machine; `listed` holds the machines of the pages before it."""
        self._is_listing = True

        def on_answer(status: int | None, body: bytes) -> None:
            self._calls_in_flight -= 1
            self._is_listing = False
            if status != 200:
                return
            try:
                page = wire.machine_list_decoder.decode(body)
            except msgspec.DecodeError as exc:
                log.error("cloud: malformed answer to the request for the machine list: %s", exc)
                return
            listed.extend(page.machines)
            if page.more and page.machines:
                self._list_next_page(page.machines[-1].name, listed)
            else:
                self._on_list(listed)

        self._call("GET", f"/rentals?after={after}&page={wire.MACHINE_LIST_PAGE_SIZE}", None, on_answer)

    def _list_next_page(self, after: str, listed: list[wire.ListedMachine]) -> None:
        """Fetch the next page once the rate limit allows it: a single refused page would cost the whole list."""
        now, token = self._effects.now(), self._token
        self._is_listing = True
        self._page_count = 1 + len(listed) // wire.MACHINE_LIST_PAGE_SIZE
        if self._bucket.take(1, now):
            self._list_page(after, listed)
        else:
            pause_s = max(0.01, self._bucket.seconds_until_available(1, now))
            self._effects.later(pause_s, lambda: self._list_next_page(after, listed) if self._token == token else None)

    def _on_list(self, listed: list[wire.ListedMachine]) -> None:
        """Update the machines from a complete list."""
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
                # A machine of a rental that was executed late, or of an earlier owner. It is used like any other.
                machine = RentedMachine(item.name, item.machine_type, item.zone, item.spot, now - item.age_s)
                self._machines[item.name] = machine
            machine.listed = True
            machine.address = item.address
            machine.missing_since = None
            if item.status == wire.MachineStatus.FAILED:
                # The machine has stopped by itself. Its release removes it from the list, and proves that it is off.
                self._pending_releases.setdefault(machine.name, now)
            elif item.status == wire.MachineStatus.RUNNING and machine.status == wire.MachineStatus.STARTING:
                self._on_provisioned(machine, now)
        for name, machine in self._machines.items():
            # The cloud has terminated the machine, or the list is an old one: the absence alone proves nothing.
            if machine.listed and name not in names and machine.missing_since is None:
                machine.missing_since = now
