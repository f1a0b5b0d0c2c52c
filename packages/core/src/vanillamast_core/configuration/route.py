"""A route as operators configure it."""

import msgspec

EDGE = "edge"  # The name that stands for callers outside the mesh.
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Sends requests with a path prefix and a method to a service.

    Attributes:
      path: Path prefix, matched at a "/" boundary; the longest match wins.
      service: Service that answers.
      methods: Methods that the route takes.
      callers: Services whose backend servers may use the route; "edge" is
        for callers outside the mesh.
      caller_class: Class whose queue and share the requests use.
      timeout_ms: Time for the whole exchange, retries included.
      idempotent: Whether requests may be repeated; None decides by method.
    """

    path: str
    service: str
    methods: tuple[str, ...] = ("GET", "HEAD")
    callers: tuple[str, ...] = (EDGE,)
    caller_class: str = "interactive"
    timeout_ms: int = 2000
    idempotent: bool | None = None

    def is_idempotent(self, method: str) -> bool:
        """Returns whether a request by this method may be repeated."""
        if self.idempotent is not None:
            return self.idempotent
        return method in IDEMPOTENT_METHODS
