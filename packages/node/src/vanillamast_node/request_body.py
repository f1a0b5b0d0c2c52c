"""The body of a caller's request."""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from vanillamast_node.proxy_errors import BodyRejectedError, CallerGoneError

Receive = Callable[[], Awaitable[dict[str, Any]]]


class RequestBody:
    """Reads a body once and repeats its start for further attempts.

    Attributes:
      receive: ASGI callable of the request.
      limit: Largest body in bytes.
      replay_limit: Bytes kept for further attempts.
      kept: All chunks read so far, or those not handed out yet once the
        body is too long to be sent again.
      size: Bytes read so far.
      complete: Whether the whole body has been read.
      replayable: Whether `kept` holds the body from its start.
    """

    def __init__(self, receive: Receive, limit: int, replay_limit: int):
        self.receive = receive
        self.limit = limit
        self.replay_limit = replay_limit
        self.kept: list[bytes] = []
        self.size = 0
        self.complete = False
        self.replayable = True

    async def read_first(self) -> None:
        """Reads the first chunk, which often is the whole body."""
        if not self.kept and not self.complete:
            await self._read()

    def whole(self) -> bytes | None:
        """Returns the body if all of it is at hand and may be kept."""
        if not self.complete or not self.replayable:
            return None
        if self.size > self.replay_limit:
            return None
        return b"".join(self.kept)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body from its start.

        Raises:
          CallerGoneError: The caller closed its connection.
          BodyRejectedError: The body is over the limit.
        """
        for chunk in self._take():
            yield chunk
        while not self.complete:
            await self._read()
            yield self._take()[-1]

    def _take(self) -> list[bytes]:
        """Returns the kept chunks, and drops them once they are too many."""
        chunks = list(self.kept)
        if self.size > self.replay_limit:
            self.replayable = False
            self.kept.clear()
        return chunks

    async def _read(self) -> None:
        event = await self.receive()
        if event["type"] != "http.request":
            raise CallerGoneError("the caller closed its connection")
        chunk = event.get("body", b"")
        self.complete = not event.get("more_body", False)
        self.size += len(chunk)
        if self.size > self.limit:
            raise BodyRejectedError(f"the body is over {self.limit} bytes")
        self.kept.append(chunk)
