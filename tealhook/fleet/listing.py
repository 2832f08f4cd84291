"""The list of machines, read from the cloud page by page."""

from __future__ import annotations

import logging

import msgspec

from tealhook.fleet.cloud_calls import CloudCalls
from tealhook.fleet.machines import RentedMachine
from tealhook.store import part_key
from tealhook.wire import cloud as wire

log = logging.getLogger("tealhook.fleet")

LIST_SHARE = 0.4  # of the calls at most: lists


class MachineListing(CloudCalls):
    """Keeps the machines as the cloud's (lagging) list shows them."""

    def _reset(self) -> None:
        super()._reset()
        self._listing = False
        self._listed_at = -1e9
        self._pages = 1  # of the last list
        self._list_ok = False

    def addresses(self) -> dict[str, dict[str, str]]:
        """Where the workers of machines that are up can be reached, by zone."""
        found: dict[str, dict[str, str]] = {}
        if self._token is not None:
            for machine in self._machines.values():
                if machine.addr and machine.status == "running":
                    found.setdefault(machine.yard, {})[machine.name] = machine.addr
        return found

    def _list_in_time(self, now: float) -> None:
        """Begin a list when the last one is old enough."""
        # Lists of many pages must leave most of the calls to rentals and returns.
        every_s = max(self._lag / 3, self._pages / (LIST_SHARE * self._bucket.rate))
        if not self._listing and now - self._listed_at > every_s and self._bucket.take(1, now):
            self._listed_at = now
            self._list("", [])

    def _list(self, after: str, found: list[wire.Listed]) -> None:
        """Ask for the page after a machine; `found`: what the pages before it held."""
        self._listing = True

        def answer(status: int | None, body: bytes) -> None:
            self._calling -= 1
            self._listing = False
            if status != 200:
                return
            try:
                part = wire.listing_decoder.decode(body)
            except msgspec.DecodeError as exc:
                log.error("cloud: bad list: %s", exc)
                return
            found.extend(part.boxes)
            if part.more and part.boxes:
                self._list_on(part.boxes[-1].name_id, found)
            else:
                self._take_list(found)

        self._call("GET", f"/rentals?after={after}&page={wire.LIST_PAGE}", None, answer)

    def _list_on(self, after: str, found: list[wire.Listed]) -> None:
        """The next page, once the cloud may be called: one refused page would cost the whole list."""
        now, token = self._fx.now(), self._token
        self._listing = True
        self._pages = 1 + len(found) // wire.LIST_PAGE
        if self._bucket.take(1, now):
            self._list(after, found)
        else:
            pause = max(0.01, self._bucket.wait(1, now))
            self._fx.later(pause, lambda: self._list_on(after, found) if self._token == token else None)

    def _take_list(self, listed: list[wire.Listed]) -> None:
        """Compare a whole list with the machines that are known."""
        now = self._fx.now()
        self._list_ok = True
        names = set()
        for item in listed:
            names.add(item.name_id)
            if item.name_id in self._dead:
                continue
            self._own.add(part_key(item.yard))
            machine = self._machines.get(item.name_id)
            if machine is None:
                # Not expected: a request executed late, or an earlier owner's. It is used like any other.
                machine = RentedMachine(item.name_id, item.rig, item.yard, item.loaners, now - item.age_s)
                self._machines[item.name_id] = machine
            machine.listed = True
            machine.addr = item.addr
            machine.absent_at = None
            if item.status == "failed":
                # It has stopped of its own accord; releasing it takes it off the list, and is the proof.
                self._fences.setdefault(machine.name, now)
            elif item.status == "running" and machine.status == "starting":
                self._note_up(machine, now)
        for name, machine in self._machines.items():
            # Taken back, or the list is an older one: alone this proves nothing.
            if machine.listed and name not in names and machine.absent_at is None:
                machine.absent_at = now
