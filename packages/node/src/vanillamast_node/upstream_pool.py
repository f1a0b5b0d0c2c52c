"""Connections from this node to backend servers."""

import asyncio
from collections.abc import AsyncIterator, Callable
from types import TracebackType
from typing import Any

import aiohttp
import multidict
import yarl

from vanillamast_node.forwarding_settings import ForwardingSettings
from vanillamast_node.proxy_errors import (
    UpstreamConnectError,
    UpstreamLostError,
)

Body = bytes | AsyncIterator[bytes] | None
_AUTOMATIC_FIELDS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class _Connector(aiohttp.TCPConnector):
    """Reports when a request has a connection.

    Until then no byte of the request has been sent, so that any request may
    be retried, and a refusal may state that it was not run.

    Attributes:
      connected_callbacks: Callback by task, called once the task's request
        has a connection. Not a context variable, because every timer that a
        request starts would keep it alive.
    """

    def __init__(self, **options: Any):
        super().__init__(**options)
        self.connected_callbacks: dict[
            asyncio.Task[Any], Callable[[], None]
        ] = {}

    async def connect(
        self, req: Any, traces: Any, timeout: aiohttp.ClientTimeout
    ) -> Any:
        """Returns a pooled or a new connection."""
        connection = await super().connect(req, traces, timeout)
        task = asyncio.current_task()
        assert task is not None
        self.connected_callbacks.pop(task)()
        return connection


class UpstreamPool:
    """Sends requests to backend servers over pooled connections.

    Attributes:
      settings: Settings of the HTTP path.
      session: The client session, open within `async with`.
      connector: Its connections.
    """

    def __init__(self, settings: ForwardingSettings):
        self.settings = settings
        self.session: aiohttp.ClientSession
        self.connector: _Connector

    async def __aenter__(self) -> "UpstreamPool":
        self.connector = _Connector(
            limit=self.settings.upstream_connections,
            keepalive_timeout=self.settings.upstream_idle_s,
            use_dns_cache=False,
        )
        self.session = aiohttp.ClientSession(
            connector=self.connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_AUTOMATIC_FIELDS,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=self.settings.connect_timeout_s
            ),
            read_bufsize=self.settings.read_bytes,
            max_line_size=self.settings.header_bytes,
            max_field_size=self.settings.header_bytes,
            trust_env=False,
        )
        # aiohttp retries requests with idempotent methods itself when a reused
        # connection fails. Routes may declare such methods not idempotent, and
        # streamed bodies cannot be sent twice, so only `Exchange` retries.
        # aiohttp has no public option for this.
        self.session._retry_connection = False
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.session.close()

    async def send(
        self,
        method: str,
        address: str,
        target: str,
        fields: "multidict.CIMultiDict[str]",
        body: Body,
        on_connected: Callable[[], None],
    ) -> aiohttp.ClientResponse:
        """Sends a request and returns once the response header was received.

        Args:
          method: HTTP method.
          address: "ip:port" of the backend server.
          target: Path and query as the caller sent them.
          fields: Header fields.
          body: Request body.
          on_connected: Called before the first byte is sent.

        Raises:
          UpstreamConnectError: No byte reached the backend server.
          UpstreamLostError: The backend server may have received the request.
        """
        url = yarl.URL(f"http://{address}{target}", encoded=True)
        task = asyncio.current_task()
        assert task is not None
        self.connector.connected_callbacks[task] = on_connected
        try:
            return await self.session.request(
                method, url, headers=fields, data=body, allow_redirects=False
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise UpstreamConnectError(str(error)) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise UpstreamLostError(str(error)) from error
        finally:
            self.connector.connected_callbacks.pop(task, None)
