"""A route as operators configure it."""

import msgspec

EDGE = "edge"  # In `Route.callers`: callers outside the mesh.
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Sends requests with a path prefix and a method to a service.

    Attributes:
      path: Path prefix, matched at a "/" boundary; the longest match wins.
      service: Service that handles the requests.
      methods: HTTP methods that the route accepts.
      callers: Services whose backend servers may use the route; "edge" is
        for callers outside the mesh.
      caller_class: Caller class whose queue and share the requests use.
      timeout_ms: Timeout of the whole exchange, including retries.
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
        """Returns whether a request with this method may be repeated."""
        if self.idempotent is not None:
            return self.idempotent
        return method in IDEMPOTENT_METHODS
