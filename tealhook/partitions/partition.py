"""The owner's side of one part: what its machines hold and are told to do.

Nothing in here is durable: a new owner learns everything from reports made under its own token.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from tealhook.context import NodeContext
from tealhook.jobs.index import JobIndex
from tealhook.partitions.capacity import CapacityManager
from tealhook.partitions.commands import Commands
from tealhook.partitions.machine import EPSILON, MAX_RESENDS, Machine, MachineTask
from tealhook.partitions.status_updates import Updates
from tealhook.partitions.worker_calls import Calls
from tealhook.wire import mesh
from tealhook.wire import workers as wire
from tealhook.wire.cloud import MachineType
from tealhook.wire.common import dumps

log = logging.getLogger("tealhook.partitions")

NEVER_S = 1e9
REPORT_GAP_S = 0.5  # the protocol: a worker never reports more often
UNHEARD_LEASES = 1.25  # a partition none of whose machines is heard of for so long may be out of our reach
DEAF_LEASES = 2.0  # a machine that has not heard for so many leases is replaced
DRIFT = 1.001  # two steady clocks, each at most 0.05% off


class Partition:
    """All machines of one zone, under one fencing token."""

    def __init__(
        self,
        context: NodeContext,
        zone: str,
        token: int,
        job_index: JobIndex,
        types: dict[str, MachineType],
        over: dict[str, float],
        tell: Callable[[str, mesh.StatusUpdate], Any],
        strangers: Callable[[str], Any],
    ) -> None:
        """No machine is known yet: each is learned from its first report under `token`."""
        self._effects = context.effects
        self._workers = context.workers
        self.zone = zone
        self.token = token
        self._job_index = job_index
        self._types = types
        self.machines: dict[str, Machine] = {}
        self.capacity = CapacityManager(context, token, job_index, types, over, self.machines)
        self.calls = Calls(context, token, self.machines)
        self.updates = Updates(context, zone, token, self.machines, self.capacity, tell, strangers)
        self.commands = Commands(context, token, job_index, types, self.machines, self.capacity, self.updates)
        # Each report takes these two: they are called without a step between.
        self._publish = self.updates.publish
        self._orders = self.commands.commands_for
        self._job_errors: dict[str, set[str]] = {}
        self._owned_at = context.effects.now()

    # -- reports

    def on_report(self, report: wire.Heartbeat) -> bool:
        """Take a report made to the owner; False when it is an old one. The caller has checked the tokens."""
        now = self._effects.now()
        machine = self.machines.get(report.machine)
        if machine is None:
            machine = self.machines[report.machine] = Machine(report, now)
        if (report.session, report.sequence) <= (machine.session, machine.sequence):
            return False  # held up on its way, or a copy
        if report.session > machine.session:
            if now - machine.answered_at < self._workers.lease_s / 2:
                # It had been answered when its lease ran out: the answers did not arrive.
                self._note_commands_lost(machine, now)
            self._new_shift(machine, report.session, now)
        elif now - machine.session_started_at > DRIFT * self._workers.lease_s + wire.ANSWER_TIMEOUT_S:
            machine.commands_lost_since = None  # the shift has outlived a lease: something of ours arrived
        machine.sequence = report.sequence
        machine.heard_at = now
        machine.address = report.address
        machine.terminating = report.termination_notice_s is not None
        machine.acknowledges_token = report.fencing_token == self.token
        if machine.acknowledges_token:
            # Only a worker that has seen our token obeys nobody before us any more: what such a report
            # lacks is provably not there.
            machine.reconciled = True
            self._take_plays(machine, report.tasks or [], now)
            if report.termination_notice_s is not None:
                self._leave(machine, report.termination_notice_s, now)
        self._publish(machine, now)
        return True

    def response(self, name: str | None) -> bytes:
        """The body of a 200 to a machine's newest report; None: it carries nothing."""
        machine = self.machines.get(name) if name is not None else None
        commands = self._orders(machine) if machine is not None and machine.acknowledges_token else []
        if machine is not None:
            machine.answered_at = self._effects.now()
        return dumps(wire.CommandBatch(self.token, commands))

    def hold_open_s(self, name: str) -> float:
        """Seconds for which the answer to a machine's report may stay open, so that a launch can ride on it.

        A launch that comes just after an answer would wait for the next report, on the average half a report
        period in which its room lies idle. A worker can't report again for a while anyway; one without tasks
        has nothing to report but that it is there.
        """
        machine = self.machines.get(name)
        if machine is None or not machine.acknowledges_token or not machine.usable(self._effects.now(), NEVER_S):
            return 0.0
        if machine.pending_stops or any(b.launching for b in machine.reservations.values()):
            return 0.0  # there is, or will soon be, something to tell it
        free = self.capacity.free_resources(machine)
        if free[0] <= EPSILON or free[2] <= EPSILON:
            return 0.0
        share = 1 / 3 if machine.tasks else 2 / 3
        return min(wire.ANSWER_TIMEOUT_S / 2, max(0.9 * REPORT_GAP_S, share * self._workers.report_s))

    def _note_commands_lost(self, machine: Machine, now: float) -> None:
        """What we tell a machine does not reach it, though its reports come: it gets nothing more until it hears.

        It would swallow every launch, again and again: its reports prove each time that the task is not there.
        """
        if machine.commands_lost_since is None:
            log.info("%s reports, but does not hear", machine.name)
            machine.commands_lost_since = now
            self.capacity.mark_changed(machine)

    def _new_shift(self, machine: Machine, shift: int, now: float) -> None:
        """The worker's lease ran out: every task of the earlier session is killed and forgotten."""
        machine.session = shift
        machine.session_started_at = now
        machine.answered_at = -NEVER_S
        machine.sequence = -1
        machine.tasks.clear()
        self.capacity.drop_all(machine)
        machine.pending_stops.clear()
        machine.pending_forgets.clear()
        self.capacity.mark_changed(machine)

    def _take_plays(self, machine: Machine, plays: list[wire.TaskReport], now: float) -> None:
        before = machine.tasks
        task: dict[tuple[str, int], MachineTask] = {}
        changed = len(plays) != len(before)
        for reported in plays:
            split = wire.parse_task_id(reported.task)
            if split is None:
                continue
            key = (reported.task, reported.attempt)
            old = before.get(key)
            new = old or MachineTask(reported.task, split[0], split[1], reported.attempt, "", None, now)
            if old is None or old.status != reported.status:
                self._status_change(machine, new, reported, now)
                changed = True
            new.status, new.cause = reported.status, reported.cause
            task[key] = new
        machine.tasks = task
        machine.has_exits = any(not task.alive for task in task.values())
        if changed:
            self.capacity.mark_changed(machine)
        self._settle_bookings(machine, task)
        for done in [key for key in machine.pending_stops if key not in task or not task[key].alive]:
            del machine.pending_stops[done]
        machine.pending_forgets.intersection_update(task)

    def _leave(self, machine: Machine, left_s: float, now: float) -> None:
        """Stop what can't end before the cloud takes the machine: elsewhere it begins anew that much sooner.

        Left alone it would be lost when the machine goes, and known to be lost only after that has been noticed.
        """
        for key, task in machine.tasks.items():
            known = self._job_index.active.get(task.job)
            if known is None or not task.alive or key in machine.pending_stops:
                continue
            spec = known.spec
            if (task.running_since or now) + spec.estimated_run_s <= now + left_s:
                continue  # it may well end in time; so may one that is past its estimate
            saves = spec.checkpoint_interval_s > 0 and spec.checkpoint_s < left_s
            machine.pending_stops[key] = spec.checkpoint_s if saves else 0.0
        for reservation in machine.list_reservations():
            known = self._job_index.active.get(reservation.job)
            if (
                reservation.launching
                and not reservation.send_count
                and known is not None
                and known.spec.estimated_run_s > left_s
            ):
                self.capacity.drop_reservation(machine, reservation)

    def _status_change(self, machine: Machine, task: MachineTask, reported: wire.TaskReport, now: float) -> None:
        known = self._job_index.active.get(task.job)
        if reported.status == wire.TaskStatus.RUNNING and not task.running_since:
            task.running_since = now
            if known is not None and known.spec.image:
                machine_type = self._types.get(machine.machine_type)
                if (
                    task.status == wire.TaskStatus.FETCHING
                    and known.spec.image_gb > 0
                    and known.spec.image not in machine.images
                ):
                    self.capacity.learn_rate(machine_type, known.spec.image_gb, now - task.since)
                machine.add_image(known.spec.image, known.spec.image_gb, machine_type.disk_gb if machine_type else 0.0)
        if reported.status == wire.TaskStatus.EXITED:
            if log.isEnabledFor(logging.DEBUG) and task.reserved_at and task.running_since:
                log.debug(
                    "%s %s on %s: launched after %.2f s, pulled %.2f s, ran %.2f s",
                    reported.task,
                    reported.cause,
                    machine.name,
                    task.since - task.reserved_at,
                    task.running_since - task.since,
                    now - task.running_since,
                )
            if reported.cause == wire.ExitCause.DONE:
                machine.failed_jobs.clear()
                self._job_errors.pop(task.job, None)
            elif reported.cause == wire.ExitCause.ERROR:
                self._note_error(machine, task.job)

    def _note_error(self, machine: Machine, job: str) -> None:
        """Two jobs in a row that fail here make the machine suspect; one job that fails everywhere does not."""
        places = self._job_errors.setdefault(job, set())
        places.add(machine.name)
        if len(self._job_errors) > 1000:
            self._job_errors.pop(next(iter(self._job_errors)))
        if len(places) >= 3:
            for name in places:
                if name in self.machines:
                    self.machines[name].failed_jobs.discard(job)
            return
        machine.failed_jobs.add(job)
        if len(machine.failed_jobs) >= 2 and not machine.unhealthy:
            log.info("%s fails tasks of several jobs: no longer used", machine.name)
            machine.unhealthy = True

    def _settle_bookings(self, machine: Machine, task: dict[tuple[str, int], MachineTask]) -> None:
        for reservation in machine.list_reservations():
            if not reservation.launching:
                continue
            if (reservation.task, reservation.attempt) in task:
                # Seen: from now on the launch is never sent again, since after a `clear` a repeat would
                # start the attempt anew.
                task[(reservation.task, reservation.attempt)].reserved_at = reservation.reserved_at
                task[(reservation.task, reservation.attempt)].non_preemptible = reservation.non_preemptible
                self.capacity.settle_reservation(machine, reservation)
            elif reservation.send_count and (reservation.revoked or reservation.send_count >= MAX_RESENDS):
                # A newer report without it: the response that carried it was dropped for good.
                self.capacity.drop_reservation(machine, reservation)
                if not reservation.revoked:
                    self._note_commands_lost(machine, self._effects.now())

    # -- requests of homes and of the fleet

    def reconcile(self, request: mesh.ReconcileRequest) -> mesh.ReconcileReply:
        """Answer a home; from here on, launches by earlier owners of that home are refused."""
        return self.updates.reconcile(request)

    def publish_requested(self, request: mesh.ReconcileRequest) -> None:
        """News of the machines looked at; to be sent after the answer, whose number they must exceed."""
        self.updates.publish_requested(request)

    def launch(self, request: mesh.LaunchRequest) -> mesh.LaunchReply:
        """Use reservations after their assignment is durable. Each reservation serves once."""
        return self.commands.launch(request)

    def stop(self, request: mesh.StopRequest) -> None:
        """Kill or clear attempts on behalf of the home's present owner."""
        self.commands.stop(request)

    def announce_token(self, addrs: dict[str, str]) -> None:
        """Tell workers that have not come under our token of it, directly, so that they do."""
        self.calls.announce_token(addrs)

    @property
    def is_unheard(self) -> bool:
        """Whether no machine, be there any or not, has been heard of for longer than a lease."""
        since = self._effects.now() - UNHEARD_LEASES * self._workers.lease_s
        return self._owned_at < since and all(machine.heard_at < since for machine in self.machines.values())

    def probe(self) -> None:
        """Ask machines that did not hear whether they do now."""
        self.calls.probe_unresponsive()

    def forget(self, name: str) -> None:
        """The machine is gone."""
        machine = self.machines.pop(name, None)
        if machine is not None:
            self.capacity.drop_all(machine)

    def drain(self, names: list[str]) -> None:
        """Give nothing more to these machines, and to no others of this part by the fleet's wish."""
        wanted = set(names)
        for machine in self.machines.values():
            machine.drained = machine.name in wanted

    def machine_states(self) -> list[mesh.MachineState]:
        """For the fleet's owner."""
        now = self._effects.now()
        lease_s = self._workers.lease_s
        states = []
        for machine in self.machines.values():
            if not machine.reconciled:
                continue  # known from what may be a late copy: nothing to count on
            machine_type = self._types.get(machine.machine_type)
            free = self.capacity.free_resources(machine)
            used = max(0.0, (machine_type.vcpus - free[0])) if machine_type else 0.0
            busy = bool(machine.tasks or machine.reservations)
            states.append(
                mesh.MachineState(
                    machine.name,
                    machine.machine_type,
                    machine.spot,
                    used,
                    self.capacity.empty_in(machine, now),
                    now - machine.heard_at,
                    machine.terminating,
                    (machine.drained or machine.terminating) and not busy,
                    machine.unhealthy
                    or (
                        machine.commands_lost_since is not None
                        and now - machine.commands_lost_since > DEAF_LEASES * lease_s
                    ),
                )
            )
        return states
