"""Connections from this node to backend servers."""

import asyncio
import itertools
import weakref
from collections.abc import AsyncIterator, Callable
from types import TracebackType
from typing import Any

import aiohttp
import multidict
import yarl

from vanillamast_node import header_fields
from vanillamast_node.forwarding_settings import ForwardingSettings
from vanillamast_node.proxy_errors import (
    UpstreamConnectError,
    UpstreamLostError,
)

Body = bytes | AsyncIterator[bytes] | None
_AUTOMATIC_FIELDS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class _Connector(aiohttp.TCPConnector):
    """Reports when a request has a connection, and which one it is.

    Until then no byte of the request has been sent, so that any request may
    be retried, and a refusal may state that it was not run.

    A connection is used again only if the last response repeated the id of its
    request: on other connections, nothing tells a late second copy of a
    response from the response to the next request.

    Attributes:
      reusable: Whether a connection may be used again, by connection.
      acquired: Connection of each task's request, and whether it was used
        before.
      connected_callbacks: Callback by task, called once the task's request
        has a connection. Not a context variable, because every timer that a
        request starts would keep it alive.
    """

    def __init__(self, **options: Any):
        super().__init__(**options)
        self.connected_callbacks: dict[
            asyncio.Task[Any], Callable[[], None]
        ] = {}
        self.reusable: weakref.WeakKeyDictionary[Any, bool] = (
            weakref.WeakKeyDictionary()
        )
        self.acquired: dict[asyncio.Task[Any], tuple[Any, bool]] = {}

    async def connect(
        self, req: Any, traces: Any, timeout: aiohttp.ClientTimeout
    ) -> Any:
        """Returns a pooled or a new connection."""
        while True:
            connection = await super().connect(req, traces, timeout)
            protocol = connection.protocol
            assert protocol is not None
            used = protocol in self.reusable
            # Bytes that arrived while it was idle belong to no request.
            if not used or (
                self.reusable[protocol] and not protocol.should_close
            ):
                break
            connection.close()
        self.reusable[protocol] = False
        task = asyncio.current_task()
        assert task is not None
        self.acquired[task] = (protocol, used)
        self.connected_callbacks.pop(task)()
        return connection


class UpstreamPool:
    """Sends requests to backend servers over pooled connections.

    Attributes:
      settings: Settings of the HTTP path.
      session: The client session, open within `async with`.
      connector: Its connections.
      request_numbers: Source of request ids.
    """

    def __init__(self, settings: ForwardingSettings):
        self.settings = settings
        self.session: aiohttp.ClientSession
        self.connector: _Connector
        self.request_numbers = itertools.count(1)

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
          UpstreamLostError: The backend server may have received the request,
            or sent a response that may be that to another request.
        """
        url = yarl.URL(f"http://{address}{target}", encoded=True)
        task = asyncio.current_task()
        assert task is not None
        self.connector.connected_callbacks[task] = on_connected
        request_id = f"{next(self.request_numbers):x}"
        fields[header_fields.REQUEST_ID_FIELD] = request_id
        try:
            response = await self.session.request(
                method, url, headers=fields, data=body, allow_redirects=False
            )
            self._check_request_id(response, request_id, task)
            return response
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise UpstreamConnectError(str(error)) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise UpstreamLostError(str(error)) from error
        finally:
            self.connector.connected_callbacks.pop(task, None)
            self.connector.acquired.pop(task, None)

    def _check_request_id(
        self,
        response: aiohttp.ClientResponse,
        request_id: str,
        task: "asyncio.Task[Any]",
    ) -> None:
        """Checks whether a response answers the request.

        Raises:
          UpstreamLostError: It may be the response to an earlier request.
        """
        protocol, used = self.connector.acquired[task]
        repeated = response.headers.get(header_fields.REQUEST_ID_FIELD)
        if repeated == request_id:
            self.connector.reusable[protocol] = True
        elif used or repeated is not None:
            response.close()
            raise UpstreamLostError("response to another request")
