"""Exceptions of the sidecar node."""

from vanillamast_core.errors import VanillamastError


class SidecarError(VanillamastError):
    """Base of the sidecar node's exceptions."""


class ConnectError(SidecarError):
    """A connection could not be established; nothing was sent."""


class ConnectionLostError(SidecarError):
    """A connection ended before the response was complete."""


class MalformedResponseError(SidecarError):
    """The received bytes are not a valid response to the request."""


class ResponseTooLargeError(MalformedResponseError):
    """The response exceeds a limit; the request may have run."""


class ResponseTimeoutError(SidecarError):
    """No complete response arrived in time."""


class FrameError(SidecarError):
    """A message cannot be encoded, or bytes cannot be decoded to one."""


class InvalidHeartbeatError(SidecarError):
    """A heartbeat lacks a field or has one of the wrong type."""


class InvalidRateLimitError(SidecarError):
    """A response has a rate limit that is not a number of 0 or more."""


class InvalidConfigurationError(SidecarError):
    """A published configuration cannot be decoded."""


class InvalidSettingsError(SidecarError):
    """The settings file lacks a value or has one of the wrong type."""


class StoreError(SidecarError):
    """Base of the exceptions of a call to the coordination store."""


class StoreRefusedError(StoreError):
    """The store refused the call and did nothing."""


class StoreConflictError(StoreError):
    """The condition of an append did not hold.

    Attributes:
      end_offset: End offset of the partition, -1 if unknown.
    """

    def __init__(self, message: str, end_offset: int = -1):
        super().__init__(message)
        self.end_offset = end_offset


class StoreTruncatedError(StoreError):
    """The store has deleted the requested records.

    Attributes:
      first_offset: Offset of the first record that it still has.
    """

    def __init__(self, message: str, first_offset: int = 0):
        super().__init__(message)
        self.first_offset = first_offset


class StoreEraError(StoreError):
    """The store's era changed between a call and its answer.

    What was read may be outdated, and what was written may be lost.
    """


class StoreUnknownOutcomeError(StoreError):
    """No response arrived; the call may have been executed or may yet be."""
