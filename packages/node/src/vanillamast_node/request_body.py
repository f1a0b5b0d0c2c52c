"""The body of a caller's request."""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from vanillamast_node.proxy_errors import BodyRejectedError, CallerGoneError

Receive = Callable[[], Awaitable[dict[str, Any]]]


class RequestBody:
    """Reads a body once and replays it for further attempts.

    Attributes:
      receive: ASGI callable of the request.
      limit_bytes: Largest body.
      replay_limit_bytes: Largest body that is kept for further attempts.
      kept_chunks: All chunks read so far, or, once the body is too long to be
        sent again, those not yielded yet.
      size_bytes: Bytes read so far.
      complete: Whether the whole body has been read.
      replayable: Whether `kept_chunks` holds the body from its start.
    """

    def __init__(
        self, receive: Receive, limit_bytes: int, replay_limit_bytes: int
    ):
        self.receive = receive
        self.limit_bytes = limit_bytes
        self.replay_limit_bytes = replay_limit_bytes
        self.kept_chunks: list[bytes] = []
        self.size_bytes = 0
        self.complete = False
        self.replayable = True

    async def read_first_chunk(self) -> None:
        """Reads the first chunk, which is often the whole body."""
        if not self.kept_chunks and not self.complete:
            await self._read_chunk()

    def get_complete_body(self) -> bytes | None:
        """Returns the body if it was read completely and can be replayed."""
        if not self.complete or not self.replayable:
            return None
        if self.size_bytes > self.replay_limit_bytes:
            return None
        return b"".join(self.kept_chunks)

    async def iterate_chunks(self) -> AsyncIterator[bytes]:
        """Yields the body from its start.

        Raises:
          CallerGoneError: The caller closed its connection.
          BodyRejectedError: The body exceeds the size limit.
        """
        for chunk in self._take_chunks():
            yield chunk
        while not self.complete:
            await self._read_chunk()
            yield self._take_chunks()[-1]

    def _take_chunks(self) -> list[bytes]:
        """Returns the kept chunks; drops them above the replay limit."""
        chunks = list(self.kept_chunks)
        if self.size_bytes > self.replay_limit_bytes:
            self.replayable = False
            self.kept_chunks.clear()
        return chunks

    async def _read_chunk(self) -> None:
        event = await self.receive()
        if event["type"] != "http.request":
            raise CallerGoneError("the caller closed its connection")
        chunk = event.get("body", b"")
        self.complete = not event.get("more_body", False)
        self.size_bytes += len(chunk)
        if self.size_bytes > self.limit_bytes:
            raise BodyRejectedError(
                f"the request body exceeds {self.limit_bytes} bytes"
            )
        self.kept_chunks.append(chunk)
