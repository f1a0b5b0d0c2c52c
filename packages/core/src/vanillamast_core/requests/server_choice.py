"""The outcome of choosing a backend server."""

import dataclasses

from vanillamast_core.requests.server_view import ServerView


@dataclasses.dataclass(slots=True)
class ServerChoice:
    """A backend server with a slot for one attempt.

    Attributes:
      server: The chosen backend server.
      candidates: Backend servers that the policy chose from.
      reason: Why these were the candidates: "local", "overflow",
        "no_local" or "panic".
    """

    server: ServerView
    candidates: int
    reason: str
