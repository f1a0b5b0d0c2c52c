"""Writes long data to a transport in pieces."""

import asyncio
from collections import deque

# Data up to this size is written at once.
PIECE_BYTES = 262_144
# Longer data is not joined with what is sent before it.
LARGE_BYTES = 65_536


class TransportWriter:
    """Passes data to a transport as fast as the peer takes it.

    A transport copies all that the socket does not take at once. This class
    keeps references to long data instead, and its order.

    Attributes:
      transport: The transport; None while there is none.
      waiting: Data that the transport has not got yet.
      waiting_bytes: Size of that data.
      paused: Whether the transport's buffer is full.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.waiting: deque[memoryview] = deque()
        self.waiting_bytes = 0
        self.paused = False

    def get_backlog(self) -> int:
        """Returns the unsent bytes of a peer that takes them slowly."""
        transport = self.transport
        if transport is None or not self.paused:
            return 0
        return self.waiting_bytes + transport.get_write_buffer_size()

    def write(self, data: bytes | bytearray) -> None:
        """Writes data after all that was written before."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if len(data) <= PIECE_BYTES and not self.waiting:
            transport.write(data)
            return
        self.waiting.append(memoryview(data))
        self.waiting_bytes += len(data)
        self._write_waiting()

    def pause(self) -> None:
        """Stops until the transport's buffer has room."""
        self.paused = True

    def resume(self) -> None:
        """Goes on when the transport's buffer has room."""
        self.paused = False
        self._write_waiting()

    def close(self) -> None:
        """Drops what is waiting when the connection has ended."""
        self.transport = None
        self.waiting.clear()
        self.waiting_bytes = 0

    def _write_waiting(self) -> None:
        transport = self.transport
        while self.waiting and not self.paused:
            if transport is None or transport.is_closing():
                return
            data = self.waiting.popleft()
            self.waiting_bytes -= min(len(data), PIECE_BYTES)
            transport.write(data[:PIECE_BYTES])
            if len(data) > PIECE_BYTES:
                self.waiting.appendleft(data[PIECE_BYTES:])
