"""Failures of the sidecar node, all below the project's one base."""

from vanillamast_core.errors import VanillamastError


class SidecarError(VanillamastError):
    """Base of the failures of the request path and of membership."""


class ConnectError(SidecarError):
    """A connection could not be established; nothing was sent."""


class ConnectionLostError(SidecarError):
    """A connection ended before the answer was complete."""


class MalformedResponseError(SidecarError):
    """A peer sent bytes that are not an answer to the request."""


class ResponseTimeoutError(SidecarError):
    """No complete answer arrived in time."""


class FrameError(SidecarError):
    """Bytes between two nodes do not decode to a message."""


class InvalidHeartbeatError(SidecarError):
    """A heartbeat lacks a field or holds one of another type."""


class InvalidConfigurationError(SidecarError):
    """A published configuration cannot be decoded."""


class InvalidSettingsError(SidecarError):
    """The settings file lacks a value or holds one of another type."""


class StoreError(SidecarError):
    """Base of the failures of a call to the coordination store."""


class StoreRefusedError(StoreError):
    """The store rejected the call and did nothing."""


class StoreConflictError(StoreError):
    """The condition of an append did not hold.

    Attributes:
      end_offset: Where the partition ends, -1 if the store did not say.
    """

    def __init__(self, message: str, end_offset: int = -1):
        super().__init__(message)
        self.end_offset = end_offset


class StoreTruncatedError(StoreError):
    """The requested records were deleted.

    Attributes:
      first_offset: First retained offset.
    """

    def __init__(self, message: str, first_offset: int = 0):
        super().__init__(message)
        self.first_offset = first_offset


class StoreUnknownOutcomeError(StoreError):
    """No answer arrived; the call may have been executed or may be later."""
