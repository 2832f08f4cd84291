"""Releases: of drained machines, and to fence machines whose tasks must be known to be off."""

from __future__ import annotations

import logging

from tealhook.fleet.listing import MachineListing
from tealhook.fleet.machines import RentedMachine
from tealhook.wire import cloud as wire
from tealhook.wire import mesh as mesh_wire
from tealhook.wire.common import encode_json

log = logging.getLogger(__name__)

DEAD_BOOT = 4.0  # times the usual boot time: from then on it is released


class Releasing(MachineListing):
    """Releases what is to be fenced, and finds the machines that have to be."""

    def _reset(self) -> None:
        super()._reset()
        self._releasing: set[str] = set()

    def fence(self, machines: list[str]) -> None:
        """A team's owner needs to know that the tasks on these machines are off."""
        if self._token is None:
            return
        for name in machines:
            if name in self._released_at:
                self._on_released([name])
            else:
                self._fences.setdefault(name, self._effects.now())
        self._release(self._effects.now())

    def _release(self, now: float) -> None:
        """Release the machines to be fenced, as many as one request holds, if the cloud may be called now."""
        names = [name for name in self._fences if name not in self._releasing][: wire.MAX_RELEASED_AT_ONCE]
        # Requests to fence come one by one from all teams, hundreds when a zone is silent: the list must not starve.
        keep = 1.0 if self._is_listing or now - self._listed_at > self._list_lag_s * self._page_count else 0.0
        if (
            not names
            or self._ownership.is_lease_uncertain
            or self._cloud_silent_since is not None
            or now < self._no_release_before
        ):
            return
        if not self._bucket.take(1, now, keep):
            return
        self._releasing.update(names)

        def answer(status: int | None, _body: bytes) -> None:
            self._calls_in_flight -= 1
            self._releasing.difference_update(names)
            if status != 200:
                return
            log.info("released %s", ", ".join(names))
            for name in names:
                self._fences.pop(name, None)
                self._machines.pop(name, None)
                self._released_at[name] = self._effects.now()
            self._on_released(names)

        self._call("POST", "/rentals/release", encode_json({"boxes": names}), answer)

    def _watch_health(self, states: dict[str, mesh_wire.MachineState], zones: set[str], now: float) -> None:
        """Fence machines that are silent, taken back, or never came up."""
        fence_s = self._policy.value("fence_s")
        for machine in self._machines.values():
            state = states.get(machine.name)
            if state is not None or machine.zone not in zones:
                # An owner that is cut off, crashed or new tells of no machine: that says nothing of the machine.
                machine.reported_at = now
            if state is not None:
                if machine.status == wire.MachineStatus.STARTING:
                    self._on_provisioned(machine, now)
                lost = self._is_silent(machine, state, fence_s)
            else:
                lost = self._is_missing(machine, now)
            if lost:
                self._fences.setdefault(machine.name, now)

    def _is_silent(self, machine: RentedMachine, state: mesh_wire.MachineState, fence_s: float) -> bool:
        """Whether a machine that its partition's owner reports is to be released.

        Silent and no longer listed, or after a notice: very likely taken back; the release makes it certain. One with
        a notice that holds nothing any more is paid for in vain.
        """
        workers = self._settings.params.workers
        silence_s = fence_s + workers.lease_s
        if state.terminating:
            silence_s = 1.5 * workers.report_s
        elif machine.missing_since is not None:
            silence_s = 2 * workers.report_s
        return state.heartbeat_age_s > silence_s or (state.terminating and state.drained)

    def _is_missing(self, machine: RentedMachine, now: float) -> bool:
        """Whether a machine that no partition's owner reports is to be released."""
        lease_s = self._settings.params.workers.lease_s
        machine_type = self._machine_types.get(machine.machine_type)
        boot_s = machine_type.boot_s if machine_type else lease_s
        if (
            machine.status == wire.MachineStatus.STARTING
            and now - machine.requested_at > DEAD_BOOT * boot_s + self._list_lag_s
        ):
            log.info("%s never came up", machine.name)
            if machine_type is not None and machine.name not in self._fences:
                self._provisioning.record_failure(machine_type, machine.zone, now)
            return True
        if (
            machine.missing_since is not None
            and now - max(machine.missing_since, machine.reported_at) > self._list_lag_s
        ):
            # Taken while its partition changed owners, so that the new one never hears of it.
            return True
        if (
            machine.status == wire.MachineStatus.RUNNING
            and now - max(machine.up_at, machine.reported_at, self._owned_since) > 4 * lease_s
        ):
            log.info("%s runs, but its worker does not report", machine.name)
            return True
        return False
