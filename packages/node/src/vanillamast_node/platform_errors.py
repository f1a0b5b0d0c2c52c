"""Errors of calls to the platform's log service."""

from vanillamast_core import VanillamastError


class PlatformError(VanillamastError):
    """Base class of errors of a call to the platform's log."""


class PlatformUnavailableError(PlatformError):
    """The log did not answer, or answered with an error status."""


class PlatformBusyError(PlatformError):
    """The log refused a call because of its rate limit (status 429)."""


class PlatformResponseTooLongError(PlatformUnavailableError):
    """The platform's response exceeds the limit."""
