"""Scheduling: the owner of a team places, launches and reconciles the tasks of all of its jobs."""

from tealhook.scheduling.team_scheduler import TeamScheduler

__all__ = ["TeamScheduler"]
