"""Frames between controllers over TCP: deferrable frames are batched and stay in order."""

from tealhook.loop import Loop
from tealhook.loop.stream import Stream
from tealhook.mesh.transport import MeshTransport


def test_deferrable_frames_are_batched_in_order(monkeypatch):
    """Guards against one system call per status update of hundreds of machines."""
    loop, received, writes = Loop(), [], []
    receiver = MeshTransport(loop, "127.0.0.1:0", {}, received.append, 1.0, 0.01)
    addr = f"127.0.0.1:{receiver._sock.getsockname()[1]}"
    sender = MeshTransport(loop, "127.0.0.1:0", {"peer": addr}, lambda frame: None, 1.0, 0.01)
    original_write = Stream.write
    monkeypatch.setattr(Stream, "write", lambda self, data: writes.append(len(data)) or original_write(self, data))
    frames = [b"news %d" % i for i in range(200)]
    for frame in frames:
        sender.send("peer", frame, soon=True)
    sender.send("peer", b"call")
    sender.send("peer", b"late", soon=True)
    loop.later(0.5, loop.stop)
    loop.run()
    assert received == [*frames, b"call", b"late"]
    assert len(writes) == 2
