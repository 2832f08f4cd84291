"""An HTTP server on the event loop."""

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

CROWDED_CONNECTION_SHARE = 0.75  # Up to this share of all connections, responses to workers may be held open.
DEFAULT_RETRY_AFTER_HEADER_S = 1  # sent with retryable statuses if the handler gives no time
RETRYABLE_STATUSES = frozenset((429, 503))
MAX_OUTPUT_BYTES = 64 * 1024  # A connection sends one response at a time, which the protocol limits to this size.


class Reply(Protocol):
    """A callback that answers one request, now or later; only the first call has an effect."""

    def __call__(self, status: int, body: bytes = b"{}", retry_after_s: int | None = None, /) -> object:
        """Send the response; the client should repeat the request after `retry_after_s`, if given."""
        ...


RequestHandler = Callable[[Request, Reply], None]


class _Connection:
    """A connection of a client; each request is answered before the next one is parsed."""

    def __init__(self, server: HttpServer, stream: Stream) -> None:
        self._server = server
        self._stream = stream
        self._parser = MessageParser(responses=False)
        self._is_busy = False
        self._is_rejected = False  # Further input is read and discarded.
        self.last_active_at = server.loop.now()
        self.request_started_at = 0.0  # of the request that is being read, or 0 if there is none
        stream.on_data = self._on_data
        stream.on_close = lambda: server.remove(self)

    @property
    def is_busy(self) -> bool:
        """True while a request of this connection waits for its response."""
        return self._is_busy

    def close(self) -> None:
        """Close the connection, even if a request is in progress."""
        self._stream.close()

    def _on_data(self, data: bytes) -> None:
        self.last_active_at = self._server.loop.now()
        if not self.request_started_at:
            self.request_started_at = self.last_active_at
        if self._is_rejected:
            return
        self._parser.feed(data)
        if self._is_busy and self._parser.is_overfull:
            self._stream.close()  # limits the memory that a pipelining client can take
            return
        self._process_next_request()

    def _process_next_request(self) -> None:
        if self._is_busy or self._stream.is_closed:
            return
        try:
            request = self._parser.next()
        except HttpError as exc:
            self._reject(exc)
            return
        if request is not None:
            self._dispatch(request)
        elif self._parser.expects_continue:
            self._parser.expects_continue = False
            self._stream.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _dispatch(self, request: Request) -> None:
        """Pass a request to the handler, which may answer it now or later; only its first answer is sent."""
        self._is_busy = True
        self.request_started_at = 0.0
        answered = False

        def reply(status: int, body: bytes = b"{}", retry_after_s: int | None = None) -> None:
            nonlocal answered
            if answered:
                return
            if status in RETRYABLE_STATUSES and retry_after_s is None:
                retry_after_s = DEFAULT_RETRY_AFTER_HEADER_S
            answered = True
            self._is_busy = False
            self.last_active_at = self._server.loop.now()
            self._server.mark_used(self)
            keep_alive = request.keep_alive and not self._server.should_close_after(request)
            self._stream.write(encode_response(status, body, keep_alive, retry_after_s))
            if not keep_alive:
                self._stream.finish()
            elif not self._parser.is_idle:
                self._process_next_request()

        try:
            self._server.handler(request, reply)
        except Exception:
            log.exception("request handler failed with an unexpected error: %s %s", request.method, request.target)
            reply(500, error_body("internal error"), 1)

    def _reject(self, error: HttpError) -> None:
        """Answer a malformed request, and leave the connection open until the client closes it or it is stale.

        To close it while the client still sends would reset the connection, and the response might be lost.
        """
        self._is_rejected = True
        self._parser = MessageParser(responses=False)  # frees the bytes of the request
        self._stream.write(encode_response(error.status, error_body(str(error)), False))


class HttpServer:
    """A server that closes idle connections after a time, or earlier if new ones need their place."""

    def __init__(
        self,
        loop: Loop,
        addr: str,
        handler: RequestHandler,
        *,
        max_connections: int,
        idle_s: float,
        close_when_crowded: str | None = None,
    ) -> None:
        """Listen on `addr`.

        `handler` may answer requests later, except while `is_crowded`. While that is the case, the connections of
        requests for the path `close_when_crowded` are closed after the response.
        """
        self.loop = loop
        self.handler = handler
        self._max_connections = max_connections
        self._idle_s = idle_s
        self._close_when_crowded = close_when_crowded
        self._connections: OrderedDict[_Connection, None] = OrderedDict()
        self._sock = listen(addr, max_connections)  # All workers of a fleet may connect at once.
        loop.watch(self._sock, 1, self._accept)
        loop.later(idle_s / 4, self._close_stale_connections)

    def _accept(self, _events: int) -> None:
        for _ in range(64):
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            sock.setblocking(False)
            if len(self._connections) >= self._max_connections and not self._evict_idle_connection():
                sock.close()
                continue
            connection = _Connection(self, Stream(self.loop, sock, max_unsent_bytes=MAX_OUTPUT_BYTES))
            self._connections[connection] = None

    @property
    def is_crowded(self) -> bool:
        """True while responses must not be held open.

        An idle connection can be closed for a new one, but one that waits for its response can't, and users must always
        be able to connect.
        """
        return len(self._connections) > CROWDED_CONNECTION_SHARE * self._max_connections

    def should_close_after(self, request: Request) -> bool:
        """Check whether a connection is closed after the response to a request.

        With more workers than connections, each new connection closes an idle one. A worker whose connection closes
        with a response opens a new one for its next heartbeat, but a worker whose connection closes while that
        heartbeat is on its way considers this node dead.
        """
        return request.target == self._close_when_crowded and self.is_crowded

    def _evict_idle_connection(self) -> bool:
        """Close the connection that has been idle longest, and return False if none is idle."""
        for connection in self._connections:
            if not connection.is_busy:
                connection.close()
                return True
        return False

    def mark_used(self, connection: _Connection) -> None:
        """Mark a connection as most recently used, so that it is the last one to be evicted."""
        if connection in self._connections:
            self._connections.move_to_end(connection)

    def remove(self, connection: _Connection) -> None:
        """Remove a connection that has closed."""
        self._connections.pop(connection, None)

    def _close_stale_connections(self) -> None:
        """Close connections that are idle for too long or take too long to send a request."""
        now = self.loop.now()
        for connection in list(self._connections):
            is_slow = connection.request_started_at and now - connection.request_started_at > self._idle_s / 4
            if not connection.is_busy and (now - connection.last_active_at > self._idle_s or is_slow):
                connection.close()
        self.loop.later(self._idle_s / 4, self._close_stale_connections)
