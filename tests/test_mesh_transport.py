"""Frames between controllers over TCP: deferrable frames are batched and stay in order."""

from tealhook.loop import Loop
from tealhook.loop.stream import Stream
from tealhook.mesh.transport import MeshTransport


def test_deferrable_frames_are_batched_in_order(monkeypatch):
    """Guards against one system call for the status update of each of hundreds of machines."""
    loop, got, writes = Loop(), [], []
    receiver = MeshTransport(loop, "127.0.0.1:0", {}, got.append, 1.0, 0.01)
    addr = f"127.0.0.1:{receiver._sock.getsockname()[1]}"
    sender = MeshTransport(loop, "127.0.0.1:0", {"peer": addr}, lambda frame: None, 1.0, 0.01)
    whole = Stream.write
    monkeypatch.setattr(Stream, "write", lambda self, data: writes.append(len(data)) or whole(self, data))
    frames = [b"news %d" % i for i in range(200)]
    for frame in frames:
        sender.send("peer", frame, soon=True)
    sender.send("peer", b"call")
    sender.send("peer", b"late", soon=True)
    loop.later(0.5, loop.stop)
    loop.run()
    assert got == [*frames, b"call", b"late"]
    assert len(writes) == 2
