"""The base class of the errors that this package raises."""


class TealhookError(Exception):
    """Base class of all errors of this package."""
