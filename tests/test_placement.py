"""Estimates, feedback and min-min scheduling cycles."""

import random

import pytest

from tealhook.loop import TokenBucket
from tealhook.placement import Feedback, PartitionView, PlacementEstimate, TaskGroup, plan_cycle
from tealhook.placement.minmin import estimate_finish_s


def view(cached=0, uncached=0, next_s=1e9, rate=1.0, factor=0.0):
    return PartitionView(cached, uncached, next_s, rate, factor)


def group(job, count, partitions, run_s=10.0, rank=(0,), image_gb=2.0, **more):
    return TaskGroup(job, count, rank, image_gb, run_s, (1.0, 0.0, 1.0), partitions, **more)


def test_feedback_follows_published_equation():
    factor = Feedback(0.0)
    placed = PlacementEstimate(free_at=100.0, fetch_s=2.0, run_s=8.0)
    factor.record_finish(placed, 115.0, 0.8)  # actual 15 against 10
    assert factor.factor == pytest.approx(0.8 * (15 - 10) / 10)
    factor.record_finish(placed, 200.0, 0.8)
    assert factor.factor == 1.0  # capped
    factor.decay(205.0, 10.0)
    assert factor.factor == pytest.approx(0.5)
    factor.decay(300.0, 10.0)
    assert factor.factor == 0.0
    assert PlacementEstimate(0.0, 0.0, 0.1).duration_s == 1.0  # floored at one second


def test_finish_counts_free_time_fetch_run_and_factor():
    g = group("a", 1, {})
    assert estimate_finish_s(view(factor=0.5), g, 3.0, 2.0) == pytest.approx(3.0 + 1.5 * 12.0)


def test_partition_with_cached_image_wins_until_full():
    g = group("a", 5, {"x": view(cached=2), "y": view(uncached=9)})
    assert [(c.zone, c.count) for c in plan_cycle([g])] == [("x", 2), ("y", 3)]


def test_only_one_task_waits_for_next_capacity_of_a_partition():
    """Guards against unused capacity while every group waits, with all its tasks, for the same slot."""
    groups = [group(job, 4, {"x": view(next_s=0.5, factor=-0.5), "y": view(uncached=20)}) for job in ("a", "b", "c")]
    choices = plan_cycle(groups)
    assert sum(c.count for c in choices if c.zone == "y") == 11
    assert [(c.zone, c.count) for c in choices if c.awaits_capacity] == [("x", 1)]


def test_partition_with_high_feedback_factor_is_avoided():
    g = group("a", 1, {"x": view(cached=1, factor=0.9), "y": view(uncached=1)})
    assert plan_cycle([g])[0].zone == "y"


def test_rank_precedes_min_min_order():
    capacity = {"x": view(uncached=4)}
    late = group("late", 4, dict(capacity), run_s=1.0, rank=(1,))
    long = group("long", 2, {"x": view(uncached=4)}, run_s=50.0, rank=(0,))
    short = group("short", 1, {"x": view(uncached=4)}, run_s=5.0, rank=(0,))
    choices = plan_cycle([late, long, short])
    assert [(c.group.job, c.count, c.awaits_capacity) for c in choices] == [
        ("short", 1, False),
        ("long", 2, False),
        ("late", 1, False),
    ]


def test_capacity_is_never_assigned_twice_and_limits_hold():
    for seed in range(200):
        rng = random.Random(seed)
        capacity = {zone: rng.randint(0, 6) for zone in "xyz"}
        groups = [
            group(
                f"j{i}",
                rng.randint(1, 8),
                {z: view(uncached=n, next_s=3.0) for z, n in capacity.items()},
                run_s=rng.uniform(1, 60),
                rank=(rng.randint(0, 1),),
                zone_limits={"x": rng.randint(0, 2)} if rng.random() < 0.5 else {},
            )
            for i in range(4)
        ]
        allowed = {g.job: dict(g.zone_limits) for g in groups}
        given = dict.fromkeys(capacity, 0)
        for choice in plan_cycle(groups):
            if not choice.awaits_capacity:
                given[choice.zone] += choice.count
                if choice.zone in allowed[choice.group.job]:
                    allowed[choice.group.job][choice.zone] -= choice.count
                    assert allowed[choice.group.job][choice.zone] >= 0
        assert all(given[zone] <= capacity[zone] for zone in capacity)


def test_tokens_never_exceed_rate_and_burst():
    rng = random.Random(1)
    bucket, now, taken = TokenBucket(10.0, 10.0, 0.0), 0.0, 0
    while now < 20.0:
        now += rng.uniform(0.0, 0.1)
        taken += bucket.take(1, now)
        assert taken <= 10.0 + 10.0 * now + 1e-6
    assert taken > 190
    assert bucket.wait(5, now) > 0 and not bucket.take(5, now, keep=6)


@pytest.mark.parametrize("kind", ["starving", "can_preempt"])
def test_free_capacity_is_used_before_reservation(kind):
    """Guards against a last task that waits for capacity about to be free in one partition beside free capacity."""
    soon, later = view(next_s=0.5), view(uncached=3, factor=0.9)
    [choice] = plan_cycle([group("a", 1, {"x": soon, "y": later}, **{kind: True})])
    assert (choice.zone, choice.awaits_capacity) == ("y", False)
    assert [
        (c.zone, c.awaits_capacity) for c in plan_cycle([group("a", 1, {"x": view(next_s=0.5)}, **{kind: True})])
    ] == [("x", True)]


def test_other_jobs_wait_for_partition_with_earliest_finish():
    soon, later = view(next_s=0.5), view(uncached=3, factor=0.9)
    [choice] = plan_cycle([group("a", 1, {"x": soon, "y": later})])
    assert (choice.zone, choice.awaits_capacity) == ("x", True)
