"""Frames between two nodes.

A frame consists of its length as four bytes, big-endian, and a msgpack array
whose first element is the message's tag.
"""

import struct
import zlib

import msgspec

from vanillamast_sidecar.errors import FrameError
from vanillamast_sidecar.mesh.messages import AnyMessage, Message

LENGTH = struct.Struct(">I")
# Far above the largest body that the caller limits allow.
MAX_FRAME_BYTES = 96 * 1024 * 1024
# The first frame of a connection is a hello, of less than a kilobyte. Whoever
# connects may announce a longer one and take memory with it.
MAX_FIRST_FRAME_BYTES = 65_536
# 8 KB: enough because header fields repeat from one request to the next, and
# small because a node keeps a window for each cross-domain node.
WINDOW_BITS = 13
MEMORY_LEVEL = 5
COMPRESSION_LEVEL = 6

# Compressing a larger frame would hold the event loop for milliseconds.
MAX_COMPRESSED_BYTES = 65_536
MAX_STORED_BYTES = 65_535  # Largest stored block of a deflate stream.
STORED_BLOCK = struct.Struct("<BHH")

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(
    AnyMessage
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
      compressor: Compresses sent bytes; None without compression.
      decompressor: Decompresses received bytes; None without compression.
    """

    def __init__(self, max_first_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self.buffer = bytearray()
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

    def feed(self, data: bytes) -> list[AnyMessage]:
        """Adds received bytes; returns the messages that they complete.

        Raises:
          FrameError: The bytes are not valid messages.
        """
        if self.decompressor is not None:
            try:
                data = self.decompressor.decompress(data)
            except zlib.error as error:
                raise FrameError(str(error)) from error
        buffer = self.buffer
        buffer += data
        messages: list[AnyMessage] = []
        start = 0
        while len(buffer) - start >= LENGTH.size:
            (length,) = LENGTH.unpack_from(buffer, start)
            if length > self.max_frame_bytes:
                raise FrameError(f"frame of {length} bytes is too long")
            end = start + LENGTH.size + length
            if len(buffer) < end:
                break
            # A body may be long: its frame is not copied.
            with (
                memoryview(buffer) as view,
                view[start + LENGTH.size : end] as payload,
            ):
                messages.append(_decode(payload))
            self.max_frame_bytes = MAX_FRAME_BYTES
            start = end
        del buffer[:start]
        return messages


def _decode(payload: memoryview) -> AnyMessage:
    try:
        return _decoder.decode(payload)
    except (msgspec.DecodeError, RecursionError) as error:
        raise FrameError(str(error)) from error


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
