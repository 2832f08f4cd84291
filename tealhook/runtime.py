"""The process of a controller: sockets, clock and random numbers behind `Effects`, and its start."""

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
from tealhook.loop.effects import OnAnswer
from tealhook.mesh.transport import MeshTransport
from tealhook.settings import Policy, Settings
from tealhook.wire.workers import HEARTBEAT_PATH

log = logging.getLogger(__name__)

STATE_CONNECTIONS = 12
CLOUD_CONNECTIONS = 4
WORKER_CONNECTIONS = 1
WORKER_CALLS_SHARE = 1 / 16  # of the connections: for direct calls to workers
ANSWER_SHARE = 1 / 16  # of the memory: the largest answer of the state service that is taken
MIN_ANSWER_BYTES = 4 << 20
MIN_WORKER_CALLS = 16
MESH_CONNECTIONS_PER_PEER = 8  # both ways, with old ones that hang after a network cut
SPARE_FILES = 16  # for everything else that takes a file descriptor
MIN_SERVER_CONNECTIONS = 16
MIN_IDLE_S = 60.0  # before an idle connection is closed
GC_THRESHOLDS = (20000, 20, 50)


def max_worker_calls(settings: Settings) -> int:
    """How many workers may be called at the same time."""
    return max(MIN_WORKER_CALLS, int(settings.params.limits.max_connections * WORKER_CALLS_SHARE))


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
            max_body=max(MIN_ANSWER_BYTES, int(limits.memory_bytes(ANSWER_SHARE))),
        )
        self._cloud = HttpClient(self.loop, settings.services.cloud, max_connections=CLOUD_CONNECTIONS, max_idle=1)
        self._workers: dict[str, HttpClient] = {}
        self.max_worker_calls = max_worker_calls(settings)
        self.transport: MeshTransport  # set by `serve` before anything is sent: it needs the controller

    def later(self, delay: float, call: Callable[[], Any]) -> Timer:
        """Make a call after `delay` seconds."""
        return self.loop.later(delay, call)

    def state(self, method: str, target: str, body: bytes | None, timeout: float, answer: OnAnswer) -> None:
        """Call the state service."""
        self._state.request(method, target, body, timeout, answer)

    def cloud(self, method: str, target: str, body: bytes | None, timeout: float, answer: OnAnswer) -> None:
        """Call the cloud; one idle connection is kept."""
        self._cloud.request(method, target, body, timeout, answer)

    def worker(self, addr: str, method: str, target: str, body: bytes | None, timeout: float, answer: OnAnswer) -> None:
        """Call a worker. At most `max_worker_calls` of them have connections; an idle one makes way for a new one."""
        client = self._workers.pop(addr, None)
        if client is None:
            if len(self._workers) >= self.max_worker_calls:
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
    runtime.transport = _open_mesh_transport(runtime.loop, settings, controller)
    server = _open_http_server(runtime, settings, controller)
    controller.partition_manager.connection_load = server
    _reconnect_unheard_peers(runtime, settings, controller)
    controller.start()
    log.info(
        "%s serves users and workers at %s, controllers at %s", settings.node, settings.api_addr, settings.mesh_addr
    )
    _tune_garbage_collection()
    runtime.loop.run()


def _open_mesh_transport(loop: Loop, settings: Settings, controller: Controller) -> MeshTransport:
    workers = settings.params.workers
    return MeshTransport(
        loop,
        settings.mesh_addr,
        settings.peers,
        controller.mesh.on_frame,
        connect_timeout_s=workers.lease_s / 8,
        batching_s=workers.report_s / 50,
    )


def _open_http_server(runtime: Runtime, settings: Settings, controller: Controller) -> HttpServer:
    """Listen for users and workers; they get the connections that nothing else may need."""
    own_connections = STATE_CONNECTIONS + CLOUD_CONNECTIONS + runtime.max_worker_calls
    mesh_connections = MESH_CONNECTIONS_PER_PEER * max(1, len(settings.peers))
    spare = own_connections + mesh_connections + SPARE_FILES
    return HttpServer(
        runtime.loop,
        settings.api_addr,
        controller.on_request,
        max_connections=max(MIN_SERVER_CONNECTIONS, settings.params.limits.max_connections - spare),
        idle_s=max(MIN_IDLE_S, 4 * settings.params.workers.lease_s),
        short_when_crowded=HEARTBEAT_PATH,
    )


def _reconnect_unheard_peers(runtime: Runtime, settings: Settings, controller: Controller) -> None:
    """Reconnect to peers not heard lately, again and again: after a network cut a connection may hang for minutes."""
    lease_s = settings.params.workers.lease_s
    for peer in settings.peers:
        if controller.mesh.seconds_since_last_message(peer) > lease_s / 4:
            runtime.transport.reset(peer)
    runtime.loop.later(lease_s / 8, lambda: _reconnect_unheard_peers(runtime, settings, controller))


def _tune_garbage_collection() -> None:
    """Leave what exists at the start out of collections, and collect the rest less often."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
