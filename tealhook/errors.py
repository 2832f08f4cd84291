"""The base of the errors that tealhook raises itself."""

from __future__ import annotations


class TealhookError(Exception):
    """Base of the errors that tealhook raises itself, for callers that handle all of them alike."""
