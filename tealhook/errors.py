"""The errors that cross the bounds of a module, with a common base."""

from __future__ import annotations


class TealhookError(Exception):
    """Base of the errors that tealhook raises itself, for callers that handle all of them alike."""


class CorruptRecordError(TealhookError, ValueError):
    """A record in the state service does not have the form that it must have."""

    def __init__(self, key: str, expected: str, found: str) -> None:
        """The record at `key`: what is `expected` there, and what was `found` instead."""
        super().__init__(f"corrupt record {key}: expected {expected}, found {found}")
        self.key = key
        self.expected = expected
        self.found = found
