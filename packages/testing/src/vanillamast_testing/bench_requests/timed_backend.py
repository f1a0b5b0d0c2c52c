"""Backend servers with a fixed service time and a number of slots."""

import asyncio
import dataclasses

REPLY_BYTES = 1024  # Size of a small page fragment.
_HEAD_END = b"\r\n\r\n"
_BODY = b"x" * REPLY_BYTES
_REQUEST_ID_FIELD = b"vanillamast-request-id: "
_OK = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n"
    b"content-length: %d\r\n" % REPLY_BYTES
)
_SHED = b"HTTP/1.1 503 Busy\r\nvanillamast-not-run: 1\r\ncontent-length: 0\r\n"


@dataclasses.dataclass
class TimedBackend:
    """One backend server.

    Attributes:
      service_s: Time for which a request holds a slot; 0 means no delay.
      slots: Requests that run at the same time; further ones are shed.
      running: Requests that run now.
      served: Requests that ran.
      shed: Requests that were shed.
      address: "ip:port", once started.
    """

    service_s: float = 0.0
    slots: int = 9
    running: int = 0
    served: int = 0
    shed: int = 0
    address: str = ""

    async def start(self) -> None:
        """Listens on a free port."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: _Connection(self, loop), "127.0.0.1", 0, backlog=1024
        )
        port = server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"


class _Connection(asyncio.Protocol):
    """Answers requests without a body, one after the other."""

    def __init__(self, backend: TimedBackend, loop: asyncio.AbstractEventLoop):
        self.backend = backend
        self.loop = loop
        self.buffer = b""
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while _HEAD_END in self.buffer:
            head, _, self.buffer = self.buffer.partition(_HEAD_END)
            self._answer(_find_request_id(head))

    def _answer(self, request_id: bytes) -> None:
        backend = self.backend
        if not backend.service_s:
            backend.served += 1
            self._send(_OK, request_id, _BODY)
        elif backend.running >= backend.slots:
            backend.shed += 1
            self._send(_SHED, request_id, b"")
        else:
            backend.running += 1
            self.loop.call_later(backend.service_s, self._finish, request_id)

    def _finish(self, request_id: bytes) -> None:
        self.backend.running -= 1
        self.backend.served += 1
        if not self.transport.is_closing():
            self._send(_OK, request_id, _BODY)

    def _send(self, head: bytes, request_id: bytes, body: bytes) -> None:
        self.transport.write(
            b"%b%b%b\r\n\r\n%b" % (head, _REQUEST_ID_FIELD, request_id, body)
        )


def _find_request_id(head: bytes) -> bytes:
    """Returns the id that a node gave a request."""
    _, _, rest = head.partition(_REQUEST_ID_FIELD)
    return rest.partition(b"\r\n")[0]
