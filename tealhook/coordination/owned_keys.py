"""The keys that this node owns, as last reported to its components."""

from __future__ import annotations

import logging
from typing import Protocol

log = logging.getLogger(__name__)


class OwnershipObserver(Protocol):
    """Receiver of changes of the keys that this node owns."""

    def on_ownership_change(self, key: str, token: int | None) -> None:
        """Handle the acquisition of `key` under the fencing token `token`, or its loss if `token` is None."""
        ...


class OwnedKeys:
    """Keys that this node owns, with their fencing tokens."""

    def __init__(self) -> None:
        """Initialize without any owned key."""
        self._tokens: dict[str, int] = {}

    def token(self, key: str) -> int | None:
        """Return the fencing token of an owned key, or None if this node does not own the key."""
        return self._tokens.get(key)

    def tokens(self) -> dict[str, int]:
        """Return all owned keys with their fencing tokens."""
        return dict(self._tokens)

    def update(self, tokens: dict[str, int], observer: OwnershipObserver) -> None:
        """Replace the owned keys by `tokens` and report the differences to the observer, losses first.

        A key with a new token is reported as lost and then as acquired, since another node may have owned it in
        between.
        """
        for key, token in list(self._tokens.items()):
            if tokens.get(key) != token:
                del self._tokens[key]
                log.info("lost ownership of %s", key)
                observer.on_ownership_change(key, None)
        for key, token in tokens.items():
            if key not in self._tokens:
                self._tokens[key] = token
                log.info("acquired ownership of %s with fencing token %d", key, token)
                observer.on_ownership_change(key, token)
