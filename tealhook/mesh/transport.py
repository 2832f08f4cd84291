"""Mesh frames over TCP: a length of four bytes, then the frame."""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial

from tealhook.loop import Loop
from tealhook.loop.stream import Stream, listen
from tealhook.wire.mesh import MAX_FRAME

log = logging.getLogger(__name__)

LENGTH_BYTES = 4  # of the length before each frame
MAX_QUEUED = 2 * MAX_FRAME  # to a peer that does not read; the gossip of thousands of machines is one frame
MAX_BATCH = 32 * 1024  # bytes of frames that wait to go out together
BACKLOG = 32  # connections that peers may open at once
INCOMING_PER_PEER = 4  # connections: after a network cut a peer opens new ones beside old ones that hang


class _FrameParser:
    """Cuts a byte stream into frames; None for a frame that is too large."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes] | None:
        self._buffer += data
        frames = []
        while len(self._buffer) >= LENGTH_BYTES:
            size = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
            if size > MAX_FRAME:
                return None
            if len(self._buffer) < LENGTH_BYTES + size:
                break
            frames.append(bytes(self._buffer[LENGTH_BYTES : LENGTH_BYTES + size]))
            del self._buffer[: LENGTH_BYTES + size]
        return frames


class MeshTransport:
    """Sends on one connection to each peer, receives on those that peers make."""

    def __init__(
        self,
        loop: Loop,
        addr: str,
        peers: dict[str, str],
        on_frame: Callable[[bytes], None],
        connect_timeout_s: float,
        batching_s: float,
    ) -> None:
        """`connect_timeout_s`: for a connection to come about; `batching_s`: for what need not go out at once."""
        self._loop = loop
        self._peers = peers
        self._on_frame = on_frame
        self._connect_timeout_s = connect_timeout_s
        self._batching_s = batching_s
        self._batches: dict[str, bytearray] = {}
        self._connections: dict[str, Stream] = {}
        self._connecting_since: dict[str, float] = {}  # peer -> when its present connection was begun
        self._incoming: set[Stream] = set()
        self._max_incoming = INCOMING_PER_PEER * max(1, len(peers))
        self._sock = listen(addr, BACKLOG)
        loop.watch(self._sock, 1, self._accept)

    def send(self, peer: str, frame: bytes, soon: bool = False) -> None:
        """Best effort: dropped when the peer can't be reached or does not read.

        Frames sent `soon` are batched for a moment: one by one, the status updates of hundreds of machines would each
        cost a system call here and a turn of the loop at the receiver.
        """
        batch = self._batches.get(peer)
        if batch is None:
            batch = self._batches[peer] = bytearray()
        if soon and not batch:
            self._loop.later(self._batching_s, lambda: self._flush(peer))
        batch += len(frame).to_bytes(LENGTH_BYTES, "big") + frame
        if not soon or len(batch) > MAX_BATCH:
            self._flush(peer)

    def _flush(self, peer: str) -> None:
        """Write the frames that wait for a peer, on a new connection if there is none."""
        data = self._batches.get(peer)
        if not data:
            return
        self._batches[peer] = bytearray()
        connection = self._usable_connection(peer) or self._connect(peer)
        if connection is not None:
            connection.write(bytes(data))

    def _usable_connection(self, peer: str) -> Stream | None:
        """The connection to a peer, unless it is closed or has taken too long to come about."""
        connection = self._connections.get(peer)
        if connection is None:
            return None
        if not connection.is_connected and self._loop.now() - self._connecting_since[peer] > self._connect_timeout_s:
            connection.close()
            return None
        return None if connection.is_closed else connection

    def _connect(self, peer: str) -> Stream | None:
        connection = Stream.connect(self._loop, self._peers[peer], MAX_QUEUED)
        if connection is not None:
            self._connections[peer] = connection
            self._connecting_since[peer] = self._loop.now()
        return connection

    def reset(self, peer: str) -> None:
        """Close the connection to a peer that is not heard, since it may hang; the next frame opens a new one."""
        connection = self._connections.pop(peer, None)
        if connection is not None:
            connection.close()

    def _accept(self, _events: int) -> None:
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            sock.setblocking(False)
            if len(self._incoming) >= self._max_incoming:
                oldest = next(iter(self._incoming))
                oldest.close()
            stream = Stream(self._loop, sock)
            self._incoming.add(stream)
            stream.on_close = partial(self._incoming.discard, stream)
            stream.on_data = partial(self._on_data, stream, _FrameParser())

    def _on_data(self, stream: Stream, parser: _FrameParser, data: bytes) -> None:
        frames = parser.feed(data)
        if frames is None:
            log.error("mesh: frame too large")
            stream.close()
            return
        for frame in frames:
            self._on_frame(frame)
