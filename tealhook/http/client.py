"""HTTP client connections on the loop: persistent, one request at a time on each."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial

from tealhook.http.parser import HttpError, MessageParser, Response, encode_request
from tealhook.loop import Loop, Timer
from tealhook.loop.stream import Stream

Callback = Callable[[int | None, bytes], None]


class _Call:
    """One request and its callback, which is called exactly once: with the response, or when the time is up."""

    __slots__ = ("data", "callback", "timer", "done")

    def __init__(self, data: bytes, callback: Callback) -> None:
        self.data = data
        self.callback = callback
        self.timer: Timer | None = None
        self.done = False

    def finish(self, status: int | None, body: bytes) -> None:
        if not self.done:
            self.done = True
            if self.timer is not None:
                self.timer.cancel()
            self.callback(status, body)


class _Connection:
    """One connection and the call it is carrying."""

    def __init__(self, client: HttpClient, stream: Stream) -> None:
        self._client = client
        self.stream = stream
        self.call: _Call | None = None
        self._parser = MessageParser(responses=True, max_body=client.max_body)
        stream.on_data = self._on_data
        stream.on_close = self._on_close

    def start(self, call: _Call) -> None:
        self.call = call
        self.stream.write(call.data)

    def _on_data(self, data: bytes) -> None:
        self._parser.feed(data)
        try:
            response = self._parser.next()
            while response is not None and response.status < 200:  # interim answers are passed over
                response = self._parser.next()
        except HttpError:
            self.stream.close()
            return
        if response is not None:
            self._answered(response)

    def _answered(self, response: Response) -> None:
        call, self.call = self.call, None
        if call is None or not response.keep_alive:
            self.stream.close()
        else:
            self._client.free(self)
        if call is not None:
            call.finish(response.status, response.body)

    def _on_close(self) -> None:
        response = self._parser.end()
        call, self.call = self.call, None
        self._client.lost(self)
        if call is not None:
            if response is not None:
                call.finish(response.status, response.body)
            else:
                call.finish(None, b"")


class HttpClient:
    """Calls to one address over at most `max_connections` connections; further calls wait their turn."""

    def __init__(
        self, loop: Loop, addr: str, *, max_connections: int, max_body: int = 4 << 20, max_idle: int | None = None
    ) -> None:
        """`max_idle`: how many idle connections stay open for later calls; by default all of them."""
        self._loop = loop
        self._addr = addr
        self._max = max_connections
        self._max_idle = max_connections if max_idle is None else max_idle
        self.max_body = max_body
        self._free: list[_Connection] = []
        self._connections: set[_Connection] = set()
        self._waiting: deque[_Call] = deque()

    @property
    def idle(self) -> bool:
        """Whether no answer is waited for."""
        return not self._waiting and all(connection.call is None for connection in self._connections)

    def request(self, method: str, target: str, body: bytes | None, timeout: float, callback: Callback) -> None:
        """Call back with (status, body), or (None, b"") when there was no answer in time."""
        call = _Call(encode_request(method, target, self._addr, body), callback)
        call.timer = self._loop.later(timeout, lambda: self._timeout(call))
        self._waiting.append(call)
        self._pump()

    def _timeout(self, call: _Call) -> None:
        for connection in self._connections:
            if connection.call is call:
                connection.stream.close()  # an answer that comes later must not be taken for another call's
                break
        call.finish(None, b"")

    def _pump(self) -> None:
        while self._waiting:
            if self._waiting[0].done:
                self._waiting.popleft()
                continue
            while self._free and self._free[-1].stream.is_closed:
                self._free.pop()
            if self._free:
                connection = self._free.pop()
            elif len(self._connections) < self._max:
                stream = Stream.connect(self._loop, self._addr)
                if stream is None:
                    call = self._waiting.popleft()
                    self._loop.later(0.0, partial(call.finish, None, b""))
                    continue
                connection = _Connection(self, stream)
                self._connections.add(connection)
            else:
                return
            connection.start(self._waiting.popleft())

    def free(self, connection: _Connection) -> None:
        """A connection has answered its call and can carry the next one."""
        if len(self._free) >= self._max_idle:
            connection.stream.close()
        else:
            self._free.append(connection)
        self._loop.later(0.0, self._pump) if self._waiting else None

    def lost(self, connection: _Connection) -> None:
        """A connection has closed; calls that wait for one may open another."""
        self._connections.discard(connection)
        if connection in self._free:
            self._free.remove(connection)
        if self._waiting:
            self._loop.later(0.0, self._pump)

    def close(self) -> None:
        """Close every connection; a call in progress gets no answer."""
        for connection in list(self._connections):
            connection.stream.close()
