"""Errors that the simulation raises."""

from __future__ import annotations


class RuleViolationError(AssertionError):
    """A violation of a rule of the protocol by a controller."""
