"""A class of callers as operators configure it."""

import msgspec

DEFAULT_CLASS = "interactive"  # Exists unless a configuration replaces it.


class CallerClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How requests of a class compete with the others for slots.

    Attributes:
      priority: Lower numbers are served first.
      max_share: Largest share of a backend server's limit that the class may
        use, so that background work never takes the last slots.
      queue_limit: Requests that may wait on one node.
      queue_timeout_ms: Longest wait before a request is refused.
    """

    priority: int = 0
    max_share: float = 1.0
    queue_limit: int = 64
    queue_timeout_ms: int = 250
