"""Selection of the jobs whose tasks a scheduling cycle may place, with their order and limits."""

from __future__ import annotations

import math
from typing import NamedTuple

from tealhook.context import NodeContext
from tealhook.jobs.index import JobIndex
from tealhook.jobs.job import Job, WriteState
from tealhook.jobs.team import TeamState
from tealhook.scheduling.team_limits import (
    CPU_INDEX,
    GPU_INDEX,
    NOTHING_RESERVED,
    compute_remaining_limit,
    count_tasks_within_limit,
    reserved_for_overdue,
)
from tealhook.scheduling.zone_limits import compute_zone_limits
from tealhook.wire.common import RESOURCE_TOLERANCE
from tealhook.wire.mesh import MachineRestrictions
from tealhook.wire.users import PRIORITY_RANK, STANDARD_RANK, JobSpec

MAX_CANDIDATES_PER_CYCLE = 48
# Jobs whose remaining work falls into the same step rank equally, so that min-min chooses among them.
SIZE_STEPS_PER_DOUBLING = 1.5
MAX_RESERVED_LIMIT_SHARE = 0.25  # share of a team's limit reserved for overdue jobs, unless a single task needs more
MAX_BORROWER_RUN_SHARE = 0.5  # longest estimated run of a borrowing task, as a share of the starving age
TRUSTED_ESTIMATE_SHARE = 0.75  # share of an estimated run time that is counted, since users often overestimate it


class CandidateFlags(NamedTuple):
    """Properties of a job that decide its rank and the capacity that it may take."""

    within_guarantee: bool
    starving: bool  # it has waited for long
    overdue: bool  # it has waited for long and not begun, or is its team's oldest job and should have begun by now
    late: bool  # it can no longer finish in time
    borrows: bool = False  # it takes one task's requirements from the limit reserved for overdue jobs


class Rank(NamedTuple):
    """Sort key of a candidate: fields are compared in order, and the lowest rank is placed first."""

    not_overdue: bool
    negated_priority: int
    beyond_guarantee: bool
    late: bool
    not_starving: bool
    size_step: int


class CycleTimes(NamedTuple):
    """Start time of a cycle, and the ages above which jobs are treated differently."""

    now: float
    starving_age_s: float  # a job that has waited for longer is starving
    begin_within_s: float  # a team's oldest job is overdue above this age


class Candidate:
    """Tasks of one job that may be placed in the current cycle."""

    __slots__ = (
        "team",
        "job",
        "spec",
        "count",
        "within_guarantee",
        "starving",
        "overdue",
        "borrows",
        "requirements",
        "restrictions",
        "rank",
    )

    def __init__(self, team: TeamState, job: Job, spec: JobSpec, count: int, flags: CandidateFlags) -> None:
        """Initialize with up to `count` tasks of a job that has not ended; `spec` is kept in case it ends."""
        self.team = team
        self.job = job
        self.spec = spec
        # Min-min alone favors short and small tasks, and ranks favor high priorities. To prevent starvation, a job
        # that has waited for long and not begun goes first, with a single task (a gang with all of its tasks). So does
        # a team's oldest job once it is older than the time within which every job should begin.
        self.count = 1 if flags.overdue and not job.is_gang else count
        self.within_guarantee = flags.within_guarantee
        self.starving = flags.starving or flags.overdue
        self.overdue = flags.overdue
        self.borrows = flags.borrows
        self.requirements = job.build_requirements()
        self.restrictions = MachineRestrictions(self.starving, tuple(job.avoided_machines))
        self.rank = Rank(
            not_overdue=not flags.overdue,
            negated_priority=-self.requirements.priority,
            beyond_guarantee=not flags.within_guarantee,
            late=flags.late,
            not_starving=not self.starving,
            size_step=self._compute_size_step(),
        )

    def _compute_size_step(self) -> int:
        """Return the remaining work of the whole job on a logarithmic scale.

        Users count the jobs that finish in time, not their tasks. Therefore the remaining work of the whole job takes
        precedence over min-min's order of single tasks, in steps wide enough that min-min still chooses among jobs of
        similar size.
        """
        vcpus, gpus, _memory_gb = self.job.resources
        work = self.job.count_waiting() * max(vcpus, gpus) * max(1.0, self.requirements.run_s)
        return int(SIZE_STEPS_PER_DOUBLING * math.log2(1.0 + work))


class CandidateSelector:
    """Selects the candidates of a cycle from the jobs of the teams that this node owns."""

    def __init__(self, context: NodeContext, teams: dict[str, TeamState], job_index: JobIndex) -> None:
        """Initialize for the jobs in `teams`; objectives and policy are those of `context`."""
        self._job_index = job_index
        self._policy = context.policy
        self._teams = teams
        self._done_within = context.settings.completion_objectives()
        self._lease_s = context.workers.lease_s
        objectives = context.settings.params.objectives
        self._guarantee_s = min(
            (item.within_s for item in objectives if item.kind == "guarantee" and item.within_s),
            default=self._lease_s / 2,
        )
        self._wait_s: dict[str, float] = {}  # job class -> time within which its tasks should start
        for objective in objectives:
            if objective.kind == "wait" and objective.class_ and objective.within_s:
                current_s = self._wait_s.get(objective.class_, objective.within_s)
                self._wait_s[objective.class_] = min(current_s, objective.within_s)

    def select(self, now: float) -> list[Candidate]:
        """Return the first `MAX_CANDIDATES_PER_CYCLE` candidates, by rank and then by age."""
        variables = self._policy.variables()
        times = CycleTimes(now, self._policy.value("hold_age_s", variables), variables["begin_s"])
        candidates: list[Candidate] = []
        for team in self._teams.values():
            if team.is_ready:
                candidates.extend(self._select_team(team, times))
        candidates.sort(key=lambda candidate: (candidate.rank, candidate.job.mod_revision))
        return candidates[:MAX_CANDIDATES_PER_CYCLE]

    def _select_team(self, team: TeamState, times: CycleTimes) -> list[Candidate]:
        now = times.now
        remaining = compute_remaining_limit(team)
        jobs = sorted(team.jobs.values(), key=lambda job: job.mod_revision)
        self._reserve_for_overdue(team, jobs, now, times.starving_age_s)
        reserved = reserved_for_overdue(team)
        guarantee_left = team.cpu_guarantee
        is_oldest_sought = True  # the oldest job that should have begun is not found yet
        candidates: list[Candidate] = []
        for job in jobs:
            spec = job.spec
            if spec is None or job.is_finished or job.is_blocked:
                continue
            # Each unfinished job counts against the guarantee with all of its tasks. If only its remaining tasks
            # counted, nearly every job could preempt tasks of others once most of it is done.
            total_vcpus = spec.vcpus * job.task_count
            within_guarantee = team.cpu_guarantee > 0 and total_vcpus <= guarantee_left + RESOURCE_TOLERANCE
            guarantee_left -= total_vcpus
            if job.count_waiting() <= 0 or not self._may_be_placed(job, now):
                continue
            overdue = self._is_overdue(job, now, times.starving_age_s)
            allowed = count_tasks_within_limit(job, remaining, NOTHING_RESERVED if overdue else reserved)
            borrows = allowed <= 0 and self._may_borrow(job, spec, now, times.starving_age_s)
            if borrows:
                allowed = min(1, count_tasks_within_limit(job, remaining, NOTHING_RESERVED))
            count = self._count_placeable(job, min(job.count_waiting(), allowed))
            if count <= 0:
                continue
            starving = now - job.waiting_since > times.starving_age_s
            if is_oldest_sought and not job.is_failing and now - job.schedulable_since > times.begin_within_s:
                overdue, is_oldest_sought = True, False
            flags = CandidateFlags(within_guarantee, starving, overdue, self._is_late(job, spec, now), borrows)
            candidates.append(Candidate(team, job, spec, count, flags))
        return candidates

    @staticmethod
    def _may_be_placed(job: Job, now: float) -> bool:
        return job.is_loaded and job.write_state is not WriteState.UNCERTAIN and job.placement_not_before <= now

    @staticmethod
    def _count_placeable(job: Job, count: int) -> int:
        """Return the number of tasks, out of `count`, that may be placed at once."""
        if job.is_gang:
            # The paper treats a gang as one task: all of it is placed together, and only after every earlier attempt
            # has left its machine.
            return 0 if job.attempts or job.staged or count < job.count_waiting() else count
        if job.is_failing:
            return min(count, max(0, 1 - len(job.attempts)))
        return count

    @staticmethod
    def _is_overdue(job: Job, now: float, starving_age_s: float) -> bool:
        """Check whether a job has waited for long and not begun. A failing job counts as begun."""
        if job.is_failing:
            return False
        return now - job.schedulable_since > starving_age_s and not (job.done_count or job.attempts or job.staged)

    @staticmethod
    def _may_borrow(job: Job, spec: JobSpec, now: float, starving_age_s: float) -> bool:
        """Check whether a job, begun or not, may borrow one task's requirements reserved for overdue jobs.

        An overdue job may find no capacity for minutes. Its reservation stays unused meanwhile, and other tasks of its
        team use up the rest of the limit, so that a low-ranked job that has begun gets nothing although small machines
        have capacity for it. Therefore a job that has had no task assigned for long may borrow, if its tasks are short:
        lending to long tasks delayed the overdue job by another minute.
        """
        stalled = now - max(job.schedulable_since, job.last_assigned_at) > starving_age_s and not job.staged
        return stalled and spec.estimated_run_s <= MAX_BORROWER_RUN_SHARE * starving_age_s

    def _reserve_for_overdue(self, team: TeamState, jobs: list[Job], now: float, starving_age_s: float) -> None:
        """Reserve part of the team's limit for overdue jobs, one task's requirements for each.

        A team at its limit gets capacity back in small amounts as tasks end. Without a reservation, small tasks took
        each of them again, and a job of larger tasks never began although machines had capacity for it.
        """
        reserved = [0.0, 0.0]
        max_reserved = (team.cpu_limit * MAX_RESERVED_LIMIT_SHARE, team.gpu_limit * MAX_RESERVED_LIMIT_SHARE)
        for job in jobs:
            if job.spec is None or job.is_gang or job.is_blocked or job.placement_not_before > now:
                continue
            if not self._is_overdue(job, now, starving_age_s):
                continue
            for resource in (CPU_INDEX, GPU_INDEX):
                required = job.resources[resource]
                if not reserved[resource] or reserved[resource] + required <= max_reserved[resource]:
                    reserved[resource] += required
        team.reserved_for_overdue = reserved

    def _is_late(self, job: Job, spec: JobSpec, now: float) -> bool:
        """Check whether a job can no longer finish in time, so that jobs that still can go first.

        A deadline, its own or that of a job that depends on it, counts from the submission; an objective counts from
        the time at which the job became schedulable.
        """
        due_at = job.deadline_at
        if math.isinf(due_at):
            due_at = job.schedulable_since + max(self._done_within.get(spec.job_class, ()), default=math.inf)
        return now + TRUSTED_ESTIMATE_SHARE * spec.estimated_run_s > due_at

    @staticmethod
    def zone_limits(job: Job, spec: JobSpec, zones: list[str]) -> dict[str, int]:
        """Return the maximum number of further tasks of a job for each zone; see `compute_zone_limits`."""
        return compute_zone_limits(job, spec, zones)

    def may_preempt(self, candidate: Candidate, now: float) -> bool:
        """Check whether a job may have tasks of others preempted.

        Capacity becomes free all the time and goes to the highest-ranked jobs, whereas preempting a task discards its
        work. Therefore a job within its team's guarantee waits for half of the time that the guarantee objective
        allows. A job above standard priority waits for a quarter of its wait objective, because its launch and image
        fetch still follow. Without a wait objective, a job submitted with such a priority does not wait, and one that
        has it on behalf of dependent jobs waits for a quarter of a lease.
        """
        if candidate.job.is_failing:
            return False
        waited_s = now - candidate.job.waiting_since
        spec = candidate.spec
        if candidate.requirements.priority > STANDARD_RANK:
            is_own_priority = PRIORITY_RANK[spec.priority] == candidate.requirements.priority
            return waited_s >= self._wait_s.get(spec.job_class, 0.0 if is_own_priority else self._lease_s) / 4
        return candidate.within_guarantee and waited_s > self._guarantee_s / 2

    def may_preempt_checkpointing(self, candidate: Candidate) -> bool:
        """Check whether a job may have checkpointing tasks of lower priority preempted at once.

        Little work is lost by that. Without it, when a team without a guarantee ran tasks of several minutes on all
        free capacity, each task of other teams waited for half of the time that the guarantee objective allows.
        """
        return (
            not candidate.job.is_failing
            and candidate.requirements.priority > self._job_index.lowest_checkpointing_priority
        )
