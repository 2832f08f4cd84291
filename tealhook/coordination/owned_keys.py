"""The keys that this node owns, as its components have been told."""

from __future__ import annotations

import logging
from typing import Protocol

log = logging.getLogger(__name__)


class OwnershipObserver(Protocol):
    """Told of each change of what this node owns."""

    def on_ownership_change(self, key: str, token: int | None) -> None:
        """This node owns `key` under fencing token `token`, or with None no longer owns it."""
        ...


class OwnedKeys:
    """Own keys and their fencing tokens."""

    def __init__(self) -> None:
        """Nothing is owned at first."""
        self._tokens: dict[str, int] = {}

    def token(self, key: str) -> int | None:
        """The fencing token of a key that this node owns."""
        return self._tokens.get(key)

    def tokens(self) -> dict[str, int]:
        """All own keys with their fencing tokens."""
        return dict(self._tokens)

    def update(self, tokens: dict[str, int], observer: OwnershipObserver) -> None:
        """Make `tokens` the own keys, and tell the observer of the differences: losses first.

        A key with a new token is lost and acquired, since another node may have owned it in between.
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
