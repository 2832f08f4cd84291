"""The real world behind `Effects`: sockets, clock and chance."""

from __future__ import annotations

import gc
import logging
import random
import time
from collections.abc import Callable
from typing import Any

from tealhook.controller import Controller
from tealhook.http import HttpClient, HttpServer
from tealhook.loop import Loop, Timer
from tealhook.loop.effects import Answer
from tealhook.mesh.transport import MeshTransport
from tealhook.settings import Policy, Settings
from tealhook.wire.workers import HEARTBEAT_PATH

log = logging.getLogger("tealhook")

STATE_CONNECTIONS = 12
CLOUD_CONNECTIONS = 4
WORKER_CONNECTIONS = 1
WORKERS_SHARE = 1 / 16  # of the connections: for direct calls to workers
ANSWER_SHARE = 1 / 16  # of the memory: the largest answer of the state service that is taken
LEAST_ANSWER_BYTES = 4 << 20


def most_direct_calls(settings: Settings) -> int:
    """How many workers may be called directly at the same time."""
    return max(16, int(settings.params.limits.max_connections * WORKERS_SHARE))


class Runtime:
    """Implements `Effects` on the loop."""

    def __init__(self, settings: Settings) -> None:
        """Connections to the state service and the cloud are opened with the first calls."""
        self.loop = Loop()
        self.rng = random.Random()
        self.now = self.loop.now
        self.wall = time.time
        limits = settings.params.limits
        self._state = HttpClient(
            self.loop,
            settings.services.state,
            max_connections=STATE_CONNECTIONS,
            max_body=max(LEAST_ANSWER_BYTES, int(limits.memory_bytes(ANSWER_SHARE))),
        )
        self._cloud = HttpClient(self.loop, settings.services.cloud, max_connections=CLOUD_CONNECTIONS, max_idle=1)
        self._workers: dict[str, HttpClient] = {}
        self.most_workers = most_direct_calls(settings)
        self.transport: MeshTransport  # set by `serve` before anything is sent: it needs the controller

    def later(self, delay: float, call: Callable[[], Any]) -> Timer:
        """Make a call after `delay` seconds."""
        return self.loop.later(delay, call)

    def state(self, method: str, target: str, body: bytes | None, timeout: float, answer: Answer) -> None:
        """Call the state service."""
        self._state.request(method, target, body, timeout, answer)

    def cloud(self, method: str, target: str, body: bytes | None, timeout: float, answer: Answer) -> None:
        """Call the cloud; one idle connection is kept."""
        self._cloud.request(method, target, body, timeout, answer)

    def worker(self, addr: str, method: str, target: str, body: bytes | None, timeout: float, answer: Answer) -> None:
        """Call a worker. At most `most_workers` of them have connections; an idle one makes way for a new one."""
        client = self._workers.pop(addr, None)
        if client is None:
            if len(self._workers) >= self.most_workers:
                idle = next((addr for addr, client in self._workers.items() if client.idle), None)
                if idle is None:  # no call in progress is given up for a new one: the new one fails
                    self.loop.later(0.0, lambda: answer(None, b""))
                    return
                self._workers.pop(idle).close()
            client = HttpClient(self.loop, addr, max_connections=WORKER_CONNECTIONS)
        self._workers[addr] = client  # in the order of last use, the least recent first
        client.request(method, target, body, timeout, answer)

    def mesh(self, peer: str, frame: bytes, soon: bool = False) -> None:
        """Send a frame to a peer."""
        self.transport.send(peer, frame, soon)


def serve(settings: Settings, policy: Policy) -> None:
    """Run a controller until the process is killed."""
    runtime = Runtime(settings)
    controller = Controller(runtime, settings, policy)
    lease_s = settings.params.workers.lease_s
    runtime.transport = MeshTransport(
        runtime.loop,
        settings.mesh_addr,
        settings.peers,
        controller.mesh.on_frame,
        lease_s / 8,
        settings.params.workers.report_s / 50,
    )
    spare = STATE_CONNECTIONS + CLOUD_CONNECTIONS + runtime.most_workers + 8 * max(1, len(settings.peers)) + 16
    users = max(16, settings.params.limits.max_connections - spare)
    server = HttpServer(
        runtime.loop,
        settings.api_addr,
        controller.on_request,
        max_connections=users,
        idle_s=max(60.0, 4 * lease_s),
        short_when_crowded=HEARTBEAT_PATH,
    )
    controller.partition_manager.connections = server

    def reconnect_silent_peers() -> None:
        """Open a new connection to peers that are silent: after a network cut the old one may hang for minutes."""
        now = runtime.now()
        for peer in settings.peers:
            if now - controller.mesh.heard.get(peer, -1e9) > lease_s / 4:
                runtime.transport.reset(peer)
        runtime.loop.later(lease_s / 8, reconnect_silent_peers)

    reconnect_silent_peers()
    controller.start()
    log.info(
        "%s serves users and workers at %s, controllers at %s", settings.node, settings.api_addr, settings.mesh_addr
    )
    gc.collect()
    gc.freeze()
    gc.set_threshold(20000, 20, 50)
    runtime.loop.run()
