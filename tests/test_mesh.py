"""Gossip: late frames of earlier incarnations of a peer."""

from tealhook.mesh import Mesh
from tealhook.wire import mesh as wire
from tests.simulation.context import make_context


class _Registrations:
    """Names the same process for every node, or none."""

    def __init__(self) -> None:
        self.incarnation: int | None = None

    def incarnation_of(self, _node: str) -> int | None:
        return self.incarnation


def test_late_gossip_of_earlier_incarnation_does_not_block_current_one():
    """Guards against a fleet that never heard a restarted peer again: gossip of a process that had lived and died
    behind a cut came late, was taken for the newest, and the present process for an old one."""
    heard = []
    registrations = _Registrations()
    mesh = Mesh(make_context(type("Clock", (), {"now": staticmethod(lambda: 0.0)})()), registrations)

    class Handler:
        """Notes the gossip that the mesh hands on."""

        def on_message(self, sender, body, reply, /):
            heard.append(body.state_age_s)

    mesh.start(Handler())

    def gossip(incarnation: int, number: int) -> None:
        body = wire.Gossip("n1", float(incarnation * 100 + number), {})
        mesh.on_frame(wire.envelope_encoder.encode(wire.Envelope("n1", incarnation, number, 0, body)))

    gossip(1, 5)
    registrations.incarnation = 3
    gossip(3, 1)
    gossip(2, 9)  # late, from between
    gossip(1, 6)
    gossip(3, 2)
    gossip(3, 2)  # twice
    assert heard == [105.0, 301.0, 302.0]
