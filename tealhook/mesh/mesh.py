"""Calls between controllers. Any message may be late, lost or repeated: every handler allows for that."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from tealhook.context import NodeContext
from tealhook.wire import mesh as wire

log = logging.getLogger("tealhook.mesh")

MAX_PROCESSES = 256

Answered = Callable[[wire.Body | None], Any]  # the reply, or None when none came in time
Reply = Callable[[wire.Body], None]
Handler = Callable[[str, wire.Body, Reply], None]  # of sender, message and a function to reply with


class Registrations(Protocol):
    """Which process runs under each node's name."""

    def incarnation_of(self, node: str) -> int | None:
        """The incarnation of the registered process; None when none is known."""
        ...


class Mesh:
    """`handler(sender, body, reply)` serves requests; `reply` may be called later, or never."""

    def __init__(self, context: NodeContext, registrations: Registrations) -> None:
        """Frames are accepted from the peers that the settings name."""
        self._effects = context.effects
        self.node = context.node
        self.peers = list(context.settings.peers)
        self._incarnation = context.incarnation
        self._registrations = registrations
        self._number = 0
        self._pending: dict[int, Answered] = {}
        self._numbers: dict[tuple[str, int], int] = {}  # (sender, incarnation) -> number of its newest gossip
        self.heard: dict[str, float] = {}
        self.handler: Handler = lambda _sender, _body, _reply: None

    def _frame(self, call: int, body: wire.Body) -> bytes:
        self._number += 1
        return wire.envelope_encoder.encode(wire.Envelope(self.node, self._incarnation, self._number, call, body))

    def send(self, peer: str, body: wire.Body) -> None:
        """One-way. To ourselves it is delivered in the next turn of the loop."""
        if peer == self.node:
            self._effects.later(0.0, lambda: self.handler(self.node, body, lambda _reply: None))
        else:
            self._effects.mesh(peer, self._frame(0, body), soon=True)

    def broadcast(self, body: wire.Body) -> None:
        """One-way to every node, this one included."""
        for peer in (self.node, *self.peers):
            self.send(peer, body)

    def call(self, peer: str, body: wire.Body, timeout: float, answered: Answered) -> None:
        """Exactly one call of `answered`: with the reply, or None."""
        self._number += 1
        number = self._number
        timer = self._effects.later(timeout, lambda: self._finish(number, None))

        def once(reply: wire.Body | None) -> None:
            timer.cancel()
            answered(reply)

        self._pending[number] = once
        if peer == self.node:
            self._effects.later(0.0, lambda: self.handler(self.node, body, lambda reply: self._finish(number, reply)))
        else:
            frame = wire.envelope_encoder.encode(wire.Envelope(self.node, self._incarnation, number, number, body))
            self._effects.mesh(peer, frame)

    def _finish(self, number: int, reply: wire.Body | None) -> None:
        answered = self._pending.pop(number, None)
        if answered is not None:
            answered(reply)

    def on_frame(self, frame: bytes) -> None:
        """A frame from a peer; one that can't be read is treated as not received."""
        try:
            envelope = wire.envelope_decoder.decode(frame)
        except msgspec.DecodeError as exc:
            log.error("mesh: bad message: %s", exc)
            return
        sender = envelope.sender
        if sender not in self.peers:
            return
        self.heard[sender] = self._effects.now()
        if envelope.call < 0:
            # A reply names the call's number; the incarnation guards against replies to an earlier process of ours.
            if envelope.incarnation == self._incarnation:
                self._finish(-envelope.call, envelope.body)
            return
        if isinstance(envelope.body, wire.Gossip) and not self._newest(envelope):
            return

        def reply(body: wire.Body) -> None:
            if envelope.call:
                answer = wire.Envelope(self.node, envelope.incarnation, 0, -envelope.call, body)
                self._effects.mesh(sender, wire.envelope_encoder.encode(answer))

        self.handler(sender, envelope.body, reply)

    def _newest(self, envelope: wire.Envelope) -> bool:
        """Whether gossip is newer than all before from that process, and that process is the registered one.

        This guards against delayed copies from before one or several restarts: they must not be taken for current, and
        their numbers must not make later gossip look old.
        """
        current = self._registrations.incarnation_of(envelope.sender)
        if current is not None and current != envelope.incarnation:
            return False
        key = (envelope.sender, envelope.incarnation)
        if envelope.number <= self._numbers.get(key, 0):
            return False
        if len(self._numbers) > MAX_PROCESSES:
            self._numbers.clear()
        self._numbers[key] = envelope.number
        return True
