"""Frames between two nodes.

A frame is four bytes of length, big-endian, and a msgpack array whose first
element is the message's tag.
"""

import struct
import zlib

import msgspec

from vanillamast_sidecar.errors import FrameError
from vanillamast_sidecar.messages import AnyMessage, Message

LENGTH = struct.Struct(">I")
# Far above the largest body that the limits of callers allow.
MAX_FRAME_BYTES = 96 * 1024 * 1024
# Window of 8 KB: fields repeat from one request to the next, and a node holds
# one window for each far node.
WINDOW_BITS = 13
MEMORY_LEVEL = 5
COMPRESSION_LEVEL = 6

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(
    AnyMessage
)


class FrameCodec:
    """Turns messages into a byte stream and back.

    Between failure domains both directions are compressed as one stream, as
    the fields of requests hardly differ from one to the next.

    Attributes:
      buffer: Bytes of incomplete frames.
      compressor: Compresses what is sent; None without compression.
      decompressor: Its counterpart for what is received.
    """

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.compressor: zlib._Compress | None = None
        self.decompressor: zlib._Decompress | None = None

    def enable_compression(self) -> None:
        """Compresses everything from here on, in both directions."""
        self.compressor = zlib.compressobj(
            COMPRESSION_LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL
        )
        self.decompressor = zlib.decompressobj(-WINDOW_BITS)

    def encode(self, message: Message) -> bytes:
        """Returns a message as the next bytes of the stream."""
        payload = _encoder.encode(message)
        frame = LENGTH.pack(len(payload)) + payload
        compressor = self.compressor
        if compressor is None:
            return frame
        return compressor.compress(frame) + compressor.flush(zlib.Z_SYNC_FLUSH)

    def feed(self, data: bytes) -> list[AnyMessage]:
        """Returns the messages that are complete now.

        Raises:
          FrameError: The bytes are no messages.
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
            if length > MAX_FRAME_BYTES:
                raise FrameError(f"frame of {length} bytes")
            end = start + LENGTH.size + length
            if len(buffer) < end:
                break
            payload = bytes(buffer[start + LENGTH.size : end])
            try:
                messages.append(_decoder.decode(payload))
            except msgspec.DecodeError as error:
                raise FrameError(str(error)) from error
            start = end
        del buffer[:start]
        return messages
