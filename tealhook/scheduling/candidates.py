"""Which tasks may be placed in a scheduling cycle, in which order, and within which limits."""

from __future__ import annotations

import math

from tealhook.context import NodeContext
from tealhook.jobs.index import JobIndex
from tealhook.jobs.job import Job, WriteState
from tealhook.jobs.team import TeamState
from tealhook.wire.users import PRIORITY_RANK, STANDARD_RANK, JobSpec

MAX_CANDIDATES = 48  # jobs looked at in one cycle
SIZE_STEPS = 1.5  # steps in which the work left of jobs is compared, for each doubling of it
KEPT_SHARE = 0.25  # of a team's limit at most is kept for overdue jobs, or one task's need
LENT_SHARE = 0.5  # of the age at which a job is overdue: tasks that take no longer may borrow of what is kept
BELIEVED_SHARE = 0.75  # of an owner's estimate of a run: it is often too high
NO_LIMIT = 1e9
ROUNDING = 1e-6  # sums of requested resources are compared with this much slack
NOTHING_KEPT = [0.0, 0.0]


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

    def __init__(
        self,
        team: TeamState,
        job: Job,
        spec: JobSpec,
        count: int,
        within_guarantee: bool,
        starving: bool,
        overdue: bool,
        late: bool,
        borrows: bool = False,
    ) -> None:
        """`secured`: within the team's guarantee; `late`: it can't be done in time any more."""
        self.team = team
        self.job = job
        self.spec = spec
        # Min-min alone serves the short and small first, and ranks the urgent. So a job that has waited for
        # long and has not begun at all goes before everything else, with one task (a gang with all); likewise
        # a team's oldest job once it is older than every job should be before it begins.
        self.count = 1 if overdue and not job.gang else count
        self.within_guarantee = within_guarantee
        self.starving = starving or overdue
        self.overdue = overdue
        self.borrows = borrows  # one task, of the limit that is kept for overdue jobs
        self.requirements = job.requirements()
        # Users count jobs done in time, not tasks: so what is left of the whole job comes before min-min's order
        # of single tasks, in steps wide enough that min-min still chooses among jobs of about one size.
        work = job.waiting_count() * max(job.resources[0], job.resources[1]) * max(1.0, self.requirements.run_s)
        size = int(SIZE_STEPS * math.log2(1.0 + work))
        self.rank = (not overdue, -self.requirements.priority, not within_guarantee, late, not self.starving, size)


class CandidateSelection:
    """Chooses the candidates of a cycle from the jobs of the teams that this node owns."""

    def __init__(self, context: NodeContext, teams: dict[str, TeamState], job_index: JobIndex) -> None:
        """`variables`: those of the policy, as they are now."""
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
        """The first so many candidates, by rank and then by age."""
        variables = self._policy.variables()
        hold_age_s, begin_s = self._policy.value("hold_age_s", variables), variables["begin_s"]
        found: list[Candidate] = []
        for team in self._teams.values():
            if team.ready:
                found.extend(self._select_team(team, now, hold_age_s, begin_s))
        found.sort(key=lambda candidate: (candidate.rank, candidate.job.mod_revision))
        return found[:MAX_CANDIDATES]

    def _select_team(self, team: TeamState, now: float, hold_age_s: float, begin_s: float) -> list[Candidate]:
        left = [
            team.limit - team.allocated(0) if team.limit > 0 else NO_LIMIT,
            team.gpus_limit - team.allocated(1) if team.gpus_limit > 0 else NO_LIMIT,
        ]
        jobs = sorted(team.jobs.values(), key=lambda job: job.mod_revision)
        self._reserve_for_overdue(team, jobs, now, hold_age_s)
        secured_left = team.guarantee
        oldest = True
        found: list[Candidate] = []
        for job in jobs:
            spec = job.spec
            if spec is None or job.finished or job.blocked:
                continue
            # The guarantee is for teams whose unfinished jobs fit into it whole. Counting only what is left of
            # them would let nearly every job stop others' tasks once most of it is done.
            total = spec.vcpus * job.task_count
            within_guarantee = team.guarantee > 0 and total <= secured_left + ROUNDING
            secured_left -= total
            if job.waiting_count() <= 0 or not self._may_be_placed(job, now):
                continue
            overdue = self._is_overdue(job, now, hold_age_s)
            allowed = self._within_limit(job, left, NOTHING_KEPT if overdue else team.reserved_for_overdue)
            borrows = allowed <= 0 and self._may_borrow(job, spec, now, hold_age_s)
            if borrows:
                allowed = min(1, self._within_limit(job, left, NOTHING_KEPT))
            count = self._placeable(job, min(job.waiting_count(), allowed))
            if count <= 0:
                continue
            starving = now - job.waiting_since > hold_age_s
            if oldest and not job.failing and now - job.schedulable_since > begin_s:
                overdue, oldest = True, False
            late = self._is_late(job, spec, now)
            found.append(Candidate(team, job, spec, count, within_guarantee, starving, overdue, late, borrows))
        return found

    @staticmethod
    def _may_be_placed(job: Job, now: float) -> bool:
        return job.loaded and job.write_state is not WriteState.UNCERTAIN and job.not_before <= now

    @staticmethod
    def _placeable(job: Job, count: int) -> int:
        """How many of `count` tasks may be placed at once."""
        if job.gang:
            # One task of the paper's: all of it at once, after every earlier try is off.
            return 0 if job.attempts or job.staged or count < job.waiting_count() else count
        if job.failing:
            return min(count, max(0, 1 - len(job.attempts)))
        return count

    @staticmethod
    def _is_overdue(job: Job, now: float, hold_age_s: float) -> bool:
        """Whether a job has waited for long and has not begun at all. One that fails wherever it is tried has begun."""
        if job.failing:
            return False
        return now - job.schedulable_since > hold_age_s and not (job.done_count or job.attempts or job.staged)

    @staticmethod
    def _may_borrow(job: Job, spec: JobSpec, now: float, hold_age_s: float) -> bool:
        """Whether a job, begun or not, may take one task's need of the limit that is kept for overdue jobs.

        An overdue job may find no room for minutes. What is kept for it lies idle, and its team's other tasks keep the
        rest of the limit taken: a job of low rank that had begun got nothing, though small room was free for it. So
        one of which no task has been assigned for long borrows, if that comes back soon: lent to long tasks, it kept
        the overdue job from its room for a minute more.
        """
        stalled = now - max(job.schedulable_since, job.last_assigned_at) > hold_age_s and not job.staged
        return stalled and spec.estimated_run_s <= LENT_SHARE * hold_age_s

    @staticmethod
    def _within_limit(job: Job, left: list[float], kept: list[float]) -> int:
        """Tasks of a job that fit into what is left of the team's limit, without what is kept."""
        return min(
            (
                int((have - keep + ROUNDING) / need)
                for have, keep, need in zip(left, kept, job.resources[:2], strict=True)
                if need > 0
            ),
            default=job.task_count,
        )

    def _reserve_for_overdue(self, team: TeamState, jobs: list[Job], now: float, hold_age_s: float) -> None:
        """Keep what overdue jobs need of the team's limit, one task each, until there is enough of it.

        A team at its limit gets it back in the steps of the tasks that end: small tasks took each of them again, and a
        job of larger ones never began though machines had room.
        """
        kept = [0.0, 0.0]
        most = (team.limit * KEPT_SHARE, team.gpus_limit * KEPT_SHARE)
        for job in jobs:
            if job.spec is None or job.gang or job.blocked or job.not_before > now:
                continue
            if not self._is_overdue(job, now, hold_age_s):
                continue
            for which in (0, 1):
                if not kept[which] or kept[which] + job.resources[which] <= most[which]:
                    kept[which] += job.resources[which]
        team.reserved_for_overdue = kept

    def _is_late(self, job: Job, spec: JobSpec, now: float) -> bool:
        """Whether a job can't be done in time any more, so that others which can go before it.

        A deadline, its own or that of jobs that need it, counts from the submission, an objective from when it was
        released.
        """
        due_at = job.deadline_at
        if math.isinf(due_at):
            due_at = job.schedulable_since + max(self._done_within.get(spec.job_class, ()), default=math.inf)
        return now + BELIEVED_SHARE * spec.estimated_run_s > due_at

    @staticmethod
    def zone_limits(job: Job, spec: JobSpec, zones: list[str]) -> dict[str, int]:
        """Most tasks of a job that may still go to each zone; zones without an entry are not limited."""
        limits: dict[str, int] = {}
        used = job.zones()
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
        """Whether a job may ask for others' tasks to be stopped.

        Room frees all the time, and those first in rank get it; to stop a task throws its work away. So a
        guarantee waits for half of what its objective allows, and urgent work for a quarter (its launch and
        fetch are still to come); urgent work without an objective does not wait.
        """
        if candidate.job.failing:
            return False
        waited = now - candidate.job.waiting_since
        spec = candidate.spec
        if candidate.requirements.priority > STANDARD_RANK:
            at_once = PRIORITY_RANK[spec.priority] == candidate.requirements.priority  # not on behalf of others
            return waited >= self._wait_s.get(spec.job_class, 0.0 if at_once else self._lease_s) / 4
        return candidate.within_guarantee and waited > self._guarantee_s / 2

    def may_preempt_checkpointing(self, candidate: Candidate) -> bool:
        """Whether a job may ask at once for less urgent tasks to be stopped that save their progress.

        Little is lost by that. Without it, work of minutes that a team without a guarantee runs in all free room had
        each task of the others wait for half of what the objective for guaranteed starts allows.
        """
        return (
            not candidate.job.failing
            and candidate.requirements.priority > self._job_index.lowest_checkpointing_priority
        )
