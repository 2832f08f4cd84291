"""Gossip: delayed frames of earlier incarnations of a peer."""

from tealhook.mesh import Mesh
from tealhook.wire import mesh as wire
from tests.simulation.context import make_context


class _Registrations:
    """Reports one incarnation, or none, as registered for every node."""

    def __init__(self) -> None:
        self.incarnation: int | None = None

    def incarnation_of(self, _node: str) -> int | None:
        return self.incarnation


def test_late_gossip_of_earlier_incarnation_does_not_block_current_one():
    """Guards against ignoring all gossip of a restarted peer.

    Delayed gossip of a process that had started and ended behind a network partition was taken for the newest, and
    the gossip of the current process for outdated.
    """
    received = []
    registrations = _Registrations()
    mesh = Mesh(make_context(type("Clock", (), {"now": staticmethod(lambda: 0.0)})()), registrations)

    class Handler:
        """Records the gossip that the mesh passes on."""

        def on_message(self, sender, body, reply, /):
            received.append(body.state_age_s)

    mesh.start(Handler())

    def receive_gossip(incarnation: int, number: int) -> None:
        body = wire.Gossip("n1", float(incarnation * 100 + number), {})
        mesh.on_frame(wire.envelope_encoder.encode(wire.Envelope("n1", incarnation, number, 0, body)))

    receive_gossip(1, 5)
    registrations.incarnation = 3
    receive_gossip(3, 1)
    receive_gossip(2, 9)  # delayed, from a process between the two
    receive_gossip(1, 6)
    receive_gossip(3, 2)
    receive_gossip(3, 2)  # duplicated
    assert received == [105.0, 301.0, 302.0]
