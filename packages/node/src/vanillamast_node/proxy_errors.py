"""Errors of the HTTP path."""

from vanillamast_core import VanillamastError


class ProxyError(VanillamastError):
    """Base class of errors of the HTTP path."""


class CallerGoneError(ProxyError):
    """The caller closed its connection before the body was complete."""


class BodyRejectedError(ProxyError):
    """The request body exceeds the size limit."""


class ResponseAbortedError(ProxyError):
    """A response that has begun cannot be completed."""


class UpstreamConnectError(ProxyError):
    """The connection to the backend server failed; no byte was sent."""


class UpstreamLostError(ProxyError):
    """The connection to the backend server failed after it was established."""
