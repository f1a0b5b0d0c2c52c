"""A transport that coalesces the writes of one event loop iteration."""

import asyncio
from typing import Any


class CoalescingTransport:
    """Buffers writes and sends them in the next event loop iteration.

    uvicorn writes the header and each part of the body separately. A system
    call for each costs more than the copy that joins them.

    Attributes:
      transport: The connection's transport.
      loop: The event loop.
      pending_writes: Buffered writes.
    """

    __slots__ = ("loop", "pending_writes", "transport")

    def __init__(
        self, transport: asyncio.Transport, loop: asyncio.AbstractEventLoop
    ):
        self.transport = transport
        self.loop = loop
        self.pending_writes: list[bytes] = []

    def write(self, data: bytes) -> None:
        """Buffers data until the next flush."""
        if not data:
            return
        if not self.pending_writes:
            self.loop.call_soon(self.flush)
        self.pending_writes.append(data)

    def flush(self) -> None:
        """Sends the buffered writes."""
        pending = self.pending_writes
        if not pending:
            return
        self.pending_writes = []
        data = pending[0] if len(pending) == 1 else b"".join(pending)
        self.transport.write(data)

    def close(self) -> None:
        """Sends the buffered writes and closes the connection."""
        self.flush()
        self.transport.close()

    def abort(self) -> None:
        """Resets the connection and discards the buffered writes."""
        self.pending_writes.clear()
        self.transport.abort()

    def is_closing(self) -> bool:
        """Returns whether the connection is closed or being closed."""
        return self.transport.is_closing()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Returns information about the connection."""
        return self.transport.get_extra_info(name, default)

    def pause_reading(self) -> None:
        """Pauses receiving data."""
        self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Resumes receiving data."""
        self.transport.resume_reading()
