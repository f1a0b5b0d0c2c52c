"""The outcome of choosing a backend server."""

import dataclasses

from vanillamast_core.requests.server_view import ServerView


@dataclasses.dataclass(slots=True)
class ServerChoice:
    """A backend server with a slot for one attempt.

    Attributes:
      server: The chosen backend server.
      candidates: Number of backend servers that the policy chose from.
      reason: How the candidates were selected: "local" (same domain),
        "overflow" (cross-domain because the same domain is highly utilized),
        "no_local" (cross-domain because no server of the same domain has a
        free slot) or "panic" (see `ServicePool.panic`).
    """

    server: ServerView
    candidates: int
    reason: str
