"""Errors of the platform's log service, as the client sees them."""

from vanillamast_core import VanillamastError


class PlatformError(VanillamastError):
    """Base of the failures of a call to the platform's log."""


class PlatformUnavailableError(PlatformError):
    """The log did not answer, or answered that it is out of service."""


class PlatformBusyError(PlatformError):
    """The log refused an append because of its rate limit."""
