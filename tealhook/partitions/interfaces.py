"""What a partition needs of the controller around it."""

from __future__ import annotations

from typing import Protocol

from tealhook.wire import mesh


class PartitionObserver(Protocol):
    """Hears what the machines' heartbeats show."""

    def publish_status(self, team: str, update: mesh.StatusUpdate) -> None:
        """Send a status update to the scheduler of a team."""
        ...

    def on_unknown_job(self, job: str) -> None:
        """A machine has a task of a job that is neither in the job index nor was launched here."""
        ...

    def on_unowned_zone(self, zone: str) -> None:
        """A heartbeat names a zone whose partition this node does not own; it may be a new one."""
        ...


class HeartbeatResponder(Protocol):
    """Holds the machines' heartbeats that are not answered yet."""

    def answer_now(self, machine: str) -> bool:
        """Answer a machine's open heartbeat with the commands that there are; whether one was open."""
        ...

    def must_not_launch(self) -> bool:
        """Whether this node may own nothing any more, or knows too little of cancellations to start anything."""
        ...


class ConnectionLoad(Protocol):
    """The server that workers and users share."""

    @property
    def crowded(self) -> bool:
        """Whether connections are scarce."""
        ...


class UnlimitedConnections:
    """The load of a controller without a server of its own: connections are never scarce."""

    crowded = False
