"""The scheduling cycle's plan: cloud min-min over groups of equal tasks and partitions.

The paper's Algorithm 3 takes, again and again, the pair of mappable task and cloud with the earliest
estimated finish. Tasks of one job with equal requirements are one group here, so a step assigns as many of them as
the partition can start at that same estimate, and a cycle costs groups x partitions rather than tasks x partitions.
Ranks (priority, guarantee) come before min-min's order; within a rank it is min-min.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from tealhook.placement.feedback import MIN_ESTIMATE_S

NO_CAPACITY_S = 1e8  # a partition whose next capacity is this far off will have none
MAX_CHOICES = 64  # of one plan: what is planned later would rest on stale answers anyway
ROUND_UP = 0.999  # added before truncation: part of a task takes the capacity of a whole one


@dataclass(slots=True)
class PartitionView:
    """A partition's capacity for one group, and what is left of it as the plan goes on.

    `cached`, `uncached`: tasks that can start at once, on machines that have the image and on those that lack it.
    """

    cached: int
    uncached: int
    next_free_s: float
    fetch_gb_per_s: float
    feedback_factor: float


@dataclass(slots=True)
class TaskGroup:
    """Mappable tasks of one job."""

    job: str
    count: int
    rank: tuple[float, ...]  # compared item by item; the lowest is served first
    image_gb: float
    run_s: float
    resources: tuple[float, float, float]
    partitions: dict[str, PartitionView]  # by zone
    starving: bool = False
    can_preempt: bool = False
    zone_limits: dict[str, int] = field(default_factory=dict)  # zone -> most tasks that may still go there


@dataclass(slots=True)
class PlacementChoice:
    """`count` tasks of a group for one partition.

    `awaits_capacity`: nothing can start there yet; capacity is reserved for them as it becomes free.
    """

    group: TaskGroup
    zone: str
    count: int
    finish_s: float
    awaits_capacity: bool = False


def estimate_finish_s(view: PartitionView, group: TaskGroup, free_s: float, fetch_s: float) -> float:
    """Earliest free time plus (1 + factor) x (fetch + run): the paper's equation 8."""
    return free_s + (1.0 + view.feedback_factor) * max(MIN_ESTIMATE_S, fetch_s + group.run_s)


def _choose_free(group: TaskGroup, zone: str) -> PlacementChoice | None:
    """The tasks of a group that would finish earliest on what is free in a partition now, if anything is."""
    view = group.partitions[zone]
    allowed = group.zone_limits.get(zone, group.count)
    if allowed <= 0:
        return None
    if view.cached > 0:
        available, finish_s = view.cached, estimate_finish_s(view, group, 0.0, 0.0)
    elif view.uncached > 0:
        available = view.uncached
        finish_s = estimate_finish_s(view, group, 0.0, group.image_gb / view.fetch_gb_per_s)
    else:
        return None
    return PlacementChoice(group, zone, min(group.count, available, allowed), finish_s)


def _choose_next_free(group: TaskGroup, zone: str) -> PlacementChoice | None:
    """All tasks of a group, for the next capacity that a partition will have, if any is in sight."""
    view = group.partitions[zone]
    if view.next_free_s >= NO_CAPACITY_S or group.zone_limits.get(zone, group.count) <= 0:
        return None
    fetch_s = group.image_gb / view.fetch_gb_per_s if not view.cached else 0.0
    finish_s = estimate_finish_s(view, group, view.next_free_s, fetch_s)
    return PlacementChoice(group, zone, group.count, finish_s, awaits_capacity=True)


def _choose_partition(group: TaskGroup) -> PlacementChoice | None:
    """The partition where tasks of a group would finish earliest; of equal ones, the first by zone."""
    best: PlacementChoice | None = None
    free = {zone: _choose_free(group, zone) for zone in sorted(group.partitions)}
    # To reserve capacity or to preempt for it makes sense only where none is free anywhere: when a partition's next
    # capacity is free is an estimate, and a job's last task once waited minutes for some that was always about to be.
    only_free = (group.starving or group.can_preempt) and any(free.values())
    for zone, choice in free.items():
        if choice is None and not only_free:
            choice = _choose_next_free(group, zone)
        if choice is not None and (best is None or choice.finish_s < best.finish_s):
            best = choice
    return best


def _consume(view: PartitionView, count: int, cached_first: bool) -> None:
    """Take the capacity of `count` tasks off a view."""
    if cached_first:
        taken = min(count, view.cached)
        view.cached -= taken
        view.uncached = max(0, view.uncached - (count - taken))
    else:
        taken = min(count, view.uncached)
        view.uncached -= taken
        view.cached = max(0, view.cached - (count - taken))


def _equivalent_count(chosen: TaskGroup, count: int, other: TaskGroup) -> int:
    """The capacity of `count` tasks of one group, in tasks of another."""
    ratio = max(
        (ours / theirs for ours, theirs in zip(chosen.resources, other.resources, strict=True) if theirs > 0),
        default=0.0,
    )
    return int(count * ratio + ROUND_UP)


def _apply(choice: PlacementChoice, groups: list[TaskGroup]) -> None:
    """Count a choice of free capacity against what every group believes of that partition."""
    group, zone, count = choice.group, choice.zone, choice.count
    was_cached = group.partitions[zone].cached > 0
    for other in groups:
        view = other.partitions.get(zone)
        if view is None:
            continue
        if other is group:
            _consume(view, count, cached_first=was_cached)
        else:
            _consume(view, _equivalent_count(group, count, other), cached_first=True)
    if zone in group.zone_limits:
        group.zone_limits[zone] -= count
    group.count -= count


def _apply_awaited(choice: PlacementChoice, groups: list[TaskGroup]) -> bool:
    """Count a choice of capacity that is not free yet; returns whether its group has nothing more to place.

    Nothing of this group can start where it would finish first: one task waits for the partition's next capacity, which
    is taken from then on. This guards against every group waiting for that same capacity with all of its tasks, while
    other capacity is free.
    """
    group = choice.group
    if group.starving or group.can_preempt:
        exhausted = True
    else:
        choice.count = 1
        group.count -= 1
        exhausted = group.count <= 0
    for other in groups:
        if choice.zone in other.partitions:
            other.partitions[choice.zone].next_free_s = NO_CAPACITY_S
    return exhausted


def _earliest(choices: Iterable[PlacementChoice | None]) -> PlacementChoice | None:
    """The choice with the earliest estimated finish; equal ones go by job and zone, so that runs can be repeated."""
    return min(
        (choice for choice in choices if choice is not None),
        key=lambda choice: (choice.finish_s, choice.group.job, choice.zone),
        default=None,
    )


def plan_cycle(groups: list[TaskGroup], max_choices: int = MAX_CHOICES) -> list[PlacementChoice]:
    """Choices in the order in which they were made; at most `max_choices` of them."""
    choices: list[PlacementChoice] = []
    for rank in sorted({group.rank for group in groups}):
        open_groups = [group for group in groups if group.rank == rank and group.count > 0]
        while open_groups and len(choices) < max_choices:
            best = _earliest(map(_choose_partition, open_groups))
            if best is None:
                break
            choices.append(best)
            if best.awaits_capacity:
                exhausted = _apply_awaited(best, groups)
            else:
                _apply(best, groups)
                exhausted = best.group.count <= 0
            if exhausted:
                open_groups.remove(best.group)
    return choices
