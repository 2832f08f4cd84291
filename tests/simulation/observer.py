"""A stand-in for the controller that observes a partition."""

from __future__ import annotations

from tealhook.wire import mesh


class StatusUpdateRecorder:
    """A `PartitionObserver` that records status updates and ignores everything else."""

    def __init__(self, updates: list[mesh.StatusUpdate]) -> None:
        self.updates = updates

    def publish_status(self, _team: str, update: mesh.StatusUpdate) -> None:
        self.updates.append(update)

    def on_unknown_job(self, job_id: str) -> None:
        pass

    def on_unowned_zone(self, zone: str) -> None:
        pass
