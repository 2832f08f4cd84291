"""Interfaces that a partition needs from the controller around it."""

from __future__ import annotations

from typing import Protocol

from tealhook.wire import mesh


class PartitionObserver(Protocol):
    """Receives what the heartbeats of machines show."""

    def publish_status(self, team: str, update: mesh.StatusUpdate) -> None:
        """Send a status update to the scheduler of a team."""
        ...

    def on_unknown_job(self, job: str) -> None:
        """Handle the job of a reported task that is not in the job index and was not launched here."""
        ...

    def on_unowned_zone(self, zone: str) -> None:
        """Handle a zone, possibly a new one, that a heartbeat names and whose partition this node does not own."""
        ...


class HeartbeatResponder(Protocol):
    """Holds heartbeats of machines open until they are answered."""

    def answer_now(self, machine: str) -> bool:
        """Answer a machine's open heartbeat with the pending commands, and return False if none is open."""
        ...

    def must_not_launch(self) -> bool:
        """Check whether launching is unsafe: ownership may be lost, or the view of cancellations is too old."""
        ...


class ConnectionLoad(Protocol):
    """Load of the server whose connections workers and users share."""

    @property
    def is_crowded(self) -> bool:
        """True while connections are scarce."""
        ...


class UnlimitedConnections:
    """Load of a controller without a server of its own, whose connections are never scarce."""

    is_crowded = False
