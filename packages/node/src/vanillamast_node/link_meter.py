"""Counts what a link really costs on the network."""

import socket
import struct
from typing import Any

# Offsets in Linux's struct tcp_info.
BYTES_ACKED_OFFSET = 120
BYTES_RECEIVED_OFFSET = 128
SEGMENTS_OUT_OFFSET = 136
SEGMENTS_IN_OFFSET = 140
INFO_BYTES = 144
# IPv4 header, TCP header and its timestamps.
SEGMENT_HEADER_BYTES = 20 + 20 + 12


class LinkMeter:
    """Bytes of one TCP connection, both ways, headers included.

    The kernel's own counts include HTTP/2 frames, acknowledgements and
    repeated segments, which no count above the socket sees.

    Attributes:
      socket: The connection's socket.
    """

    def __init__(self, stream: Any):
        # grpclib has no public way from a stream to its socket.
        transport = stream.peer._transport
        self.socket: socket.socket | None = transport.get_extra_info("socket")
        self._last = 0

    def bytes(self) -> int:
        """Returns the bytes so far; the last known count once it is closed."""
        if self.socket is None:
            return self._last
        try:
            info = self.socket.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, INFO_BYTES
            )
        except OSError:
            return self._last
        if len(info) >= INFO_BYTES:
            self._last = wire_bytes(info)
        return self._last


def wire_bytes(info: bytes) -> int:
    """Returns the bytes on the network from a `struct tcp_info`."""
    (acked,) = struct.unpack_from("Q", info, BYTES_ACKED_OFFSET)
    (received,) = struct.unpack_from("Q", info, BYTES_RECEIVED_OFFSET)
    (sent,) = struct.unpack_from("I", info, SEGMENTS_OUT_OFFSET)
    (got,) = struct.unpack_from("I", info, SEGMENTS_IN_OFFSET)
    return acked + received + SEGMENT_HEADER_BYTES * (sent + got)
