"""Team scheduling: placement, launch and reconciliation of the tasks of all jobs of a team, by the team's owner."""

from tealhook.scheduling.team_scheduler import TeamScheduler

__all__ = ["TeamScheduler"]
