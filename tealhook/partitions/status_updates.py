"""What the owner of a part tells the homes of its machines, by itself and when they ask."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tealhook.context import NodeContext
from tealhook.partitions.capacity import CapacityManager
from tealhook.partitions.machine import Machine
from tealhook.wire import mesh
from tealhook.wire import workers as wire

LONE_SHARE = 0.25  # of a part's machines silent at most: it is them, else the way to them


class Updates:
    """News of one part's machines for the teams' homes, in one order: what has a higher number was said later.

    A home takes what news lack for a proof that it is not on the machine. So none goes out that may lack a task, and
    answers to launches and looks are numbered together with them.
    """

    def __init__(
        self,
        context: NodeContext,
        zone: str,
        token: int,
        machines: dict[str, Machine],
        room: CapacityManager,
        tell: Callable[[str, mesh.StatusUpdate], Any],
        strangers: Callable[[str], Any],
    ) -> None:
        """News go to `tell`, with the team that they are for; `strangers` hears of jobs that nobody here knows."""
        self._effects = context.effects
        self._workers = context.workers
        self._zone = zone
        self._token = token
        self._owned_at = context.effects.now()
        self._machines = machines
        self._capacity = room
        self._send = tell
        self._on_unknown_job = strangers
        self._sequence = 0

    def next_sequence(self) -> int:
        """The number of what is said next."""
        self._sequence += 1
        return self._sequence

    def publish(self, machine: Machine, now: float, force: str | None = None) -> None:
        """Tell each team's home what is on the machine when that changed, or while it has exits to settle."""
        # Exits not settled are told of again, but not with every report: a home makes their outcome durable first.
        again = machine.has_exits and now - machine.published_at >= 2 * self._workers.report_s
        if not machine.reconciled or not (machine.changed or again or force):
            return
        teams: dict[str, list[mesh.ObservedTask]] = {}
        unknown = None
        for task in machine.tasks.values():
            team = self._capacity.team_of(task.job)
            if team is None:
                unknown = task.job
                continue
            teams.setdefault(team, []).append(
                mesh.ObservedTask(task.job, task.index, task.attempt, task.status, task.cause)
            )
        for reservation in machine.reservations.values():
            if reservation.launching:
                teams.setdefault(reservation.team, []).append(
                    mesh.ObservedTask(reservation.job, reservation.index, reservation.attempt, mesh.LAUNCHING)
                )
        if unknown is not None:
            # Whose task that is nobody here knows: news without it would pass for a proof of its absence.
            self._on_unknown_job(unknown)
            return
        machine.changed = False
        machine.published_at = now
        for team in sorted(teams.keys() | machine.published.keys() | ({force} if force else set())):
            seen = teams.get(team, [])
            content = (machine.session, tuple((s.job, s.index, s.attempt, s.status) for s in seen))
            last = machine.published.get(team)
            exits = any(s.status == wire.TaskStatus.EXITED for s in seen)
            settled = not exits or last is None or now - last[1] < 2 * self._workers.report_s
            if last is not None and last[0] == content and team != force and settled:
                continue
            self._sequence += 1
            machine.published[team] = (content, now, self._sequence)
            self._send(
                team,
                mesh.StatusUpdate(
                    self._zone, team, self._token, self._sequence, machine.name, machine.session, machine.sequence, seen
                ),
            )

    def reconcile(self, request: mesh.ReconcileRequest) -> mesh.ReconcileReply:
        """Answer a home; from here on, launches by earlier owners of that home are refused."""
        now = self._effects.now()
        self._capacity.accept_team_token(request.team, request.team_token)
        silent = []
        for name in request.machines:
            machine = self._machines.get(name)
            if machine is None or not machine.reconciled:
                silent.append(-1.0)
            else:
                silent.append(now - machine.heard_at)
        unheard = sum(name not in self._machines for name in request.machines)
        quiet = sum(now - machine.heard_at > 2 * self._workers.report_s for machine in self._machines.values())
        lone = quiet + unheard <= LONE_SHARE * (len(self._machines) + unheard)
        self._sequence += 1
        return mesh.ReconcileReply(self._token, self._sequence, silent, now - self._owned_at, lone)

    def publish_requested(self, request: mesh.ReconcileRequest) -> None:
        """News of the machines looked at; to be sent after the answer, whose number they must exceed.

        Only of those whose last news the home lacks: telling all of them anew, to each home, grows with teams times
        machines, and was half of all news of a fleet of 660.
        """
        now = self._effects.now()
        for name, heard in zip(request.machines, request.known_sequences, strict=False):
            machine = self._machines.get(name)
            if machine is None:
                continue
            last = machine.published.get(request.team)
            if not heard or last is None or last[2] != heard:
                self.publish(machine, now, force=request.team)
