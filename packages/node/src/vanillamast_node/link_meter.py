"""Counts the bytes of a link on the network."""

import socket
import struct
from typing import Any

# Offsets in Linux's struct tcp_info.
BYTES_ACKED_OFFSET = 120
BYTES_RECEIVED_OFFSET = 128
SEGMENTS_OUT_OFFSET = 136
SEGMENTS_IN_OFFSET = 140
TCP_INFO_BYTES = 144
# IPv4 header, TCP header and its timestamps.
SEGMENT_HEADER_BYTES = 20 + 20 + 12


class LinkMeter:
    """Bytes of one TCP connection in both directions, including headers.

    The kernel's counters include HTTP/2 frames, acknowledgements and
    retransmitted segments, which cannot be counted above the socket.

    Attributes:
      socket: The connection's socket.
    """

    def __init__(self, stream: Any):
        # grpclib has no public way to get the socket of a stream.
        transport = stream.peer._transport
        self.socket: socket.socket | None = transport.get_extra_info("socket")
        self._last_bytes = 0

    def wire_bytes(self) -> int:
        """Returns the bytes so far; once it is closed, the last known count."""
        if self.socket is None:
            return self._last_bytes
        try:
            info = self.socket.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
            )
        except OSError:
            return self._last_bytes
        if len(info) >= TCP_INFO_BYTES:
            self._last_bytes = tcp_info_bytes(info)
        return self._last_bytes


def tcp_info_bytes(info: bytes) -> int:
    """Returns the bytes on the network from a `struct tcp_info`."""
    (acked_bytes,) = struct.unpack_from("Q", info, BYTES_ACKED_OFFSET)
    (received_bytes,) = struct.unpack_from("Q", info, BYTES_RECEIVED_OFFSET)
    (sent_segments,) = struct.unpack_from("I", info, SEGMENTS_OUT_OFFSET)
    (received_segments,) = struct.unpack_from("I", info, SEGMENTS_IN_OFFSET)
    return (
        acked_bytes
        + received_bytes
        + SEGMENT_HEADER_BYTES * (sent_segments + received_segments)
    )
