"""What becomes of assignments on record: launched, seen on their machines, proved off them, stopped and cleared.

An attempt ends when a report shows its end, or when it is provably off its machine; never by a time-out alone.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial
from typing import Any

from tealhook.jobs.commits import Commits
from tealhook.jobs.index import JobIndex
from tealhook.jobs.job import Attempt, Job, WriteState
from tealhook.jobs.tasks import PATIENT_FAILURES
from tealhook.jobs.team import TeamState
from tealhook.loop.effects import Effects
from tealhook.mesh import Mesh
from tealhook.placement import Feedback, Placed
from tealhook.settings import Policy, Settings
from tealhook.store import Ownership, StateClient, part_key
from tealhook.wire import mesh as wire

log = logging.getLogger("tealhook.jobs")

MOST_BACKOFF_STEPS = 5  # so often the pause between tries of a failing job doubles


class Attempts:
    """The attempts of all homes that this node owns, and when a job that is over may leave."""

    def __init__(
        self,
        effects: Effects,
        settings: Settings,
        policy: Policy,
        ownership: Ownership,
        store: StateClient,
        book: JobIndex,
        mesh: Mesh,
        variables: Callable[[], dict[str, float]],
        homes: dict[str, TeamState],
    ) -> None:
        """Attempts of the jobs in `homes`; what has to be on record goes by `commits`."""
        self._fx = effects
        self._policy = policy
        self._own = ownership
        self._mesh = mesh
        self._variables = variables
        self._workers = settings.params.workers
        self._homes = homes
        self.on_machine: dict[str, set[tuple[str, str, int]]] = {}  # machine -> (team, job, index)
        self.commits = Commits(effects, settings, store, book, homes, self)
        self.wake: Callable[[], Any] = lambda: None  # there may be something to place
        self.look: Callable[[TeamState], Any] = lambda _home: None  # ask what is on the machines of a home

    # -- the index of what may be on which machine

    def place(self, home: TeamState, job: Job, attempt: Attempt) -> None:
        """An attempt is on record: news of its machine that lack it are compared with what they prove."""
        self.on_machine.setdefault(attempt.machine, set()).add((home.team, job.id, attempt.index))

    def unplace(self, home: TeamState, job: Job, attempt: Attempt) -> None:
        """An attempt is off its machine, or its home is not ours any more."""
        placed = self.on_machine.get(attempt.machine)
        if placed is not None:
            placed.discard((home.team, job.id, attempt.index))
            if not placed:
                del self.on_machine[attempt.machine]

    # -- what happens to attempts

    def news(self, news: wire.MachineNews) -> None:
        """What a part's owner says of a machine. Older sayings that come late are passed over."""
        home = self._homes.get(news.team)
        if home is None or not home.ready:
            return
        order = (news.token, news.seq)
        if order <= home.news_at.get(news.machine, (0, 0)):
            return
        home.news_at[news.machine] = order
        home.strays.pop(news.machine, None)
        stops: list[tuple[str, str, int, int, float]] = []
        shown = self._show_seen(home, news, stops)
        for team, job_id, index in sorted(self.on_machine.get(news.machine, ())):
            if team != news.team:
                continue
            job = home.jobs.get(job_id)
            attempt = job.attempts.get(index) if job else None
            if job is None or attempt is None or attempt.machine != news.machine or (job_id, index) in shown:
                continue
            if self._proves_absence(attempt, news):
                log.debug("%s/%d attempt %d is off %s", job_id, index, attempt.number, attempt.machine)
                self._off_machine(home, job, attempt)
        self._send_stops(home, news.zone, stops)

    def _show_seen(self, home: TeamState, news: wire.MachineNews, stops: list) -> set[tuple[str, int]]:
        """Take what is on a machine; which of our tasks it is shown to have, and into `stops` what must go."""
        shown: set[tuple[str, int]] = set()
        for seen in news.seen:
            job = home.jobs.get(seen.job)
            attempt = job.attempts.get(seen.index) if job else None
            if (
                job is not None
                and attempt is not None
                and attempt.number == seen.attempt
                and attempt.machine == news.machine
            ):
                shown.add((seen.job, seen.index))
                self._seen(home, job, attempt, seen, stops)
            elif seen.status == "exited":
                if job is not None and seen.cause == "done" and job.spec is not None:
                    # An attempt given up earlier did finish: its result is kept, so the task is done.
                    self._stray_done(job, seen, news, stops)
                else:
                    stops.append((news.machine, seen.job, seen.index, seen.attempt, -1.0))
            elif seen.status != "launching":
                # The kill may be lost on its way: the machine is looked at until it is rid of the task.
                home.strays[news.machine] = news.zone
                stops.append((news.machine, seen.job, seen.index, seen.attempt, 0.0))
        return shown

    @staticmethod
    def _proves_absence(attempt: Attempt, news: wire.MachineNews) -> bool:
        """Whether news that lack an attempt prove that it is not on the machine and can't come there.

        A later shift has killed it. A later owner's token shuts out every launch under the earlier one. The
        same owner must have spoken after it took (or can no longer take) our launch.
        """
        if news.shift > attempt.shift or news.token > attempt.token:
            return True
        return news.token == attempt.token and attempt.ack_seq is not None and news.seq > attempt.ack_seq

    def _seen(self, home: TeamState, job: Job, attempt: Attempt, seen: wire.Seen, stops: list) -> None:
        """An attempt is on its machine, or has ended there."""
        if seen.status != "exited":
            if seen.status != "launching":
                attempt.status = seen.status
            if job.spec is None and not attempt.stopping:
                attempt.stopping = True
                stops.append((attempt.machine, job.id, attempt.index, attempt.number, 0.0))
            return
        now = self._fx.now()
        self._remove(home, job, attempt)
        if seen.cause == "done" and job.spec is not None:
            if attempt.placed is not None:
                self._learn(home, attempt.zone, attempt.placed, now)
            job.mark_done(attempt.index)
            job.failures = 0
            # The outcome first, durably; then `clear`.
            job.to_clear.append((attempt.zone, attempt.machine, attempt.index, attempt.number))
            self.commits.soften(job, now)
            if job.finished:
                self.commits.soon()
            self.wake()
            return
        if job.spec is not None:
            self._ended_in_vain(job, attempt, seen.cause, now)
            job.give_back(attempt.index, now)
            self._break_up(home, job)
            self.wake()
        self.end_if_clear(home, job)
        stops.append((attempt.machine, job.id, attempt.index, attempt.number, -1.0))

    def _ended_in_vain(self, job: Job, attempt: Attempt, cause: str | None, now: float) -> None:
        """A task failed, or its worker did not take it: when the job's next tasks may start."""
        if cause == "error":
            job.note_failure(attempt.machine)
            if job.failing:
                steps = min(job.failures - PATIENT_FAILURES, MOST_BACKOFF_STEPS)
                pause = self._workers.report_s * 2**steps
                job.not_before = now + pause * (0.75 + 0.5 * self._fx.rng.random())
            log.debug("%s/%d failed on %s", job.id, attempt.index, attempt.machine)
            if job.failures == PATIENT_FAILURES:  # once, however often it fails from now on
                log.info("%s: %d tasks failed and none is done: tried one at a time", job.id, job.failures)
        elif cause in ("full", "busy", "unknown"):
            log.info("%s/%d refused by %s: %s", job.id, attempt.index, attempt.machine, cause)
            job.not_before = max(job.not_before, now + self._workers.report_s / 2)

    def _stray_done(self, job: Job, seen: wire.Seen, news: wire.MachineNews, stops: list) -> None:
        """A task was done by an attempt that had been given up: the one that took its place is stopped."""
        if seen.index < job.plays and not job.done[seen.index]:
            job.mark_done(seen.index)
            current = job.attempts.get(seen.index)
            if current is not None:
                stops.append((current.machine, job.id, current.index, current.number, 0.0))
            self.commits.soften(job, self._fx.now())
        job.to_clear.append((news.zone, news.machine, seen.index, seen.attempt))
        self.commits.soon()

    def _learn(self, home: TeamState, zone: str, placed: Placed, now: float) -> None:
        factor = home.factors.setdefault(zone, Feedback(now))
        factor.finish(placed, now, self._policy.value("feedback", self._variables()))

    def _remove(self, home: TeamState, job: Job, attempt: Attempt) -> None:
        """The attempt is certainly not on its machine any more."""
        del job.attempts[attempt.index]
        job.changed.add(attempt.piece)
        self.unplace(home, job, attempt)
        self.commits.off.setdefault(job.id, set()).add((attempt.index, attempt.number))

    def _off_machine(self, home: TeamState, job: Job, attempt: Attempt) -> None:
        now = self._fx.now()
        self._remove(home, job, attempt)
        self.commits.soften(job, now)
        if job.spec is not None:
            job.give_back(attempt.index, now)
            self._break_up(home, job)
            self.wake()
        self.end_if_clear(home, job)

    def _break_up(self, home: TeamState, job: Job) -> None:
        """A gang that lost a task can't go on: the rest is stopped, and all of it is placed anew."""
        if job.gang and job.attempts:
            self.stop_all(home, job)

    def gone(self, machines: list[str]) -> None:
        """The cloud has taken these machines, with all that was on them."""
        for name in machines:
            for home in self._homes.values():
                home.news_at.pop(name, None)
                home.strays.pop(name, None)
            for team, job_id, index in sorted(self.on_machine.get(name, ())):
                owned = self._homes.get(team)
                job = owned.jobs.get(job_id) if owned else None
                attempt = job.attempts.get(index) if job else None
                if owned is not None and job is not None and attempt is not None and attempt.machine == name:
                    self._off_machine(owned, job, attempt)

    def stop_all(self, home: TeamState, job: Job) -> None:
        """Kill whatever a terminal job may still have on machines."""
        zones: dict[str, list[tuple[str, str, int, int, float]]] = {}
        for attempt in job.attempts.values():
            zones.setdefault(attempt.zone, []).append((attempt.machine, job.id, attempt.index, attempt.number, 0.0))
        for zone, items in zones.items():
            self._send_stops(home, zone, items)

    def _send_stops(self, home: TeamState, zone: str, items: list) -> None:
        owner = self._own.owner(part_key(zone))
        if owner is not None and items:
            self._mesh.send(owner, wire.Stop(zone, home.team, home.token, items))

    def clear(self, home: TeamState, job: Job) -> None:
        """Have workers forget tasks whose outcome is on record: before, a repeat would start them anew."""
        zones: dict[str, list] = {}
        for zone, machine, index, number in job.to_clear:
            zones.setdefault(zone, []).append((machine, job.id, index, number, -1.0))
        job.to_clear.clear()
        for zone, items in zones.items():
            self._send_stops(home, zone, items)

    # -- launches

    def launch(self, home: TeamState, zone: str, attempts: list[tuple[str, Attempt]]) -> None:
        """Start attempts of a zone, by job, that are on record. A launch that is lost is settled by a look."""
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
                owner,
                wire.Launch(zone, token, home.team, home.token, starts),
                self._workers.report_s,
                partial(self._launched, home, items),
            )

    def _launched(self, home: TeamState, items: list[tuple[str, Attempt]], reply: Any) -> None:
        if self._homes.get(home.team) is not home or not isinstance(reply, wire.LaunchReply):
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

    def end_if_clear(self, home: TeamState, job: Job) -> None:
        """A terminal job leaves once none of its tasks may be on a machine."""
        if job.spec is None and not job.attempts and job.write_state is WriteState.SETTLED:
            if job.stamps:
                self.commits.soon()
            else:
                self._end(home, job)

    def _end(self, home: TeamState, job: Job) -> None:
        for attempt in list(job.attempts.values()):
            self.unplace(home, job, attempt)
        self.clear(home, job)
        home.jobs.pop(job.id, None)
        self.commits.off.pop(job.id, None)
