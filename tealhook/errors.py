"""Base class of all errors of the package, and the errors that several modules share."""

from __future__ import annotations


class TealhookError(Exception):
    """Base class of all errors that tealhook defines, for callers that handle them alike."""


class CorruptRecordError(TealhookError, ValueError):
    """A record in the state store with invalid contents."""

    def __init__(self, key: str, expected: str, found: str) -> None:
        """Initialize with the `key` of the record, the expected contents, and the contents found instead."""
        super().__init__(f"corrupt record {key}: expected {expected}, found {found}")
        self.key = key
        self.expected = expected
        self.found = found
