"""Placement: finish estimates, feedback factors, min-min scheduling cycles, and token buckets."""

import random

import pytest

from tealhook.loop import TokenBucket
from tealhook.placement import Feedback, PartitionView, PlacementEstimate, TaskGroup, plan_cycle
from tealhook.placement.minmin import estimate_finish_s


def make_view(cached=0, uncached=0, next_free_s=1e9, rate=1.0, factor=0.0):
    return PartitionView(cached, uncached, next_free_s, rate, factor)


def make_group(job, count, partitions, run_s=10.0, rank=(0,), image_gb=2.0, **more):
    return TaskGroup(job, count, rank, image_gb, run_s, (1.0, 0.0, 1.0), partitions, **more)


def test_feedback_follows_published_equation():
    feedback = Feedback(0.0)
    estimate = PlacementEstimate(free_at=100.0, fetch_s=2.0, run_s=8.0)
    feedback.record_finish(estimate, 115.0, 0.8)  # actually 15 s, estimated 10 s
    assert feedback.factor == pytest.approx(0.8 * (15 - 10) / 10)
    feedback.record_finish(estimate, 200.0, 0.8)
    assert feedback.factor == 1.0  # capped
    feedback.decay(205.0, 10.0)
    assert feedback.factor == pytest.approx(0.5)
    feedback.decay(300.0, 10.0)
    assert feedback.factor == 0.0
    assert PlacementEstimate(0.0, 0.0, 0.1).duration_s == 1.0  # floored at one second


def test_finish_counts_free_time_fetch_run_and_factor():
    group = make_group("a", 1, {})
    assert estimate_finish_s(make_view(factor=0.5), group, 3.0, 2.0) == pytest.approx(3.0 + 1.5 * 12.0)


def test_partition_with_cached_image_wins_until_full():
    group = make_group("a", 5, {"x": make_view(cached=2), "y": make_view(uncached=9)})
    assert [(choice.zone, choice.count) for choice in plan_cycle([group])] == [("x", 2), ("y", 3)]


def test_only_one_task_waits_for_next_capacity_of_a_partition():
    """Guards against unused capacity while every group awaits the same next capacity with all of its tasks."""
    groups = [
        make_group(job, 4, {"x": make_view(next_free_s=0.5, factor=-0.5), "y": make_view(uncached=20)})
        for job in ("a", "b", "c")
    ]
    choices = plan_cycle(groups)
    assert sum(choice.count for choice in choices if choice.zone == "y") == 11
    assert [(choice.zone, choice.count) for choice in choices if choice.awaits_capacity] == [("x", 1)]


def test_partition_with_high_feedback_factor_is_avoided():
    group = make_group("a", 1, {"x": make_view(cached=1, factor=0.9), "y": make_view(uncached=1)})
    assert plan_cycle([group])[0].zone == "y"


def test_rank_precedes_min_min_order():
    capacity = {"x": make_view(uncached=4)}
    late = make_group("late", 4, dict(capacity), run_s=1.0, rank=(1,))
    long = make_group("long", 2, {"x": make_view(uncached=4)}, run_s=50.0, rank=(0,))
    short = make_group("short", 1, {"x": make_view(uncached=4)}, run_s=5.0, rank=(0,))
    choices = plan_cycle([late, long, short])
    assert [(choice.group.job, choice.count, choice.awaits_capacity) for choice in choices] == [
        ("short", 1, False),
        ("long", 2, False),
        ("late", 1, False),
    ]


def test_capacity_is_never_assigned_twice_and_limits_hold():
    for seed in range(200):
        rng = random.Random(seed)
        capacity = {zone: rng.randint(0, 6) for zone in "xyz"}
        groups = [
            make_group(
                f"j{i}",
                rng.randint(1, 8),
                {z: make_view(uncached=n, next_free_s=3.0) for z, n in capacity.items()},
                run_s=rng.uniform(1, 60),
                rank=(rng.randint(0, 1),),
                zone_limits={"x": rng.randint(0, 2)} if rng.random() < 0.5 else {},
            )
            for i in range(4)
        ]
        allowed = {group.job: dict(group.zone_limits) for group in groups}
        assigned = dict.fromkeys(capacity, 0)
        for choice in plan_cycle(groups):
            if not choice.awaits_capacity:
                assigned[choice.zone] += choice.count
                if choice.zone in allowed[choice.group.job]:
                    allowed[choice.group.job][choice.zone] -= choice.count
                    assert allowed[choice.group.job][choice.zone] >= 0
        assert all(assigned[zone] <= capacity[zone] for zone in capacity)


def test_tokens_never_exceed_rate_and_burst():
    rng = random.Random(1)
    bucket, now, taken = TokenBucket(10.0, 10.0, 0.0), 0.0, 0
    while now < 20.0:
        now += rng.uniform(0.0, 0.1)
        taken += bucket.take(1, now)
        assert taken <= 10.0 + 10.0 * now + 1e-6
    assert taken > 190
    assert bucket.seconds_until_available(5, now) > 0 and not bucket.take(5, now, keep=6)


@pytest.mark.parametrize("flag", ["starving", "can_preempt"])
def test_free_capacity_is_used_before_reservation(flag):
    """Guards against a task that awaits the next capacity of one partition although another one has free capacity."""
    soon, later = make_view(next_free_s=0.5), make_view(uncached=3, factor=0.9)
    [choice] = plan_cycle([make_group("a", 1, {"x": soon, "y": later}, **{flag: True})])
    assert (choice.zone, choice.awaits_capacity) == ("y", False)
    assert [
        (choice.zone, choice.awaits_capacity)
        for choice in plan_cycle([make_group("a", 1, {"x": make_view(next_free_s=0.5)}, **{flag: True})])
    ] == [("x", True)]


def test_other_jobs_wait_for_partition_with_earliest_finish():
    soon, later = make_view(next_free_s=0.5), make_view(uncached=3, factor=0.9)
    [choice] = plan_cycle([make_group("a", 1, {"x": soon, "y": later})])
    assert (choice.zone, choice.awaits_capacity) == ("x", True)


def test_single_zone_group_goes_where_most_of_its_tasks_may_start():
    """Guards against the choice of a zone that the job's limits exclude, which left no zone at all."""
    partitions = {"x": make_view(uncached=2), "y": make_view(uncached=3), "z": make_view(uncached=9)}
    [choice] = plan_cycle([make_group("a", 2, partitions, zone_limits={"z": 0}, single_zone=True)])
    assert (choice.zone, choice.count) == ("y", 2)


def test_single_zone_group_stays_in_the_zone_of_its_first_choice():
    partitions = {"x": make_view(cached=1), "y": make_view(cached=1, uncached=2)}
    choices = plan_cycle([make_group("a", 9, partitions, single_zone=True)])
    assert [(choice.zone, choice.count) for choice in choices] == [("y", 1), ("y", 2)]


@pytest.mark.parametrize("flag", ["starving", "can_preempt"])
def test_single_zone_group_awaits_the_earliest_capacity(flag):
    """Guards against a full cluster in which the group awaits capacity in the last zone by name, or in none."""
    partitions = {"x": make_view(next_free_s=2.0), "y": make_view(next_free_s=9.0), "z": make_view()}
    [choice] = plan_cycle([make_group("a", 2, partitions, single_zone=True, **{flag: True})])
    assert (choice.zone, choice.awaits_capacity) == ("x", True)
