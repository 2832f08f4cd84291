"""An HTTP client on the event loop, whose persistent connections carry one request at a time each."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial

from tealhook.http.parser import HttpError, MessageParser, Response, encode_request
from tealhook.loop import Loop, Timer
from tealhook.loop.stream import Stream

ResponseCallback = Callable[[int | None, bytes], None]


class _Call:
    """A request and its callback, which is called exactly once: with the response, or without one on failure."""

    __slots__ = ("data", "callback", "timer", "is_finished")

    def __init__(self, data: bytes, callback: ResponseCallback) -> None:
        self.data = data
        self.callback = callback
        self.timer: Timer | None = None
        self.is_finished = False

    def finish(self, status: int | None, body: bytes) -> None:
        if not self.is_finished:
            self.is_finished = True
            if self.timer is not None:
                self.timer.cancel()
            self.callback(status, body)


class _Connection:
    """A connection and the call that it carries, if any."""

    def __init__(self, client: HttpClient, stream: Stream) -> None:
        self._client = client
        self.stream = stream
        self.call: _Call | None = None
        self._parser = MessageParser(responses=True, max_body_bytes=client.max_body_bytes)
        stream.on_data = self._on_data
        stream.on_close = self._on_close

    def start(self, call: _Call) -> None:
        self.call = call
        self.stream.write(call.data)

    def _on_data(self, data: bytes) -> None:
        self._parser.feed(data)
        try:
            response = self._parser.next()
            while response is not None and response.status < 200:  # Interim responses are skipped.
                response = self._parser.next()
        except HttpError:
            self.stream.close()
            return
        if response is not None:
            self._on_response(response)

    def _on_response(self, response: Response) -> None:
        call, self.call = self.call, None
        if call is None or not response.keep_alive:
            self.stream.close()
        else:
            self._client.release(self)
        if call is not None:
            call.finish(response.status, response.body)

    def _on_close(self) -> None:
        response = self._parser.end()
        call, self.call = self.call, None
        self._client.remove(self)
        if call is not None:
            if response is not None:
                call.finish(response.status, response.body)
            else:
                call.finish(None, b"")


class HttpClient:
    """A client of one address with at most `max_connections` connections; further calls wait for one of them."""

    def __init__(
        self,
        loop: Loop,
        addr: str,
        *,
        max_connections: int,
        max_body_bytes: int = 4 << 20,
        max_idle_connections: int | None = None,
    ) -> None:
        """Initialize the client; no connection is opened before the first request.

        At most `max_idle_connections` idle connections stay open for later calls, by default all of them.
        """
        self._loop = loop
        self._addr = addr
        self._max_connections = max_connections
        self._max_idle_connections = max_connections if max_idle_connections is None else max_idle_connections
        self.max_body_bytes = max_body_bytes
        self._idle_connections: list[_Connection] = []
        self._connections: set[_Connection] = set()
        self._waiting_calls: deque[_Call] = deque()

    @property
    def is_idle(self) -> bool:
        """True if no call is in progress or waiting."""
        return not self._waiting_calls and all(connection.call is None for connection in self._connections)

    def request(
        self, method: str, target: str, body: bytes | None, timeout_s: float, callback: ResponseCallback
    ) -> None:
        """Send a request, and call back with (status, body).

        The callback is passed (None, b"") if the connection fails or no response arrives within `timeout_s`.
        """
        call = _Call(encode_request(method, target, self._addr, body), callback)
        call.timer = self._loop.later(timeout_s, lambda: self._on_timeout(call))
        self._waiting_calls.append(call)
        self._start_waiting_calls()

    def _on_timeout(self, call: _Call) -> None:
        for connection in self._connections:
            if connection.call is call:
                # A late response must not be taken for the response to another call.
                connection.stream.close()
                break
        call.finish(None, b"")

    def _start_waiting_calls(self) -> None:
        while self._waiting_calls:
            if self._waiting_calls[0].is_finished:
                self._waiting_calls.popleft()
                continue
            while self._idle_connections and self._idle_connections[-1].stream.is_closed:
                self._idle_connections.pop()
            if self._idle_connections:
                connection = self._idle_connections.pop()
            elif len(self._connections) < self._max_connections:
                stream = Stream.connect(self._loop, self._addr)
                if stream is None:
                    call = self._waiting_calls.popleft()
                    self._loop.later(0.0, partial(call.finish, None, b""))
                    continue
                connection = _Connection(self, stream)
                self._connections.add(connection)
            else:
                return
            connection.start(self._waiting_calls.popleft())

    def release(self, connection: _Connection) -> None:
        """Take back a connection whose call is answered, so that it can carry the next one."""
        if len(self._idle_connections) >= self._max_idle_connections:
            connection.stream.close()
        else:
            self._idle_connections.append(connection)
        self._loop.later(0.0, self._start_waiting_calls) if self._waiting_calls else None

    def remove(self, connection: _Connection) -> None:
        """Remove a connection that has closed; waiting calls may open another one."""
        self._connections.discard(connection)
        if connection in self._idle_connections:
            self._idle_connections.remove(connection)
        if self._waiting_calls:
            self._loop.later(0.0, self._start_waiting_calls)

    def close(self) -> None:
        """Close every connection; calls in progress get no response."""
        for connection in list(self._connections):
            connection.stream.close()
