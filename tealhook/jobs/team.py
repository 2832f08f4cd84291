"""What a team's scheduler knows of the team, from its claim of the ownership on."""

from __future__ import annotations

from tealhook.jobs.job import Job
from tealhook.placement import Feedback


class TeamState:
    """One team's jobs during one ownership of the team."""

    def __init__(self, team: str, token: int) -> None:
        """`token` is the fencing token of the ownership."""
        self.name = team
        self.token = token
        self.is_ready = False  # all assignment records have been read
        self.jobs: dict[str, Job] = {}
        self.estimate_feedback: dict[str, Feedback] = {}  # zone -> how actual finishes compare with estimates
        # machine -> (token, sequence) of the newest status update, from its partition's owner
        self.latest_updates: dict[str, tuple[int, int]] = {}
        self.machines_with_orphans: dict[str, str] = {}  # machines that run attempts no longer on record -> zone
        self.cpu_guarantee = 0.0
        self.cpu_limit = 0.0
        self.gpu_limit = 0.0
        self.reserved_for_overdue = [0.0, 0.0]  # CPUs and GPUs of the limit that only overdue jobs may take

    def allocated(self, resource: int = 0) -> float:
        """CPUs (0) or GPUs (1) of every task that is not proved off its machine."""
        return sum(job.resources[resource] * (len(job.attempts) + len(job.staged)) for job in self.jobs.values())
