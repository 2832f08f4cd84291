"""HTTP server connections on the loop."""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol

from tealhook.http.parser import HttpError, MessageParser, Request, encode_response
from tealhook.loop import Loop
from tealhook.loop.stream import Stream, listen
from tealhook.wire.common import error_body

log = logging.getLogger(__name__)

ROOMY_SHARE = 0.75  # of the connections: with fewer open, answers to workers may be held for a while
RETRY_AFTER_S = 1  # what clients are told who are to come back, where the handler does not say when
COME_BACK = frozenset((429, 503))
MAX_OUT = 64 * 1024  # one answer at a time goes out on a connection, and none is larger by the protocol


class Reply(Protocol):
    """Answers one request, now or later; only the first call counts."""

    def __call__(self, status: int, body: bytes = b"{}", retry_after_s: int | None = None, /) -> object:
        """`retry_after_s`: seconds after which the client should repeat the request."""
        ...


RequestHandler = Callable[[Request, Reply], None]


class _Connection:
    """One client: a request at a time, each answered before the next is parsed."""

    def __init__(self, server: HttpServer, stream: Stream) -> None:
        self._server = server
        self._stream = stream
        self._parser = MessageParser(responses=False)
        self._busy = False
        self._refused = False  # what still comes is read and thrown away
        self.active_at = server.loop.now()
        self.begun_at = 0.0  # when the request now being read began; 0: none
        stream.on_data = self._on_data
        stream.on_close = lambda: server.forget(self)

    @property
    def busy(self) -> bool:
        """Whether a request of this connection waits for its answer."""
        return self._busy

    def close(self) -> None:
        """Close the connection, whatever it is doing."""
        self._stream.close()

    def _on_data(self, data: bytes) -> None:
        self.active_at = self._server.loop.now()
        if not self.begun_at:
            self.begun_at = self.active_at
        if self._refused:
            return
        self._parser.feed(data)
        if self._busy and self._parser.overfull:
            self._stream.close()  # guards memory against a client that pipelines without limit
            return
        self._step()

    def _step(self) -> None:
        if self._busy or self._stream.is_closed:
            return
        try:
            request = self._parser.next()
        except HttpError as exc:
            self._refuse(exc)
            return
        if request is not None:
            self._handle(request)
        elif self._parser.expects_continue:
            self._parser.expects_continue = False
            self._stream.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _handle(self, request: Request) -> None:
        """Hand a request on; its answer may come at once or much later, and only the first one counts."""
        self._busy = True
        self.begun_at = 0.0
        answered = False

        def reply(status: int, body: bytes = b"{}", retry_after_s: int | None = None) -> None:
            nonlocal answered
            if answered:
                return
            if status in COME_BACK and retry_after_s is None:
                retry_after_s = RETRY_AFTER_S
            answered = True
            self._busy = False
            self.active_at = self._server.loop.now()
            self._server.touch(self)
            keep_alive = request.keep_alive and not self._server.closes_after(request)
            self._stream.write(encode_response(status, body, keep_alive, retry_after_s))
            if not keep_alive:
                self._stream.finish()
            elif not self._parser.idle:
                self._step()

        try:
            self._server.handler(request, reply)
        except Exception:
            log.exception("request failed: %s %s", request.method, request.target)
            reply(500, error_body("internal error"), 1)

    def _refuse(self, error: HttpError) -> None:
        """Answer what is no request; the client closes, or the sweep once it has had time.

        To close while it still sends would reset the connection, and it might never read the answer.
        """
        self._refused = True
        self._parser = MessageParser(responses=False)  # what was held of the request is let go
        self._stream.write(encode_response(error.status, error_body(str(error)), False))


class HttpServer:
    """Listens on `addr`; idle connections are closed when the share is used up or they are too old."""

    def __init__(
        self,
        loop: Loop,
        addr: str,
        handler: RequestHandler,
        *,
        max_connections: int,
        idle_s: float,
        short_when_crowded: str | None = None,
    ) -> None:
        """`handler` answers requests, now or later; who answers later must not do so while `crowded`.

        `short_when_crowded`: the path of requests whose connections are closed after the answer while that is so.
        """
        self.loop = loop
        self.handler = handler
        self._max = max_connections
        self._idle_s = idle_s
        self._short_when_crowded = short_when_crowded
        self._connections: OrderedDict[_Connection, None] = OrderedDict()
        self._sock = listen(addr, max_connections)  # all workers of a fleet may come at once
        loop.watch(self._sock, 1, self._accept)
        loop.later(idle_s / 4, self._sweep)

    def _accept(self, _events: int) -> None:
        for _ in range(64):
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            sock.setblocking(False)
            if len(self._connections) >= self._max and not self._evict():
                sock.close()
                continue
            connection = _Connection(self, Stream(self.loop, sock, max_unsent_bytes=MAX_OUT))
            self._connections[connection] = None

    @property
    def crowded(self) -> bool:
        """Whether answers may be held open no longer: an idle connection can be closed for a new one, one that waits
        for its answer can't, and users must always get in."""
        return len(self._connections) > ROOMY_SHARE * self._max

    def closes_after(self, request: Request) -> bool:
        """Whether a connection is closed with the answer to a request.

        With more workers than connections, an idle one is closed for each that comes. One that is told so opens a new
        connection for its next report; one that is closed just as that report is on its way takes this node for dead.
        """
        return request.target == self._short_when_crowded and self.crowded

    def _evict(self) -> bool:
        """Close the connection that has been idle longest; False when all are at work."""
        for connection in self._connections:
            if not connection.busy:
                connection.close()
                return True
        return False

    def touch(self, connection: _Connection) -> None:
        """A connection was used: it is now the last one to be closed for a new one."""
        if connection in self._connections:
            self._connections.move_to_end(connection)

    def forget(self, connection: _Connection) -> None:
        """A connection has closed."""
        self._connections.pop(connection, None)

    def _sweep(self) -> None:
        """Close what is idle too long, and clients that take too long over one request."""
        now = self.loop.now()
        for connection in list(self._connections):
            slow = connection.begun_at and now - connection.begun_at > self._idle_s / 4
            if not connection.busy and (now - connection.active_at > self._idle_s or slow):
                connection.close()
        self.loop.later(self._idle_s / 4, self._sweep)
