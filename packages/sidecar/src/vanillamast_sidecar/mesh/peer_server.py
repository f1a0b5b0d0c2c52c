"""Connections that other nodes open to this node."""

import asyncio
from collections.abc import Awaitable, Callable

from vanillamast_sidecar.admission.call_result import CallResult
from vanillamast_sidecar.admission.outcome import Outcome
from vanillamast_sidecar.admission.reason import Reason
from vanillamast_sidecar.admission.server_call import ServerCall
from vanillamast_sidecar.errors import FrameError
from vanillamast_sidecar.http.client_connection import (
    close_with_reset,
    configure_socket,
)
from vanillamast_sidecar.http.http_message import HttpResponse
from vanillamast_sidecar.http.transport_writer import TransportWriter
from vanillamast_sidecar.membership.load_report import LoadReport
from vanillamast_sidecar.mesh.clock_offset import ClockOffset
from vanillamast_sidecar.mesh.frame_codec import (
    MAX_FIRST_FRAME_BYTES,
    FrameCodec,
)
from vanillamast_sidecar.mesh.inbound_limiter import InboundLimiter
from vanillamast_sidecar.mesh.messages import (
    AnyMessage,
    Call,
    Cancel,
    Confirm,
    Hello,
    Message,
    Ping,
    Pong,
    Reply,
    SlotGranted,
)

# A call that took this much longer than the fastest one to arrive is refused:
# its sender may have given it up during a network partition.
MAX_EXCESS_DELAY_S = 0.35

# Longest wait for the sender's confirmation while a slot is held: many round
# trips between failure domains.
CONFIRM_TIMEOUT_S = 0.3

# Longest wait for the hello; nodes send it when they have connected.
HELLO_TIMEOUT_S = 3.0

NO_RESPONSE = HttpResponse(0, [])

CallRunner = Callable[[ServerCall], Awaitable[CallResult]]
BusyCheck = Callable[[], CallResult | None]


class PeerServer(asyncio.Protocol):
    """Runs the calls of one node and passes on its other messages.

    Attributes:
      run_call: Runs a call on the local server.
      get_load: Returns the load of the local server.
      on_message: Handles messages that are not about calls, with this
        connection.
      on_closed: Called when the connection has ended.
      limiter: Limits the connections of this kind.
      refuse_if_busy: Refuses a call that may not wait, if there is no slot.
      greeted: Whether the hello, the first message, has arrived.
      peer_address: Address of the node, empty before its hello.
      transport: The connection; None while there is none.
      writer: Writes to the transport.
      tasks: Tasks of the calls, by id.
      last_received_at: When bytes last arrived, in loop time.
      confirmations: Resolved with the body when the sender confirms the call,
        by id.
    """

    def __init__(
        self,
        run_call: CallRunner,
        get_load: Callable[[], LoadReport],
        on_message: Callable[["PeerServer", AnyMessage], None],
        on_closed: Callable[["PeerServer"], None],
        limiter: InboundLimiter | None = None,
        refuse_if_busy: BusyCheck = lambda: None,
    ):
        self.run_call = run_call
        self.get_load = get_load
        self.on_message = on_message
        self.on_closed = on_closed
        self.loop = asyncio.get_running_loop()
        self.limiter = limiter or InboundLimiter()
        self.refuse_if_busy = refuse_if_busy
        self.greeted = False
        self.peer_address = ""
        self.transport: asyncio.Transport | None = None
        self.writer = TransportWriter()
        self.codec = FrameCodec(MAX_FIRST_FRAME_BYTES)
        self.confirmations: dict[int, asyncio.Future[bytes]] = {}
        self.clock = ClockOffset()
        self.tasks: dict[int, asyncio.Task[None]] = {}
        self.last_received_at = 0.0
        self._hello_timer: asyncio.TimerHandle | None = None

    def send(self, message: Message) -> None:
        """Sends a message if the connection is open, else drops it."""
        transport = self.transport
        if transport is not None and not transport.is_closing():
            self.writer.write(self.codec.encode(message))

    def send_frame(self, frame: bytearray) -> None:
        """Sends an encoded message if the connection is open."""
        transport = self.transport
        if transport is not None and not transport.is_closing():
            self.writer.write(self.codec.encode_frame(frame))

    def close(self) -> None:
        """Closes the connection with a reset."""
        close_with_reset(self.transport)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores and configures the transport."""
        self.transport = transport  # type: ignore[assignment]
        self.writer.transport = self.transport
        configure_socket(transport)
        self._hello_timer = self.loop.call_later(
            HELLO_TIMEOUT_S, self._close_stranger
        )
        self.limiter.add(self)

    def _close_stranger(self) -> None:
        self.limiter.close(self, "no_hello")

    def _greet(self, message: AnyMessage) -> None:
        """Takes the first message; closes the connection if it is no hello."""
        if not isinstance(message, Hello):
            self._close_stranger()
            return
        self.greeted = True
        self.limiter.greet(self)
        if self._hello_timer is not None:
            self._hello_timer.cancel()

    def pause_writing(self) -> None:
        """Stops writing while the transport's buffer is full."""
        self.writer.pause()

    def resume_writing(self) -> None:
        """Goes on writing."""
        self.writer.resume()

    def data_received(self, data: bytes) -> None:
        """Starts calls and passes on the other messages."""
        self.last_received_at = self.loop.time()
        try:
            messages = self.codec.feed(data)
        except FrameError:
            # The stream cannot be resynchronized; the peer connects again.
            self.close()
            return
        for message in messages:
            if not self.greeted:
                self._greet(message)
            if not self.greeted:
                return
            if isinstance(message, Call):
                self._start_call(message)
            elif isinstance(message, Cancel):
                task = self.tasks.get(message.id)
                if task is not None:
                    task.cancel()
            elif isinstance(message, Confirm):
                confirmation = self.confirmations.get(message.id)
                if confirmation is not None and not confirmation.done():
                    confirmation.set_result(message.body)
            elif isinstance(message, Ping):
                self.send(Pong())
            else:
                if isinstance(message, Hello):
                    self.peer_address = message.record.address
                self.on_message(self, message)

    def _start_call(self, call: Call) -> None:
        now = self.loop.time()
        delay_s = self.clock.excess_delay_s(call.sent_s, now)
        if delay_s > MAX_EXCESS_DELAY_S:
            self._send_reply(call.id, CallResult(Outcome.NOT_RUN, Reason.STALE))
            return
        if not call.may_wait:
            refusal = self.refuse_if_busy()
            if refusal is not None:
                self._send_reply(call.id, refusal)
                return
        task = self.loop.create_task(self._handle_call(call, now - delay_s))
        self.tasks[call.id] = task

    async def _handle_call(self, call: Call, sent_at: float) -> None:
        now = self.loop.time()

        async def confirm() -> bytes | None:
            return await self._request_confirmation(
                call.id, sent_at + call.remaining_s
            )

        try:
            result = await self.run_call(
                ServerCall(
                    call.request_id,
                    call.instance_id,
                    call.born_ms,
                    call.route,
                    call.rank,
                    call.idempotent,
                    sent_at + call.remaining_s,
                    now + call.due_s,
                    call.method,
                    call.target,
                    call.headers,
                    call.body,
                    None if call.idempotent else confirm,
                    call.organisation,
                    call.may_wait,
                    remote=True,
                )
            )
        except Exception:
            # The loop's exception handler logs it.
            self._send_reply(
                call.id, CallResult(Outcome.UNKNOWN, Reason.MALFORMED)
            )
            raise
        finally:
            self.tasks.pop(call.id, None)
        self._send_reply(call.id, result)

    async def _request_confirmation(
        self, call_id: int, deadline: float
    ) -> bytes | None:
        """Asks the sender for confirmation; returns the request's body.

        Returns None if no confirmation arrives in time, or if a long one is
        still arriving at the deadline, in loop time.
        """
        confirmation: asyncio.Future[bytes] = self.loop.create_future()
        self.confirmations[call_id] = confirmation
        self.send(SlotGranted(call_id))
        try:
            while True:
                await asyncio.wait({confirmation}, timeout=CONFIRM_TIMEOUT_S)
                if confirmation.done():
                    return confirmation.result()
                if self.loop.time() >= deadline or not self._is_receiving():
                    # The sender is unreachable or has given the call up.
                    return None
        finally:
            confirmation.cancel()
            del self.confirmations[call_id]

    def _is_receiving(self) -> bool:
        """Returns whether a message is arriving, which may be a long one."""
        quiet_s = self.loop.time() - self.last_received_at
        return bool(self.codec.buffer) and quiet_s < CONFIRM_TIMEOUT_S

    def _send_reply(self, call_id: int, result: CallResult) -> None:
        response = result.response or NO_RESPONSE
        self.send(
            Reply(
                call_id,
                result.outcome,
                result.reason,
                result.sent_to_server,
                result.retry_after_s,
                self.get_load(),
                response.status,
                response.reason_phrase,
                response.headers,
                response.body,
            )
        )

    def connection_lost(self, error: Exception | None) -> None:
        """Cancels the calls of the node.

        Calls that wait for a slot never run; running ones that are not
        idempotent continue to their end.
        """
        self.transport = None
        self.limiter.remove(self)
        if self._hello_timer is not None:
            self._hello_timer.cancel()
        self.writer.close()
        for task in list(self.tasks.values()):
            task.cancel()
        self.on_closed(self)
