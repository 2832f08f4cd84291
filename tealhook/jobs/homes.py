"""Homes: the owner of a team's home runs all of that team's jobs.

Order of a placement: inquire at the parts, choose by min-min, reserve at the part, make the assignment
durable under the home's and the part's ownership and the job's stamp, then launch. Order of an end: a report
shows it, or the attempt is provably off its machine; never a time-out alone.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from typing import Any

from tealhook.jobs.book import ACTIVE, DONE, Book, JobRecord, job_key, parse_record
from tealhook.jobs.job import LIVE, Attempt, Job, live_key
from tealhook.loop.effects import Effects, every
from tealhook.mesh import Mesh
from tealhook.placement import NEVER_S, Choice, Feedback, Group, PartView, Placed, plan_round
from tealhook.settings import Policy, Settings
from tealhook.store import FLEET, Outcome, Ownership, Priority, StateClient, home_key, part_key
from tealhook.wire import mesh as wire
from tealhook.wire import state as state_wire
from tealhook.wire.common import dumps
from tealhook.wire.users import SERVICE, URGENCY_RANK

log = logging.getLogger("tealhook.jobs")

MAX_GROUPS = 48  # jobs looked at in one round
TXN_BYTES = 56 * 1024  # of the 64 KiB that a transaction may have
SIZE_STEPS = 1.5  # steps in which the work left of jobs is compared, for each doubling of it
PATIENT_FAILURES = 3  # failures in a row before a job is tried one task at a time


class TeamHome:
    """One team's jobs under one ownership of its home."""

    def __init__(self, team: str, token: int) -> None:
        self.team = team
        self.token = token
        self.ready = False
        self.jobs: dict[str, Job] = {}
        self.factors: dict[str, Feedback] = {}
        self.news_at: dict[str, tuple[int, int]] = {}  # machine -> newest (token, seq) of its part's owner
        self.guarantee = 0.0
        self.limit = 0.0
        self.gpus_limit = 0.0

    def taken(self, which: int = 0) -> float:
        """CPUs (0) or cards (1) of every task that is not proved off its machine."""
        return sum(
            job.need[which] * (len(job.attempts) + len(job.staged)) for job in self.jobs.values()
        )


class HomeKeeper:
    """All homes that this node owns."""

    def __init__(
        self, effects: Effects, settings: Settings, policy: Policy, ownership: Ownership, store: StateClient,
        book: Book, mesh: Mesh, variables: Callable[[], dict[str, float]],
    ) -> None:
        self._fx = effects
        self._settings = settings
        self._policy = policy
        self._own = ownership
        self._store = store
        self._book = book
        self._mesh = mesh
        self._variables = variables
        self._workers = settings.params.workers
        self._guarantee_s = min(
            (o.within_s for o in settings.params.objectives if o.kind == "guarantee" and o.within_s),
            default=settings.params.workers.lease_s / 2,
        )
        self._wait_s: dict[str, float] = {}  # class -> within what time its tasks should start
        for objective in settings.params.objectives:
            if objective.kind == "wait" and objective.class_ and objective.within_s:
                known = self._wait_s.get(objective.class_, objective.within_s)
                self._wait_s[objective.class_] = min(known, objective.within_s)
        # class -> within what time its jobs should be done at the latest
        self._done_s = {
            o.class_: o.within_s for o in sorted(settings.params.objectives, key=lambda o: o.within_s or 0.0)
            if o.kind == "finished" and o.class_ and o.within_s
        }
        self._teams = {team.name: team for team in settings.params.teams}
        self.homes: dict[str, TeamHome] = {}
        self._on_machine: dict[str, set[tuple[str, str, int]]] = {}  # machine -> (team, job, index)
        self._off: dict[str, set[tuple[int, int]]] = {}  # job -> attempts proved off, until durable
        self._round_on = False
        self._pause = self._workers.report_s / 8
        self._commit_timer = None
        self._commit_due = 0.0
        self._behind = False  # something placed waits for tokens to be made durable
        every(effects, self._workers.lease_s / 6, self._look_all)
        every(effects, self._workers.report_s, self._tidy)
        self._schedule_round()

    # -- ownership

    def owned(self, team: str, token: int | None) -> None:
        """Ownership of a home came or went."""
        home = self.homes.pop(team, None)
        if home is not None:
            for job in home.jobs.values():
                for attempt in job.attempts.values():
                    self._unplace(home, job, attempt)
        if token is not None and team in self._teams:
            home = self.homes[team] = TeamHome(team, token)
            settings = self._teams[team]
            home.guarantee, home.limit, home.gpus_limit = settings.cpus, settings.cpus_max, settings.gpus_max
            self._load(home)

    def _load(self, home: TeamHome) -> None:
        """Read the durable records of the team, all of them, before anything is decided."""
        if self.homes.get(home.team) is not home:
            return
        if not self._book.synced:
            self._fx.later(0.05, lambda: self._load(home))
            return

        def done(rows: list[state_wire.Row] | None, _epoch: int) -> None:
            if self.homes.get(home.team) is not home:
                return
            if rows is None:
                self._fx.later(0.2 + 0.2 * self._fx.rng.random(), lambda: self._load(home))
                return
            now = self._fx.now()
            for row in rows:
                job_id = row.path.rsplit("/", 1)[1]
                job = self._job(home, job_id, now)
                try:
                    job.load(row.v, row.stamp, now)
                except ValueError as exc:
                    log.error("%s", exc)
                    continue
                home.jobs[job_id] = job
                for attempt in job.attempts.values():
                    self._place(home, job, attempt)
            for job_id, known in self._book.active.items():
                if known.team == home.team and job_id not in home.jobs:
                    home.jobs[job_id] = self._job(home, job_id, now)
                    home.jobs[job_id].loaded = True
            home.ready = True
            log.info("home %s: %d jobs", home.team, len(home.jobs))
            for job in home.jobs.values():
                if job.spec is None:
                    self._stop_all(home, job)
            self._look(home)
            self._wake()

        self._store.list(live_key(home.team, ""), done)

    def _job(self, home: TeamHome, job_id: str, now: float) -> Job:
        """A job as the book knows it. Its age outlasts the processes that look after it."""
        known = self._book.active.get(job_id)
        age = self._fx.wall() - known.at if known is not None and known.at > 0 else 0.0
        return Job(job_id, home.team, known, now - max(0.0, age))

    def job_changed(self, job_id: str) -> None:
        """The book has news of a job: submitted, cancelled or done."""
        team = self._book.team(job_id)
        home = self.homes.get(team) if team else None
        if home is None or not home.ready:
            return
        job = home.jobs.get(job_id)
        known = self._book.active.get(job_id)
        if known is not None:
            if job is None:
                job = home.jobs[job_id] = self._job(home, job_id, self._fx.now())
                job.loaded = True
                self._wake()
            return
        if job is not None and job.spec is not None:
            job.spec = None  # terminal: nothing of it starts any more
            self._stop_all(home, job)
            self._end_if_clear(home, job)

    # -- the index of what may be on which machine

    def _place(self, home: TeamHome, job: Job, attempt: Attempt) -> None:
        self._on_machine.setdefault(attempt.machine, set()).add((home.team, job.id, attempt.index))

    def _unplace(self, home: TeamHome, job: Job, attempt: Attempt) -> None:
        placed = self._on_machine.get(attempt.machine)
        if placed is not None:
            placed.discard((home.team, job.id, attempt.index))
            if not placed:
                del self._on_machine[attempt.machine]

    # -- what happens to attempts

    def news(self, news: wire.MachineNews) -> None:
        """What a part's owner says of a machine. Older sayings that come late are passed over."""
        home = self.homes.get(news.team)
        if home is None or not home.ready:
            return
        order = (news.token, news.seq)
        if order <= home.news_at.get(news.machine, (0, 0)):
            return
        home.news_at[news.machine] = order
        shown: set[tuple[str, int]] = set()
        stops: list[tuple[str, str, int, int, float]] = []
        for seen in news.seen:
            job = home.jobs.get(seen.job)
            attempt = job.attempts.get(seen.index) if job else None
            if attempt is not None and attempt.number == seen.attempt and attempt.machine == news.machine:
                shown.add((seen.job, seen.index))
                self._seen(home, job, attempt, seen, stops)
            elif seen.status == "exited":
                if job is not None and seen.cause == "done" and job.spec is not None:
                    # An attempt given up earlier did finish: its result is kept, so the task is done.
                    self._stray_done(home, job, seen, news, stops)
                else:
                    stops.append((news.machine, seen.job, seen.index, seen.attempt, -1.0))
            elif seen.status != "launching":
                stops.append((news.machine, seen.job, seen.index, seen.attempt, 0.0))
        for team, job_id, index in sorted(self._on_machine.get(news.machine, ())):
            if team != news.team:
                continue
            job = home.jobs.get(job_id)
            attempt = job.attempts.get(index) if job else None
            if attempt is None or attempt.machine != news.machine or (job_id, index) in shown:
                continue
            if self._proves_absence(attempt, news):
                log.debug("%s/%d attempt %d is off %s", job_id, index, attempt.number, attempt.machine)
                self._off_machine(home, job, attempt)
        self._send_stops(home, news.zone, stops)

    @staticmethod
    def _proves_absence(attempt: Attempt, news: wire.MachineNews) -> bool:
        """Whether news that lack an attempt prove that it is not on the machine and can't come there.

        A later shift has killed it. A later owner's token shuts out every launch under the earlier one. The
        same owner must have spoken after it took (or can no longer take) our launch.
        """
        if news.shift > attempt.shift or news.token > attempt.token:
            return True
        return news.token == attempt.token and attempt.ack_seq is not None and news.seq > attempt.ack_seq

    def _seen(self, home: TeamHome, job: Job, attempt: Attempt, seen: wire.Seen, stops: list) -> None:
        if seen.status != "exited":
            if seen.status != "launching":
                attempt.status = seen.status
            if job.spec is None and not attempt.stopping:
                attempt.stopping = True
                stops.append((attempt.machine, job.id, attempt.index, attempt.number, 0.0))
            return
        now = self._fx.now()
        self._remove(home, job, attempt)
        clear = (attempt.machine, job.id, attempt.index, attempt.number, -1.0)
        if seen.cause == "done" and job.spec is not None:
            if attempt.placed is not None:
                self._learn(home, attempt, now)
            job.mark_done(attempt.index)
            job.failures = 0
            # The outcome first, durably; then `clear`.
            job.to_clear.append((attempt.zone, attempt.machine, attempt.index, attempt.number))
            self._soften(job, now)
            if job.finished:
                self._commit_soon()
            self._wake()
            return
        if job.spec is not None:
            if seen.cause == "error":
                job.note_failure(attempt.machine)
                if job.failures >= PATIENT_FAILURES:
                    steps = min(job.failures - PATIENT_FAILURES, 5)
                    job.not_before = now + self._workers.report_s * 2**steps
                log.info("%s/%d failed on %s", job.id, attempt.index, attempt.machine)
            elif seen.cause in ("full", "busy", "unknown"):
                log.info("%s/%d refused by %s: %s", job.id, attempt.index, attempt.machine, seen.cause)
                job.not_before = max(job.not_before, now + self._workers.report_s / 2)
            job.give_back(attempt.index, now)
            self._break_up(home, job)
            self._wake()
        self._end_if_clear(home, job)
        stops.append(clear)

    def _stray_done(self, home: TeamHome, job: Job, seen: wire.Seen, news: wire.MachineNews, stops: list) -> None:
        if seen.index < job.plays and not job.done[seen.index]:
            job.mark_done(seen.index)
            current = job.attempts.get(seen.index)
            if current is not None:
                stops.append((current.machine, job.id, current.index, current.number, 0.0))
            self._soften(job, self._fx.now())
        job.to_clear.append((news.zone, news.machine, seen.index, seen.attempt))
        self._commit_soon()

    def _learn(self, home: TeamHome, attempt: Attempt, now: float) -> None:
        factor = home.factors.setdefault(attempt.zone, Feedback(now))
        factor.finish(attempt.placed, now, self._policy.value("feedback", self._variables()))

    def _remove(self, home: TeamHome, job: Job, attempt: Attempt) -> None:
        """The attempt is certainly not on its machine any more."""
        del job.attempts[attempt.index]
        self._unplace(home, job, attempt)
        self._off.setdefault(job.id, set()).add((attempt.index, attempt.number))

    def _off_machine(self, home: TeamHome, job: Job, attempt: Attempt) -> None:
        now = self._fx.now()
        self._remove(home, job, attempt)
        self._soften(job, now)
        if job.spec is not None:
            job.give_back(attempt.index, now)
            self._break_up(home, job)
            self._wake()
        self._end_if_clear(home, job)

    def _break_up(self, home: TeamHome, job: Job) -> None:
        """A gang that lost a task can't go on: the rest is stopped, and all of it is placed anew."""
        if job.gang and job.attempts:
            self._stop_all(home, job)

    def gone(self, machines: list[str]) -> None:
        """The cloud has taken these machines, with all that was on them."""
        for name in machines:
            for home in self.homes.values():
                home.news_at.pop(name, None)
            for team, job_id, index in sorted(self._on_machine.get(name, ())):
                home = self.homes.get(team)
                job = home.jobs.get(job_id) if home else None
                attempt = job.attempts.get(index) if job else None
                if attempt is not None and attempt.machine == name:
                    self._off_machine(home, job, attempt)

    def _stop_all(self, home: TeamHome, job: Job) -> None:
        """Kill whatever a terminal job may still have on machines."""
        zones: dict[str, list[tuple[str, str, int, int, float]]] = {}
        for attempt in job.attempts.values():
            zones.setdefault(attempt.zone, []).append((attempt.machine, job.id, attempt.index, attempt.number, 0.0))
        for zone, items in zones.items():
            self._send_stops(home, zone, items)

    def _send_stops(self, home: TeamHome, zone: str, items: list) -> None:
        owner = self._own.owner(part_key(zone))
        if owner is not None and items:
            self._mesh.send(owner, wire.Stop(zone, home.team, home.token, items))

    # -- looking after machines

    def _look_all(self) -> None:
        for home in list(self.homes.values()):
            if home.ready:
                for job in home.jobs.values():
                    if job.spec is None:
                        self._stop_all(home, job)  # a kill may have been lost on its way
                self._look(home)

    def _look(self, home: TeamHome) -> None:
        zones: dict[str, set[str]] = {}
        for job in home.jobs.values():
            for attempt in job.attempts.values():
                zones.setdefault(attempt.zone, set()).add(attempt.machine)
        for zone, machines in sorted(zones.items()):
            owner = self._own.owner(part_key(zone))
            if owner is None:
                continue
            names = sorted(machines)
            asked = self._fx.now()
            self._mesh.call(
                owner, wire.Look(zone, home.team, home.token, names), self._workers.report_s,
                lambda reply, names=names, asked=asked: self._looked(home, names, asked, reply),
            )

    def _looked(self, home: TeamHome, names: list[str], asked: float, reply: Any) -> None:
        if not isinstance(reply, wire.LookReply) or self.homes.get(home.team) is not home:
            return
        fence_s = self._policy.value("fence_s", self._variables())
        lost = []
        for name, silent in zip(names, reply.silent, strict=False):
            for _team, job_id, index in sorted(self._on_machine.get(name, ())):
                job = home.jobs.get(job_id)
                attempt = job.attempts.get(index) if job else None
                if attempt is None or attempt.machine != name:
                    continue
                if attempt.ack_seq is None and attempt.token == reply.token and asked > attempt.open_until:
                    attempt.ack_seq = reply.seq
            if silent > fence_s or (silent < 0 and reply.owned_s > fence_s):
                lost.append(name)
        owner = self._own.owner(FLEET)
        if lost and owner is not None:
            self._mesh.send(owner, wire.Fence(lost))

    def _tidy(self) -> None:
        now = self._fx.now()
        for home in self.homes.values():
            waiting = any(job.waiting() > 0 for job in home.jobs.values())
            if not waiting:
                for factor in home.factors.values():
                    factor.idle(now, self._workers.lease_s)
        self._commit_soon()

    # -- rounds

    def _schedule_round(self) -> None:
        pause = self._pause * (0.75 + 0.5 * self._fx.rng.random())  # homes must not inquire in step
        self._fx.later(pause, self._run_round)

    def _wake(self) -> None:
        self._pause = self._workers.report_s / 8

    def _run_round(self) -> None:
        if self._round_on:
            return
        # While assignments wait for tokens, room reserved for more of them would expire before it is used, be
        # reserved again, and the changes spent on it be lost.
        groups = self._groups() if self._store.served and not self._behind else []
        zones = {zone: owner for zone in self._own.zones() if (owner := self._own.owner(part_key(zone)))}
        # Owners that do not answer would hold up each round; those that can be reached go on without them.
        zones = {zone: owner for zone, owner in zones.items() if self._mesh.reachable(owner)} or zones
        if not groups or not zones:
            self._pause = min(self._workers.report_s / 4, self._pause * 1.5)
            self._schedule_round()
            return
        self._round_on = True
        shapes = list(dict.fromkeys(group.shape for group in groups))
        left = set(zones)
        answers: dict[str, wire.AskReply] = {}

        def answered(zone: str, reply: Any) -> None:
            left.discard(zone)
            if isinstance(reply, wire.AskReply) and len(reply.rooms) == len(shapes):
                answers[zone] = reply
            if not left:
                self._choose(groups, shapes, zones, answers)

        for zone, owner in zones.items():
            self._mesh.call(
                owner, wire.Ask(zone, shapes), self._workers.report_s / 2,
                lambda reply, zone=zone: answered(zone, reply),
            )

    def _groups(self) -> list[_Mappable]:
        now = self._fx.now()
        variables = self._variables()
        hold_age, begin = self._policy.value("hold_age_s", variables), variables["begin_s"]
        found: list[_Mappable] = []
        for home in self.homes.values():
            if not home.ready:
                continue
            room = [
                home.limit - home.taken(0) if home.limit > 0 else 1e9,
                home.gpus_limit - home.taken(1) if home.gpus_limit > 0 else 1e9,
            ]
            secured_left = home.guarantee
            oldest = True
            for job in sorted(home.jobs.values(), key=lambda j: j.stamp):
                if job.spec is None or job.finished:
                    continue
                # The guarantee is for teams whose unfinished jobs fit into it whole. Counting only what is left of
                # them would let nearly every job stop others' tasks once most of it is done.
                total = job.spec.vcpus * job.plays
                secured = home.guarantee > 0 and total <= secured_left + 1e-6
                secured_left -= total
                count = job.waiting()
                if count <= 0 or job.unsure or job.not_before > now or not job.loaded:
                    continue
                for have, need in zip(room, job.need[:2], strict=True):
                    if need > 0:
                        count = min(count, int((have + 1e-6) / need))
                if job.gang:
                    # One task of the paper's: all of it at once, after every earlier try is off.
                    count = 0 if job.attempts or job.staged or count < job.waiting() else count
                elif job.failures >= PATIENT_FAILURES:
                    count = min(count, max(0, 1 - len(job.attempts)))
                if count <= 0:
                    continue
                aged = now - job.waiting_since > hold_age
                overdue = now - job.since > hold_age and not (job.done_count or job.attempts or job.staged)
                if oldest and now - job.since > begin:
                    overdue, oldest = True, False
                found.append(_Mappable(home, job, count, secured, aged, overdue, self._late(job, now)))
        found.sort(key=lambda m: (m.rank, m.job.stamp))
        return found[:MAX_GROUPS]

    def _late(self, job: Job, now: float) -> bool:
        """Whether a job can't be done in time any more, so that others which can go before it.

        By the owner's estimate, which is often too high: a quarter of it is not believed.
        """
        due = job.spec.due_s or self._done_s.get(job.spec.lineup)
        return due is not None and now + 0.75 * job.spec.expected_s > job.since + due

    def _limits(self, job: Job, zones: list[str]) -> dict[str, int]:
        """Most tasks of a job that may still go to each zone."""
        spec = job.spec
        limits: dict[str, int] = {}
        used = job.zones()
        for zone in zones:
            most = spec.plays
            if spec.yard is not None and zone != spec.yard:
                most = 0
            if spec.together and used and used != {zone}:
                most = 0
            if spec.spread:
                most = min(most, (spec.plays + 1) // 2 - job.in_zone(zone))
            if most < spec.plays:
                limits[zone] = max(0, most)
        return limits

    def _choose(
        self, mappable: list[_Mappable], shapes: list[wire.Shape], zones: dict[str, str],
        answers: dict[str, wire.AskReply],
    ) -> None:
        now = self._fx.now()
        position = {shape: i for i, shape in enumerate(shapes)}
        groups: list[Group] = []
        by_job: dict[str, _Mappable] = {}
        for item in mappable:
            if item.job.spec is None or self.homes.get(item.home.team) is not item.home:
                continue
            parts: dict[str, PartView] = {}
            for zone, reply in answers.items():
                room = reply.rooms[position[item.shape]]
                factor = item.home.factors.get(zone)
                parts[zone] = PartView(
                    room.cached, room.uncached, room.next_s, room.rate, factor.factor if factor else 0.0
                )
                if item.job.gang:  # in one part, once all its room is free
                    whole = room.cached + room.uncached
                    parts[zone].cached, parts[zone].uncached = 0, whole if whole >= item.count else 0
                    parts[zone].next_s = NEVER_S
            limits = self._limits(item.job, list(answers))
            if item.job.spec.together and not item.job.zones():
                # All of the job must go to one zone: the one with most room now.
                best = max(answers, key=lambda z: (parts[z].cached + parts[z].uncached, z), default=None)
                limits |= {zone: 0 for zone in answers if zone != best}
            by_job[item.job.id] = item
            groups.append(Group(
                item.job.id, item.count, item.rank, item.job.spec.pull_gb,
                0.0 if item.job.spec.shape == SERVICE else item.job.spec.expected_s,  # free time alone
                item.job.need, parts, item.aged, self._may_preempt(item, now), limits,
            ))
        choices = self._affordable(plan_round(groups))
        if log.isEnabledFor(logging.DEBUG):
            for g in groups:
                left = {z: (v.cached, v.uncached, round(min(v.next_s, 999.0), 1)) for z, v in g.parts.items()}
                log.debug("round: %s rank %s need %s waits %d of %d; left %s",
                          g.job, g.rank, g.need, g.count, by_job[g.job].count, left)
        self._reserve(choices, by_job, zones, now)

    def _affordable(self, choices: list[Choice]) -> list[Choice]:
        """The first choices, of no more jobs than can be made durable soon: one change each."""
        most = max(1, self._store.write_room(Priority.ASSIGN))
        jobs: set[str] = set()
        for position, choice in enumerate(choices):
            if not choice.hold:
                jobs.add(choice.group.job)
            if len(jobs) > most:
                return choices[:position]
        return choices

    def _may_preempt(self, item: _Mappable, now: float) -> bool:
        """Whether a job may ask for others' tasks to be stopped.

        Room frees all the time, and those first in rank get it; to stop a task throws its work away. So a
        guarantee waits for half of what its objective allows, and urgent work for a quarter (its launch and
        fetch are still to come); urgent work without an objective does not wait.
        """
        waited = now - item.job.waiting_since
        if item.shape.urgency > URGENCY_RANK["standard"]:
            return waited >= self._wait_s.get(item.job.spec.lineup, 0.0) / 4
        return item.secured and waited > self._guarantee_s / 2

    def _reserve(
        self, choices: list[Choice], by_job: dict[str, _Mappable], zones: dict[str, str], now: float
    ) -> None:
        wants: dict[str, list[tuple[_Mappable, int, Choice]]] = {}
        for choice in choices:
            item = by_job[choice.group.job]
            if item.job.gang and choice.count < item.count:
                continue
            if choice.hold and not (choice.group.aged or choice.group.can_preempt):
                continue
            wants.setdefault(choice.zone, []).append((item, choice.count, choice))
        if not wants:
            self._end_round(0)
            return
        left = set(wants)
        placed: list[int] = []

        def answered(zone: str, reply: Any) -> None:
            left.discard(zone)
            if isinstance(reply, wire.ReserveReply) and len(reply.slots) == len(wants[zone]):
                for (item, _count, choice), slots in zip(wants[zone], reply.slots, strict=True):
                    placed.append(self._stage(item, zone, reply.token, slots, choice, now))
            if not left:
                self._end_round(sum(placed))

        for zone, items in wants.items():
            request = wire.Reserve(zone, [])
            for item, count, choice in items:
                request.wants.append(wire.Want(
                    item.job.id, item.home.team, item.shape, count, item.secured, choice.hold and item.aged,
                    item.job.avoid, item.home.token, choice.hold and choice.group.can_preempt,
                    item.overdue,
                ))
            self._mesh.call(
                zones[zone], request, self._workers.report_s / 2, lambda reply, zone=zone: answered(zone, reply)
            )

    def _end_round(self, placed: int) -> None:
        self._round_on = False
        if placed:
            self._wake()
            self._commit_soon()
        else:
            self._pause = min(self._workers.report_s / 2, self._pause * 1.5)
        self._schedule_round()

    def _stage(
        self, item: _Mappable, zone: str, token: int, slots: list[wire.Slot], choice: Choice, now: float
    ) -> int:
        """Tasks for the room that was given; they wait for the commit."""
        home, job = item.home, item.job
        if job.spec is None or self.homes.get(home.team) is not home or job.unsure:
            return 0
        # The world may have moved while the part was asked: the limits are checked against what is so now.
        most = len(slots)
        for limit, which in ((home.limit, 0), (home.gpus_limit, 1)):
            if limit > 0 and job.need[which] > 0:
                most = min(most, int((limit - home.taken(which) + 1e-6) / job.need[which]))
        most = min(most, self._limits(job, [zone]).get(zone, most))
        if job.gang and most < job.waiting():
            return 0
        indexes = job.take_waiting(max(0, min(most, len(slots))))
        for position, (index, slot) in enumerate(zip(indexes, slots, strict=False)):
            if not (job.gang and position):  # the tasks of a gang find one another by their attempt
                job.counter += 1
            attempt = Attempt(index, job.counter, slot.machine, slot.shift, zone, token, now)
            attempt.rid = slot.rid
            attempt.placed = Placed(now, slot.fetch_s, job.spec.expected_s)
            job.staged[index] = attempt
        return len(indexes)

    # -- commits

    def _soften(self, job: Job, now: float) -> None:
        if not job.soft:
            job.soft = True
            job.soft_at = now

    def _commit_soon(self, delay: float | None = None) -> None:
        """One transaction for what several jobs have to make durable, after a short wait."""
        if delay is None:
            delay = self._workers.report_s / 25
        due = self._fx.now() + delay
        if self._commit_timer is not None:
            if self._commit_due <= due + 1e-6:
                return
            self._commit_timer.cancel()
        self._commit_due = due
        self._commit_timer = self._fx.later(delay, self._commit)

    def _commit(self) -> None:
        self._commit_timer = None
        self._behind = False
        now = self._fx.now()
        hard: list[tuple[TeamHome, Job]] = []
        soft: list[tuple[TeamHome, Job]] = []
        for home in self.homes.values():
            if not home.ready:
                continue
            for job in home.jobs.values():
                if job.committing or job.unsure:
                    continue
                over = job.spec is None and not job.attempts and job.live_stamp
                if job.staged or job.finished:
                    hard.append((home, job))
                elif over or (job.soft and now - job.soft_at > self._workers.report_s):
                    soft.append((home, job))
        if hard:
            hard.sort(key=lambda pair: (not pair[1].finished, -pair[1].done_count))
            urgent = [pair for pair in hard if pair[1].spec is not None and pair[1].shape().urgency > 1]
            rest = [pair for pair in hard if pair not in urgent]
            self._send_commit(urgent + rest, Priority.ASSIGN)
        elif soft:
            soft.sort(key=lambda pair: pair[1].soft_at)
            self._send_commit(soft, Priority.KEEP)

    def _send_commit(self, pairs: list[tuple[TeamHome, Job]], priority: Priority) -> None:
        room = min(self._store.txn_ops, max(2, self._store.write_room(priority)))
        wait = self._store.write_wait(2, priority)
        self._behind = wait > 0 and priority is Priority.ASSIGN
        if wait > 0:
            self._commit_soon(max(0.02, wait))
            return
        when: dict[str, int] = {}
        apply: list[dict] = []
        batch: list[_Committed] = []
        size = 0
        left = False
        for home, job in pairs:
            conditions, changes, part = self._changes(home, job)
            if part is None:
                continue
            grown = size + sum(len(dumps(change)) for change in changes) + 60 * len(conditions)
            too_many = len(apply) + len(changes) > room or len(when) + len(conditions) > 4 * self._store.txn_ops
            if batch and (too_many or grown > TXN_BYTES):
                left = self._behind = True
                break
            size = grown
            when.update(conditions)
            apply.extend(changes)
            batch.append(part)
        if not batch:
            return
        for part in batch:
            part.job.committing = True
        self._store.txn(
            when, apply, priority, lambda outcome, epoch, failed: self._committed(batch, outcome, epoch, failed)
        )
        if left:
            self._commit_soon()

    def _changes(self, home: TeamHome, job: Job) -> tuple[dict[str, int], list[dict], _Committed | None]:
        """Conditions and changes that make a job's present state durable."""
        key = live_key(home.team, job.id)
        when = {home_key(home.team): home.token, key: job.live_stamp}
        if job.finished:
            when[job_key(job.id)] = job.stamp
            changes = [state_wire.put(job_key(job.id), {"t": job.team, "st": DONE})]
            if job.live_stamp and not job.attempts:  # otherwise it stays until they are off
                changes.append(state_wire.drop(key))
            return when, changes, _Committed(home, job, [], "done")
        if job.spec is None:
            if job.attempts or not job.live_stamp:
                job.soft = False
                return when, [], None
            return when, [state_wire.drop(key)], _Committed(home, job, [], "drop")
        value = job.encode()
        while len(dumps(value)) > self._store.value_bytes * 0.97 and job.staged:
            for _ in range(1 + len(job.staged) // 8):
                index, _attempt = job.staged.popitem()  # its reservation expires by itself
                job.give_back(index, self._fx.now())
            value = job.encode()
        staged = list(job.staged.values())
        if staged:
            when[job_key(job.id)] = job.stamp
            for attempt in staged:
                when[part_key(attempt.zone)] = attempt.token
        return when, [state_wire.put(key, value)], _Committed(home, job, staged, "put")

    def _committed(self, batch: list[_Committed], outcome: Outcome, epoch: int, failed: list[str]) -> None:
        launches: dict[tuple[str, str], list[tuple[str, Attempt]]] = {}
        for part in batch:
            home, job = part.home, part.job
            job.committing = False
            if self.homes.get(home.team) is not home:
                continue
            if outcome is Outcome.OK:
                self._durable(part, epoch, launches)
            elif outcome is Outcome.UNSURE:
                job.unsure = True
                self._read_back(part)
            else:
                self._not_durable(part, failed)
        for (team, zone), attempts in launches.items():
            self._launch(self.homes[team], zone, attempts)
        if outcome is Outcome.REFUSED:
            self._commit_soon(0.2)
        else:
            self._commit_soon()

    def _durable(self, part: _Committed, epoch: int, launches: dict) -> None:
        home, job = part.home, part.job
        if part.kind == "done":
            self._book.learn(job.id, JobRecord(job.team, DONE), epoch)
            job.spec = None
            if job.attempts:
                self._stop_all(home, job)
            else:
                self._end(home, job)
            return
        if part.kind == "drop":
            self._end(home, job)
            return
        job.live_stamp = epoch
        job.soft = bool(job.staged.keys() - {a.index for a in part.staged})
        self._off.pop(job.id, None)
        for attempt in part.staged:
            if job.staged.get(attempt.index) is not attempt:
                continue
            del job.staged[attempt.index]
            job.attempts[attempt.index] = attempt
            self._place(home, job, attempt)
            if job.spec is not None:
                launches.setdefault((home.team, attempt.zone), []).append((job.id, attempt))
        if job.spec is None:
            self._stop_all(home, job)
        self._clear(home, job)

    def _clear(self, home: TeamHome, job: Job) -> None:
        zones: dict[str, list] = {}
        for zone, machine, index, number in job.to_clear:
            zones.setdefault(zone, []).append((machine, job.id, index, number, -1.0))
        job.to_clear.clear()
        for zone, items in zones.items():
            self._send_stops(home, zone, items)

    def _not_durable(self, part: _Committed, failed: list[str]) -> None:
        """Certainly not executed. A conflict of one job must not hold up the others for ever."""
        home, job = part.home, part.job
        now = self._fx.now()
        if live_key(home.team, job.id) in failed:
            job.unsure = True
            self._read_back(part)
            return
        bad_zones = {attempt.zone for attempt in part.staged if part_key(attempt.zone) in failed}
        ended = job_key(job.id) in failed
        for attempt in part.staged:
            stale = now - attempt.at > self._workers.lease_s / 4  # its reservation has expired
            if (attempt.zone in bad_zones or ended or stale) and job.staged.get(attempt.index) is attempt:
                del job.staged[attempt.index]
                job.give_back(attempt.index, now)
        if ended:
            job.not_before = max(job.not_before, now + self._workers.report_s)
            self._reread_job(job)

    def _reread_job(self, job: Job) -> None:
        def done(kind: str, row: state_wire.Row | None) -> None:
            if kind == "ok":
                record = parse_record(row.v)
                if record is not None:
                    self._book.learn(job.id, record, row.stamp)
                    if record.st == ACTIVE:
                        job.stamp = row.stamp
            elif kind == "unknown":
                self._fx.later(0.3, lambda: self._reread_job(job))

        self._store.get(job_key(job.id), done, Priority.ASSIGN)

    def _read_back(self, part: _Committed) -> None:
        """Nobody knows whether it was executed: read, never guess. It may even be executed later; then the
        next write's condition fails, and we come here again."""
        home, job = part.home, part.job

        def done(kind: str, row: state_wire.Row | None) -> None:
            if self.homes.get(home.team) is not home:
                return
            if kind == "unknown":
                self._fx.later(0.2 + 0.3 * self._fx.rng.random(), lambda: self._read_back(part))
                return
            now = self._fx.now()
            for attempt in list(job.staged.values()):  # none of them was launched
                del job.staged[attempt.index]
                job.give_back(attempt.index, now)
            job.unsure = False
            if row is None:
                job.live_stamp = 0
            elif row.stamp != job.live_stamp:
                before = dict(job.attempts)
                try:
                    job.load(row.v, row.stamp, now, self._off.get(job.id))
                except ValueError as exc:
                    log.error("%s", exc)
                for index, attempt in job.attempts.items():
                    if before.get(index) is not attempt:
                        self._place(home, job, attempt)
            self._reread_job(job)
            self._look(home)
            self._wake()
            self._commit_soon()

        self._store.get(live_key(home.team, job.id), done, Priority.ASSIGN)

    # -- launches

    def _launch(self, home: TeamHome, zone: str, attempts: list[tuple[str, Attempt]]) -> None:
        now = self._fx.now()
        by_token: dict[int, list[tuple[str, Attempt]]] = {}
        for job_id, attempt in attempts:
            job = home.jobs.get(job_id)
            if job is not None and job.attempts.get(attempt.index) is attempt:
                # Its reservation was made before now, so it has expired by then on any clock.
                attempt.open_until = now + 1.01 * self._workers.lease_s / 4 + 0.1
                by_token.setdefault(attempt.token, []).append((job_id, attempt))
        owner = self._own.owner(part_key(zone))
        if owner is None:
            return  # the next look settles it
        for token, items in by_token.items():
            starts = [wire.Start(a.rid, job_id, a.index, a.number) for job_id, a in items]
            self._mesh.call(
                owner, wire.Launch(zone, token, home.team, home.token, starts), self._workers.report_s,
                lambda reply, items=items: self._launched(home, items, reply),
            )

    def _launched(self, home: TeamHome, items: list[tuple[str, Attempt]], reply: Any) -> None:
        if self.homes.get(home.team) is not home or not isinstance(reply, wire.LaunchReply):
            return
        refused = set(reply.refused)
        for job_id, attempt in items:
            job = home.jobs.get(job_id)
            if job is None or job.attempts.get(attempt.index) is not attempt:
                continue
            if attempt.rid in refused:
                log.debug("%s/%d: launch refused", job_id, attempt.index)
                self._off_machine(home, job, attempt)
            else:
                attempt.ack_seq = reply.seq

    # -- ends

    def _end_if_clear(self, home: TeamHome, job: Job) -> None:
        """A terminal job leaves once none of its tasks may be on a machine."""
        if job.spec is None and not job.attempts and not job.committing and not job.unsure:
            if job.live_stamp:
                self._commit_soon()
            else:
                self._end(home, job)

    def _end(self, home: TeamHome, job: Job) -> None:
        for attempt in list(job.attempts.values()):
            self._unplace(home, job, attempt)
        self._clear(home, job)
        home.jobs.pop(job.id, None)
        self._off.pop(job.id, None)

    # -- what others want to know

    def progress(self) -> dict[str, tuple[int, int]]:
        return {
            job.id: (job.done_count, job.running())
            for home in self.homes.values() for job in home.jobs.values() if job.spec is not None
        }

    def usage(self) -> list[wire.Usage]:
        found = []
        for home in self.homes.values():
            taken = home.taken()
            urgent = sum(
                job.need[0] * len(job.attempts) for job in home.jobs.values()
                if job.spec is not None and URGENCY_RANK[job.spec.urgency] > URGENCY_RANK["standard"]
            )
            over = max(0.0, taken - home.guarantee) if home.guarantee > 0 else taken
            found.append(wire.Usage(home.team, taken, urgent, over))
        return found

    def demand(self) -> list[wire.Demand]:
        """Waiting tasks by shape, no more than the team's limit lets run."""
        found: dict[tuple, wire.Demand] = {}
        for home in self.homes.values():
            room = home.limit - home.taken() if home.limit > 0 else 1e9
            for job in sorted(home.jobs.values(), key=lambda j: j.stamp):
                count = job.waiting()
                if job.spec is None or count <= 0:
                    continue
                if job.failures >= PATIENT_FAILURES:
                    count = 1
                if job.need[0] > 0:
                    count = min(count, int((room + 1e-6) / job.need[0]))
                    room -= count * job.need[0]
                if count <= 0:
                    continue
                shape = job.shape()
                entry = found.setdefault(
                    (home.team, shape, job.spec.yard),
                    wire.Demand(home.team, shape, job.spec.yard, 0, job.spec.lineup),
                )
                entry.count += count
        return list(found.values())


class _Mappable:
    """A job's tasks that may be placed in this round."""

    __slots__ = ("home", "job", "count", "secured", "aged", "overdue", "shape", "rank")

    def __init__(
        self, home: TeamHome, job: Job, count: int, secured: bool, aged: bool, overdue: bool, late: bool
    ) -> None:
        self.home = home
        self.job = job
        # Min-min alone serves the short and small first, and ranks the urgent. So a job that has waited for
        # long and has not begun at all goes before everything else, with one task (a gang with all); likewise
        # a team's oldest job once it is older than every job should be before it begins.
        self.count = 1 if overdue and not job.gang else count
        self.secured = secured
        self.aged = aged or overdue
        self.overdue = overdue
        self.shape = job.shape()
        # Users count jobs done in time, not tasks: so what is left of the whole job comes before min-min's order
        # of single tasks, in steps wide enough that min-min still chooses among jobs of about one size.
        work = job.waiting() * max(job.need[0], job.need[1]) * max(1.0, self.shape.run_s)
        size = int(SIZE_STEPS * math.log2(1.0 + work))
        self.rank = (not overdue, -self.shape.urgency, not secured, late, not self.aged, size)


class _Committed:
    """What a transaction holds of one job."""

    __slots__ = ("home", "job", "staged", "kind")

    def __init__(self, home: TeamHome, job: Job, staged: list[Attempt], kind: str) -> None:
        self.home = home
        self.job = job
        self.staged = staged
        self.kind = kind


__all__ = ["LIVE", "HomeKeeper", "TeamHome"]
