"""Messages and calls between controllers.

Any message may be delayed, lost or duplicated, and every handler must tolerate that.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from tealhook.context import NodeContext
from tealhook.loop.effects import LONG_AGO_S
from tealhook.wire import mesh as wire

log = logging.getLogger(__name__)

MAX_TRACKED_PROCESSES = 256  # sending processes whose newest gossip number is kept

ReplyCallback = Callable[[wire.Body | None], Any]  # takes the reply, or None if none arrived in time


class MessageReply(Protocol):
    """Function that replies to one message; it does nothing if the sender expects no reply."""

    def __call__(self, body: wire.Body, /) -> object:
        """Send `body` as the reply."""
        ...


class MessageHandler(Protocol):
    """Handler of messages from other controllers, and from this one to itself."""

    def on_message(self, sender: str, body: wire.Body, reply: MessageReply, /) -> None:
        """Handle a message; `reply` may be called immediately, later or never."""
        ...


def _discard_reply(_body: wire.Body) -> None:
    """Discard the reply to a message that expects none."""


class Registrations(Protocol):
    """Source of the process that is registered for each node."""

    def incarnation_of(self, node: str) -> int | None:
        """Return the incarnation of the process that is registered for a node, or None if none is known."""
        ...


class Mesh:
    """Messaging endpoint that sends messages and calls to other controllers, and passes theirs to a handler."""

    def __init__(self, context: NodeContext, registrations: Registrations) -> None:
        """Initialize without a handler; messages are accepted only from the peers in the settings."""
        self._effects = context.effects
        self.node = context.node
        self.peers = list(context.settings.peers)
        self._incarnation = context.incarnation
        self._registrations = registrations
        self._number = 0
        self._pending_calls: dict[int, ReplyCallback] = {}  # number of the request -> callback
        self._newest_gossip_numbers: dict[tuple[str, int], int] = {}  # (sender, incarnation) -> message number
        self._last_message_at: dict[str, float] = {}  # peer -> time of arrival of its last message
        self._handler: MessageHandler  # set by `start`, before any message is sent or received

    def start(self, handler: MessageHandler) -> None:
        """Pass messages to `handler` from now on."""
        self._handler = handler

    def seconds_since_last_message(self, peer: str) -> float:
        """Return the seconds since the last message of a peer; more than any limit if there was none."""
        return self._effects.now() - self._last_message_at.get(peer, LONG_AGO_S)

    def _encode(self, call: int, body: wire.Body) -> bytes:
        """Encode a message with the next message number."""
        self._number += 1
        return self._encode_numbered(self._number, call, body)

    def _encode_numbered(self, number: int, call: int, body: wire.Body) -> bytes:
        return wire.envelope_encoder.encode(wire.Envelope(self.node, self._incarnation, number, call, body))

    def send(self, peer: str, body: wire.Body) -> None:
        """Send a one-way message; one to this node itself is delivered in the next iteration of the event loop."""
        if peer == self.node:
            self._effects.later(0.0, lambda: self._handler.on_message(self.node, body, _discard_reply))
        else:
            self._effects.mesh(peer, self._encode(wire.NO_REPLY, body), soon=True)

    def broadcast(self, body: wire.Body) -> None:
        """Send a one-way message to every node, including this one."""
        for peer in (self.node, *self.peers):
            self.send(peer, body)

    def call(self, peer: str, body: wire.Body, timeout_s: float, on_reply: ReplyCallback) -> None:
        """Send a request; call `on_reply` exactly once, with the reply or after `timeout_s` with None."""
        self._number += 1
        number = self._number
        timer = self._effects.later(timeout_s, lambda: self._finish_call(number, None))

        def on_finished(reply: wire.Body | None) -> None:
            timer.cancel()
            on_reply(reply)

        self._pending_calls[number] = on_finished
        if peer == self.node:
            self._effects.later(
                0.0, lambda: self._handler.on_message(self.node, body, lambda reply: self._finish_call(number, reply))
            )
        else:
            self._effects.mesh(peer, self._encode_numbered(number, number, body))

    def _finish_call(self, number: int, reply: wire.Body | None) -> None:
        """Finish a call with its reply, or None for a timeout; do nothing if it is already finished."""
        on_finished = self._pending_calls.pop(number, None)
        if on_finished is not None:
            on_finished(reply)

    def on_frame(self, frame: bytes) -> None:
        """Handle a frame from a peer; one that cannot be decoded is dropped."""
        try:
            envelope = wire.envelope_decoder.decode(frame)
        except msgspec.DecodeError as exc:
            log.error("mesh: dropping a frame that cannot be decoded: %s", exc)
            return
        sender = envelope.sender
        if sender not in self.peers:
            return
        self._last_message_at[sender] = self._effects.now()
        if envelope.call < wire.NO_REPLY:
            # A reply carries the negated number of its request and the incarnation of the process that sent the
            # request. The incarnation guards against replies to an earlier process of this node.
            if envelope.incarnation == self._incarnation:
                self._finish_call(-envelope.call, envelope.body)
            return
        if isinstance(envelope.body, wire.Gossip) and not self._is_newest_gossip(envelope):
            return

        def reply(body: wire.Body) -> None:
            if envelope.call != wire.NO_REPLY:
                answer = wire.Envelope(self.node, envelope.incarnation, 0, -envelope.call, body)
                self._effects.mesh(sender, wire.envelope_encoder.encode(answer))

        self._handler.on_message(sender, envelope.body, reply)

    def _is_newest_gossip(self, envelope: wire.Envelope) -> bool:
        """Check whether gossip is the newest of its process, and no other process is registered for the sender.

        This guards against delayed frames from before one or more restarts of the sender: they must not count as
        current, and their message numbers must not make gossip of the current process look old.
        """
        registered = self._registrations.incarnation_of(envelope.sender)
        if registered is not None and registered != envelope.incarnation:
            return False
        key = (envelope.sender, envelope.incarnation)
        if envelope.number <= self._newest_gossip_numbers.get(key, 0):
            return False
        if len(self._newest_gossip_numbers) > MAX_TRACKED_PROCESSES:
            self._newest_gossip_numbers.clear()
        self._newest_gossip_numbers[key] = envelope.number
        return True
