"""A raw-socket backend server that runs a script for each request."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

from vanillamast_node.header_fields import REQUEST_ID_FIELD


@dataclasses.dataclass
class ReceivedRequest:
    """One request as received by the backend server."""

    head: bytes
    body: bytes
    connection: int

    @property
    def target(self) -> str:
        """Target of the request line."""
        return self.head.split(b" ", 2)[1].decode()

    def field(self, name: str) -> str:
        """Returns the value of a header field, "" if it is absent."""
        for line in self.head.split(b"\r\n")[1:]:
            key, _, value = line.partition(b":")
            if key.strip().lower() == name.encode():
                return value.strip().decode()
        return ""


class ScriptedExchange:
    """One request on a connection, which a script answers."""

    def __init__(
        self,
        backend: "ScriptedBackend",
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: int,
    ):
        self.backend = backend
        self.reader = reader
        self.writer = writer
        self.connection = connection
        self.head = b""

    @property
    def id_line(self) -> bytes:
        """Header line that repeats the request's id."""
        request_id = ReceivedRequest(self.head, b"", 0).field(REQUEST_ID_FIELD)
        return f"{REQUEST_ID_FIELD}: {request_id}\r\n".encode()

    async def read_body(self) -> bytes:
        """Reads the body and records the request as run."""
        length = ReceivedRequest(self.head, b"", 0).field("content-length")
        body = b""
        if length:
            body = await self.reader.readexactly(int(length))
        elif b"chunked" in self.head.lower():
            body = await self._read_chunked()
        self.backend.ran.append(
            ReceivedRequest(self.head, body, self.connection)
        )
        return body

    async def _read_chunked(self) -> bytes:
        body = b""
        while True:
            size = int(await self.reader.readline(), 16)
            body += (await self.reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body

    async def send_response(
        self, body: bytes = b"ok", status: int = 200, extra: str = ""
    ) -> None:
        """Sends a complete response that repeats the request's id."""
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
        await self.send(
            head.encode() + self.id_line + f"{extra}\r\n".encode() + body
        )

    async def send(self, data: bytes) -> None:
        """Sends raw bytes."""
        self.writer.write(data)
        await self.writer.drain()

    def close(self, reset: bool = False) -> None:
        """Closes the connection, with a reset if `reset` is set."""
        if reset:
            self.writer.transport.abort()
        else:
            self.writer.close()

    async def closed_by_peer(self) -> bytes:
        """Reads until the node closes the connection."""
        try:
            return await self.reader.read()
        except ConnectionError:
            return b""


Script = Callable[[ScriptedExchange], Awaitable[None]]


async def answer_ok(exchange: ScriptedExchange) -> None:
    """Runs the request and answers it."""
    await exchange.read_body()
    await exchange.send_response()


class ScriptedBackend:
    """Runs one script for each request head that arrives.

    Attributes:
      script: Answers requests.
      request_heads: Request heads that arrived.
      ran: Requests whose whole body arrived.
      connections: Connections accepted.
    """

    def __init__(self, script: Script = answer_ok):
        self.script = script
        self.request_heads: list[bytes] = []
        self.ran: list[ReceivedRequest] = []
        self.connections = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.address = ""
        self.server: asyncio.Server

    async def __aenter__(self) -> "ScriptedBackend":
        self.server = await asyncio.start_server(
            self._connected, "127.0.0.1", 0
        )
        name = self.server.sockets[0].getsockname()
        self.address = f"{name[0]}:{name[1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.connections += 1
        number = self.connections
        try:
            while not writer.is_closing():
                exchange = ScriptedExchange(self, reader, writer, number)
                exchange.head = await reader.readuntil(b"\r\n\r\n")
                self.request_heads.append(exchange.head)
                await self.script(exchange)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.tasks.discard(task)
            writer.close()
