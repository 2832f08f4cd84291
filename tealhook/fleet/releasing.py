"""Releases of drained machines, and of machines that are fenced: their tasks must be known to have ended."""

from __future__ import annotations

import logging

from tealhook.fleet.listing import MachineListing
from tealhook.fleet.machines import RentedMachine
from tealhook.wire import cloud as wire
from tealhook.wire import mesh as mesh_wire
from tealhook.wire.common import encode_json

log = logging.getLogger(__name__)

ABANDONED_BOOT_RATIO = 4.0  # A machine that is not up after this multiple of its boot time is released.


class Releasing(MachineListing):
    """Releases machines, and detects those that must be released."""

    def _reset(self) -> None:
        super()._reset()
        self._releasing: set[str] = set()  # machines in release requests that are not answered yet

    def fence(self, machines: list[str]) -> None:
        """Release machines, for a team's owner that must know that their tasks have ended."""
        if self._token is None:
            return
        for name in machines:
            if name in self._released_at:
                self._on_released([name])
            else:
                self._pending_releases.setdefault(name, self._effects.now())
        self._release(self._effects.now())

    def _release(self, now: float) -> None:
        """Release pending machines, as many as fit one request, if the cloud may be called now."""
        names = [name for name in self._pending_releases if name not in self._releasing][: wire.MAX_RELEASED_AT_ONCE]
        # All teams request releases one by one, hundreds of them when a zone is silent. A token is kept for the machine
        # list, so that they don't starve it.
        kept_tokens = 1.0 if self._is_listing or now - self._listed_at > self._list_lag_s * self._page_count else 0.0
        if (
            not names
            or self._ownership.is_lease_uncertain
            or self._cloud_silent_since is not None
            or now < self._no_release_before
        ):
            return
        if not self._bucket.take(1, now, kept_tokens):
            return
        self._releasing.update(names)

        def on_answer(status: int | None, _body: bytes) -> None:
            self._calls_in_flight -= 1
            self._releasing.difference_update(names)
            if status != 200:
                return
            log.info("fleet: released machines %s", ", ".join(names))
            for name in names:
                self._pending_releases.pop(name, None)
                self._machines.pop(name, None)
                self._released_at[name] = self._effects.now()
            self._on_released(names)

        self._call("POST", "/rentals/release", encode_json({"boxes": names}), on_answer)

    def _watch_health(self, states: dict[str, mesh_wire.MachineState], zones: set[str], now: float) -> None:
        """Request the release of machines that are silent, were terminated by the cloud, or did not start."""
        fence_s = self._policy.value("fence_s")
        for machine in self._machines.values():
            state = states.get(machine.name)
            if state is not None or machine.zone not in zones:
                # A partition's owner that is cut off, has crashed or is new reports no machines. That says nothing
                # about the machines, so only time during which the owner reports others counts.
                machine.reported_at = now
            if state is not None:
                if machine.status == wire.MachineStatus.STARTING:
                    self._on_provisioned(machine, now)
                must_release = self._must_release_reported(machine, state, fence_s)
            else:
                must_release = self._must_release_unreported(machine, now)
            if must_release:
                self._pending_releases.setdefault(machine.name, now)

    def _must_release_reported(self, machine: RentedMachine, state: mesh_wire.MachineState, fence_s: float) -> bool:
        """Check whether a machine that its partition's owner reports must be released.

        A silent machine that is no longer listed, or that has a termination notice, has very likely been terminated by
        the cloud, so it is released after a shorter silence to make that certain. A machine with a notice that is
        drained is released at once: it is of no more use, but still paid for.
        """
        workers = self._settings.params.workers
        silence_s = fence_s + workers.lease_s
        if state.terminating:
            silence_s = 1.5 * workers.report_s
        elif machine.missing_since is not None:
            silence_s = 2 * workers.report_s
        return state.heartbeat_age_s > silence_s or (state.terminating and state.drained)

    def _must_release_unreported(self, machine: RentedMachine, now: float) -> bool:
        """Check whether a machine that no partition's owner reports must be released."""
        lease_s = self._settings.params.workers.lease_s
        machine_type = self._machine_types.get(machine.machine_type)
        boot_s = machine_type.boot_s if machine_type else lease_s
        if (
            machine.status == wire.MachineStatus.STARTING
            and now - machine.requested_at > ABANDONED_BOOT_RATIO * boot_s + self._list_lag_s
        ):
            log.info("fleet: machine %s did not start, releasing it", machine.name)
            if machine_type is not None and machine.name not in self._pending_releases:
                self._provisioning.record_failure(machine_type, machine.zone, now)
            return True
        if (
            machine.missing_since is not None
            and now - max(machine.missing_since, machine.reported_at) > self._list_lag_s
        ):
            # The cloud terminated the machine while its partition changed owners: the new owner never hears of it.
            return True
        if (
            machine.status == wire.MachineStatus.RUNNING
            and now - max(machine.up_at, machine.reported_at, self._owned_since) > 4 * lease_s
        ):
            log.info("fleet: machine %s is running, but its worker does not report; releasing it", machine.name)
            return True
        return False
