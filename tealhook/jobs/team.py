"""What the owner of a team knows of it, from its claim on."""

from __future__ import annotations

from tealhook.jobs.job import Job
from tealhook.placement import Feedback


class TeamState:
    """One team's jobs under one ownership of its home."""

    def __init__(self, team: str, token: int) -> None:
        """`token` is the fencing token of the ownership."""
        self.name = team
        self.token = token
        self.ready = False
        self.jobs: dict[str, Job] = {}
        self.factors: dict[str, Feedback] = {}
        self.latest_updates: dict[str, tuple[int, int]] = {}  # machine -> newest (token, seq) of its part's owner
        self.machines_with_orphans: dict[str, str] = {}  # machines that run attempts no longer on record -> zone
        self.guarantee = 0.0
        self.limit = 0.0
        self.gpus_limit = 0.0
        self.reserved_for_overdue = [0.0, 0.0]  # CPUs and cards of the limit that only overdue jobs may take

    def allocated(self, which: int = 0) -> float:
        """CPUs (0) or cards (1) of every task that is not proved off its machine."""
        return sum(job.resources[which] * (len(job.attempts) + len(job.staged)) for job in self.jobs.values())
