"""Placement: estimates, feedback, min-min rounds. Pure functions and small values, no I/O."""

from tealhook.placement.feedback import Feedback, Placed
from tealhook.placement.minmin import NEVER_S, Choice, Group, PartView, plan_round

__all__ = ["NEVER_S", "Choice", "Feedback", "Group", "PartView", "Placed", "plan_round"]
