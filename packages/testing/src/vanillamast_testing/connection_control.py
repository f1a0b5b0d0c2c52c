"""Access to the connection of a request, which ASGI does not offer."""

import asyncio
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

EXTENSION = "vanillamast.connection"


class ConnectionControl:
    """The connection that a request arrived on.

    Attributes:
      transport: The transport of the connection.
      closed: Set when the connection is closed.
    """

    def __init__(self, transport: asyncio.Transport):
        self.transport = transport
        self.closed = asyncio.Event()

    def abort(self) -> None:
        """Closes the connection at once, without ending the answer."""
        self.transport.abort()


class ControlledHttpProtocol(HttpToolsProtocol):
    """Adds a `ConnectionControl` to the extensions of each request."""

    control: ConnectionControl

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Starts a connection."""
        super().connection_made(transport)
        self.control = ConnectionControl(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells the handlers that the caller disconnected."""
        super().connection_lost(exc)
        self.control.closed.set()

    def on_headers_complete(self) -> None:
        """Starts a request."""
        scope: dict[str, Any] = self.scope  # type: ignore[assignment]
        scope["extensions"] = {EXTENSION: self.control}
        super().on_headers_complete()


def connection_of(scope: dict[str, Any]) -> ConnectionControl:
    """Returns the connection of a request's ASGI scope."""
    return scope["extensions"][EXTENSION]
