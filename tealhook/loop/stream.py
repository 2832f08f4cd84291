"""Non-blocking TCP streams on the event loop, with bounded send buffers."""

from __future__ import annotations

import errno
import logging
import selectors
import socket
from collections.abc import Callable

from tealhook.loop.loop import Loop

log = logging.getLogger(__name__)

READ_SIZE_BYTES = 64 * 1024


def parse_addr(text: str) -> tuple[str, int]:
    """Split an address such as `10.0.0.1:8080` into its host and port."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def listen(addr: str, backlog: int = 256) -> socket.socket:
    """Return a non-blocking socket that listens at an address."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    sock.bind(parse_addr(addr))
    sock.listen(backlog)
    return sock


class Stream:
    """A TCP connection that calls `on_data` with received bytes, and `on_close` once, however the connection ends."""

    def __init__(
        self, loop: Loop, sock: socket.socket, *, connecting: bool = False, max_unsent_bytes: int = 8 << 20
    ) -> None:
        """Initialize a stream on a non-blocking socket.

        `connecting` says that the connection is not established yet. A write that would leave more than
        `max_unsent_bytes` in the send buffer closes the stream.
        """
        self._loop = loop
        self._sock = sock
        self._unsent = bytearray()
        self._max_unsent_bytes = max_unsent_bytes
        self._is_connecting = connecting
        self._close_when_sent = False
        self.is_closed = False
        self.on_data: Callable[[bytes], None] = lambda _data: None
        self.on_close: Callable[[], None] = lambda: None
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            pass
        self._watched_events = 0
        self._update_events()

    @classmethod
    def connect(cls, loop: Loop, addr: str, max_unsent_bytes: int = 8 << 20) -> Stream | None:
        """Start to connect; return None if no socket can be created or the connection fails at once."""
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as exc:
            log.debug("cannot create a socket: %s", exc)
            return None
        sock.setblocking(False)
        error_code = sock.connect_ex(parse_addr(addr))
        if error_code not in (0, errno.EINPROGRESS):
            sock.close()
            return None
        return cls(loop, sock, connecting=error_code != 0, max_unsent_bytes=max_unsent_bytes)

    @property
    def is_connected(self) -> bool:
        """True if the connection is established and has not been closed."""
        return not self._is_connecting and not self.is_closed

    def _update_events(self) -> None:
        events = selectors.EVENT_READ
        if self._is_connecting or self._unsent:
            events |= selectors.EVENT_WRITE
        if events != self._watched_events:
            self._watched_events = events
            self._loop.watch(self._sock, events, self._on_ready)

    def _on_ready(self, events: int) -> None:
        if self.is_closed:
            return
        if self._is_connecting and events & selectors.EVENT_WRITE:
            if self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self.close()
                return
            self._is_connecting = False
        if events & selectors.EVENT_WRITE:
            self._flush()
        if events & selectors.EVENT_READ and not self.is_closed and not self._is_connecting:
            self._receive()
        if not self.is_closed:
            self._update_events()

    def _receive(self) -> None:
        try:
            data = self._sock.recv(READ_SIZE_BYTES)
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
        while self._unsent:
            try:
                sent = self._sock.send(self._unsent)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self.close()
                return
            del self._unsent[:sent]
        if self._close_when_sent:
            self.close()

    def write(self, data: bytes) -> None:
        """Send `data`; close the stream instead if the peer reads too slowly and the send buffer would overflow."""
        if self.is_closed:
            return
        if len(self._unsent) + len(data) > self._max_unsent_bytes:
            self.close()
            return
        self._unsent += data
        if not self._is_connecting:
            self._flush()
        if not self.is_closed:
            self._update_events()

    def finish(self) -> None:
        """Close the stream once all written data has been sent."""
        self._close_when_sent = True
        if not self._unsent:
            self.close()

    def close(self) -> None:
        """Close the stream at once and discard unsent bytes; only the first call has an effect."""
        if self.is_closed:
            return
        self.is_closed = True
        self._loop.unwatch(self._sock)
        self._sock.close()
        self.on_close()
