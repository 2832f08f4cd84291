"""Min-min scheduling of groups of equal tasks on partitions.

The paper's Algorithm 3 repeatedly takes the pair of a mappable task and a cloud with the earliest estimated finish.
Here the tasks of one job with equal requirements form a group. Each step places as many tasks of a group as the
partition can start with that same estimate, so a cycle costs groups x partitions rather than tasks x partitions.
Groups are served by rank (priority, guarantee); min-min decides among groups of the same rank.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from tealhook.placement.feedback import MIN_ESTIMATE_S

NO_CAPACITY_S = 1e8  # A partition whose next capacity is at least this many seconds away counts as having none.
MAX_CHOICES = 64  # Choices beyond this would be based on replies of the partitions that are stale by then.
ROUND_UP_OFFSET = 0.999  # Added before truncation: a fraction of a task takes the capacity of a whole task.


@dataclass(slots=True)
class PartitionView:
    """The capacity of a partition for one group, reduced as the cycle is planned.

    `cached` and `uncached` count the tasks that can start at once, on machines with and without the image.
    """

    cached: int
    uncached: int
    next_free_s: float
    fetch_gb_per_s: float
    feedback_factor: float


@dataclass(slots=True)
class TaskGroup:
    """Mappable tasks of one job with equal requirements."""

    job: str
    count: int
    rank: tuple[float, ...]  # compared item by item; the lowest rank is served first
    image_gb: float
    run_s: float
    resources: tuple[float, float, float]  # of one task: CPUs, GPUs, GB of memory
    partitions: dict[str, PartitionView]  # by zone
    starving: bool = False
    can_preempt: bool = False
    zone_limits: dict[str, int] = field(default_factory=dict)  # zone -> tasks that may still be placed there
    single_zone: bool = False  # all tasks go to one zone


@dataclass(slots=True)
class PlacementChoice:
    """The decision to place `count` tasks of a group on the partition of a zone.

    With `awaits_capacity`, the tasks can't start yet: capacity is reserved for them when it becomes free.
    """

    group: TaskGroup
    zone: str
    count: int
    finish_s: float
    awaits_capacity: bool = False


def estimate_finish_s(view: PartitionView, group: TaskGroup, free_s: float, fetch_s: float) -> float:
    """Return the seconds until a task would finish: free + (1 + factor) x (fetch + run), the paper's equation 8."""
    return free_s + (1.0 + view.feedback_factor) * max(MIN_ESTIMATE_S, fetch_s + group.run_s)


def _choose_free(group: TaskGroup, zone: str) -> PlacementChoice | None:
    """Return the choice of capacity that is free in a partition now, cached images first; None if there is none."""
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
    """Return the choice to await the next capacity of a partition, as far as the group's limits allow.

    It is None if no capacity is expected, or none of the group's tasks may be placed there.
    """
    view = group.partitions[zone]
    allowed = group.zone_limits.get(zone, group.count)
    if view.next_free_s >= NO_CAPACITY_S or allowed <= 0:
        return None
    fetch_s = group.image_gb / view.fetch_gb_per_s if not view.cached else 0.0
    finish_s = estimate_finish_s(view, group, view.next_free_s, fetch_s)
    return PlacementChoice(group, zone, min(group.count, allowed), finish_s, awaits_capacity=True)


def _choose_most_free(choices: Iterable[PlacementChoice | None]) -> PlacementChoice | None:
    """Return the choice in the partition that can start most tasks now, of those that the group may use.

    Equal ones are compared by their estimated finish, then by zone.
    """

    def sort_key(choice: PlacementChoice) -> tuple[int, float, str]:
        view = choice.group.partitions[choice.zone]
        return -(view.cached + view.uncached), choice.finish_s, choice.zone

    return min((choice for choice in choices if choice is not None), key=sort_key, default=None)


def _choose_partition(group: TaskGroup) -> PlacementChoice | None:
    """Return the choice of the partition where a group would finish earliest; ties go to the first zone by name.

    The tasks of a group in a single zone follow the first ones, so these go where most of them can start.
    """
    best: PlacementChoice | None = None
    free = {zone: _choose_free(group, zone) for zone in sorted(group.partitions)}
    if group.single_zone and any(free.values()):
        return _choose_most_free(free.values())
    # A starving or preempting group awaits capacity only if none is free in any partition: the time of a partition's
    # next capacity is an estimate, and a job's last task once waited for minutes for capacity that was always
    # expected to be free soon.
    only_free = (group.starving or group.can_preempt) and any(free.values())
    for zone, choice in free.items():
        if choice is None and not only_free:
            choice = _choose_next_free(group, zone)
        if choice is not None and (best is None or choice.finish_s < best.finish_s):
            best = choice
    return best


def _consume(view: PartitionView, count: int, cached_first: bool) -> None:
    """Subtract the capacity of `count` tasks from a view."""
    if cached_first:
        taken = min(count, view.cached)
        view.cached -= taken
        view.uncached = max(0, view.uncached - (count - taken))
    else:
        taken = min(count, view.uncached)
        view.uncached -= taken
        view.cached = max(0, view.cached - (count - taken))


def _equivalent_count(chosen: TaskGroup, count: int, other: TaskGroup) -> int:
    """Return the number of tasks of `other` that take the capacity of `count` tasks of `chosen`."""
    ratio = max(
        (needed / per_task for needed, per_task in zip(chosen.resources, other.resources, strict=True) if per_task > 0),
        default=0.0,
    )
    return int(count * ratio + ROUND_UP_OFFSET)


def _apply_free(choice: PlacementChoice, groups: list[TaskGroup]) -> None:
    """Subtract a choice of free capacity from the group and from every group's view of the partition."""
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
    """Apply a choice that awaits capacity, and return whether its group has nothing more to place.

    Only one task of the group awaits the partition's next capacity, and no other group may await it then. Otherwise
    every group would wait for that same capacity with all of its tasks, while other capacity is free. The exception is
    a starving or preempting group: it awaits with all of its tasks, and is planned no further.
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


def _bind_to_zone(group: TaskGroup, zone: str) -> None:
    """Allow no more tasks of a group in any zone but this one."""
    group.zone_limits.update((other, 0) for other in group.partitions if other != zone)


def _earliest(choices: Iterable[PlacementChoice | None]) -> PlacementChoice | None:
    """Return the choice with the earliest estimated finish.

    Ties are broken by job and zone, so that runs are reproducible.
    """
    return min(
        (choice for choice in choices if choice is not None),
        key=lambda choice: (choice.finish_s, choice.group.job, choice.zone),
        default=None,
    )


def plan_cycle(groups: list[TaskGroup], max_choices: int = MAX_CHOICES) -> list[PlacementChoice]:
    """Return the choices of a scheduling cycle in the order in which they are made, at most `max_choices`."""
    choices: list[PlacementChoice] = []
    for rank in sorted({group.rank for group in groups}):
        open_groups = [group for group in groups if group.rank == rank and group.count > 0]
        while open_groups and len(choices) < max_choices:
            best = _earliest(map(_choose_partition, open_groups))
            if best is None:
                break
            choices.append(best)
            if best.group.single_zone:
                _bind_to_zone(best.group, best.zone)
            if best.awaits_capacity:
                exhausted = _apply_awaited(best, groups)
            else:
                _apply_free(best, groups)
                exhausted = best.group.count <= 0
            if exhausted:
                open_groups.remove(best.group)
    return choices
