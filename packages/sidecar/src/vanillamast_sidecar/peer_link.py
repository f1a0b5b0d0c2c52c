"""The connection that a node opens to another node."""

import asyncio
import contextlib
from collections.abc import Callable

from vanillamast_sidecar.client_connection import reset, tune_socket
from vanillamast_sidecar.errors import FrameError
from vanillamast_sidecar.load_report import LoadReport
from vanillamast_sidecar.messages import (
    AnyMessage,
    Call,
    Cancel,
    FrameReader,
    Message,
    Ping,
    Reply,
    encode_frame,
)
from vanillamast_sidecar.outcome import Outcome
from vanillamast_sidecar.reason import Reason

CONNECT_TIMEOUT_S = 0.6  # Above two round trips between failure domains.
NO_LOAD = LoadReport(0, 0, 0.0, 0.0)


class PeerLink(asyncio.Protocol):
    """Carries calls to one node; any number at a time.

    Attributes:
      address: Address of the node.
      on_message: Takes every message, after replies met their calls.
      on_lost: Called when the connection has ended.
      transport: The connection; None while there is none.
      pending: Calls without a reply, by id: future and idempotency.
      last_heard: When the peer last sent anything, in loop time.
      pinged: When an unanswered ping was sent, 0 without one.
    """

    def __init__(
        self,
        address: str,
        on_message: Callable[["PeerLink", AnyMessage], None],
        on_lost: Callable[["PeerLink"], None],
    ):
        self.address = address
        self.on_message = on_message
        self.on_lost = on_lost
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.reader = FrameReader()
        self.pending: dict[int, tuple[asyncio.Future[Reply], bool]] = {}
        self.last_heard = 0.0
        self.pinged = 0.0
        self.next_id = 0

    @property
    def up(self) -> bool:
        """Returns whether messages can be sent."""
        return self.transport is not None and not self.transport.is_closing()

    async def open(self, host: str, port: int, first: Message) -> bool:
        """Connects and sends the first message; returns whether it did."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self.loop.create_connection(lambda: self, host, port)
        except (OSError, TimeoutError):
            # The owner logs the loss and dials again later.
            self.close()
            return False
        self.send(first)
        return True

    def send(self, message: Message) -> None:
        """Sends a message if the connection is there."""
        transport = self.transport
        if transport is not None and not transport.is_closing():
            transport.write(encode_frame(message))

    async def call(
        self, make: Callable[[int], Call], idempotent: bool, timeout_s: float
    ) -> Reply:
        """Sends a call and returns its reply.

        A call without a reply in time, or whose connection ends, returns a
        reply that says so.

        Args:
          make: Makes the message from the call's id.
          idempotent: Whether the call may be given up early.
          timeout_s: Longest wait for the reply, in seconds.
        """
        if not self.up:
            return _lost(0, Outcome.NOT_RUN, Reason.CONNECT_FAILED)
        self.next_id += 1
        number = self.next_id
        future: asyncio.Future[Reply] = self.loop.create_future()
        self.pending[number] = (future, idempotent)
        timer = self.loop.call_later(timeout_s, self._expire, number)
        self.send(make(number))
        try:
            return await future
        except asyncio.CancelledError:
            self.send(Cancel(number))
            raise
        finally:
            timer.cancel()
            self.pending.pop(number, None)

    def _expire(self, number: int) -> None:
        entry = self.pending.get(number)
        if entry is not None and not entry[0].done():
            self.send(Cancel(number))
            entry[0].set_result(_lost(number, Outcome.EXPIRED, Reason.TIMEOUT))

    def give_up_idempotent(self) -> int:
        """Ends the calls that may run elsewhere; returns how many."""
        count = 0
        for number, (future, idempotent) in list(self.pending.items()):
            if idempotent and not future.done():
                self.send(Cancel(number))
                future.set_result(
                    _lost(number, Outcome.UNKNOWN, Reason.PEER_SILENT)
                )
                count += 1
        return count

    def ping(self, now: float) -> None:
        """Asks for a sign of life."""
        if not self.pinged:
            self.pinged = now
            self.send(Ping())

    def close(self) -> None:
        """Ends the connection with a reset."""
        reset(self.transport)

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = transport  # type: ignore[assignment]
        tune_socket(transport)
        self.last_heard = self.loop.time()

    def data_received(self, data: bytes) -> None:
        """Hands replies to their calls and the rest to the owner."""
        self.last_heard = self.loop.time()
        self.pinged = 0.0
        try:
            messages = self.reader.feed(data)
        except FrameError:
            # The stream cannot be resynchronized; the owner logs the loss.
            self.close()
            return
        for message in messages:
            if isinstance(message, Reply):
                entry = self.pending.get(message.id)
                if entry is not None and not entry[0].done():
                    entry[0].set_result(message)
            self.on_message(self, message)

    def connection_lost(self, error: Exception | None) -> None:
        """Fails the calls in flight."""
        self.transport = None
        for number, (future, _) in list(self.pending.items()):
            if not future.done():
                future.set_result(
                    _lost(number, Outcome.UNKNOWN, Reason.PEER_LOST)
                )
        with contextlib.suppress(asyncio.CancelledError):
            self.on_lost(self)


def _lost(number: int, outcome: Outcome, reason: Reason) -> Reply:
    arrived = outcome is not Outcome.NOT_RUN
    return Reply(number, outcome, reason, arrived, 0.0, NO_LOAD)
