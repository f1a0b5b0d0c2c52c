"""A caller class as operators configure it."""

import msgspec

DEFAULT_CLASS = "interactive"  # Exists unless a configuration replaces it.


class CallerClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How requests of a caller class compete with others for slots.

    Attributes:
      priority: Lower numbers are served first.
      max_share: Largest share of a backend server's concurrency limit that the
        class may use, so that background work never takes the last slots.
      queue_limit: Most requests that may wait on one node.
      queue_timeout_ms: Longest wait after which a request is refused.
    """

    priority: int = 0
    max_share: float = 1.0
    queue_limit: int = 64
    queue_timeout_ms: int = 250
