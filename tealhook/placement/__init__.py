"""Placement of tasks on partitions: finish estimates, the feedback factor and min-min scheduling, without any I/O."""

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
