"""Process of a controller: startup, and the implementation of `Effects` on sockets, clocks and random numbers."""

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
CONNECTIONS_PER_WORKER = 1
WORKER_CONNECTIONS_SHARE = 1 / 16  # share of the connections that direct calls to workers may use
MAX_ANSWER_MEMORY_SHARE = 1 / 16  # share of the memory that an answer of the state store may take
MIN_ANSWER_LIMIT_BYTES = 4 << 20
MIN_WORKER_CALLS = 16
MESH_CONNECTIONS_PER_PEER = 8  # both directions, and old connections that hang after a network partition
RESERVED_FILE_DESCRIPTORS = 16  # file descriptors for everything but connections that takes one
MIN_SERVER_CONNECTIONS = 16
MIN_IDLE_TIMEOUT_S = 60.0  # minimum time before an idle connection to the server is closed
GC_THRESHOLDS = (20000, 20, 50)


def max_worker_calls(settings: Settings) -> int:
    """Return the number of workers that may be called at the same time."""
    return max(MIN_WORKER_CALLS, int(settings.params.limits.max_connections * WORKER_CONNECTIONS_SHARE))


class Runtime:
    """Implementation of `Effects` on the event loop."""

    def __init__(self, settings: Settings) -> None:
        """Initialize without connections: they are opened by the first calls."""
        self.loop = Loop()
        self.rng = random.Random()
        self.now = self.loop.now
        self.wall = time.time
        limits = settings.params.limits
        self._state = HttpClient(
            self.loop,
            settings.services.state,
            max_connections=STATE_CONNECTIONS,
            max_body_bytes=max(MIN_ANSWER_LIMIT_BYTES, int(limits.memory_bytes(MAX_ANSWER_MEMORY_SHARE))),
        )
        self._cloud = HttpClient(
            self.loop, settings.services.cloud, max_connections=CLOUD_CONNECTIONS, max_idle_connections=1
        )
        self._workers: dict[str, HttpClient] = {}
        self.max_worker_calls = max_worker_calls(settings)
        self.transport: MeshTransport  # Set by `serve` before anything is sent, since it needs the controller.

    def later(self, delay: float, call: Callable[[], Any]) -> Timer:
        """Run `call` after `delay` seconds."""
        return self.loop.later(delay, call)

    def state(self, method: str, target: str, body: bytes | None, timeout: float, answer: OnAnswer) -> None:
        """Call the state store."""
        self._state.request(method, target, body, timeout, answer)

    def cloud(self, method: str, target: str, body: bytes | None, timeout: float, answer: OnAnswer) -> None:
        """Call the cloud; one idle connection stays open."""
        self._cloud.request(method, target, body, timeout, answer)

    def worker(self, addr: str, method: str, target: str, body: bytes | None, timeout: float, answer: OnAnswer) -> None:
        """Call a worker.

        At most `max_worker_calls` workers have connections. Beyond that, the least recently used idle connection is
        closed; if none is idle, the call fails.
        """
        client = self._workers.pop(addr, None)
        if client is None:
            if len(self._workers) >= self.max_worker_calls:
                idle = next((addr for addr, client in self._workers.items() if client.is_idle), None)
                if idle is None:  # A call in progress is not aborted for a new one: the new one fails.
                    self.loop.later(0.0, lambda: answer(None, b""))
                    return
                self._workers.pop(idle).close()
            client = HttpClient(self.loop, addr, max_connections=CONNECTIONS_PER_WORKER)
        self._workers[addr] = client  # ordered by last use, the least recent first
        client.request(method, target, body, timeout, answer)

    def mesh(self, peer: str, frame: bytes, soon: bool = False) -> None:
        """Send a frame to a peer."""
        self.transport.send(peer, frame, soon)


def serve(settings: Settings, policy: Policy) -> None:
    """Run a controller until the process is stopped."""
    runtime = Runtime(settings)
    controller = Controller(runtime, settings, policy)
    runtime.transport = _open_mesh_transport(runtime.loop, settings, controller)
    server = _open_http_server(runtime, settings, controller)
    controller.partition_manager.connection_load = server
    _reconnect_silent_peers(runtime, settings, controller)
    controller.start()
    log.info(
        "%s: started, serving users and workers at %s and controllers at %s",
        settings.node,
        settings.api_addr,
        settings.mesh_addr,
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
    """Listen for users and workers, which get the connections that remain after all other uses are reserved."""
    outgoing_connections = STATE_CONNECTIONS + CLOUD_CONNECTIONS + runtime.max_worker_calls
    mesh_connections = MESH_CONNECTIONS_PER_PEER * max(1, len(settings.peers))
    reserved = outgoing_connections + mesh_connections + RESERVED_FILE_DESCRIPTORS
    return HttpServer(
        runtime.loop,
        settings.api_addr,
        controller.on_request,
        max_connections=max(MIN_SERVER_CONNECTIONS, settings.params.limits.max_connections - reserved),
        idle_s=max(MIN_IDLE_TIMEOUT_S, 4 * settings.params.workers.lease_s),
        close_when_crowded=HEARTBEAT_PATH,
    )


def _reconnect_silent_peers(runtime: Runtime, settings: Settings, controller: Controller) -> None:
    """Periodically close the connections to silent peers, so that the next message opens new ones.

    After a network partition, a connection may hang for minutes.
    """
    lease_s = settings.params.workers.lease_s
    for peer in settings.peers:
        if controller.mesh.seconds_since_last_message(peer) > lease_s / 4:
            runtime.transport.reset(peer)
    runtime.loop.later(lease_s / 8, lambda: _reconnect_silent_peers(runtime, settings, controller))


def _tune_garbage_collection() -> None:
    """Exclude the objects that exist at the start from garbage collection, and collect others less often."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
