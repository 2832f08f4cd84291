"""Which tasks may be placed in a scheduling cycle, in which order, and within which limits."""

from __future__ import annotations

import math
from typing import NamedTuple

from tealhook.context import NodeContext
from tealhook.jobs.index import JobIndex
from tealhook.jobs.job import Job, WriteState
from tealhook.jobs.team import TeamState
from tealhook.scheduling.team_limits import (
    CPUS,
    GPUS,
    NOTHING_RESERVED,
    ROUNDING_TOLERANCE,
    remaining_limit,
    reserved_for_overdue,
    tasks_within_limit,
)
from tealhook.wire.users import PRIORITY_RANK, STANDARD_RANK, JobSpec

MAX_CANDIDATES = 48  # jobs looked at in one cycle
SIZE_STEPS = 1.5  # steps in which the work left of jobs is compared, for each doubling of it
RESERVED_SHARE = 0.25  # of a team's limit at most is reserved for overdue jobs, or one task's requirements
BORROW_SHARE = 0.5  # of the age at which a job is overdue: tasks that take no longer may borrow of what is reserved
TRUSTED_ESTIMATE_SHARE = 0.75  # of a user's estimate of a run: it is often too high


class Standing(NamedTuple):
    """What decides a job's place among the candidates, and which capacity it may take."""

    within_guarantee: bool
    starving: bool  # it has waited for long
    overdue: bool  # it has waited for long and has not begun at all, or it is its team's oldest and late to begin
    late: bool  # it can't be done in time any more
    borrows: bool = False  # one task, of the limit that is reserved for overdue jobs


class Rank(NamedTuple):
    """A candidate's place in the cycle: compared field by field, the lowest is served first."""

    not_overdue: bool
    negated_priority: int
    beyond_guarantee: bool
    late: bool
    not_starving: bool
    size_step: int


class CycleAges(NamedTuple):
    """The time of a cycle, and the ages from which jobs are treated differently."""

    now: float
    starving_s: float  # a job that has waited for longer is starving
    begin_s: float  # a team's oldest job is overdue after this


class Candidate:
    """A job's tasks that may be placed in this cycle."""

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
        "rank",
    )

    def __init__(self, team: TeamState, job: Job, spec: JobSpec, count: int, standing: Standing) -> None:
        """Up to `count` tasks of a job that has not ended: `spec` outlasts its end."""
        self.team = team
        self.job = job
        self.spec = spec
        # Min-min alone serves the short and small first, and ranks by priority. So a job that has waited for
        # long and has not begun at all goes before everything else, with one task (a gang with all); likewise
        # a team's oldest job once it is older than every job should be before it begins.
        self.count = 1 if standing.overdue and not job.is_gang else count
        self.within_guarantee = standing.within_guarantee
        self.starving = standing.starving or standing.overdue
        self.overdue = standing.overdue
        self.borrows = standing.borrows
        self.requirements = job.build_requirements()
        self.rank = Rank(
            not_overdue=not standing.overdue,
            negated_priority=-self.requirements.priority,
            beyond_guarantee=not standing.within_guarantee,
            late=standing.late,
            not_starving=not self.starving,
            size_step=self._size_step(),
        )

    def _size_step(self) -> int:
        """The work left of the whole job, on a logarithmic scale.

        Users count jobs done in time, not tasks: so what is left of the whole job comes before min-min's order of
        single tasks, in steps wide enough that min-min still chooses among jobs of about one size.
        """
        vcpus, gpus, _memory_gb = self.job.resources
        work = self.job.count_waiting() * max(vcpus, gpus) * max(1.0, self.requirements.run_s)
        return int(SIZE_STEPS * math.log2(1.0 + work))


class CandidateSelector:
    """Chooses the candidates of a cycle from the jobs of the teams that this node owns."""

    def __init__(self, context: NodeContext, teams: dict[str, TeamState], job_index: JobIndex) -> None:
        """Objectives and policy are those of `context`; `job_index` knows the jobs of all teams."""
        self._job_index = job_index
        self._policy = context.policy
        self._teams = teams
        self._done_within = context.settings.done_within()
        self._lease_s = context.workers.lease_s
        objectives = context.settings.params.objectives
        self._guarantee_s = min(
            (o.within_s for o in objectives if o.kind == "guarantee" and o.within_s), default=self._lease_s / 2
        )
        self._wait_s: dict[str, float] = {}  # class -> within what time its tasks should start
        for objective in objectives:
            if objective.kind == "wait" and objective.class_ and objective.within_s:
                known = self._wait_s.get(objective.class_, objective.within_s)
                self._wait_s[objective.class_] = min(known, objective.within_s)

    def select(self, now: float) -> list[Candidate]:
        """The first `MAX_CANDIDATES`, by rank and then by age."""
        variables = self._policy.variables()
        ages = CycleAges(now, self._policy.value("hold_age_s", variables), variables["begin_s"])
        found: list[Candidate] = []
        for team in self._teams.values():
            if team.is_ready:
                found.extend(self._select_team(team, ages))
        found.sort(key=lambda candidate: (candidate.rank, candidate.job.mod_revision))
        return found[:MAX_CANDIDATES]

    def _select_team(self, team: TeamState, ages: CycleAges) -> list[Candidate]:
        now = ages.now
        remaining = remaining_limit(team)
        jobs = sorted(team.jobs.values(), key=lambda job: job.mod_revision)
        self._reserve_for_overdue(team, jobs, now, ages.starving_s)
        reserved = reserved_for_overdue(team)
        guarantee_left = team.cpu_guarantee
        is_oldest = True
        found: list[Candidate] = []
        for job in jobs:
            spec = job.spec
            if spec is None or job.is_finished or job.is_blocked:
                continue
            # The guarantee is for teams whose unfinished jobs fit into it whole. Counting only what is left of
            # them would let nearly every job preempt others' tasks once most of it is done.
            total_vcpus = spec.vcpus * job.task_count
            within_guarantee = team.cpu_guarantee > 0 and total_vcpus <= guarantee_left + ROUNDING_TOLERANCE
            guarantee_left -= total_vcpus
            if job.count_waiting() <= 0 or not self._may_be_placed(job, now):
                continue
            overdue = self._is_overdue(job, now, ages.starving_s)
            allowed = tasks_within_limit(job, remaining, NOTHING_RESERVED if overdue else reserved)
            borrows = allowed <= 0 and self._may_borrow(job, spec, now, ages.starving_s)
            if borrows:
                allowed = min(1, tasks_within_limit(job, remaining, NOTHING_RESERVED))
            count = self._placeable(job, min(job.count_waiting(), allowed))
            if count <= 0:
                continue
            starving = now - job.waiting_since > ages.starving_s
            if is_oldest and not job.is_failing and now - job.schedulable_since > ages.begin_s:
                overdue, is_oldest = True, False
            standing = Standing(within_guarantee, starving, overdue, self._is_late(job, spec, now), borrows)
            found.append(Candidate(team, job, spec, count, standing))
        return found

    @staticmethod
    def _may_be_placed(job: Job, now: float) -> bool:
        return job.is_loaded and job.write_state is not WriteState.UNCERTAIN and job.placement_not_before <= now

    @staticmethod
    def _placeable(job: Job, count: int) -> int:
        """How many of `count` tasks may be placed at once."""
        if job.is_gang:
            # A gang is one task of the paper's: all of it at once, after every earlier attempt is off its machine.
            return 0 if job.attempts or job.staged or count < job.count_waiting() else count
        if job.is_failing:
            return min(count, max(0, 1 - len(job.attempts)))
        return count

    @staticmethod
    def _is_overdue(job: Job, now: float, starving_age_s: float) -> bool:
        """Whether a job has waited for long and has not begun at all. One that fails wherever it is tried has begun."""
        if job.is_failing:
            return False
        return now - job.schedulable_since > starving_age_s and not (job.done_count or job.attempts or job.staged)

    @staticmethod
    def _may_borrow(job: Job, spec: JobSpec, now: float, starving_age_s: float) -> bool:
        """Whether a job, begun or not, may take one task's requirements of the limit reserved for overdue jobs.

        An overdue job may find no capacity for minutes. What is reserved for it lies idle, and its team's other tasks
        keep the rest of the limit taken: a job of low rank that had begun got nothing, though small machines had
        capacity for it. So one of which no task has been assigned for long borrows, if that comes back soon: lent to
        long tasks, it delayed the overdue job by another minute.
        """
        stalled = now - max(job.schedulable_since, job.last_assigned_at) > starving_age_s and not job.staged
        return stalled and spec.estimated_run_s <= BORROW_SHARE * starving_age_s

    def _reserve_for_overdue(self, team: TeamState, jobs: list[Job], now: float, starving_age_s: float) -> None:
        """Reserve what overdue jobs need of the team's limit, one task each, until there is enough of it.

        A team at its limit gets it back in the steps of the tasks that end: small tasks took each of them again, and a
        job of larger ones never began though machines had capacity.
        """
        reserved = [0.0, 0.0]
        most = (team.cpu_limit * RESERVED_SHARE, team.gpu_limit * RESERVED_SHARE)
        for job in jobs:
            if job.spec is None or job.is_gang or job.is_blocked or job.placement_not_before > now:
                continue
            if not self._is_overdue(job, now, starving_age_s):
                continue
            for resource in (CPUS, GPUS):
                needed = job.resources[resource]
                if not reserved[resource] or reserved[resource] + needed <= most[resource]:
                    reserved[resource] += needed
        team.reserved_for_overdue = reserved

    def _is_late(self, job: Job, spec: JobSpec, now: float) -> bool:
        """Whether a job can't be done in time any more, so that others which can go before it.

        A deadline, its own or that of jobs that depend on it, counts from the submission, an objective from when it
        was released.
        """
        due_at = job.deadline_at
        if math.isinf(due_at):
            due_at = job.schedulable_since + max(self._done_within.get(spec.job_class, ()), default=math.inf)
        return now + TRUSTED_ESTIMATE_SHARE * spec.estimated_run_s > due_at

    @staticmethod
    def zone_limits(job: Job, spec: JobSpec, zones: list[str]) -> dict[str, int]:
        """Most tasks of a job that may still go to each zone; zones without an entry are not limited."""
        limits: dict[str, int] = {}
        used = job.occupied_zones()
        for zone in zones:
            most = spec.task_count
            if spec.zone is not None and zone != spec.zone:
                most = 0
            if spec.single_zone and used and used != {zone}:
                most = 0
            if spec.spread:
                most = min(most, (spec.task_count + 1) // 2 - job.count_in_zone(zone))
            if most < spec.task_count:
                limits[zone] = max(0, most)
        return limits

    def may_preempt(self, candidate: Candidate, now: float) -> bool:
        """Whether a job may have others' tasks preempted.

        Capacity frees all the time, and those first in rank get it; to preempt a task throws its work away. So a
        guarantee waits for half of what its objective allows, and work above standard priority for a quarter (its
        launch and fetch are still to come); without an objective, a job of that priority itself does not wait.
        """
        if candidate.job.is_failing:
            return False
        waited = now - candidate.job.waiting_since
        spec = candidate.spec
        if candidate.requirements.priority > STANDARD_RANK:
            at_once = PRIORITY_RANK[spec.priority] == candidate.requirements.priority  # not on behalf of others
            return waited >= self._wait_s.get(spec.job_class, 0.0 if at_once else self._lease_s) / 4
        return candidate.within_guarantee and waited > self._guarantee_s / 2

    def may_preempt_checkpointing(self, candidate: Candidate) -> bool:
        """Whether a job may have tasks of lower priority that save checkpoints preempted at once.

        Little is lost by that. Without it, work of minutes that a team without a guarantee runs on all free capacity
        had each task of the others wait for half of what the objective for guaranteed starts allows.
        """
        return (
            not candidate.job.is_failing
            and candidate.requirements.priority > self._job_index.lowest_checkpointing_priority
        )
