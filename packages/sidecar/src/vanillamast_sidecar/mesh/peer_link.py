"""The connection that a node opens to another node."""

import asyncio
import dataclasses
import sys
from collections.abc import Callable
from typing import cast

from vanillamast_sidecar.admission.outcome import Outcome
from vanillamast_sidecar.admission.reason import Reason
from vanillamast_sidecar.errors import FrameError
from vanillamast_sidecar.http.client_connection import (
    close_with_reset,
    configure_socket,
)
from vanillamast_sidecar.http.http_message import Body
from vanillamast_sidecar.http.memory_account import MemoryAccount
from vanillamast_sidecar.http.transport_writer import TransportWriter
from vanillamast_sidecar.membership.load_report import LoadReport
from vanillamast_sidecar.mesh.frame_codec import (
    LONG_TAGS,
    MAX_FRAME_BYTES,
    FrameCodec,
)
from vanillamast_sidecar.mesh.frame_gate import CallSize
from vanillamast_sidecar.mesh.messages import (
    REPLY_TAG,
    AnyMessage,
    Call,
    Cancel,
    Confirm,
    Message,
    Ping,
    Reply,
    SlotGranted,
    Welcome,
)

CONNECT_TIMEOUT_S = 0.6  # Above two round trips between failure domains.
NO_LOAD = LoadReport(0, 0, 0.0, 0.0)
# How often the bytes of a reply are held: in the received frame and decoded.
REPLY_COPIES = 2


@dataclasses.dataclass(slots=True)
class PendingCall:
    """A call that waits for its reply.

    Attributes:
      future: Resolved with the reply.
      idempotent: Whether the call may run more than once.
      body: Body of the request.
      confirmed: Whether a confirmation of a non-idempotent call was sent.
    """

    future: asyncio.Future[Reply]
    idempotent: bool
    body: Body
    confirmed: bool = False

    def fail(self, call_id: int, outcome: Outcome, reason: Reason) -> None:
        """Resolves the call with a failure.

        A non-idempotent call without a confirmation never runs, so its outcome
        is NOT_RUN.
        """
        if self.future.done():
            return
        if not self.idempotent and not self.confirmed:
            outcome = Outcome.NOT_RUN
        self.future.set_result(_failed_reply(call_id, outcome, reason))

    @property
    def retryable(self) -> bool:
        """Returns whether the request may run on another server."""
        return self.idempotent or not self.confirmed


class PeerLink(asyncio.Protocol):
    """Multiplexes calls to one node over one connection.

    Attributes:
      address: Address of the node.
      compressed: Whether the connection is compressed after the welcome.
      on_message: Handles every message, after replies resolved their calls.
      on_lost: Called when the connection has ended.
      transport: The connection; None while there is none.
      writer: Writes to the transport.
      welcomed: Whether the peer has answered the hello.
      pending: Calls that wait for a reply, by id.
      last_received_at: When the last message arrived, in loop time.
      last_used_at: When the last call was sent, in loop time.
      ping_sent_at: When an unanswered ping was sent, in loop time; 0 without
        one.
      closed_as_idle: Whether this node closed the connection for lack of use.
      account: Memory for what clients send and for the answers to it.
      charged: What unfinished responses and unsent requests cost of it.
    """

    def __init__(
        self,
        address: str,
        compressed: bool,
        on_message: Callable[["PeerLink", AnyMessage], None],
        on_lost: Callable[["PeerLink"], None],
        account: MemoryAccount | None = None,
    ):
        self.address = address
        self.compressed = compressed
        self.on_message = on_message
        self.on_lost = on_lost
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.writer = TransportWriter()
        self.codec = FrameCodec(MAX_FRAME_BYTES, self)
        self.welcomed = False
        self.pending: dict[int, PendingCall] = {}
        self.last_received_at = 0.0
        self.last_used_at = 0.0
        self.ping_sent_at = 0.0
        self.closed_as_idle = False
        self.account = account or MemoryAccount(sys.maxsize)
        self.charged = 0
        # What has been charged for the reply being received.
        self._reply_charge = 0
        self.next_id = 0
        self._welcome_received: asyncio.Future[None] = self.loop.create_future()

    @property
    def up(self) -> bool:
        """Returns whether the connection is open and welcomed."""
        return (
            self.welcomed
            and self.transport is not None
            and not self.transport.is_closing()
        )

    async def open(self, host: str, port: int, hello: Message) -> bool:
        """Connects, sends the hello and returns whether a welcome arrived."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self.loop.create_connection(lambda: self, host, port)
                self._write(hello)
                await self._welcome_received
        except (OSError, TimeoutError):
            # The owner connects again later.
            self.close()
            return False
        return self.up

    def send(self, message: Message) -> None:
        """Sends a message if the connection is open, else drops it."""
        if self.up:
            self._write(message)

    def send_frame(self, frame: bytearray) -> None:
        """Sends an encoded message if the connection is open."""
        if self.up and self.transport is not None:
            self.writer.write(self.codec.encode_frame(frame))
            self._charge_buffers()

    def _write(self, message: Message) -> None:
        if self.transport is not None:
            self.writer.write(self.codec.encode(message))
            self._charge_buffers()

    def _charge_buffers(self) -> None:
        """Charges unfinished frames and bytes that the node does not take."""
        size = self.writer.get_backlog() + self._reply_charge
        if not self._reply_charge:
            size += len(self.codec.buffer)
        self.account.charge(size - self.charged)
        self.charged = size

    # Memory.

    def admit_frame(self, tag: int, call_id: int, length: int) -> bool:
        """Takes memory for a long reply; fails its call without enough."""
        if tag != REPLY_TAG:
            # Nodes send no calls on connections that others opened.
            return tag not in LONG_TAGS
        pending = self.pending.get(call_id)
        if pending is None:
            return False
        size = length * REPLY_COPIES
        if self.account.try_charge(size, self.charged):
            self.charged += size
            self._reply_charge = size
            return True
        pending.fail(call_id, Outcome.UNKNOWN, Reason.TOO_LARGE)
        return False

    def admit_call(self, size: CallSize) -> bool:
        """Returns False: nodes send no calls on connections of others."""
        del size
        return False

    async def send_call(
        self,
        make_call: Callable[[int, Body], Call],
        body: Body,
        idempotent: bool,
        timeout_s: float,
    ) -> Reply:
        """Sends a call and returns its reply.

        On a timeout or a lost connection, the returned reply carries that
        outcome.

        Args:
          make_call: Creates the message from the call's id and body.
          body: Body of the request.
          idempotent: Whether the call may run more than once.
          timeout_s: Longest wait for the reply.
        """
        if not self.up:
            return _failed_reply(0, Outcome.NOT_RUN, Reason.CONNECT_FAILED)
        self.next_id += 1
        self.last_used_at = self.loop.time()
        call_id = self.next_id
        pending = PendingCall(self.loop.create_future(), idempotent, body)
        self.pending[call_id] = pending
        timer = self.loop.call_later(timeout_s, self._expire, call_id)
        self.send(make_call(call_id, body if idempotent else b""))
        try:
            return await pending.future
        except asyncio.CancelledError:
            self.send(Cancel(call_id))
            raise
        finally:
            timer.cancel()
            self.pending.pop(call_id, None)

    def _expire(self, call_id: int) -> None:
        pending = self.pending.get(call_id)
        if pending is not None and not pending.future.done():
            self.send(Cancel(call_id))
            pending.fail(call_id, Outcome.EXPIRED, Reason.TIMEOUT)

    def give_up_retryable_calls(self) -> int:
        """Cancels calls that may run on another server; returns the count."""
        count = 0
        for call_id, pending in list(self.pending.items()):
            if pending.retryable and not pending.future.done():
                self.send(Cancel(call_id))
                pending.fail(call_id, Outcome.UNKNOWN, Reason.PEER_SILENT)
                count += 1
        return count

    def ping(self, now: float) -> None:
        """Sends a ping unless one is unanswered."""
        if not self.ping_sent_at:
            self.ping_sent_at = now
            self.send(Ping())

    def close(self) -> None:
        """Closes the connection with a reset."""
        close_with_reset(self.transport)

    def close_idle(self) -> None:
        """Closes a connection that is no longer used."""
        self.closed_as_idle = True
        if self.transport is not None:
            self.transport.close()

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores and configures the transport."""
        self.transport = transport  # type: ignore[assignment]
        self.writer.transport = self.transport
        configure_socket(transport)
        self.last_received_at = self.loop.time()

    def pause_writing(self) -> None:
        """Stops writing while the transport's buffer is full."""
        self.writer.pause()

    def resume_writing(self) -> None:
        """Goes on writing."""
        self.writer.resume()
        self._charge_buffers()

    def data_received(self, data: bytes) -> None:
        """Resolves calls with their replies and passes on all messages."""
        self.last_received_at = self.loop.time()
        self.ping_sent_at = 0.0
        try:
            for message in self.codec.read(data):
                self._handle_message(message)
                if self.transport is None or self.transport.is_closing():
                    return
        except FrameError:
            # The stream cannot be resynchronized; the owner logs the loss.
            self.close()
            return
        self._charge_buffers()

    def _handle_message(self, message: AnyMessage) -> None:
        if isinstance(message, Reply):
            self._reply_charge = 0
            pending = self.pending.get(message.id)
            if pending is not None and not pending.future.done():
                pending.future.set_result(message)
        elif isinstance(message, SlotGranted):
            self._confirm(message.id)
        elif isinstance(message, Welcome) and not self.welcomed:
            self.welcomed = True
            if self.compressed:
                self.codec.enable_compression()
            if not self._welcome_received.done():
                self._welcome_received.set_result(None)
        self.on_message(self, message)

    def _confirm(self, call_id: int) -> None:
        pending = self.pending.get(call_id)
        if pending is not None and not pending.future.done():
            pending.confirmed = True
            # A bytearray is encoded like bytes.
            self.send(Confirm(call_id, cast(bytes, pending.body)))

    def connection_lost(self, error: Exception | None) -> None:
        """Fails the pending calls and informs the owner."""
        self.transport = None
        self.writer.close()
        self.account.release(self.charged)
        self.charged = self._reply_charge = 0
        self.codec.buffer = bytearray()
        if not self._welcome_received.done():
            self._welcome_received.set_exception(ConnectionResetError())
            # Marks the exception as retrieved if no one awaits it.
            self._welcome_received.exception()
        for call_id, pending in list(self.pending.items()):
            pending.fail(call_id, Outcome.UNKNOWN, Reason.PEER_LOST)
        self.on_lost(self)


def _failed_reply(call_id: int, outcome: Outcome, reason: Reason) -> Reply:
    sent_to_server = outcome is not Outcome.NOT_RUN
    return Reply(call_id, outcome, reason, sent_to_server, 0.0, NO_LOAD)
