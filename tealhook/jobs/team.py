"""The state of a team in its scheduler, from the time at which a node claims ownership of the team."""

from __future__ import annotations

from tealhook.jobs.job import Job
from tealhook.placement import Feedback


class TeamState:
    """A team's jobs and limits during one ownership of the team."""

    def __init__(self, team: str, token: int) -> None:
        """Initialize the state without jobs; `token` is the fencing token of the ownership."""
        self.name = team
        self.token = token
        self.is_ready = False  # true once all assignment records have been read
        self.jobs: dict[str, Job] = {}
        self.estimate_feedback: dict[str, Feedback] = {}  # zone -> feedback on the team's run time estimates
        # Machine -> (partition token, sequence number) of the newest status update from the owner of its partition.
        self.latest_updates: dict[str, tuple[int, int]] = {}
        self.machines_with_orphans: dict[str, str] = {}  # machine that runs attempts no longer on record -> its zone
        self.cpu_guarantee = 0.0
        self.cpu_limit = 0.0  # 0 stands for no limit
        self.gpu_limit = 0.0
        self.reserved_for_overdue = [0.0, 0.0]  # CPUs and GPUs within the limits that only overdue jobs may take

    def allocated(self, resource: int = 0) -> float:
        """Return the CPUs (`resource` 0) or GPUs (1) of all staged and assigned tasks.

        An assigned task counts until it is proved absent from its machine.
        """
        return sum(job.resources[resource] * (len(job.attempts) + len(job.staged)) for job in self.jobs.values())
