"""A non-blocking TCP stream on the loop, with bounded buffers."""

from __future__ import annotations

import errno
import logging
import selectors
import socket
from collections.abc import Callable

from tealhook.loop.loop import Loop

log = logging.getLogger(__name__)

READ_SIZE = 64 * 1024


def parse_addr(text: str) -> tuple[str, int]:
    """`10.0.0.1:8080` -> ("10.0.0.1", 8080)."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def listen(addr: str, backlog: int = 256) -> socket.socket:
    """A listening, non-blocking socket."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    sock.bind(parse_addr(addr))
    sock.listen(backlog)
    return sock


class Stream:
    """One connection. `on_data(bytes)` for what arrives; `on_close()` once, however it ends."""

    def __init__(
        self, loop: Loop, sock: socket.socket, *, connecting: bool = False, max_unsent_bytes: int = 8 << 20
    ) -> None:
        """`connecting`: the connection is still being made; `max_unsent_bytes`: most bytes that may wait to be sent."""
        self._loop = loop
        self._sock = sock
        self._out = bytearray()
        self._max_unsent_bytes = max_unsent_bytes
        self._connecting = connecting
        self._closing = False
        self.is_closed = False
        self.on_data: Callable[[bytes], None] = lambda _data: None
        self.on_close: Callable[[], None] = lambda: None
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            pass
        self._events = 0
        self._update_events()

    @classmethod
    def connect(cls, loop: Loop, addr: str, max_unsent_bytes: int = 8 << 20) -> Stream | None:
        """Begin to connect; None when no socket could be had or the address refuses at once."""
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as exc:
            log.debug("no socket: %s", exc)
            return None
        sock.setblocking(False)
        code = sock.connect_ex(parse_addr(addr))
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            return None
        return cls(loop, sock, connecting=code != 0, max_unsent_bytes=max_unsent_bytes)

    @property
    def is_connected(self) -> bool:
        """Whether the connection is made and not closed yet."""
        return not self._connecting and not self.is_closed

    def _update_events(self) -> None:
        events = selectors.EVENT_READ
        if self._connecting or self._out:
            events |= selectors.EVENT_WRITE
        if events != self._events:
            self._events = events
            self._loop.watch(self._sock, events, self._ready)

    def _ready(self, events: int) -> None:
        if self.is_closed:
            return
        if self._connecting and events & selectors.EVENT_WRITE:
            if self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self.close()
                return
            self._connecting = False
        if events & selectors.EVENT_WRITE:
            self._flush()
        if events & selectors.EVENT_READ and not self.is_closed and not self._connecting:
            self._read()
        if not self.is_closed:
            self._update_events()

    def _read(self) -> None:
        try:
            data = self._sock.recv(READ_SIZE)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self.close()
            return
        if not data:
            self.close()
            return
        self.on_data(data)

    def _flush(self) -> None:
        while self._out:
            try:
                sent = self._sock.send(self._out)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self.close()
                return
            del self._out[:sent]
        if self._closing:
            self.close()

    def write(self, data: bytes) -> None:
        """Send `data`; a peer that does not read is cut off once too much is waiting for it."""
        if self.is_closed:
            return
        if len(self._out) + len(data) > self._max_unsent_bytes:
            self.close()
            return
        self._out += data
        if not self._connecting:
            self._flush()
        if not self.is_closed:
            self._update_events()

    def finish(self) -> None:
        """Close once what was written has gone out."""
        self._closing = True
        if not self._out:
            self.close()

    def close(self) -> None:
        """Close at once, dropping unsent bytes; `on_close` is called the first time only."""
        if self.is_closed:
            return
        self.is_closed = True
        self._loop.unwatch(self._sock)
        self._sock.close()
        self.on_close()
