"""Frames between two nodes.

A frame consists of its length as four bytes, big-endian, and a msgpack array
whose first element is the message's tag.
"""

import struct
import zlib
from collections.abc import Iterator

import msgspec

from vanillamast_sidecar.errors import FrameError
from vanillamast_sidecar.mesh.frame_gate import CallSize, FrameGate
from vanillamast_sidecar.mesh.frame_prefix import (
    PREFIX_BYTES,
    read_array_size,
    read_prefix,
)
from vanillamast_sidecar.mesh.messages import (
    CALL_TAG,
    CONFIRM_TAG,
    REPLY_TAG,
    AnyMessage,
    CallOutline,
    Message,
)

LENGTH = struct.Struct(">I")
# Far above the largest body that the caller limits allow.
MAX_FRAME_BYTES = 96 * 1024 * 1024
# Messages that carry no request or response: records of 4,000 nodes. Decoded,
# they take up to 30 times as much.
MAX_CONTROL_FRAME_BYTES = 524_288
# The first frame of a connection is a hello, of less than a kilobyte. Whoever
# connects may announce a longer one and take memory with it.
MAX_FIRST_FRAME_BYTES = 65_536
# A frame up to this length is read before the gate decides on it.
SHORT_FRAME_BYTES = 65_536
# 8 KB: enough because header fields repeat from one request to the next, and
# small because a node keeps a window for each cross-domain node.
WINDOW_BITS = 13
MEMORY_LEVEL = 5
COMPRESSION_LEVEL = 6
# Compressed bytes may expand a thousandfold; so much is expanded at a time.
EXPANDED_BYTES = 262_144

# Compressing a larger frame would hold the event loop for milliseconds.
MAX_COMPRESSED_BYTES = 65_536
MAX_STORED_BYTES = 65_535  # Largest stored block of a deflate stream.
STORED_BLOCK = struct.Struct("<BHH")

# Messages whose length the limits on requests and responses decide.
LONG_TAGS = frozenset((CALL_TAG, CONFIRM_TAG, REPLY_TAG))

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(
    AnyMessage
)
_outline_decoder: msgspec.msgpack.Decoder[CallOutline] = (
    msgspec.msgpack.Decoder(CallOutline)
)


def make_frame(message: Message) -> bytearray:
    """Returns the frame of a message, which suits every connection.

    Raises:
      FrameError: The message has a value that frames cannot carry, such as an
        integer of more than 64 bits.
    """
    frame = bytearray(LENGTH.size)
    try:
        _encoder.encode_into(message, frame, LENGTH.size)
    except (OverflowError, TypeError, ValueError) as error:
        raise FrameError(str(error)) from error
    LENGTH.pack_into(frame, 0, len(frame) - LENGTH.size)
    return frame


class FrameCodec:
    """Encodes messages as a byte stream and decodes them.

    Between failure domains, each direction is compressed as one stream, as
    header fields hardly differ from one request to the next.

    Attributes:
      buffer: Received bytes of an incomplete frame.
      max_frame_bytes: Longest frame that may follow.
      gate: Decides which frames are taken in; None for all.
      compressor: Compresses sent bytes; None without compression.
      decompressor: Decompresses received bytes; None without compression.
    """

    def __init__(
        self,
        max_first_frame_bytes: int = MAX_FRAME_BYTES,
        gate: FrameGate | None = None,
    ) -> None:
        self.buffer = bytearray()
        self.gate = gate
        # Whether the frame being received has passed the gate.
        self._admitted = False
        # Bytes to drop of a frame that has not.
        self._skipped_bytes = 0
        self.max_frame_bytes = max_first_frame_bytes
        self.compressor: zlib._Compress | None = None
        self.decompressor: zlib._Decompress | None = None

    def enable_compression(self) -> None:
        """Compresses all following messages, in both directions."""
        self.compressor = zlib.compressobj(
            COMPRESSION_LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL
        )
        self.decompressor = zlib.decompressobj(-WINDOW_BITS)

    def encode(self, message: Message) -> bytes | bytearray:
        """Encodes a message as the next bytes of the stream."""
        return self.encode_frame(make_frame(message))

    def encode_frame(self, frame: bytearray) -> bytes | bytearray:
        """Returns a frame as the next bytes of the stream."""
        compressor = self.compressor
        if compressor is None:
            return frame
        if len(frame) > MAX_COMPRESSED_BYTES:
            # The compressor never sees these bytes, so it must not refer to
            # what was sent before them either.
            return compressor.flush(zlib.Z_FULL_FLUSH) + _store(frame)
        return compressor.compress(frame) + compressor.flush(zlib.Z_SYNC_FLUSH)

    def read(self, data: bytes) -> Iterator[AnyMessage]:
        """Adds received bytes; yields the messages that they complete.

        Messages are decoded one at a time, as together they may take far more
        memory than the bytes.

        Raises:
          FrameError: The bytes are not valid messages.
        """
        decompressor = self.decompressor
        if decompressor is None:
            yield from self._read_expanded(data)
            return
        while True:
            try:
                expanded = decompressor.decompress(data, EXPANDED_BYTES)
            except zlib.error as error:
                raise FrameError(str(error)) from error
            data = decompressor.unconsumed_tail
            yield from self._read_expanded(expanded)
            if not data and len(expanded) < EXPANDED_BYTES:
                return

    def _read_expanded(self, data: bytes) -> Iterator[AnyMessage]:
        skipped = min(self._skipped_bytes, len(data))
        self._skipped_bytes -= skipped
        buffer = self.buffer
        buffer += data[skipped:] if skipped else data
        start = 0
        try:
            while len(buffer) - start >= LENGTH.size:
                (length,) = LENGTH.unpack_from(buffer, start)
                end = start + LENGTH.size + length
                if not self._may_read(start + LENGTH.size, length):
                    self._skipped_bytes = max(0, end - len(buffer))
                    start = min(end, len(buffer))
                    continue
                if len(buffer) < end:
                    break
                # A body may be long: its frame is not copied.
                with (
                    memoryview(buffer) as view,
                    view[start + LENGTH.size : end] as payload,
                ):
                    message = self._decode(payload)
                self.max_frame_bytes = MAX_FRAME_BYTES
                self._admitted = False
                start = end
                if message is not None:
                    yield message
        finally:
            del buffer[:start]

    def _may_read(self, start: int, length: int) -> bool:
        """Returns whether a frame is read on; if not, it is skipped.

        Raises:
          FrameError: The frame is too long for its message.
        """
        if length > self.max_frame_bytes:
            raise FrameError(f"frame of {length} bytes is too long")
        if length <= SHORT_FRAME_BYTES or self._admitted:
            return True
        if len(self.buffer) - start < PREFIX_BYTES:
            return True
        tag, number = read_prefix(self.buffer[start : start + PREFIX_BYTES])
        if tag not in LONG_TAGS and length > MAX_CONTROL_FRAME_BYTES:
            raise FrameError(f"message of {length} bytes is too long")
        if self.gate is not None and not self.gate.admit_frame(
            tag, number, length
        ):
            return False
        self._admitted = True
        return True

    def _decode(self, payload: memoryview) -> AnyMessage | None:
        """Decodes a message; returns None for a call that is not admitted.

        Raises:
          FrameError: The bytes are no message.
        """
        try:
            if self.gate is not None and len(payload) >= PREFIX_BYTES:
                tag, _ = read_prefix(payload)
                if tag == CALL_TAG and not self.gate.admit_call(
                    _measure_call(payload)
                ):
                    return None
            return _decoder.decode(payload)
        except (msgspec.DecodeError, RecursionError) as error:
            raise FrameError(str(error)) from error


def _measure_call(payload: memoryview) -> CallSize:
    """Returns the size of a call without decoding its fields and body.

    Raises:
      FrameError: The fields are no array.
      msgspec.DecodeError: The bytes are no call.
    """
    outline = _outline_decoder.decode(payload)
    fields, _ = read_array_size(memoryview(outline.headers))
    body_bytes = len(outline.body)
    return CallSize(
        outline.id,
        fields,
        len(payload) - body_bytes,
        body_bytes + max(0, outline.body_bytes),
    )


def _store(data: bytearray) -> bytes:
    """Returns data as stored blocks, which follow a flush of the stream."""
    view = memoryview(data)
    parts: list[bytes | memoryview] = []
    for start in range(0, len(data), MAX_STORED_BYTES):
        block = view[start : start + MAX_STORED_BYTES]
        size = len(block)
        parts.append(STORED_BLOCK.pack(0, size, size ^ 0xFFFF))
        parts.append(block)
    return b"".join(parts)
