"""Structured logs on standard output that never block the node."""

import asyncio
import os
import time
from typing import Any

import msgspec

# Pending bytes beyond this are dropped and counted.
BUFFER_BYTES = 262144
# Lines of one kind a second; what goes beyond is counted and summed up.
LINES_PER_KIND = 50
# The same for the ends of requests that were not served, which on-call
# engineers look up by their id: some 60 KB a second at most.
LINES_PER_REQUEST_END_KIND = 200
REQUEST_END_KINDS = frozenset(
    (
        "request.failed",
        "request.refused",
        "request.no_route",
        "request.caller_gone",
    )
)
FLUSH_INTERVAL_S = 0.2  # Bounds the wake-ups that logs cost.


class EventLogger:
    """Writes one JSON line for each event.

    Attributes:
      node: Name of the node, a field of each line.
      fd: Descriptor that the lines go to.
      pending: Encoded lines not yet written.
      pending_bytes: Their size.
      dropped: Lines dropped since the last line that says so.
      counts: Lines by kind in the current second.
      suppressed: Lines by kind beyond the limit, in the current second.
    """

    def __init__(self, node: str, fd: int = 1):
        self.node = node
        self.fd = fd
        self.pending: list[bytes] = []
        self.pending_bytes = 0
        self.dropped = 0
        self.counts: dict[str, int] = {}
        self.suppressed: dict[str, int] = {}
        self.second = 0
        self.encoder = msgspec.json.Encoder()
        self.timer: asyncio.TimerHandle | None = None
        os.set_blocking(fd, False)

    def write(self, kind: str, **fields: Any) -> None:
        """Logs an event.

        Args:
          kind: Kind of the line, as docs/log-catalogue.md lists it.
          **fields: What decided it, with age or version, and the outcome.
        """
        now = time.time()
        if int(now) != self.second:
            self._start_second(int(now))
        count = self.counts.get(kind, 0) + 1
        self.counts[kind] = count
        limit = (
            LINES_PER_REQUEST_END_KIND
            if kind in REQUEST_END_KINDS
            else LINES_PER_KIND
        )
        if count > limit:
            self.suppressed[kind] = self.suppressed.get(kind, 0) + 1
            return
        self._append(now, kind, fields)

    def _start_second(self, second: int) -> None:
        self.second = second
        self.counts.clear()
        if self.suppressed:
            suppressed, self.suppressed = self.suppressed, {}
            self._append(time.time(), "log.suppressed", {"kinds": suppressed})
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            self._append(time.time(), "log.dropped", {"lines": dropped})

    def _append(self, now: float, kind: str, fields: dict[str, Any]) -> None:
        line = self.encoder.encode(
            {"t": round(now, 4), "node": self.node, "kind": kind, **fields}
        )
        if self.pending_bytes + len(line) > BUFFER_BYTES:
            self.dropped += 1
            return
        self.pending.append(line)
        self.pending_bytes += len(line) + 1
        if self.timer is None:
            try:
                loop = asyncio.get_running_loop()
            except RuntimeError:
                self.flush()
                return
            self.timer = loop.call_later(FLUSH_INTERVAL_S, self.flush)

    def flush(self) -> None:
        """Writes what the reader takes; the rest stays."""
        self.timer = None
        if not self.pending:
            return
        data = b"\n".join(self.pending) + b"\n"
        try:
            written = os.write(self.fd, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads the logs any more; there is nowhere to say so.
            written = len(data)
        rest = data[written:]
        self.pending = [rest[:-1]] if rest else []
        self.pending_bytes = len(rest)
        if rest:
            try:
                loop = asyncio.get_running_loop()
            except RuntimeError:
                return
            self.timer = loop.call_later(FLUSH_INTERVAL_S, self.flush)
