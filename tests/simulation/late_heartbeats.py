"""Reports of workers that come late, come again, or come to the next owner of their part."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from tests.simulation.requests import make_request
from tests.versions import owned_partitions

if TYPE_CHECKING:
    from tests.simulation.network import Network


class Heartbeat:
    """A report, or a copy of one, that is yet to arrive."""

    __slots__ = ("machine", "zone", "node", "body", "token", "shift", "tick")

    def __init__(self, node: str, body: bytes) -> None:
        value = json.loads(body)
        self.machine, self.zone, self.token = value["box"], value["yard"], value["baton"]
        self.shift, self.tick = value["shift"], value["tick"]
        self.node, self.body = node, body


class LateReports:
    """What is done to reports; how often is said by the network's chances."""

    def __init__(self, network: Network) -> None:
        self.network = network
        self._kept: list[Heartbeat] = []  # copies for the next owner
        self._back: list[Heartbeat] = []  # reports held back

    def copy(self, node: str, body: bytes) -> None:
        """Copies of a report that arrive again, later."""
        world, net = self.network.world, self.network
        lease_s = world.settings.params.workers.lease_s
        if world.rng.random() < net.copies:
            report = Heartbeat(node, body)
            world.at(world.rng.uniform(0.5, 4 * lease_s), lambda: self._arrive_late(report, node, "copy"))
        if net.chance(net.late_reports):
            report = Heartbeat(node, body)
            for other in sorted({node, world.rng.choice(world.names)}):
                world.at(
                    world.rng.uniform(2.0, 3 * lease_s),
                    lambda other=other: self._arrive_late(report, other, "late report"),
                )
        if net.chance(net.for_next):
            self._kept.append(Heartbeat(node, body))

    def hold_back(self, node: str, body: bytes) -> None:
        """Keep a report itself until the next owner has launched something."""
        self._back.append(Heartbeat(node, body))

    def answered(self, node: str, who: str, data: bytes) -> None:
        """An owner that launches something has acted: what was held back since before it arrives there now."""
        if not self._back or b'"launch"' not in data:
            return
        world, token = self.network.world, json.loads(data)["baton"]
        zone = next((m.yard for m in world.cloud.machines.values() if m.name == who), None)
        due = [report for report in self._back if report.zone == zone and report.token < token]
        self._back = [report for report in self._back if report not in due]
        for report in due:
            world.at(
                world.rng.uniform(0.0, 2.0),
                lambda report=report: self._arrive_late(report, node, "report held back"),
            )

    def owner_begins(self, zone: str) -> None:
        """What waits for a part's next owner arrives just then, everywhere."""
        world = self.network.world
        due = [report for report in self._kept if report.zone == zone]
        self._kept = [report for report in self._kept if report.zone != zone]
        for report in due:
            for node in world.names:
                world.at(
                    world.rng.uniform(0.0, 0.3),
                    lambda report=report, node=node: self._arrive_late(report, node, "copy for the next owner"),
                )

    def _arrive_late(self, report: Heartbeat, node: str, kind: str) -> None:
        """Nobody waits for the answer any more."""
        world, happened = self.network.world, self.network.happened
        controller = world.nodes.get(node)
        if controller is None:
            return
        machine = world.cloud.machines.get(report.machine)
        happened[kind] += 1
        happened[f"{kind}: at its owner"] += report.zone in owned_partitions(controller)
        if machine is not None:
            happened[f"{kind}: after newer ones"] += machine.tick > report.tick
            happened[f"{kind}: of an earlier session"] += machine.shift > report.shift
            known = {(play["play"], play["try"]) for play in json.loads(report.body)["plays"]}
            names = {play for play, _ in known}
            moved = any(
                play in names and (play, attempt) not in known
                for other in world.cloud.machines.values()
                for play, attempt in other.plays
            )
            happened[f"{kind}: of an earlier attempt"] += moved
        world.awake(
            node,
            lambda: controller.on_request(
                make_request("POST", "/v1/report", report.body, world.running[node]),
                lambda _status, _data=b"{}", _retry_after=None: None,
            ),
        )
