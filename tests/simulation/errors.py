"""Errors of the simulation."""

from __future__ import annotations


class RuleViolationError(AssertionError):
    """A rule of the protocol was violated."""
