"""The connection that a node opens to another node."""

import asyncio
import dataclasses
from collections.abc import Callable

from vanillamast_sidecar.client_connection import (
    close_with_reset,
    configure_socket,
)
from vanillamast_sidecar.errors import FrameError
from vanillamast_sidecar.frame_codec import FrameCodec
from vanillamast_sidecar.load_report import LoadReport
from vanillamast_sidecar.messages import (
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
from vanillamast_sidecar.outcome import Outcome
from vanillamast_sidecar.reason import Reason

CONNECT_TIMEOUT_S = 0.6  # Above two round trips between failure domains.
NO_LOAD = LoadReport(0, 0, 0.0, 0.0)


@dataclasses.dataclass(slots=True)
class PendingCall:
    """A call without a reply.

    Attributes:
      future: Takes the reply.
      idempotent: Whether the call may run more than once.
      body: Body of a call that may not run twice.
      confirmed: Whether the peer was told to run such a call.
    """

    future: asyncio.Future[Reply]
    idempotent: bool
    body: bytes
    confirmed: bool = False

    def fail(self, call_id: int, outcome: Outcome, reason: Reason) -> None:
        """Gives the call up; one that was not confirmed never runs."""
        if self.future.done():
            return
        if not self.idempotent and not self.confirmed:
            outcome = Outcome.NOT_RUN
        self.future.set_result(_failed_reply(call_id, outcome, reason))

    @property
    def retryable(self) -> bool:
        """Returns whether the request may run elsewhere."""
        return self.idempotent or not self.confirmed


class PeerLink(asyncio.Protocol):
    """Carries calls to one node; any number at a time.

    Attributes:
      address: Address of the node.
      compressed: Whether the connection is compressed.
      on_message: Takes every message, after replies met their calls.
      on_lost: Called when the connection has ended.
      transport: The connection; None while there is none.
      welcomed: Whether the peer has answered the hello.
      pending: Calls without a reply, by id.
      last_received_at: When the peer last sent anything, in loop time.
      ping_sent_at: When an unanswered ping was sent, 0 without one.
    """

    def __init__(
        self,
        address: str,
        compressed: bool,
        on_message: Callable[["PeerLink", AnyMessage], None],
        on_lost: Callable[["PeerLink"], None],
    ):
        self.address = address
        self.compressed = compressed
        self.on_message = on_message
        self.on_lost = on_lost
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.codec = FrameCodec()
        self.welcomed = False
        self.pending: dict[int, PendingCall] = {}
        self.last_received_at = 0.0
        self.ping_sent_at = 0.0
        self.next_id = 0
        self._welcome_received: asyncio.Future[None] = self.loop.create_future()

    @property
    def up(self) -> bool:
        """Returns whether messages can be sent."""
        return (
            self.welcomed
            and self.transport is not None
            and not self.transport.is_closing()
        )

    async def open(self, host: str, port: int, hello: Message) -> bool:
        """Connects and waits for the welcome; returns whether it came."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self.loop.create_connection(lambda: self, host, port)
                self._write(hello)
                await self._welcome_received
        except (OSError, TimeoutError):
            # The owner dials again later.
            self.close()
            return False
        return self.up

    def send(self, message: Message) -> None:
        """Sends a message if the connection is there."""
        if self.up:
            self._write(message)

    def _write(self, message: Message) -> None:
        if self.transport is not None:
            self.transport.write(self.codec.encode(message))

    async def send_call(
        self,
        make_call: Callable[[int, bytes], Call],
        body: bytes,
        idempotent: bool,
        timeout_s: float,
    ) -> Reply:
        """Sends a call and returns its reply.

        A call without a reply in time, or whose connection ends, returns a
        reply that says so.

        Args:
          make_call: Makes the message from the call's id and body.
          body: Body of the request.
          idempotent: Whether the call may run more than once.
          timeout_s: Longest wait for the reply, in seconds.
        """
        if not self.up:
            return _failed_reply(0, Outcome.NOT_RUN, Reason.CONNECT_FAILED)
        self.next_id += 1
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
        """Ends the calls that may run elsewhere; returns how many."""
        count = 0
        for call_id, pending in list(self.pending.items()):
            if pending.retryable and not pending.future.done():
                self.send(Cancel(call_id))
                pending.fail(call_id, Outcome.UNKNOWN, Reason.PEER_SILENT)
                count += 1
        return count

    def ping(self, now: float) -> None:
        """Asks for a sign of life."""
        if not self.ping_sent_at:
            self.ping_sent_at = now
            self.send(Ping())

    def close(self) -> None:
        """Ends the connection with a reset."""
        close_with_reset(self.transport)

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = transport  # type: ignore[assignment]
        configure_socket(transport)
        self.last_received_at = self.loop.time()

    def data_received(self, data: bytes) -> None:
        """Hands replies to their calls and the rest to the owner."""
        self.last_received_at = self.loop.time()
        self.ping_sent_at = 0.0
        try:
            messages = self.codec.feed(data)
        except FrameError:
            # The stream cannot be resynchronized; the owner logs the loss.
            self.close()
            return
        for message in messages:
            self._handle_message(message)

    def _handle_message(self, message: AnyMessage) -> None:
        if isinstance(message, Reply):
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
            self.send(Confirm(call_id, pending.body))

    def connection_lost(self, error: Exception | None) -> None:
        """Fails the calls in flight."""
        self.transport = None
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
