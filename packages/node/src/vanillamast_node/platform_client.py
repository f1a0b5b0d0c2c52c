"""Client of the platform's append-only log."""

import base64
import json

import aiohttp
from vanillamast_core.journal import LogEntry

from vanillamast_node.log_read_result import LogReadResult
from vanillamast_node.platform_errors import (
    PlatformBusyError,
    PlatformResponseTooLongError,
    PlatformUnavailableError,
)
from vanillamast_node.platform_settings import PlatformSettings

# Estimated bytes of the request and response headers of one call; counted
# because aiohttp does not report them.
HTTP_HEADS_BYTES = 350
# One TCP and IP header each for a request, a response and two acknowledgements.
TCP_OVERHEAD_BYTES = 4 * 40
# A longer response is given up: a faulty log may send bytes without end. One of
# long entries is read again with fewer of them.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024


class PlatformClient:
    """Appends to and reads from the log over HTTP.

    Attributes:
      settings: Address and timeouts.
      session: The HTTP session; owned by this client.
      read_limit: Most entries that the next read asks for.
      control_bytes: Bytes sent and received so far, with estimated headers.
    """

    def __init__(self, settings: PlatformSettings):
        self.settings = settings
        self.session: aiohttp.ClientSession | None = None
        self.read_limit = settings.read_limit
        self.control_bytes = 0

    async def open(self) -> None:
        """Opens the session."""
        self.session = aiohttp.ClientSession(self.settings.log_url)

    async def close(self) -> None:
        """Closes the session and its connections."""
        if self.session is not None:
            await self.session.close()

    async def append(self, data: bytes) -> int:
        """Appends one record.

        Returns:
          The record's offset.

        Raises:
          PlatformBusyError: The rate limit is reached; nothing was appended.
          PlatformUnavailableError: No answer; the record may have been
            appended.
        """
        body = await self._call("POST", "/v1/append", data=data)
        return int(body["offset"])

    async def read(self, after: int, wait: bool) -> LogReadResult:
        """Reads entries after an offset.

        Args:
          after: Highest offset that the node has read.
          wait: Whether to long-poll for a new entry if there is none.

        Raises:
          PlatformUnavailableError: The log did not answer.
        """
        poll_s = self.settings.poll_s if wait else 0.0
        params = {
            "after": str(after),
            "limit": str(self.read_limit),
            "wait_ms": str(int(poll_s * 1000)),
        }
        try:
            body = await self._call(
                "GET", "/v1/read", params=params, extra_timeout_s=poll_s
            )
        except PlatformResponseTooLongError:
            self.read_limit = max(1, self.read_limit // 2)
            raise
        self.read_limit = min(self.settings.read_limit, 2 * self.read_limit)
        entries = [
            LogEntry(offset, base64.b64decode(data))
            for offset, data in body["entries"]
        ]
        return LogReadResult(body["first"], body["next"], entries)

    async def _call(
        self,
        method: str,
        path: str,
        data: bytes | None = None,
        params: dict[str, str] | None = None,
        extra_timeout_s: float = 0.0,
    ) -> dict:
        if self.session is None:
            raise PlatformUnavailableError("the session is not open")
        timeout = aiohttp.ClientTimeout(
            self.settings.timeout_s + extra_timeout_s
        )
        try:
            async with self.session.request(
                method, path, data=data, params=params, timeout=timeout
            ) as response:
                payload = await _read_body(response)
                self._count_bytes(data, payload)
                if response.status == 429:
                    raise PlatformBusyError(f"{method} {path}: 429")
                if response.status != 200:
                    raise PlatformUnavailableError(
                        f"{method} {path}: {response.status}"
                    )
                return json.loads(payload)
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            ValueError,
        ) as error:
            raise PlatformUnavailableError(
                f"{method} {path}: {error!r}"
            ) from error

    def _count_bytes(self, data: bytes | None, payload: bytes) -> None:
        self.control_bytes += len(data or b"") + len(payload)
        self.control_bytes += HTTP_HEADS_BYTES + TCP_OVERHEAD_BYTES


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    """Returns the body of a response.

    Raises:
      PlatformResponseTooLongError: It is longer than the limit.
    """
    body = bytearray()
    while chunk := await response.content.readany():
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            response.close()
            raise PlatformResponseTooLongError(
                f"{response.url.path}: more than {MAX_RESPONSE_BYTES} bytes"
            )
    return bytes(body)
