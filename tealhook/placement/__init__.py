"""Placement: run-time estimates, the feedback factor and min-min. Pure functions and small values, no I/O."""

from tealhook.placement.feedback import Feedback, PlacementEstimate
from tealhook.placement.minmin import NO_CAPACITY_S, PartitionView, PlacementChoice, TaskGroup, plan_cycle

__all__ = [
    "NO_CAPACITY_S",
    "Feedback",
    "PartitionView",
    "PlacementChoice",
    "PlacementEstimate",
    "TaskGroup",
    "plan_cycle",
]
