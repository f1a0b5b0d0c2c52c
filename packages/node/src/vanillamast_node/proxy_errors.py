"""Failures of the HTTP path."""

from vanillamast_core import VanillamastError


class ProxyError(VanillamastError):
    """Base of the failures of the HTTP path."""


class CallerGoneError(ProxyError):
    """The caller closed its connection before the body was complete."""


class BodyRejectedError(ProxyError):
    """The request body is over the limit."""


class ResponseAbortedError(ProxyError):
    """A response that has begun cannot be completed."""


class UpstreamConnectError(ProxyError):
    """No connection to the backend server was made; it got no byte."""


class UpstreamLostError(ProxyError):
    """The exchange with the backend server failed after it was connected."""
