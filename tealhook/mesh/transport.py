"""Transport of mesh frames over TCP; each frame follows its length, a big-endian integer of four bytes."""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial

from tealhook.loop import Loop
from tealhook.loop.stream import Stream, listen
from tealhook.wire.mesh import MAX_FRAME_BYTES

log = logging.getLogger(__name__)

FRAME_LENGTH_BYTES = 4
# Bytes queued for a peer that does not read; more than a frame, since the gossip of thousands of machines is one frame.
MAX_QUEUED_BYTES = 2 * MAX_FRAME_BYTES
MAX_BATCH_BYTES = 32 * 1024
ACCEPT_BACKLOG = 32
# After a network partition a peer opens new connections while its old ones still hang.
MAX_INCOMING_PER_PEER = 4


class _FrameParser:
    """Incremental parser of the frames in a byte stream."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes] | None:
        """Add received bytes and return the frames that are complete, or None if a frame is too large."""
        self._buffer += data
        frames = []
        while len(self._buffer) >= FRAME_LENGTH_BYTES:
            size = int.from_bytes(self._buffer[:FRAME_LENGTH_BYTES], "big")
            if size > MAX_FRAME_BYTES:
                return None
            if len(self._buffer) < FRAME_LENGTH_BYTES + size:
                break
            frames.append(bytes(self._buffer[FRAME_LENGTH_BYTES : FRAME_LENGTH_BYTES + size]))
            del self._buffer[: FRAME_LENGTH_BYTES + size]
        return frames


class MeshTransport:
    """Transport that sends frames on one connection to each peer, and receives them on those that peers open."""

    def __init__(
        self,
        loop: Loop,
        addr: str,
        peers: dict[str, str],
        on_frame: Callable[[bytes], None],
        connect_timeout_s: float,
        batching_s: float,
    ) -> None:
        """Listen at `addr`; connections to `peers`, which maps nodes to addresses, are opened by the first frames.

        An outgoing connection that is not established within `connect_timeout_s` is replaced. `batching_s` is the
        longest delay of frames that are batched.
        """
        self._loop = loop
        self._peers = peers
        self._on_frame = on_frame
        self._connect_timeout_s = connect_timeout_s
        self._batching_s = batching_s
        self._batches: dict[str, bytearray] = {}
        self._connections: dict[str, Stream] = {}
        self._connecting_since: dict[str, float] = {}  # peer -> time at which its current connection was started
        self._incoming: set[Stream] = set()
        self._max_incoming = MAX_INCOMING_PER_PEER * max(1, len(peers))
        self._sock = listen(addr, ACCEPT_BACKLOG)
        loop.watch(self._sock, 1, self._accept)

    def send(self, peer: str, frame: bytes, soon: bool = False) -> None:
        """Send a frame on a best-effort basis: it is dropped if the peer cannot be reached or does not read.

        With `soon` the frame may wait up to `batching_s` to be sent in one batch with others; the order of frames is
        kept. Without batching the status updates of hundreds of machines would each cost a system call here and an
        iteration of the event loop at the receiver.
        """
        batch = self._batches.get(peer)
        if batch is None:
            batch = self._batches[peer] = bytearray()
        if soon and not batch:
            self._loop.later(self._batching_s, lambda: self._flush(peer))
        batch += len(frame).to_bytes(FRAME_LENGTH_BYTES, "big") + frame
        if not soon or len(batch) > MAX_BATCH_BYTES:
            self._flush(peer)

    def _flush(self, peer: str) -> None:
        """Write the batched frames of a peer, on a new connection if there is no usable one."""
        data = self._batches.get(peer)
        if not data:
            return
        self._batches[peer] = bytearray()
        connection = self._usable_connection(peer) or self._connect(peer)
        if connection is not None:
            connection.write(bytes(data))

    def _usable_connection(self, peer: str) -> Stream | None:
        """Return the connection to a peer, or None if there is none, it is closed or it took too long to establish."""
        connection = self._connections.get(peer)
        if connection is None:
            return None
        if not connection.is_connected and self._loop.now() - self._connecting_since[peer] > self._connect_timeout_s:
            connection.close()
            return None
        return None if connection.is_closed else connection

    def _connect(self, peer: str) -> Stream | None:
        """Start a connection to a peer and return it, or None if that fails immediately."""
        connection = Stream.connect(self._loop, self._peers[peer], MAX_QUEUED_BYTES)
        if connection is not None:
            self._connections[peer] = connection
            self._connecting_since[peer] = self._loop.now()
        return connection

    def reset(self, peer: str) -> None:
        """Close the connection to a silent peer, since it may hang; the next frame opens a new one."""
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
                evicted = next(iter(self._incoming))  # an arbitrary one: sets are unordered
                evicted.close()
            stream = Stream(self._loop, sock)
            self._incoming.add(stream)
            stream.on_close = partial(self._incoming.discard, stream)
            stream.on_data = partial(self._on_data, stream, _FrameParser())

    def _on_data(self, stream: Stream, parser: _FrameParser, data: bytes) -> None:
        frames = parser.feed(data)
        if frames is None:
            log.error(
                "mesh: closing an incoming connection: it announced a frame larger than %d bytes", MAX_FRAME_BYTES
            )
            stream.close()
            return
        for frame in frames:
            self._on_frame(frame)
