"""Links to other nodes: grpclib streams that carry frames."""

import asyncio
import collections
from collections.abc import Awaitable, Callable
from typing import Any

import grpclib.exceptions
from grpclib.client import Channel
from grpclib.server import Server, Stream
from h2.exceptions import H2Error
from vanillamast_core import CodecError
from vanillamast_core.control import (
    DialFailed,
    LinkDown,
    LinkUp,
    MessageReceived,
)
from vanillamast_core.peers import Message, message_codec

from vanillamast_node.link_meter import LinkMeter
from vanillamast_node.peers_grpc import PeersBase, PeersStub
from vanillamast_node.peers_pb2 import Frame

DIAL_TIMEOUT_S = 3.0
REQUEST_TIMEOUT_S = 1.0
# A link on which this many frames wait, because its peer reads too slowly, is
# closed; the overlay dials the peer again and repairs the missing state.
MAX_QUEUED_FRAMES = 1000

LinkEvent = LinkUp | LinkDown | DialFailed | MessageReceived
LinkEventHandler = Callable[[LinkEvent], None]
RequestHandler = Callable[[Message], Awaitable[Message]]
STREAM_ERRORS = (
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.ProtocolError,
    grpclib.exceptions.StreamTerminatedError,
    ConnectionError,
    OSError,
    asyncio.TimeoutError,
    H2Error,
)


class PeerTransport(PeersBase):
    """Opens and accepts links, and sends and receives messages over them.

    Attributes:
      on_link_event: Called with each event of a link.
      on_request: Called with each unary request of a peer; returns the reply.
      payload_bytes: Encoded messages sent and received so far, by kind.
    """

    def __init__(
        self, on_link_event: LinkEventHandler, on_request: RequestHandler
    ):
        self.on_link_event = on_link_event
        self.on_request = on_request
        self.payload_bytes: collections.Counter[str] = collections.Counter()
        self._link_meters: set[LinkMeter] = set()
        self._closed_links_bytes = 0
        self._server: Server | None = None
        self._next_link = 0
        self._send_queues: dict[int, asyncio.Queue[Message | None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._request_channels: dict[str, Channel] = {}

    @property
    def wire_bytes(self) -> int:
        """Bytes sent and received over links so far, including headers."""
        return self._closed_links_bytes + sum(
            m.wire_bytes() for m in self._link_meters
        )

    async def start(self, host: str, port: int) -> None:
        """Starts accepting links.

        Raises:
          OSError: The address is in use or not local.
        """
        self._server = Server([self])
        await self._server.start(host, port)

    async def close(self) -> None:
        """Closes all links and the listener."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for channel in self._request_channels.values():
            channel.close()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def dial(self, address: str) -> None:
        """Starts opening a link; the result is a link event."""
        task = asyncio.create_task(self._dial(address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def send(self, link_id: int, message: Message) -> None:
        """Queues a message for a link; does nothing if the link is down."""
        messages = self._send_queues.get(link_id)
        if messages is None:
            return
        try:
            messages.put_nowait(message)
        except asyncio.QueueFull:
            self.close_link(link_id)

    def close_link(self, link_id: int) -> None:
        """Closes a link after its queued messages were sent."""
        messages = self._send_queues.pop(link_id, None)
        if messages is not None:
            if messages.full():
                messages.get_nowait()
            messages.put_nowait(None)

    def allocate_link_id(self) -> int:
        """Returns an id for a new link."""
        self._next_link += 1
        return self._next_link

    async def request(self, address: str, message: Message) -> Message:
        """Sends a unary request and returns the reply.

        Raises:
          ConnectionError: The peer did not answer in time.
        """
        channel = self._request_channels.get(address)
        if channel is None:
            host, port = split_address(address)
            channel = self._request_channels[address] = Channel(host, port)
        frame = Frame(payload=message_codec.encode(message))
        try:
            reply = await PeersStub(channel).Ask(
                frame, timeout=REQUEST_TIMEOUT_S
            )
            return message_codec.decode(reply.payload)
        except (*STREAM_ERRORS, CodecError) as error:
            raise ConnectionError(f"{address}: {error!r}") from error

    async def Exchange(  # noqa: N802
        self, stream: Stream[Frame, Frame]
    ) -> None:
        """Runs a link that a peer opened."""
        await self._run_link(stream, None)

    async def Ask(self, stream: Stream[Frame, Frame]) -> None:  # noqa: N802
        """Serves one unary request."""
        frame = await stream.recv_message()
        if frame is None:
            return
        reply = await self.on_request(message_codec.decode(frame.payload))
        await stream.send_message(Frame(payload=message_codec.encode(reply)))

    async def _dial(self, address: str) -> None:
        host, port = split_address(address)
        channel = Channel(host, port)
        try:
            async with PeersStub(channel).Exchange.open() as stream:
                async with asyncio.timeout(DIAL_TIMEOUT_S):
                    await stream.send_request()
                await self._run_link(stream, address)
        except ConnectionRefusedError:
            self.on_link_event(DialFailed(address, refused=True))
        except STREAM_ERRORS:
            self.on_link_event(DialFailed(address, refused=False))
        finally:
            channel.close()

    async def _run_link(self, stream: Any, dialed_address: str | None) -> None:
        link_id = self.allocate_link_id()
        messages: asyncio.Queue[Message | None] = asyncio.Queue(
            MAX_QUEUED_FRAMES
        )
        self._send_queues[link_id] = messages
        meter = LinkMeter(stream)
        self._link_meters.add(meter)
        self.on_link_event(LinkUp(link_id, dialed_address))
        sender = asyncio.create_task(self._send_frames(stream, messages))
        receiver = asyncio.create_task(self._receive_frames(stream, link_id))
        try:
            await asyncio.wait(
                {sender, receiver}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            self._send_queues.pop(link_id, None)
            self._link_meters.discard(meter)
            self._closed_links_bytes += meter.wire_bytes()
            self.on_link_event(LinkDown(link_id))
            await cancel_all(sender, receiver)

    async def _send_frames(
        self, stream: Any, messages: asyncio.Queue[Message | None]
    ) -> None:
        while (message := await messages.get()) is not None:
            payload = message_codec.encode(message)
            self._count_payload(message, payload)
            await stream.send_message(Frame(payload=payload))

    def _count_payload(self, message: Message, payload: bytes) -> None:
        self.payload_bytes[type(message).__name__] += len(payload)

    async def _receive_frames(self, stream: Any, link_id: int) -> None:
        while (frame := await stream.recv_message()) is not None:
            message = message_codec.decode(frame.payload)
            self._count_payload(message, frame.payload)
            self.on_link_event(MessageReceived(link_id, message))


def split_address(address: str) -> tuple[str, int]:
    """Splits "ip:port"."""
    host, _, port = address.rpartition(":")
    return host, int(port)


async def cancel_all(*tasks: asyncio.Task[None]) -> None:
    """Cancels tasks and waits for their end; ignores their errors."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
