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
from vanillamast_sidecar.http.memory_costs import (
    CALL_BODY_COPIES,
    CONNECTION_BYTES,
    get_call_cost,
)
from vanillamast_sidecar.http.transport_writer import TransportWriter
from vanillamast_sidecar.membership.load_report import LoadReport
from vanillamast_sidecar.mesh.admitted_call import AdmittedCall
from vanillamast_sidecar.mesh.answer_budget import AnswerBudget
from vanillamast_sidecar.mesh.clock_offset import ClockOffset
from vanillamast_sidecar.mesh.frame_codec import (
    MAX_FIRST_FRAME_BYTES,
    SHORT_FRAME_BYTES,
    FrameCodec,
)
from vanillamast_sidecar.mesh.frame_gate import CallSize
from vanillamast_sidecar.mesh.inbound_limiter import InboundLimiter
from vanillamast_sidecar.mesh.messages import (
    CALL_TAG,
    CONFIRM_TAG,
    REPLY_TAG,
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

# An unfinished frame is given up for other requests after this time without a
# byte, or after `SLOW_FRAME_S` below the rate: a tenth of the slowest link.
FRAME_STALL_S = 1.0
SLOW_FRAME_S = 3.0
MIN_FRAME_BYTES_PER_S = 65_536

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
      refuse_for_memory: Returns the refusal of a call without memory for it.
      greeted: Whether the hello, the first message, has arrived.
      peer_address: Address of the node, empty before its hello.
      transport: The connection; None while there is none.
      writer: Writes to the transport.
      calls: Calls that have been taken in, by id.
      charged: What the connection costs, of the memory account.
      last_received_at: When bytes last arrived, in loop time.
      sent_operator_version: Era, offset and configuration version of the
        operator's state that was sent last, None if none was.
      confirmations: Resolved with the body when the sender confirms the call,
        by id; None if there is no memory for the body.
    """

    def __init__(
        self,
        run_call: CallRunner,
        get_load: Callable[[], LoadReport],
        on_message: Callable[["PeerServer", AnyMessage], None],
        on_closed: Callable[["PeerServer"], None],
        limiter: InboundLimiter | None = None,
        refuse_if_busy: BusyCheck = lambda: None,
        refuse_for_memory: Callable[[], CallResult] = lambda: CallResult(
            Outcome.NOT_RUN, Reason.NO_ROOM
        ),
    ):
        self.run_call = run_call
        self.get_load = get_load
        self.on_message = on_message
        self.on_closed = on_closed
        self.loop = asyncio.get_running_loop()
        self.limiter = limiter or InboundLimiter()
        self.refuse_if_busy = refuse_if_busy
        self.refuse_for_memory = refuse_for_memory
        self.greeted = False
        self.peer_address = ""
        self.transport: asyncio.Transport | None = None
        self.writer = TransportWriter()
        self.codec = FrameCodec(MAX_FIRST_FRAME_BYTES, self)
        self.confirmations: dict[int, asyncio.Future[bytes | None]] = {}
        self.clock = ClockOffset()
        self.calls: dict[int, AdmittedCall] = {}
        self.answers = AnswerBudget()
        self.charged = 0
        self.last_received_at = 0.0
        self.sent_operator_version: tuple[int, int, int] | None = None
        # When the unfinished frame began to arrive, in loop time.
        self._frame_since = 0.0
        # What has been charged for the frame being received, for the call
        # decoded last, and for the connection with unfinished frames and unsent
        # bytes.
        self._frame_charge = 0
        self._call_charge = 0
        self._buffer_charge = 0
        # Bytes of an unfinished frame that no other charge covers.
        self._unfinished_bytes = 0
        self._frame_is_charged = False
        self._hello_timer: asyncio.TimerHandle | None = None

    def send(self, message: Message) -> None:
        """Sends a message if the connection is open, else drops it."""
        transport = self.transport
        if transport is not None and not transport.is_closing():
            self.writer.write(self.codec.encode(message))
            self._charge_buffers()

    def may_answer(self) -> bool:
        """Returns whether to answer a question with a long message.

        The answer is dropped if the node asks without end or reads nothing.
        """
        return not self.writer.paused and self.answers.try_acquire(
            self.loop.time()
        )

    def send_frame(self, frame: bytearray) -> None:
        """Sends an encoded message if the connection is open."""
        transport = self.transport
        if transport is not None and not transport.is_closing():
            self.writer.write(self.codec.encode_frame(frame))
            self._charge_buffers()

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
        self._buffer_charge = CONNECTION_BYTES
        self.limiter.charge(self, CONNECTION_BYTES)
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
        self._charge_buffers()

    def data_received(self, data: bytes) -> None:
        """Starts calls and passes on the other messages."""
        self.last_received_at = self.loop.time()
        if not self.codec.buffer:
            self._frame_since = self.last_received_at
        try:
            for message in self.codec.read(data):
                self._frame_since = self.last_received_at
                self._handle_message(message)
                if self.transport is None or self.transport.is_closing():
                    return
        except FrameError:
            # The stream cannot be resynchronized; the peer connects again.
            self.close()
            self.release_buffers()
            return
        self._unfinished_bytes = (
            0 if self._frame_is_charged else len(self.codec.buffer)
        )
        self._charge_buffers()

    def _handle_message(self, message: AnyMessage) -> None:
        self._frame_is_charged = False
        if not self.greeted:
            self._greet(message)
            if not self.greeted:
                return
        elif isinstance(message, Hello):
            # Nodes say it once, and the answer may be long.
            self.close()
            return
        if isinstance(message, Call):
            self._start_call(message)
        elif isinstance(message, Cancel):
            admitted = self.calls.get(message.id)
            if admitted is not None and admitted.task is not None:
                admitted.task.cancel()
        elif isinstance(message, Confirm):
            confirmation = self.confirmations.get(message.id)
            if confirmation is not None and not confirmation.done():
                confirmation.set_result(message.body)
        elif isinstance(message, Ping):
            # Whoever does not read what was sent before needs no pong.
            if not self.writer.paused:
                self.send(Pong())
        else:
            if isinstance(message, Hello):
                self.peer_address = message.record.address
            self.on_message(self, message)

    # Memory.

    def admit_frame(self, tag: int, call_id: int, length: int) -> bool:
        """Takes memory for a long frame; refuses its call without enough."""
        size = int(length * CALL_BODY_COPIES)
        if tag == CALL_TAG and self.greeted:
            if self.limiter.try_charge(self, size):
                self._frame_charge = size
                self._frame_is_charged = True
                return True
            self._refuse_for_memory(call_id)
            return False
        if tag != CONFIRM_TAG:
            return tag != REPLY_TAG
        admitted = self.calls.get(call_id)
        if admitted is None:
            return False
        if length <= admitted.body_bytes + SHORT_FRAME_BYTES:
            self._frame_is_charged = True
            return True
        # The sender does not say how long the body is.
        if self.limiter.try_charge(self, size):
            admitted.charged += size
            admitted.body_bytes += length
            self._frame_is_charged = True
            return True
        confirmation = self.confirmations.get(call_id)
        if confirmation is not None and not confirmation.done():
            confirmation.set_result(None)
        return False

    def admit_call(self, size: CallSize) -> bool:
        """Takes memory for a call; refuses it without enough."""
        if not self.greeted:
            # The connection is closed for its first message.
            return True
        self.limiter.release(self, self._frame_charge)
        self._frame_charge = 0
        self._frame_is_charged = False
        cost = get_call_cost(size.fields, size.head_bytes, size.body_bytes)
        if self.limiter.try_charge(self, cost):
            self._call_charge = cost
            return True
        self._refuse_for_memory(size.id)
        return False

    def _refuse_for_memory(self, call_id: int) -> None:
        """Refuses a call before it is taken in."""
        self._send_reply(call_id, self.refuse_for_memory())

    def refuse_waiting_call(self) -> bool:
        """Refuses the newest call that waits; returns whether there is one."""
        for admitted in reversed(list(self.calls.values())):
            if admitted.is_waiting and admitted.task is not None:
                admitted.refused = True
                admitted.task.cancel()
                self._release_call(admitted)
                self._refuse_for_memory(admitted.id)
                return True
        return False

    def _release_call(self, admitted: AdmittedCall) -> None:
        self.limiter.release(self, admitted.charged)
        admitted.charged = 0

    def _charge_buffers(self) -> None:
        """Charges unfinished frames and bytes that the node does not take."""
        size = CONNECTION_BYTES + self.writer.get_backlog()
        size += self._unfinished_bytes
        change = size - self._buffer_charge
        self._buffer_charge = size
        if change > 0:
            self.limiter.charge(self, change)
        else:
            self.limiter.release(self, -change)

    def is_stalled(self) -> bool:
        """Returns whether a frame has stopped arriving, or nearly so."""
        if not self.codec.buffer:
            return False
        now = self.loop.time()
        if now - self.last_received_at > FRAME_STALL_S:
            return True
        elapsed_s = now - self._frame_since
        expected = elapsed_s * MIN_FRAME_BYTES_PER_S
        return elapsed_s > SLOW_FRAME_S and len(self.codec.buffer) < expected

    def release_buffers(self) -> None:
        """Frees what has been received and sent, except the calls."""
        self.codec.buffer = bytearray()
        size = self._frame_charge + self._call_charge + self._buffer_charge
        self._frame_charge = self._call_charge = self._buffer_charge = 0
        self._unfinished_bytes = 0
        self.limiter.release(self, size)

    # Calls.

    def _start_call(self, call: Call) -> None:
        charged, self._call_charge = self._call_charge, 0
        now = self.loop.time()
        delay_s = self.clock.excess_delay_s(call.sent_s, now)
        refusal = None
        if delay_s > MAX_EXCESS_DELAY_S:
            refusal = CallResult(Outcome.NOT_RUN, Reason.STALE)
        elif not call.may_wait:
            refusal = self.refuse_if_busy()
        if refusal is not None or call.id in self.calls:
            self.limiter.release(self, charged)
            if refusal is not None:
                self._send_reply(call.id, refusal)
            return
        admitted = AdmittedCall(
            call.id,
            self._make_server_call(call, now, now - delay_s),
            charged,
            call.body_bytes,
        )
        self.calls[call.id] = admitted
        admitted.task = self.loop.create_task(self._run_call(admitted))
        admitted.task.add_done_callback(lambda _: self._end_call(admitted))

    def _make_server_call(
        self, call: Call, now: float, sent_at: float
    ) -> ServerCall:
        async def confirm() -> bytes | None:
            return await self._request_confirmation(
                call.id, sent_at + call.remaining_s
            )

        return ServerCall(
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
            body_bytes=call.body_bytes,
        )

    async def _run_call(self, admitted: AdmittedCall) -> None:
        try:
            result = await self.run_call(admitted.call)
        except Exception:
            # The loop's exception handler logs it.
            self._send_reply(
                admitted.id, CallResult(Outcome.UNKNOWN, Reason.MALFORMED)
            )
            raise
        if not admitted.refused:
            self._send_reply(admitted.id, result)

    def _end_call(self, admitted: AdmittedCall) -> None:
        self.calls.pop(admitted.id, None)
        self._release_call(admitted)

    async def _request_confirmation(
        self, call_id: int, deadline: float
    ) -> bytes | None:
        """Asks the sender for confirmation; returns the request's body.

        Returns None if no confirmation arrives in time, or if a long one is
        still arriving at the deadline, in loop time.
        """
        confirmation: asyncio.Future[bytes | None] = self.loop.create_future()
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
        self.release_buffers()
        for admitted in list(self.calls.values()):
            if admitted.task is not None:
                admitted.task.cancel()
        self.on_closed(self)
