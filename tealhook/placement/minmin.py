"""The round: cloud min-min over groups of equal tasks and partitions.

The paper's Algorithm 3 takes, again and again, the pair of mappable task and cloud with the earliest
estimated finish. Tasks of one job with equal needs are one group here, so a step assigns as many of them as
the part can start at that same estimate, and a round costs groups x partitions rather than tasks x partitions. Ranks
(urgency, guarantee) come before min-min's order; within a rank it is min-min.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from tealhook.placement.feedback import FLOOR_S

NEVER_S = 1e8  # from here on a part will not be free


@dataclass(slots=True)
class PartitionView:
    """A part's answer for one group, and what is left of it as the round goes on."""

    cached: int
    uncached: int
    next_free_s: float
    fetch_gb_per_s: float
    feedback_factor: float


@dataclass(slots=True)
class Group:
    """Mappable tasks of one job."""

    job: str
    count: int
    rank: tuple[float, ...]  # compared item by item; the lowest is served first
    image_gb: float
    run_s: float
    resources: tuple[float, float, float]
    partitions: dict[str, PartitionView]
    starving: bool = False
    can_preempt: bool = False
    zone_limits: dict[str, int] = field(default_factory=dict)  # zone -> most tasks that may still go there


@dataclass(slots=True)
class Choice:
    """`count` tasks of a group for one part; `hold`: room is held there instead, nothing can start."""

    group: Group
    zone: str
    count: int
    finish_s: float
    holds_capacity: bool = False


def finish(view: PartitionView, group: Group, free_s: float, fetch_s: float) -> float:
    """Earliest free time plus (1 + factor) x (fetch + run): the paper's equation 8."""
    return free_s + (1.0 + view.feedback_factor) * max(FLOOR_S, fetch_s + group.run_s)


def _best_now(group: Group, zone: str, view: PartitionView) -> tuple[float, int, bool] | None:
    """(finish, slots, cached) of the best free room of a part, if it has any."""
    most = group.zone_limits.get(zone, group.count)
    if most <= 0:
        return None
    if view.cached > 0:
        return finish(view, group, 0.0, 0.0), min(view.cached, most), True
    if view.uncached > 0:
        return finish(view, group, 0.0, group.image_gb / view.fetch_gb_per_s), min(view.uncached, most), False
    return None


def _best_pair(group: Group) -> Choice | None:
    best: Choice | None = None
    rooms = {zone: _best_now(group, zone, group.partitions[zone]) for zone in sorted(group.partitions)}
    # To hold room or to stop others for it makes sense only where none is free anywhere: a part's next free room
    # is an estimate, and a job's last task once waited minutes for room that was always about to be free.
    at_once = (group.starving or group.can_preempt) and any(rooms.values())
    for zone, now in rooms.items():
        view = group.partitions[zone]
        if now is not None:
            choice = Choice(group, zone, min(group.count, now[1]), now[0])
        elif not at_once and view.next_free_s < NEVER_S and group.zone_limits.get(zone, group.count) > 0:
            fetch = group.image_gb / view.fetch_gb_per_s if not view.cached else 0.0
            choice = Choice(group, zone, group.count, finish(view, group, view.next_free_s, fetch), holds_capacity=True)
        else:
            continue
        if best is None or choice.finish_s < best.finish_s:
            best = choice
    return best


def _take(group: Group, choice: Choice, groups: list[Group]) -> None:
    """Count a choice against what every group believes of that part."""
    zone, count = choice.zone, choice.count
    view = group.partitions[zone]
    was_cached = view.cached > 0
    for other in groups:
        seen = other.partitions.get(zone)
        if seen is None:
            continue
        if other is group:
            used = count
        else:  # the same room, in units of the other group's tasks
            share = max(
                (mine / theirs for mine, theirs in zip(group.resources, other.resources, strict=True) if theirs > 0),
                default=0.0,
            )
            used = int(count * share + 0.999)
        first, second = ("cached", "uncached") if (other is not group or was_cached) else ("uncached", "cached")
        from_first = min(used, getattr(seen, first))
        setattr(seen, first, getattr(seen, first) - from_first)
        setattr(seen, second, max(0, getattr(seen, second) - (used - from_first)))
    if zone in group.zone_limits:
        group.zone_limits[zone] -= count
    group.count -= count


def plan_cycle(groups: list[Group], most: int = 64) -> list[Choice]:
    """Choices in the order in which they were made; at most `most` of them."""
    choices: list[Choice] = []
    for rank in sorted({group.rank for group in groups}):
        open_groups = [group for group in groups if group.rank == rank and group.count > 0]
        while open_groups and len(choices) < most:
            pairs = [pair for pair in map(_best_pair, open_groups) if pair is not None]
            if not pairs:
                break
            best = min(pairs, key=lambda pair: (pair.finish_s, pair.group.job, pair.zone))
            if best.holds_capacity:
                # Nothing of this group can start where it would finish first: one task waits for the part's next free
                # room, which is taken from then on. This guards against every group waiting for that same room
                # with all of its tasks, while other room is free.
                if best.group.starving or best.group.can_preempt:
                    open_groups.remove(best.group)
                else:
                    best.count = 1
                    best.group.count -= 1
                    if best.group.count <= 0:
                        open_groups.remove(best.group)
                choices.append(best)
                for group in groups:
                    if best.zone in group.partitions:
                        group.partitions[best.zone].next_free_s = NEVER_S
                continue
            choices.append(best)
            _take(best.group, best, groups)
            if best.group.count <= 0:
                open_groups.remove(best.group)
    return choices
