"""Placement: run-time estimates, the feedback factor and min-min. Pure functions and small values, no I/O."""

from tealhook.placement.feedback import Feedback, PlacementEstimate
from tealhook.placement.minmin import NEVER_S, Choice, Group, PartitionView, plan_cycle

__all__ = ["NEVER_S", "Choice", "Feedback", "Group", "PartitionView", "PlacementEstimate", "plan_cycle"]
