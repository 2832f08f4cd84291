"""Calls between controllers. Any message may be late, lost or repeated: every handler allows for that."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from tealhook.context import NodeContext
from tealhook.loop.effects import LONG_AGO_S
from tealhook.wire import mesh as wire

log = logging.getLogger(__name__)

MAX_PROCESSES = 256  # whose newest gossip is remembered

OnReply = Callable[[wire.Body | None], Any]  # is given the reply, or None when none came in time


class MessageReply(Protocol):
    """Sends the reply to one message; has no effect where the sender expects none."""

    def __call__(self, body: wire.Body, /) -> object:
        """Send `body` as the reply."""
        ...


class MessageHandler(Protocol):
    """Handles messages of other controllers, and of this one to itself."""

    def on_message(self, sender: str, body: wire.Body, reply: MessageReply, /) -> None:
        """Handle a message; `reply` may be called at once, later, or never."""
        ...


def _discard_reply(_body: wire.Body) -> None:
    """Take the reply to a message that expects none."""


class Registrations(Protocol):
    """Which process runs under each node's name."""

    def incarnation_of(self, node: str) -> int | None:
        """The incarnation of the registered process; None when none is known."""
        ...


class Mesh:
    """Sends messages and calls to other controllers, and hands theirs to a handler."""

    def __init__(self, context: NodeContext, registrations: Registrations) -> None:
        """Frames are accepted from the peers that the settings name."""
        self._effects = context.effects
        self.node = context.node
        self.peers = list(context.settings.peers)
        self._incarnation = context.incarnation
        self._registrations = registrations
        self._number = 0
        self._pending_calls: dict[int, OnReply] = {}  # by the number of the call
        self._newest_gossip: dict[tuple[str, int], int] = {}  # (sender, incarnation) -> number of its newest gossip
        self._heard_at: dict[str, float] = {}  # peer -> when its last message came
        self._handler: MessageHandler  # set by `start`, before any message is sent or received

    def start(self, handler: MessageHandler) -> None:
        """Hand messages to `handler` from now on."""
        self._handler = handler

    def seconds_since_last_message(self, peer: str) -> float:
        """Seconds since the last message of a peer; more than any limit when there was none."""
        return self._effects.now() - self._heard_at.get(peer, LONG_AGO_S)

    def _encode(self, call: int, body: wire.Body) -> bytes:
        """Encode a message under the next number."""
        self._number += 1
        return self._encode_numbered(self._number, call, body)

    def _encode_numbered(self, number: int, call: int, body: wire.Body) -> bytes:
        return wire.envelope_encoder.encode(wire.Envelope(self.node, self._incarnation, number, call, body))

    def send(self, peer: str, body: wire.Body) -> None:
        """One-way. To ourselves it is delivered in the next turn of the loop."""
        if peer == self.node:
            self._effects.later(0.0, lambda: self._handler.on_message(self.node, body, _discard_reply))
        else:
            self._effects.mesh(peer, self._encode(wire.NO_REPLY, body), soon=True)

    def broadcast(self, body: wire.Body) -> None:
        """One-way to every node, this one included."""
        for peer in (self.node, *self.peers):
            self.send(peer, body)

    def call(self, peer: str, body: wire.Body, timeout_s: float, on_reply: OnReply) -> None:
        """Send a request; `on_reply` is called exactly once, with the reply, or None after `timeout_s`."""
        self._number += 1
        number = self._number
        timer = self._effects.later(timeout_s, lambda: self._finish(number, None))

        def finish(reply: wire.Body | None) -> None:
            timer.cancel()
            on_reply(reply)

        self._pending_calls[number] = finish
        if peer == self.node:
            self._effects.later(
                0.0, lambda: self._handler.on_message(self.node, body, lambda reply: self._finish(number, reply))
            )
        else:
            self._effects.mesh(peer, self._encode_numbered(number, number, body))

    def _finish(self, number: int, reply: wire.Body | None) -> None:
        """End a call, unless it has ended already."""
        finish = self._pending_calls.pop(number, None)
        if finish is not None:
            finish(reply)

    def on_frame(self, frame: bytes) -> None:
        """Handle a frame from a peer; one that can't be decoded is treated as not received."""
        try:
            envelope = wire.envelope_decoder.decode(frame)
        except msgspec.DecodeError as exc:
            log.error("mesh: undecodable message: %s", exc)
            return
        sender = envelope.sender
        if sender not in self.peers:
            return
        self._heard_at[sender] = self._effects.now()
        if envelope.call < wire.NO_REPLY:
            # A reply names the call's number; the incarnation guards against replies to an earlier process of ours.
            if envelope.incarnation == self._incarnation:
                self._finish(-envelope.call, envelope.body)
            return
        if isinstance(envelope.body, wire.Gossip) and not self._is_newest(envelope):
            return

        def reply(body: wire.Body) -> None:
            if envelope.call != wire.NO_REPLY:
                answer = wire.Envelope(self.node, envelope.incarnation, 0, -envelope.call, body)
                self._effects.mesh(sender, wire.envelope_encoder.encode(answer))

        self._handler.on_message(sender, envelope.body, reply)

    def _is_newest(self, envelope: wire.Envelope) -> bool:
        """Whether gossip is newer than all before from that process, and that process is the registered one.

        This guards against delayed copies from before one or several restarts: they must not be taken for current, and
        their numbers must not make later gossip look old.
        """
        current = self._registrations.incarnation_of(envelope.sender)
        if current is not None and current != envelope.incarnation:
            return False
        key = (envelope.sender, envelope.incarnation)
        if envelope.number <= self._newest_gossip.get(key, 0):
            return False
        if len(self._newest_gossip) > MAX_PROCESSES:
            self._newest_gossip.clear()
        self._newest_gossip[key] = envelope.number
        return True
